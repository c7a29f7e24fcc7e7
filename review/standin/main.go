// Command standin plays the platform, the executors and the clients of the users around processes of currantknot, and judges one
// case of the review by what these have seen. Its exit code is 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a case, its end included.
const caseTimeout = 110 * time.Second

// scenario plays a case and returns the breaches of the rule that it checks.
type scenario func(f *fleet, trouble bool) ([]string, error)

// scenarios holds the cases by name; the file of each case adds it.
var scenarios = make(map[string]scenario)

var errUsage = errors.New("usage: standin CASE RECORD; the working directory is the root of the repository")

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	d, err := os.MkdirTemp("", "review")
	if err != nil {
		return r.verdict(exitNotRun, err.Error())
	}
	defer func() { _ = os.RemoveAll(d) }()
	f := newFleet(r, d, filepath.Join("target", "currantknot"))
	defer f.close()
	type outcome struct {
		breaches []string
		err      error
	}
	done := make(chan outcome, 1)
	terminated := make(chan os.Signal, 1)
	// Without this, a reader of standard output that has gone would end this process before it has ended those that it started.
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(terminated, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		b, err := scenarios[args[0]](f, trouble)
		done <- outcome{b, err}
	}()
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			return r.verdict(exitNotRun, o.err.Error())
		case len(o.breaches) > 0:
			return r.verdict(exitBroken, o.breaches...)
		}
		return r.verdict(exitHeld, "no breach was seen")
	case <-terminated:
		return r.verdict(exitNotRun, "the case was terminated")
	case <-time.After(caseTimeout):
		return r.verdict(exitNotRun, "the case took too long")
	}
}

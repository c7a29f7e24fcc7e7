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

// maxRun is the time after which a case is given up.
const maxRun = 110 * time.Second

// errNotRun means that a case could not run.
var errNotRun = errors.New("the case could not run")

// cases holds the cases by name, with the rule that each shows.
var cases = map[string]struct {
	rule string
	play func(w *world, trouble bool) error
}{
	"gangsaved": {"UNASKED", playGangSaved},
	"late":      {"TWICE", playLate},
	"flap":      {"LOST", playFlap},
	"lostorder": {"LOST", playLostOrder},
	"images":    {"LOST", playImages},
	"big":       {"LOST", playBig},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// giveUpLate ends all processes and this one after maxRun, or when this one is to end.
func giveUpLate(r *recorder) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxRun):
		}
		r.say("not run: the case was ended or took too long")
		endProcesses()
		os.Exit(exitNotRun)
	}()
}

// play plays a case and returns the exit code.
func play(name, dir string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Println("no such case")
		return exitNotRun
	}
	r, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer r.close()
	giveUpLate(r)
	trouble := os.Getenv("TROUBLE") != "0"
	w := newWorld(r)
	r.line("case %s, rule %s, disruption %t", name, c.rule, trouble)
	if err := c.play(w, trouble); err != nil {
		r.say("not run: %v", err)
		return exitNotRun
	}
	l := w.brokenRules(c.rule)
	for _, s := range l {
		r.say("%s", s)
	}
	if len(l) > 0 {
		r.say("%s is broken", c.rule)
		return exitBroken
	}
	r.say("%s held", c.rule)
	return exitHeld
}

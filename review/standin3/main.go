package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case, with or without its disruption, and returns what broke the rule, empty if it held.
type scenario func(w *world, trouble bool) (string, error)

var scenarios = map[string]scenario{"11": playStarved, "12": playWave, "13": playAdvised, "14": playRelocated}

func main() { os.Exit(play()) }

// play plays the case that the arguments name: its number and the file of its record.
func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.file.Close()
	broken, err := scenarios[os.Args[1]](newWorld(r), os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("not run: %v", err)
		_, _ = fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case broken != "":
		r.printf("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		return exitBroken
	}
	r.printf("held")
	fmt.Println("held")
	return exitHeld
}

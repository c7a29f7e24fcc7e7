package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// crashes is how often the executor crashes; it is up for upTime before each crash, and down for downTime after it.
	crashes  = 3
	upTime   = 5 * time.Second
	downTime = time.Second
)

func init() { scenarios["crashing"] = playCrashing }

// playCrashing lets one of eight executors crash a few times, each for a second, and asks for the jobs after that. It is the only one
// with the label that a short task and a task that lasts need.
func playCrashing(f *fleet, trouble bool) ([]string, error) {
	var bad *executor
	for i := range 8 {
		kind := "a"
		if i == 0 {
			kind = "g"
		}
		e, err := f.addMachine(zones[i%len(zones)], kind, 16000)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			bad = e
		}
	}
	if err := f.open(); err != nil {
		return nil, err
	}
	names := map[string]string{newID(): "job of one task of 20 s", newID(): "job of a task that lasts"}
	for id, n := range names {
		p := phase{count: 1, work: stepSpec{Ms: 20000, CPU: 1500}, label: "g"}
		if strings.Contains(n, "lasts") {
			p = phase{count: 1, work: stepSpec{CPU: 1500}, label: "g", lasts: true, estimate: 500}
		}
		if err := f.submit(id, job(p)); err != nil {
			return nil, err
		}
	}
	for range crashes {
		time.Sleep(upTime)
		if !trouble {
			continue
		}
		bad.finish("crashed")
		time.Sleep(downTime)
		if err := bad.begin(); err != nil {
			return nil, err
		}
	}
	time.Sleep(30 * time.Second)
	return f.judgeFailed(names), nil
}

// judgeFailed checks LOST: a job is shown as failed though fewer runs of each of its tasks have ended failed than max_attempts says.
// All runs of a gang with one number count as one.
func (f *fleet) judgeFailed(names map[string]string) []string {
	var l []string
	for id, name := range names {
		s, text := f.ask(0, http.MethodGet, id, nil)
		if s != http.StatusOK || !strings.Contains(text, `"failed"`) {
			continue
		}
		runs := f.history.of(id)
		failed := make(map[int]bool)
		for _, r := range runs {
			if r.how == "failed" {
				failed[r.run] = true
			}
		}
		if len(failed) < maxAttempts {
			l = append(l, fmt.Sprintf("LOST: %s %s is shown as %s though %d of its runs have ended failed and max_attempts is %d; its runs:%s", name, id, text, len(failed), maxAttempts, tell(runs, f.rec)))
		}
	}
	return l
}

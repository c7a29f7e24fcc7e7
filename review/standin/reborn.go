package main

import (
	"fmt"
	"slices"
	"time"
)

func init() { scenarios["reborn"] = playReborn }

// playReborn lets three of the four executors that have the label which tasks need crash one after the other. The next life of each,
// under the same id and at the same address, is of another kind. There are more tasks than the four executors can run at once.
func playReborn(f *fleet, trouble bool) ([]string, error) {
	const pause = 5 * time.Second
	var l []*executor
	for i := range 8 {
		kind := "a"
		if i < 4 {
			kind = "g"
		}
		e, err := f.addMachine(zones[i%len(zones)], kind, 16000)
		if err != nil {
			return nil, err
		}
		l = append(l, e)
	}
	if err := f.open(); err != nil {
		return nil, err
	}
	id := newID()
	if err := f.submit(id, job(phase{count: 160, work: stepSpec{Ms: 4000, CPU: 3000}, label: "g"})); err != nil {
		return nil, err
	}
	for _, e := range l[:3] {
		time.Sleep(pause)
		if !trouble {
			continue
		}
		e.finish("crashed")
		time.Sleep(downTime)
		e.mu.Lock()
		e.labels = []string{"a", e.labels[1]}
		e.mu.Unlock()
		if err := e.begin(); err != nil {
			return nil, err
		}
	}
	time.Sleep(pause)
	var breaches []string
	for _, r := range f.history.of(id) {
		if !slices.Contains(r.labels, "g") {
			breaches = append(breaches, fmt.Sprintf("ROUTE: task %s run %d, which needs label g, starts at %.3f on executor %s with the labels %v", r.task, r.run, f.rec.seconds(r.startAt), r.executor, r.labels))
		}
	}
	return breaches, nil
}

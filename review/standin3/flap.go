package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// flapExecutors is the number of executors, of which flapping are in the rack that the job needs.
	flapExecutors = 30
	flapping      = 3
	flapTasks     = 6
	// flapPeriod is the period in which an executor goes down and up, flapFor how long it does so, and flapTimes how often.
	flapPeriod = 1400 * time.Millisecond
	flapFor    = 6500 * time.Millisecond
	flapTimes  = 8
	flapPause  = time.Second
	// calmBefore is the time of calm before the time that counts, which is flapWatch.
	calmBefore = 4 * time.Second
	flapWatch  = 20 * time.Second
)

// playFlap runs a job that lasts in a rack, and lets the executors of the rack go down and up by turns.
func playFlap(w *world, trouble bool) (string, error) {
	f, err := newFleet(w, flapExecutors)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return "", err
	}
	for i, e := range f.executors {
		e.setRack(fmt.Sprintf("rack-%d", i/flapping))
	}
	time.Sleep(2 * heartbeat)
	j := &job{id: fmt.Sprintf("c%015x", 2), Spec: "watch", Steps: []step{{Count: flapTasks, CPU: 2000, MemMB: 1000, EstimateMs: 1000, Persistent: true, Label: "rack-0"}}}
	if !f.submit(longQueue, j) {
		return "", errNotReady
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for range flapTimes {
			f.flap()
			time.Sleep(flapPause)
		}
	}
	time.Sleep(calmBefore)
	begin := time.Now()
	f.record.printf("calm")
	time.Sleep(flapWatch)
	return f.judgeCalm(j, begin), nil
}

// flap lets the first executors go down and up for flapFor, one after the other.
func (f *fleet) flap() {
	f.record.printf("%d of %d executors go down and up by turns", flapping, flapExecutors)
	for begin := time.Now(); time.Since(begin) < flapFor; {
		for _, e := range f.executors[:flapping] {
			e.crash(flapPeriod / 2)
			time.Sleep(flapPeriod / flapping)
		}
	}
}

// setRack puts an executor into another rack.
func (e *executor) setRack(rack string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rack = rack
}

// judgeCalm returns which tasks of a job that lasts had no run for idleBound from the given time on, which is calm.
func (f *fleet) judgeCalm(j *job, from time.Time) string {
	var l []string
	for i := range j.Steps[0].Count {
		t := fmt.Sprintf("%s.0.0.%d", j.id, i)
		s := f.longestIdle(func(task string) bool { return task == t }, from, time.Now())
		e, free := f.roomFor(j.Steps[0])
		f.record.printf("%s has no run for %.1f s in the calm; executor %s has %d thousandths of a core free", t, s.length().Seconds(), e, free)
		if s.length() >= idleBound && free >= 2*j.Steps[0].CPU {
			l = append(l, fmt.Sprintf("%s for %.1f s", t, s.length().Seconds()))
		}
	}
	if len(l) == 0 {
		return ""
	}
	return "LOST: tasks that last had no run in the calm though sound executors had capacity for them twice over: " + strings.Join(l, ", ")
}

package main

import "time"

// The times of playLate. The order is carried out lateTime after it arrived. The executor is cut off cutAfter after the task's next
// run has started, for cutTime, and crashes behind the cut after crashAfter.
const (
	lateTime   = 6 * time.Second
	cutAfter   = 1500 * time.Millisecond
	cutTime    = 5500 * time.Millisecond
	crashAfter = 300 * time.Millisecond
	crashDown  = 500 * time.Millisecond
	longWork   = 25 * time.Second
)

// playLate leaves the start of a task unanswered and carries it out late; meanwhile its executor is cut off and starts again behind
// the cut.
func playLate(w *world, trouble bool) error {
	f, err := newFleet(w, 8)
	if err != nil {
		return err
	}
	defer f.stop()
	f.addExecutors(14, 2, 32000, 128000)
	if err := f.start(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	j := &job{Phases: []phase{{Count: 1, CPU: 2000, MemoryMB: 4000, EstimateMs: longWork.Milliseconds()}}, work: []time.Duration{longWork}}
	var at *executor
	if trouble {
		f.leaveUnanswered(&at)
	}
	if !f.submit(j) || !f.waitUntil(20*time.Second, func() bool { return f.runsOf(j) == 1 }) {
		return errNotRun
	}
	time.Sleep(cutAfter)
	if trouble {
		f.cutFor(at, cutTime)
		time.Sleep(crashAfter)
		crashAll([]*executor{at}, crashDown)
	}
	time.Sleep(cutTime + 3*time.Second)
	f.state(j)
	return nil
}

// leaveUnanswered leaves the next start unanswered, wherever it is, and carries it out late.
func (f *fleet) leaveUnanswered(at **executor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.executors {
		x.lateBy = func(path string, _ *call) time.Duration {
			if path != "/api/run-start" || *at != nil {
				return 0
			}
			*at = x
			return lateTime
		}
	}
}

// cutFor cuts an executor off from all nodes for a time.
func (f *fleet) cutFor(x *executor, d time.Duration) {
	f.mu.Lock()
	f.trouble(d)
	f.line("executor %s is cut off for %v", x.id, d)
	x.cut = true
	f.mu.Unlock()
	time.AfterFunc(d, func() {
		f.mu.Lock()
		x.cut = false
		f.mu.Unlock()
	})
}

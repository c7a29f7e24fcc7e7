package main

import "time"

// The flapping of playFlap.
const (
	flaps        = 5
	flapDownTime = time.Second
	flapWork     = 2 * time.Second
)

// playFlap crashes the executor of a task that lasts, several times, and each starts again at once.
func playFlap(w *world, trouble bool) error {
	f, err := newFleet(w, 7)
	if err != nil {
		return err
	}
	defer f.stop()
	f.addExecutors(14, 2, 32000, 128000)
	if err := f.start(); err != nil {
		return err
	}
	j := &job{Phases: []phase{{Count: 1, CPU: 6000, MemoryMB: 8000, Persistent: true}}}
	if !f.submit(j) {
		return errNotRun
	}
	for n := range flaps {
		if !f.waitUntil(20*time.Second, func() bool { return f.runsOf(j) == 1 }) {
			break
		}
		time.Sleep(flapWork)
		if !trouble {
			continue
		}
		f.mu.Lock()
		var hit []*executor
		for _, x := range f.executors {
			if x.runs(j) {
				hit = append(hit, x)
			}
		}
		f.mu.Unlock()
		f.line("crash %d", n+1)
		crashAll(hit, flapDownTime)
	}
	f.watchLasting(20 * time.Second)
	return nil
}

// The bounds of the rule LOST for tasks that last.
const (
	lastingAfter = 6 * time.Second
	lastingCalm  = 4 * time.Second
)

// watchLasting checks for a time whether the tasks that last run.
func (f *fleet) watchLasting(d time.Duration) {
	for t := time.Now().Add(d); time.Now().Before(t); time.Sleep(tick) {
		f.mu.Lock()
		f.checkLasting(time.Now())
		f.mu.Unlock()
	}
}

// checkLasting checks whether a task that lasts has not run for idleSpan, from lastingAfter after its last run, in calm; f.mu is
// held.
func (f *fleet) checkLasting(now time.Time) {
	if now.Sub(f.troubleUntil) < lastingCalm+idleSpan {
		return
	}
	for task, at := range f.lastRunning {
		r, _ := parseRef(task)
		j := f.jobs[r.job]
		if j.cancelledAt.IsZero() && now.Sub(at) >= lastingAfter+idleSpan && !f.lostNoted[task] {
			f.lostNoted[task] = true
			f.breaks("LOST", "%s is to last and has not run for %v, with capacity for it", task, now.Sub(at).Round(time.Millisecond))
		}
	}
}

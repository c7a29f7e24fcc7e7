package main

import "time"

// The job and the times of playBig: its executors crash by turns, perTurn every turnTime, and each is down for turnDown.
const (
	bigTasks   = 2000
	bigWork    = 90 * time.Second
	bigRun     = 8 * time.Second
	turns      = 7
	perTurn    = 2
	turnTime   = 1500 * time.Millisecond
	turnDown   = time.Second
	finishTime = 14 * time.Second
)

// playBig crashes the executors of a large job by turns.
func playBig(w *world, trouble bool) error {
	f, err := newFleet(w, 9)
	if err != nil {
		return err
	}
	defer f.stop()
	f.addExecutors(14, 2, 64000, 256000)
	if err := f.start(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	j := &job{Phases: []phase{{Count: bigTasks, CPU: 100, MemoryMB: 64, EstimateMs: bigWork.Milliseconds()}}, work: []time.Duration{bigWork}}
	if !f.submit(j) || !f.waitUntil(20*time.Second, func() bool { return f.runsOf(j) == bigTasks }) {
		return errNotRun
	}
	time.Sleep(bigRun)
	for n := range turns {
		if trouble {
			crashAll(f.executors[perTurn*n:perTurn*(n+1)], turnDown)
		}
		time.Sleep(turnTime)
	}
	small := &job{Phases: []phase{{Count: 2, CPU: 1000, MemoryMB: 500, EstimateMs: 500}}, work: []time.Duration{500 * time.Millisecond}}
	if !f.submit(small) {
		return errNotRun
	}
	time.Sleep(finishTime)
	f.watchIdle(small, 0, 10*time.Second)
	f.state(small)
	f.state(j)
	return nil
}

// idleSpan is the time for which a job has nothing running where the rule LOST is broken.
const idleSpan = 3 * time.Second

// watchIdle checks for a time whether a job whose step could run has nothing running for idleSpan.
func (f *fleet) watchIdle(j *job, step int, d time.Duration) {
	idle := time.Now()
	for t := time.Now().Add(d); time.Now().Before(t); time.Sleep(tick) {
		f.mu.Lock()
		over := true
		for n := range j.Phases[step].Count {
			over = over && f.done[ref{j.ID, 0, step, n}.String()]
		}
		if over || f.runsOf(j) > 0 {
			idle = time.Now()
		}
		used, room := 0, 0
		for _, x := range f.executors {
			cpu, _ := x.used()
			used, room = used+cpu, room+x.cpu
		}
		late := time.Since(idle) >= idleSpan && 2*used < room
		if late {
			f.breaks("LOST", "job %s has had nothing running for %v though its tasks' turn has come, with %d of %d cpu in use", j.ID, idleSpan, used, room)
		}
		f.mu.Unlock()
		if late {
			return
		}
	}
}

package main

import "time"

// The work of the two steps of playLostOrder.
const (
	firstWork  = 16 * time.Second
	secondWork = 2 * time.Second
)

// playLostOrder leaves the start of a second step unanswered, 15 s after the end of the traffic, once workers are known to restart.
func playLostOrder(w *world, trouble bool) error {
	f, err := newFleet(w, 11)
	if err != nil {
		return err
	}
	defer f.stop()
	f.addExecutors(14, 2, 32000, 128000)
	if err := f.start(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		crashAll(f.executors[13:], crashDown)
	}
	time.Sleep(3 * time.Second)
	j := &job{
		Phases: []phase{
			{Count: 1, CPU: 2000, MemoryMB: 4000, EstimateMs: firstWork.Milliseconds()},
			{Count: 1, CPU: 2000, MemoryMB: 4000, EstimateMs: secondWork.Milliseconds(), After: []int{0}},
		},
		work: []time.Duration{firstWork, secondWork},
	}
	if !f.submit(j) {
		return errNotRun
	}
	time.Sleep(finishTime + time.Second)
	var at *executor
	if trouble {
		f.leaveUnanswered(&at)
	}
	f.watchIdle(j, 1, 15*time.Second)
	return nil
}

package main

import "time"

// The racks of playGangSaved.
const (
	racks        = 7
	perRack      = 4
	minListed    = 3 * time.Second
	rackDownTime = 2 * time.Second
)

// playGangSaved crashes the rack of a gang that saves its progress.
func playGangSaved(w *world, trouble bool) error {
	f, err := newFleet(w, 6)
	if err != nil {
		return err
	}
	defer f.stop()
	f.addExecutors(racks*perRack, perRack, 32000, 128000)
	if err := f.start(); err != nil {
		return err
	}
	go f.background()
	time.Sleep(3 * time.Second)
	j := &job{
		Phases: []phase{{Count: perRack, CPU: 12000, MemoryMB: 6000, EstimateMs: 15000, Saves: true, Gang: true, RackBound: true, MaxPerServer: 1}},
		work:   []time.Duration{15 * time.Second},
	}
	if !f.submit(j) || !f.waitUntil(10*time.Second, func() bool { return f.runsOf(j) == perRack }) {
		return errNotRun
	}
	time.Sleep(minListed)
	if !trouble {
		f.measureListed(j)
	}
	if trouble {
		f.waitUntil(8*time.Second, func() bool { return len(f.listedOf(j)) > 1 })
		f.crashRackOf(j)
	}
	if !f.waitState(j, "completed", 50*time.Second) {
		f.say("the job did not complete")
	}
	return nil
}

// listedOf returns the saved values that executors have listed last for the running tasks of a job; f.mu is held.
func (f *fleet) listedOf(j *job) map[string]bool {
	m := make(map[string]bool)
	for _, x := range f.executors {
		for _, a := range x.attempts {
			if a.job == j {
				m[a.listed] = true
			}
		}
	}
	return m
}

// measureListed records for how much of the time the executors of a job have listed different saved values.
func (f *fleet) measureListed(j *job) {
	n, differ := 0, 0
	f.waitUntil(5*time.Second, func() bool {
		n++
		if len(f.listedOf(j)) > 1 {
			differ++
		}
		return false
	})
	f.line("the values that executors have listed last differ in %d of %d looks", differ, n)
}

// crashRackOf crashes all executors of the racks on which a job runs, at the same moment.
func (f *fleet) crashRackOf(j *job) {
	f.mu.Lock()
	hit := make(map[string]bool)
	for _, x := range f.executors {
		hit[x.rack] = hit[x.rack] || x.runs(j)
	}
	f.mu.Unlock()
	var l []*executor
	for _, x := range f.executors {
		if hit[x.rack] {
			l = append(l, x)
		}
	}
	crashAll(l, rackDownTime)
}

package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
)

func init() { scenarios["ends"] = playEnds }

const (
	// smallJobs jobs of smallWidth tasks each run on two executors of 32 cores, each of which can take 640 of the tasks.
	smallJobs  = 40
	smallWidth = 31
	smallCPU   = 50
	smallMs    = 2000
	// darkFor is how long the killed process stays away, and downFor how long the store is down.
	darkFor = 3500 * time.Millisecond
	downFor = 4500 * time.Millisecond
)

var errNotStarted = errors.New("the tasks were not all started")

// playEnds kills the process that gives the orders while two executors run 620 small tasks each, which end before another process has
// taken over. With TROUBLE=store, the store refuses all calls for a while instead.
func playEnds(f *fleet, trouble bool) ([]string, error) {
	for i := range 2 {
		if _, err := f.addMachine(zones[i], "a", 32000); err != nil {
			return nil, err
		}
	}
	if err := f.open(); err != nil {
		return nil, err
	}
	var ids []string
	var clients errgroup.Group
	for range smallJobs {
		id := newID()
		ids = append(ids, id)
		clients.Go(func() error {
			return f.submit(id, job(phase{count: smallWidth, work: stepSpec{Ms: smallMs, CPU: smallCPU}}))
		})
	}
	if err := clients.Wait(); err != nil {
		return nil, err
	}
	const tasks = smallJobs * smallWidth
	if !within(20*time.Second, func() bool { return f.history.count() >= tasks }) {
		return nil, fmt.Errorf("%w: %d of %d", errNotStarted, f.history.count(), tasks)
	}
	switch {
	case trouble && os.Getenv("TROUBLE") == "store":
		f.store.setDown(true)
		f.rec.add("trouble: the store refuses all calls")
		time.Sleep(downFor)
		f.store.setDown(false)
		f.rec.add("the store answers again")
	case trouble:
		f.killFor(f.store.lastWriter(), darkFor)
	}
	time.Sleep(20 * time.Second)
	for _, id := range ids {
		f.rec.add("state of job %s: %s", id, f.state(id))
	}
	return f.judgeAfterDone(), nil
}

// judgeAfterDone checks TWICE, "a start after a run has ended `done`, if that end is taken note of then or later".
func (f *fleet) judgeAfterDone() []string {
	done := make(map[string]taskRun)
	var breaches []string
	n := 0
	for _, r := range f.history.of("") {
		d, ok := done[r.task]
		switch {
		case ok && r.startAt.After(d.endedAt):
			n++
			breaches = append(breaches, fmt.Sprintf("TWICE: a start after the end `done`, which was acknowledged at %.2f:%s", f.rec.seconds(d.ackedAt), tell([]taskRun{d, r}, f.rec)))
		case r.how == "done" && !r.ackedAt.IsZero():
			done[r.task] = r
		}
	}
	f.rec.add("%d of %d tasks started again after their end", n, smallJobs*smallWidth)
	fmt.Printf("%d of %d tasks started again after their end\n", n, smallJobs*smallWidth)
	return breaches
}

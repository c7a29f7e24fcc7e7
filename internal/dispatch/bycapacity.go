package dispatch

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// maxInterruptedWait and maxNewWait are the waiting times after which a long-running task goes by free capacity alone: one that
	// had an attempt before, and any other.
	maxInterruptedWait = time.Second
	maxNewWait         = 6 * time.Second
)

// findWorkerByCapacity returns the best worker with free capacity, of the rated and the avoided ones, for a long-running task that
// has waited for too long. It returns nil if there is none.
//
// Users see free capacity and a task without a run. What the planner keeps free
// for others therefore excludes workers for a bounded time only: the reserve of
// a pool, reservations of tasks that fit on no worker now, and the time in which
// a worker is avoided. A backoff after a refused start still excludes a worker,
// as it ends soon. A task without an earlier attempt leaves the last place for
// its size to others.
func (p *Planner) findWorkerByCapacity(c *candidateStep, t *jobs.Task, rated []rating, now time.Time) *rating {
	if !c.step.LongRunning || !p.goesByCapacity(t, now) {
		return nil
	}
	l := slices.Concat(rated, p.rateAvoidedWorkers(c, now))
	x := constraints{byCapacity: true}
	if t.Run == 0 && p.countPlaces(c, t, l, x, now) < minTaskCapacity {
		return nil
	}
	return p.selectWorker(c, t, l, x, now)
}

// goesByCapacity reports whether a long-running task has waited for so long that it goes by free capacity alone.
func (p *Planner) goesByCapacity(t *jobs.Task, now time.Time) bool {
	waited := p.waits.waited(t, now)
	if t.Run == 0 {
		return waited >= maxNewWait
	}
	return waited >= maxInterruptedWait || p.interruptions.withoutRun(t.Ref, now) >= interruptionBound
}

// countPlaces returns the number of tasks of a step that fit on the rated workers within the constraints.
func (p *Planner) countPlaces(c *candidateStep, t *jobs.Task, l []rating, x constraints, now time.Time) int {
	n := 0
	for _, r := range l {
		if p.taskExclusion(r.worker, c, t, x, now) == notExcluded {
			n += r.worker.free().MilliCPU / max(c.step.Size.MilliCPU, 1)
		}
	}
	return n
}

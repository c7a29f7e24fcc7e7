package dispatch

import (
	"math"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// longRunningUseFraction is the expected CPU use of a long-running task, as a fraction of the CPU that it reserves.
	longRunningUseFraction = 0.5
	// minSpareFraction is the least spare CPU of a worker that gets a best-effort task, as a fraction of the task's CPU size.
	minSpareFraction = 0.6
	// placementLookahead is how far ahead a placement predicts the load of services.
	placementLookahead = time.Second
	// minExpectedLoad is the least load that a placement assumes for a service, since loads fluctuate.
	minExpectedLoad = 0.45
	// speedWeight is the weight in a score of the expected speed of a task, as a fraction of its full speed, relative to the
	// spare CPU of a worker, as a fraction of the worker's CPU.
	speedWeight = 3.0
	// minExpectedSpeed is the least expected speed at which a best-effort task is placed on a worker, as a fraction of the full
	// speed of the task.
	minExpectedSpeed = 0.75
	// dissimilarityWeight is the weight in a score of the mean dissimilarity of co-located service images, relative to the
	// reserved CPU of a worker, as a fraction of the worker's CPU.
	dissimilarityWeight = 3.0
)

// bestEffortScore rates a worker for a best-effort task by its spare CPU and the expected speed of the task.
//
// It excludes a worker with too little spare CPU, or, with its score, one on which the
// expected speed is below minExpectedSpeed. At a lower speed the task would slow
// down a service too much, and a service over its latency bound costs the users
// more than the best-effort task is worth to them.
func (p *Planner) bestEffortScore(w *worker, c *candidateStep, now time.Time) (float64, exclusion) {
	spare := w.spareMilliCPU()
	if spare < minSpareFraction*float64(c.step.Size.MilliCPU) {
		return 0, excludedSpareCPU
	}
	e := p.expectedSpeed(w, c.step, now)
	s := w.fraction(spare) + speedWeight*e
	if e < minExpectedSpeed {
		return s, excludedInterference
	}
	return s, notExcluded
}

// expectedSpeed returns the speed at which a best-effort task would run next to the services of a worker, as a fraction of
// the task's full speed.
func (p *Planner) expectedSpeed(w *worker, s *jobs.Step, now time.Time) float64 {
	return min(1, p.interferenceHeadroom(w, s.Image, now)/w.fraction(float64(s.Size.MilliCPU)))
}

// interferenceHeadroom returns the additional fraction of a worker's CPU that tasks of a best-effort image may use before
// the slowdown of a service exceeds what is tolerable, +Inf if no service sets a limit. The result is cached for the
// current plan until the worker's attempts change.
func (p *Planner) interferenceHeadroom(w *worker, image string, now time.Time) float64 {
	if w.headroomAt != now {
		w.headroomAt = now
		clear(w.headroom)
	}
	if r, ok := w.headroom[image]; ok {
		return r
	}
	r := math.Inf(1)
	for _, a := range w.services {
		x, u := p.model(a)
		q := x.pair(image).upperBound()
		if q < minInterference {
			continue
		}
		l := max(minExpectedLoad, u.predict(now.Add(placementLookahead)))
		r = min(r, max(0, x.tolerableSlowdown(l)-x.fullSpeedSlowdown(w))/q)
	}
	w.headroom[image] = r
	return r
}

// spareMilliCPU returns the CPU capacity of the worker less the expected use of its attempts, in thousandths of a core.
func (w *worker) spareMilliCPU() float64 { return float64(w.Capacity.MilliCPU - w.expectedMilliCPU) }

// expectedMilliCPU returns the CPU that a task is expected to use, in thousandths of a core.
func expectedMilliCPU(s *jobs.Step) int {
	if s.LongRunning {
		return int(longRunningUseFraction * float64(s.Size.MilliCPU))
	}
	return s.Size.MilliCPU
}

// serviceScore rates a worker for a service. Services that best-effort images slow down in similar ways are co-located, so
// that for each best-effort image there are workers on which it interferes with none of the services.
func (p *Planner) serviceScore(w *worker, c *candidateStep) float64 {
	var sum, n float64
	for _, a := range w.services {
		sum += p.interference.dissimilarity(c.step.Image, a.task.Spec.Image)
		n++
	}
	s := w.fraction(float64(w.reserved.MilliCPU))
	if n > 0 {
		s -= dissimilarityWeight * sum / n
	}
	return s
}

package dispatch

import (
	"math"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// serviceUseFraction is the fraction of their reserved CPU that long-running tasks are expected to use.
	serviceUseFraction = 0.5
	// minFreeFraction is the fraction of a best-effort task's CPU size that a worker must have to spare.
	minFreeFraction = 0.6
	// placementLookahead is how far ahead a placement predicts the load of services.
	placementLookahead = time.Second
	// minExpectedLoad is the least load of a service that a placement assumes, since loads fluctuate.
	minExpectedLoad = 0.45
	// speedWeight weighs the expected speed of a task against the spare CPU of a worker.
	speedWeight = 3.0
	// minExpectedSpeed is the least expected speed of a best-effort task on a worker, as a fraction of its full speed.
	minExpectedSpeed = 0.75
	// dissimilarityWeight weighs the dissimilarity of co-located service images against the reserved CPU of a worker.
	dissimilarityWeight = 3.0
)

// bestEffortScore rates a worker for a best-effort task by its spare CPU and the expected speed of the task.
//
// A service over its latency bound costs more than a co-located best-effort
// task is worth, so that a worker is rejected where the expected speed is below
// minExpectedSpeed.
func (p *Planner) bestEffortScore(w *worker, c *candidate, now time.Time) (float64, bool) {
	spare := w.spareMilliCPU()
	if spare < minFreeFraction*float64(c.step.Size.MilliCPU) {
		return 0, false
	}
	e := p.expectedSpeed(w, c.step, now)
	return w.fraction(spare) + speedWeight*e, e >= minExpectedSpeed
}

// expectedSpeed returns the fraction of its full speed at which a best-effort task would run next to the services of a
// worker.
func (p *Planner) expectedSpeed(w *worker, s *jobs.Step, now time.Time) float64 {
	return min(1, p.interferenceHeadroom(w, s.Image, now)/w.fraction(float64(s.Size.MilliCPU)))
}

// interferenceHeadroom returns the additional fraction of a worker's CPU that tasks of a best-effort image may use before
// they exceed the tolerable slowdown of a service. The result is cached for the current plan until the worker's attempts
// change.
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

// spareMilliCPU returns the CPU that the attempts of the worker are not expected to use, in thousandths of a core.
func (w *worker) spareMilliCPU() float64 { return float64(w.Capacity.MilliCPU - w.expectedMilliCPU) }

// expectedMilliCPU returns the CPU that a task is expected to use, in thousandths of a core.
func expectedMilliCPU(s *jobs.Step) int {
	if s.LongRunning {
		return int(serviceUseFraction * float64(s.Size.MilliCPU))
	}
	return s.Size.MilliCPU
}

// serviceScore rates a worker for a service. Services with similar images are co-located, so that each best-effort image
// finds workers where it interferes with none of them.
func (p *Planner) serviceScore(w *worker, c *candidate) float64 {
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

package dispatch

import (
	"math"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// serviceUse is the part of what long-running tasks hold that they are expected to use.
	serviceUse = 0.5
	// leastPart is the part of its size that a best-effort task must find free.
	leastPart = 0.6
	// placeAhead is the time for which a placement looks ahead.
	placeAhead = time.Second
	// usualLoad is the load of a service that a placement expects at least, since loads swing.
	usualLoad = 0.45
	// paceWeight weighs the pace that a task would find against free processors.
	paceWeight = 3.0
	// leastExpectedPace is the part of its speed that a best-effort task must find.
	leastExpectedPace = 0.75
	// unlikeWeight weighs the difference of images beside each other against the use of a worker.
	unlikeWeight = 3.0
)

// bestEffortScore rates a worker for a best-effort task by the processors and the pace that it would find.
//
// A long-running task over its bound costs more than the best-effort task
// beside it earns, so that a worker is refused where the task could not work
// at most of its speed.
func (p *Planner) bestEffortScore(w *worker, c *candidate, now time.Time) (float64, bool) {
	left := w.spare()
	if left < leastPart*float64(c.step.Size.MilliCPU) {
		return 0, false
	}
	e := p.expectedPace(w, c.step, now)
	return w.part(left) + paceWeight*e, e >= leastExpectedPace
}

// expectedPace returns the part of its speed at which a best-effort task would work beside the services of a worker.
func (p *Planner) expectedPace(w *worker, s *jobs.Step, now time.Time) float64 {
	return min(1, p.pressureRoom(w, s.Image, now)/w.part(float64(s.Size.MilliCPU)))
}

// pressureRoom returns the part of a worker's processors that tasks of a best-effort image may use beside its services. It
// is kept for the present plan, until the worker's attempts change.
func (p *Planner) pressureRoom(w *worker, image string, now time.Time) float64 {
	if w.roomAt != now {
		w.roomAt = now
		clear(w.room)
	}
	if r, ok := w.room[image]; ok {
		return r
	}
	r := math.Inf(1)
	for _, a := range w.services {
		x, u := p.model(a)
		q := x.pair(image).cautious()
		if q < leastPressure {
			continue
		}
		l := max(usualLoad, u.ahead(now.Add(placeAhead)))
		r = min(r, max(0, x.bearable(l)-x.slowdownAt(w))/q)
	}
	w.room[image] = r
	return r
}

// spare returns the processors that another best-effort task may expect besides what runs.
func (w *worker) spare() float64 { return float64(w.Capacity.MilliCPU - w.expected) }

// expectedUse returns the processors that a task is expected to use, in thousandths of a core.
func expectedUse(s *jobs.Step) int {
	if s.LongRunning {
		return int(serviceUse * float64(s.Size.MilliCPU))
	}
	return s.Size.MilliCPU
}

// serviceScore rates a worker for a long-running task: like images gather, so that each best-effort image finds
// workers where it presses on none.
func (p *Planner) serviceScore(w *worker, c *candidate) float64 {
	var sum, n float64
	for _, a := range w.services {
		sum += p.pressure.unlike(c.step.Image, a.task.Spec.Image)
		n++
	}
	s := w.part(float64(w.used.MilliCPU))
	if n > 0 {
		s -= unlikeWeight * sum / n
	}
	return s
}

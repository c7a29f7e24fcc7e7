package dispatch

import "time"

const (
	// serviceUse is the part of what long-running tasks hold that they are expected to use.
	serviceUse = 0.5
	// leastPart is the part of its size that a best-effort task must find free.
	leastPart = 0.6
	// tailLimit is the part of its bound up to which a tail may be expected to rise by a placement.
	tailLimit = 0.75
	// pressureWeight weighs the expected rise of tails against free processors.
	pressureWeight = 4.0
	// unlikeWeight weighs the difference of images beside each other against the use of a worker.
	unlikeWeight = 3.0
)

// bestEffortScore rates a worker for a best-effort task by the processors it would find and the tails it would raise.
func (p *Planner) bestEffortScore(w *worker, c *candidate, _ time.Time) (float64, bool) {
	room := float64(max(w.Room.MilliCPU, 1))
	left, planned := w.spare()
	if left < leastPart*float64(c.step.Size.MilliCPU) {
		return 0, false
	}
	added := float64(c.step.Size.MilliCPU) / room
	var rise float64
	for _, a := range w.attempts {
		if a.task.Spec.TailBound <= 0 {
			continue
		}
		s := p.pressure.of(a.task.Spec.Image)
		r := s.pair(c.step.Image).Mean * added
		if r > leastRise && s.base.Mean+s.sum(planned)+r > tailLimit {
			return 0, false
		}
		rise = max(rise, r)
	}
	return left/room - pressureWeight*rise, true
}

// leastRise is the rise of a tail that is not worth a refusal.
const leastRise = 0.02

// spare returns the processors that best-effort tasks may expect besides what runs, and the shares that those at the worker want.
func (w *worker) spare() (float64, map[string]float64) {
	left := float64(w.Room.MilliCPU)
	planned := make(map[string]float64)
	for _, a := range w.attempts {
		n := float64(a.task.Spec.Size.MilliCPU)
		switch {
		case a.task.Spec.BestEffort:
			planned[a.task.Spec.Image] += n * float64(max(a.pace, 0)) / fullPace / float64(max(w.Room.MilliCPU, 1))
			left -= n
		case a.task.Spec.LongRunning:
			left -= serviceUse * n
		default:
			left -= n
		}
	}
	return left, planned
}

// serviceScore rates a worker for a long-running task: like images gather, so that each best-effort image finds
// workers where it presses on none.
func (p *Planner) serviceScore(w *worker, c *candidate) float64 {
	var sum, n float64
	for _, a := range w.attempts {
		if a.task.Spec.TailBound > 0 {
			sum += p.pressure.unlike(c.step.Image, a.task.Spec.Image)
			n++
		}
	}
	s := float64(w.used.MilliCPU) / float64(max(w.Room.MilliCPU, 1))
	if n > 0 {
		s -= unlikeWeight * sum / n
	}
	return s
}

package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// reserveFactor is the part of the recent use of work that ends which is kept from long-running work.
	reserveFactor = 1.3
	// reserveAtFirst is the part of the fleet that is kept before anything is known of that use.
	reserveAtFirst = 0.08
	// reserveMemory is the time in which half of a past use is forgotten.
	reserveMemory = 5 * time.Second
)

// reserve keeps processors for work that ends.
//
// It answers a fleet that long-running work fills to the last core: short work
// would then wait until some of that is cancelled, though it is worth more for
// the processors that it holds.
type reserve struct {
	milliCPU float64
	seenAt   time.Time
	// Learned tells that work that ends was seen.
	learned bool
}

// observe takes in how much work that ends holds now.
func (r *reserve) observe(l map[string]*worker, now time.Time) {
	held, room := 0.0, 0.0
	for _, w := range l {
		room += float64(w.Room.MilliCPU)
		for _, a := range w.attempts {
			if !a.task.Spec.LongRunning {
				held += float64(a.task.Spec.Held().MilliCPU)
			}
		}
	}
	if r.seenAt.IsZero() || held == 0 && !r.learned {
		r.seenAt, r.milliCPU = now, reserveAtFirst*room/reserveFactor
		return
	}
	r.learned = true
	part := min(1, float64(now.Sub(r.seenAt))/float64(2*reserveMemory))
	r.seenAt = now
	r.milliCPU += part * (held - r.milliCPU)
}

// allows tells whether a long-running task leaves the reserve to work that ends.
func (r *reserve) allows(s *jobs.Step, l map[string]*worker) bool {
	var free, held int
	for _, w := range l {
		if !w.listed || w.Draining {
			continue
		}
		free += w.free().MilliCPU
		for _, a := range w.attempts {
			if !a.task.Spec.LongRunning {
				held += a.task.Spec.Held().MilliCPU
			}
		}
	}
	return float64(free-s.Size.MilliCPU+held) >= reserveFactor*r.milliCPU
}

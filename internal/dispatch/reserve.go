package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// reserveFactor is the part of the recent demand of work that ends which is kept from long-running work.
	reserveFactor = 1.7
	// reserveAtFirst is the part of each worker that is kept before anything is known of that demand.
	reserveAtFirst = 0.08
	// leastReserve and mostReserve bound the part of each worker that is kept.
	leastReserve = 0.02
	mostReserve  = 0.12
	// reserveMemory is the time over which the demand is averaged.
	reserveMemory = 8 * time.Second
	// reserveWait is the time for which a long-running task waits although there is room for two of its size.
	reserveWait = 2 * time.Second
)

// reserve keeps a part of each worker's processors for work that ends.
//
// It answers a fleet that long-running work fills to the last core: short work
// would then wait until some of that is cancelled, though it is worth more for
// the processors that it holds. The part is kept at each worker, where it is
// mostly too small for a long-running task, so that none waits beside room for it.
type reserve struct {
	demand  float64
	seenAt  time.Time
	learned bool
}

// observe takes in the part of the fleet that work that ends holds or waits for.
func (r *reserve) observe(l []*worker, c []candidate, now time.Time) {
	var wanted, room float64
	for _, w := range l {
		room += float64(w.Capacity.MilliCPU)
		for _, a := range w.list {
			if !a.task.Spec.LongRunning {
				wanted += float64(a.task.Spec.Reserved().MilliCPU)
			}
		}
	}
	for _, x := range c {
		if !x.step.LongRunning {
			wanted += float64(x.step.Reserved().MilliCPU * len(x.tasks))
		}
	}
	if room == 0 || wanted == 0 && !r.learned {
		return
	}
	if !r.learned {
		r.learned, r.seenAt, r.demand = true, now, reserveAtFirst/reserveFactor
	}
	part := min(1, float64(now.Sub(r.seenAt))/float64(reserveMemory))
	r.seenAt = now
	r.demand += part * (min(wanted/room, mostReserve) - r.demand)
}

// part returns the part of each worker that is kept.
func (r *reserve) part() float64 {
	if !r.learned {
		return reserveAtFirst
	}
	return min(max(reserveFactor*r.demand, leastReserve), mostReserve)
}

// allows tells whether a long-running task leaves the reserve of a worker.
func (r *reserve) allows(w *worker, s *jobs.Step) bool {
	return float64(w.free().MilliCPU-s.Size.MilliCPU) >= r.part()*float64(w.Capacity.MilliCPU)
}

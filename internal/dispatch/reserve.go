package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// reserveFactor is the ratio of the reserve to the recent demand of run-to-completion tasks.
	reserveFactor = 1.7
	// initialReserve is the fraction of a pool that is reserved before the demand is known.
	initialReserve = 0.08
	// minReserve and maxReserve bound the fraction of a pool that is reserved.
	minReserve = 0.02
	maxReserve = 0.12
	// reserveAveragingTime is the time over which the demand is averaged.
	reserveAveragingTime = 8 * time.Second
	// reserveWaitDuration is the waiting time after which a long-running task may use the reserve, if minTaskCapacity tasks
	// of the same size fit.
	reserveWaitDuration = 2 * time.Second
)

// reserve keeps a fraction of the CPU of each pool free of long-running tasks, for run-to-completion tasks.
//
// Without the reserve, long-running tasks could fill all workers, and
// run-to-completion tasks would wait until a long-running task is cancelled,
// although users value a core more when a run-to-completion task uses it. Since
// long-running tasks are packed on as few workers as possible, the reserve is
// mostly whole workers: a fraction of each worker would have no room for large
// tasks while the fleet is loaded. A long-running task that fits only into the
// reserve may have to wait for reserveWaitDuration.
type reserve struct {
	// demand is the averaged demand of run-to-completion tasks, as a fraction of the CPU of all workers.
	demand     float64
	observedAt time.Time
	// initialized means that the demand is known from an observation or a snapshot.
	initialized bool
	// pools holds the use of each pool in the current plan.
	pools map[string]poolUse
}

// poolUse is the CPU of the workers of a pool that may get tasks, and the CPU of all long-running tasks of the pool, in
// thousandths of a core.
type poolUse struct {
	capacity    int
	longRunning int
}

// begin begins a plan, given all workers and those that may get tasks.
func (r *reserve) begin(all, schedulable []*worker) {
	r.pools = make(map[string]poolUse)
	for _, w := range schedulable {
		u := r.pools[w.Pool]
		u.capacity += w.Capacity.MilliCPU
		r.pools[w.Pool] = u
	}
	for _, w := range all {
		u := r.pools[w.Pool]
		u.longRunning += w.longRunningMilliCPU
		r.pools[w.Pool] = u
	}
}

// add records that the current plan places a long-running task in a pool.
func (r *reserve) add(pool string, s *jobs.Step) {
	u := r.pools[pool]
	u.longRunning += s.Size.MilliCPU
	r.pools[pool] = u
}

// observe updates the demand by the fraction of the CPU of all confirmed workers that run-to-completion tasks reserve or wait for.
func (r *reserve) observe(l []*worker, c []candidateStep, now time.Time) {
	var demand, capacity float64
	for _, w := range l {
		if w.isConfirmed() {
			capacity += float64(w.Capacity.MilliCPU)
		}
		for _, a := range w.attemptList {
			if !a.task.Spec.LongRunning {
				demand += float64(a.task.Spec.Reserved().MilliCPU)
			}
		}
	}
	for _, x := range c {
		if !x.step.LongRunning {
			demand += float64(x.step.Reserved().MilliCPU) * float64(len(x.tasks))
		}
	}
	if capacity == 0 || demand == 0 && !r.initialized {
		return
	}
	if !r.initialized {
		r.initialized, r.observedAt, r.demand = true, now, initialReserve/reserveFactor
	}
	weight := min(1, float64(now.Sub(r.observedAt))/float64(reserveAveragingTime))
	r.observedAt = now
	r.demand += weight * (min(demand/capacity, maxReserve) - r.demand)
}

// fraction returns the fraction of a pool that is reserved.
func (r *reserve) fraction() float64 {
	if !r.initialized {
		return initialReserve
	}
	return min(max(reserveFactor*r.demand, minReserve), maxReserve)
}

// leavesReserve reports whether the reserve of a pool stays free when a long-running task is placed there.
func (r *reserve) leavesReserve(pool string, s *jobs.Step) bool {
	u := r.pools[pool]
	return float64(u.longRunning+s.Size.MilliCPU) <= (1-r.fraction())*float64(u.capacity)
}

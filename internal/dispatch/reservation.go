package dispatch

import (
	"cmp"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// reservationLead is how long before its lease expires a lost long-running task gets a reservation, so that a worker is
	// free when the task may start again.
	reservationLead = 3 * time.Second
	// reservationDelay is the waiting time after which a long-running task without an earlier attempt gets a reservation. Until
	// then run-to-completion tasks, which release their capacity soon, come first.
	reservationDelay = 6 * time.Second
	// maxReservedWorkers is the fraction of the workers that may have a reservation at a time.
	maxReservedWorkers = 0.2
	// maxNewReservationsPerPlan bounds the search for workers in one plan.
	maxNewReservationsPerPlan = 32
	// unknownRemaining is the time that a task is assumed to run on once it has exceeded its estimate, or without an estimate.
	unknownRemaining = 500 * time.Millisecond
)

// reservation keeps the capacity of a worker for a long-running task that fits on no worker now.
type reservation struct {
	ref  jobs.Ref
	size jobs.Resources
	// freeAt is when the task is expected to fit on the worker and may start.
	freeAt time.Time
}

// reservations holds the reservations of a planner by worker ID; a task has at most one.
//
// They answer a full fleet of short tasks: without a reservation the capacity
// that a task frees goes to the next small task each time, so that a large task
// which was lost with its worker waits until the load falls. The task is placed
// where its size becomes free soonest. Until then a worker takes other tasks only
// beside the reserved size, or if they are expected to end before it is free.
type reservations map[string]reservation

// reservationRequest is a long-running task that needs a reservation, and the time before which it can't start.
type reservationRequest struct {
	job   *jobs.Job
	task  *jobs.Task
	after time.Time
}

// updateReservations drops the reservations that no longer apply, and makes new ones for the long-running tasks that wait or
// are about to be released.
func (p *Planner) updateReservations(l []candidateStep, now time.Time) {
	wanted := make(map[jobs.Ref]reservationRequest)
	p.requestForWaiting(wanted, l, now)
	p.requestForLost(wanted, now)
	for id, r := range p.reservations {
		q, ok := wanted[r.ref]
		if !ok || !p.canKeepReservation(id, q, now) {
			delete(p.reservations, id)
			continue
		}
		delete(wanted, r.ref)
	}
	p.reserveWorkers(wanted, now)
}

// requestForWaiting adds the tasks of long-running steps for which the latest plan found no worker, if they had an earlier
// attempt or the step has waited for reservationDelay.
func (p *Planner) requestForWaiting(m map[jobs.Ref]reservationRequest, l []candidateStep, now time.Time) {
	for _, c := range l {
		first, ok := p.waits.since[c.tasks[0].Ref]
		if !ok || !c.step.LongRunning || c.step.Gang {
			continue
		}
		for _, t := range c.tasks {
			if t.Run > 0 || now.Sub(first) >= reservationDelay {
				m[t.Ref] = reservationRequest{c.job, t, now}
			}
		}
	}
}

// requestForLost adds the long-running tasks of unreachable workers whose leases expire within reservationLead.
func (p *Planner) requestForLost(m map[jobs.Ref]reservationRequest, now time.Time) {
	for _, w := range p.workerList {
		if len(w.attempts) == 0 || w.isReachable(now) || w.leaseUntil.Sub(now) > reservationLead {
			continue
		}
		for _, a := range w.attemptList {
			if s := a.task.Spec; s.LongRunning && !s.Gang && !a.job.IsTerminal() {
				m[a.task.Ref] = reservationRequest{a.job, a.task, w.leaseUntil}
			}
		}
	}
}

// canKeepReservation reports whether a reserved worker may still get the task.
func (p *Planner) canKeepReservation(id string, q reservationRequest, now time.Time) bool {
	w := p.workers[id]
	return w != nil && p.isEligible(w, q.job, q.task.Spec, now)
}

// reserveWorkers reserves a worker for each request, the largest tasks first, within the bounds of one plan.
func (p *Planner) reserveWorkers(m map[jobs.Ref]reservationRequest, now time.Time) {
	if len(m) == 0 {
		return
	}
	l := make([]reservationRequest, 0, len(m))
	for _, q := range m {
		l = append(l, q)
	}
	slices.SortFunc(l, func(a, b reservationRequest) int {
		return cmp.Or(cmp.Compare(b.task.Spec.Size.MilliCPU, a.task.Spec.Size.MilliCPU), cmp.Compare(a.task.String(), b.task.String()))
	})
	limit := int(maxReservedWorkers * float64(len(p.workerList)))
	for _, q := range l[:min(len(l), maxNewReservationsPerPlan)] {
		if len(p.reservations) >= limit {
			return
		}
		p.reserveWorker(q, now)
	}
}

// reserveWorker reserves the worker on which a task fits soonest, unless the task fits on a worker at once.
func (p *Planner) reserveWorker(q reservationRequest, now time.Time) {
	c := &candidateStep{job: q.job, step: q.task.Spec, tasks: []*jobs.Task{q.task}}
	var best *worker
	var freeAt time.Time
	for _, w := range p.workerList {
		if _, taken := p.reservations[w.ID]; taken || !p.isEligible(w, q.job, q.task.Spec, now) || p.isAtTaskLimit(w, c, q.task) {
			continue
		}
		at, ok := p.fitsAt(w, q.task.Spec.Reserved(), now)
		if ok && (best == nil || at.Before(freeAt)) {
			best, freeAt = w, at
		}
	}
	if best == nil {
		return
	}
	freeAt = laterOf(freeAt, q.after)
	p.reservations[best.ID] = reservation{ref: q.task.Ref, size: q.task.Spec.Reserved(), freeAt: freeAt}
	p.Logger.Info().Str("Task", q.task.String()).Int("Run", q.task.Run).Str("Worker", best.ID).Int("NeedsMilliCPU", q.task.Spec.Size.MilliCPU).
		Int("FreeMilliCPU", best.free().MilliCPU).Dur("FreeIn", freeAt.Sub(now)).Dur("ReleasedIn", q.after.Sub(now)).Str("Decision", "ReserveWorker").
		Msg("worker reserved for a long-running task that fits on none now")
}

// fitsAt returns when a size is expected to be free on a worker, as its run-to-completion tasks end one after another, and
// false if their ends do not free enough.
func (p *Planner) fitsAt(w *worker, size jobs.Resources, now time.Time) (time.Time, bool) {
	free := w.free()
	if free.CanFit(size) {
		return now, true
	}
	type end struct {
		at   time.Time
		size jobs.Resources
	}
	var l []end
	for _, a := range w.attemptList {
		if !a.task.Spec.LongRunning {
			l = append(l, end{p.expectedEnd(a, now), a.task.Spec.Reserved()})
		}
	}
	slices.SortFunc(l, func(a, b end) int { return a.at.Compare(b.at) })
	for _, e := range l {
		free = free.Plus(e.size)
		if free.CanFit(size) {
			return e.at, true
		}
	}
	return time.Time{}, false
}

// expectedEnd returns when the attempt of a run-to-completion task is expected to end.
func (p *Planner) expectedEnd(a *attempt, now time.Time) time.Time {
	begin := a.confirmedAt
	if begin.IsZero() {
		begin = a.plannedAt
	}
	e := p.runTimes.estimate(a.job.Queue.Name, a.task.Spec)
	return laterOf(begin.Add(e), now.Add(unknownRemaining))
}

// isReservedFor reports whether a worker is reserved for a task.
func (p *Planner) isReservedFor(w *worker, t *jobs.Task) bool {
	r, ok := p.reservations[w.ID]
	return ok && r.ref == t.Ref
}

// leavesReservation reports whether a worker may get a task beside its reservation, if it has one for another task.
func (p *Planner) leavesReservation(w *worker, c *candidateStep, t *jobs.Task, now time.Time) bool {
	r, ok := p.reservations[w.ID]
	if !ok || r.ref == t.Ref {
		return true
	}
	free, size := w.free().Minus(c.step.Reserved()), c.step.Reserved()
	if free.CanFit(r.size) || size.MilliCPU == 0 && size.Accelerators == 0 && free.MemoryMB >= r.size.MemoryMB {
		return true
	}
	return !c.step.LongRunning && !now.Add(p.runTimes.estimate(c.job.Queue.Name, c.step)).After(r.freeAt)
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

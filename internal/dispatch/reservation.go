package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// reservationDelay is the waiting time after which a long-running task without an earlier attempt gets a reservation. Until
	// then run-to-completion tasks, which release their capacity soon, come first.
	reservationDelay = 6 * time.Second
	// maxReservations is the maximum number of reservations as a multiple of the number of workers, and maxReservationsForNew the
	// multiple from which on only interrupted tasks get one.
	maxReservations       = 1.0
	maxReservationsForNew = 0.05
	// maxReservationOverrun is the time after which a reservation lapses in which the task was expected to fit, since the tasks of
	// the worker take longer than expected, and reservationBackoff the time for which the worker then gets no other.
	maxReservationOverrun = 3 * time.Second
	reservationBackoff    = 5 * time.Second
	// maxNewReservationsPerPlan bounds the search for workers in one plan.
	maxNewReservationsPerPlan = 64
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
// They answer a full fleet of short tasks, of which a part is lost with the
// services that run there. Without a reservation the capacity that a task frees
// goes to the next small task each time, and new services take the rest before
// the leases of the lost workers expire, so that a large service waits until the
// load falls. It is placed where its size becomes free soonest. Until then a
// worker takes other tasks only beside the reserved sizes, or if they are
// expected to end before one of them is needed. A reservation that is not used in
// time moves to another worker.
type reservations struct {
	byWorker map[string][]reservation
	// count is the number of reservations.
	count int
	// lapsedAt holds when a reservation on a worker lapsed, by worker ID and for reservationBackoff.
	lapsedAt map[string]time.Time
}

func newReservations() reservations {
	return reservations{byWorker: make(map[string][]reservation), lapsedAt: make(map[string]time.Time)}
}

// of returns the reservation that a task has on a worker, if any.
func (r *reservations) of(worker string, t jobs.Ref) (reservation, bool) {
	for _, x := range r.byWorker[worker] {
		if x.ref == t {
			return x, true
		}
	}
	return reservation{}, false
}

// others returns the total size that is reserved on a worker for other tasks than t, and when the first of it is needed.
func (r *reservations) others(worker string, t jobs.Ref) (jobs.Resources, time.Time) {
	var size jobs.Resources
	var first time.Time
	for _, x := range r.byWorker[worker] {
		if x.ref == t {
			continue
		}
		size = size.Plus(x.size)
		if first.IsZero() || x.freeAt.Before(first) {
			first = x.freeAt
		}
	}
	return size, first
}

// add adds a reservation.
func (r *reservations) add(worker string, x reservation) {
	r.byWorker[worker] = append(r.byWorker[worker], x)
	r.count++
}

// retain drops the reservations for which keep returns false.
func (r *reservations) retain(keep func(worker string, x reservation) bool) {
	r.count = 0
	for id, l := range r.byWorker {
		l = slices.DeleteFunc(l, func(x reservation) bool { return !keep(id, x) })
		r.byWorker[id] = l
		r.count += len(l)
		if len(l) == 0 {
			delete(r.byWorker, id)
		}
	}
}

// reservationRequest is a long-running task that needs a reservation, and the time before which it can't start.
type reservationRequest struct {
	job   *jobs.Job
	task  *jobs.Task
	after time.Time
}

// isInterrupted reports whether the task had an earlier attempt.
func (q *reservationRequest) isInterrupted() bool { return q.task.Run > 0 }

// limit returns the number of reservations, as a multiple of the number of workers, from which on the task gets none.
func (q *reservationRequest) limit() float64 {
	if q.isInterrupted() {
		return maxReservations
	}
	return maxReservationsForNew
}

// updateReservations drops the reservations that no longer apply, and makes new ones for the long-running tasks that wait or
// are about to be released.
func (p *Planner) updateReservations(l []candidateStep, now time.Time) {
	wanted := make(map[jobs.Ref]reservationRequest)
	p.requestForWaiting(wanted, l, now)
	p.requestForLost(wanted, now)
	p.requestForMoved(wanted, now)
	soon := p.releasedSoon(wanted, now)
	maps.DeleteFunc(p.reservations.lapsedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= reservationBackoff })
	p.reservations.retain(func(id string, x reservation) bool {
		q, ok := wanted[x.ref]
		if !ok || !p.canKeepReservation(id, q, now) || p.hasLapsed(id, x, q.task, now) {
			return false
		}
		delete(wanted, x.ref)
		return true
	})
	p.reserveWorkers(wanted, now)
	for _, q := range soon {
		c := &candidateStep{job: q.job, step: q.task.Spec, tasks: []*jobs.Task{q.task}}
		p.requestPermits(q.task, p.takersOf(c, q.task, now), now)
	}
}

// releasedSoon returns the requests for tasks that need a permit and are released within adviceLead, sorted by task. Their permits are
// requested ahead, so that none of them waits for an answer besides.
func (p *Planner) releasedSoon(m map[jobs.Ref]reservationRequest, now time.Time) []reservationRequest {
	var l []reservationRequest
	for _, q := range m {
		if q.job.Queue.NeedsPermit && q.task.State != jobs.TaskWaiting && !now.Add(adviceLead).Before(q.after) {
			l = append(l, q)
		}
	}
	slices.SortFunc(l, func(a, b reservationRequest) int { return cmp.Compare(a.task.String(), b.task.String()) })
	return l
}

// requestForWaiting adds the tasks of long-running steps for which the latest plan found no worker, if they had an earlier
// attempt or the step has waited for reservationDelay. It leaves out tasks that their account's cap does not allow to start,
// and those of jobs beyond the rate of their account, for which no capacity is kept.
func (p *Planner) requestForWaiting(m map[jobs.Ref]reservationRequest, l []candidateStep, now time.Time) {
	requested := make(map[string]jobs.Resources)
	for _, c := range l {
		first, ok := p.waits.since[c.tasks[0].Ref]
		if !ok || !c.step.LongRunning || c.step.Gang || p.accounts.rates.IsBeyond(c.job.ID) {
			continue
		}
		for _, t := range c.tasks {
			if t.Run == 0 && now.Sub(first) < reservationDelay {
				continue
			}
			n := requested[c.job.Account].Plus(c.step.Size)
			if !p.accounts.ledger.Fits(c.job.Account, n) {
				break
			}
			requested[c.job.Account] = n
			m[t.Ref] = reservationRequest{c.job, t, now}
		}
	}
}

// requestForLost adds the long-running tasks of workers that do not respond. They may start again once the leases have expired.
func (p *Planner) requestForLost(m map[jobs.Ref]reservationRequest, now time.Time) {
	for _, w := range p.workerList {
		if len(w.attempts) == 0 || w.isReachable(now) || now.Sub(laterOf(w.lastResponseAt, p.takeoverAt)) < maxResponseAge {
			continue
		}
		for _, a := range w.attemptList {
			if s := a.task.Spec; s.LongRunning && !s.Gang && !a.job.IsTerminal() {
				m[a.task.Ref] = reservationRequest{a.job, a.task, w.leaseUntil}
			}
		}
	}
}

// requestForMoved adds the long-running tasks with a reservation whose attempts are being stopped, so that the tasks move there, or
// that wait since then.
func (p *Planner) requestForMoved(m map[jobs.Ref]reservationRequest, now time.Time) {
	for _, l := range p.reservations.byWorker {
		for _, x := range l {
			j := p.active[x.ref.Job]
			if j == nil || j.IsTerminal() {
				continue
			}
			if t := j.Task(x.ref); p.isStopping(t) || t.State == jobs.TaskWaiting && t.Run > 0 && !t.Suspicion.IsSuspect() && p.accounts.fitsTask(j, t.Spec) {
				m[x.ref] = reservationRequest{j, t, now}
			}
		}
	}
}

// isStopping reports whether an attempt of the task is being stopped.
func (p *Planner) isStopping(t *jobs.Task) bool {
	w := p.workers[t.Worker]
	return w != nil && w.attempts[t.Ref] != nil && w.attempts[t.Ref].stopping
}

// canKeepReservation reports whether a reserved worker may still get the task.
func (p *Planner) canKeepReservation(id string, q reservationRequest, now time.Time) bool {
	w := p.workers[id]
	return w != nil && p.isEligible(w, q.job, q.task.Spec, now)
}

// hasLapsed reports whether a task should have started on its reserved worker long ago, and records that of the worker.
func (p *Planner) hasLapsed(id string, x reservation, t *jobs.Task, now time.Time) bool {
	waitsSince, waits := p.waits.since[x.ref]
	if p.isStopping(t) || t.State == jobs.TaskWaiting && !waits || now.Sub(laterOf(x.freeAt, waitsSince)) < maxReservationOverrun {
		return false
	}
	p.reservations.lapsedAt[id] = now
	p.Logger.Info().Str("Task", x.ref.String()).Str("Worker", id).Dur("Overrun", now.Sub(x.freeAt)).Str("Decision", "ReservationLapsed").Msg("reserved worker did not become free in time")
	return true
}

// reserveWorkers reserves a worker for each request, interrupted tasks first and then the largest, within the bounds of one plan.
func (p *Planner) reserveWorkers(m map[jobs.Ref]reservationRequest, now time.Time) {
	if len(m) == 0 {
		return
	}
	l := make([]reservationRequest, 0, len(m))
	for _, q := range m {
		l = append(l, q)
	}
	slices.SortFunc(l, func(a, b reservationRequest) int {
		return cmp.Or(boolOrder(a.isInterrupted(), b.isInterrupted()), cmp.Compare(b.task.Spec.Size.MilliCPU, a.task.Spec.Size.MilliCPU), cmp.Compare(a.task.String(), b.task.String()))
	})
	for _, q := range l[:min(len(l), maxNewReservationsPerPlan)] {
		if float64(p.reservations.count) >= q.limit()*float64(len(p.workerList)) {
			return
		}
		p.reserveWorker(q, now)
	}
}

// reserveWorker reserves the worker on which a task fits soonest.
func (p *Planner) reserveWorker(q reservationRequest, now time.Time) {
	c := &candidateStep{job: q.job, step: q.task.Spec, tasks: []*jobs.Task{q.task}}
	var best *worker
	var freeAt time.Time
	for _, w := range p.workerList {
		if !p.mayReserve(w, c, now) {
			continue
		}
		others, _ := p.reservations.others(w.ID, q.task.Ref)
		at, ok := p.fitsAt(w, others.Plus(q.task.Spec.Reserved()), now)
		if ok && (best == nil || at.Before(freeAt)) {
			best, freeAt = w, at
		}
	}
	if best == nil {
		return
	}
	freeAt = laterOf(freeAt, q.after)
	p.reservations.add(best.ID, reservation{ref: q.task.Ref, size: q.task.Spec.Reserved(), freeAt: freeAt})
	p.Logger.Info().Str("Task", q.task.String()).Int("Run", q.task.Run).Str("Worker", best.ID).Int("NeedsMilliCPU", q.task.Spec.Size.MilliCPU).
		Int("FreeMilliCPU", best.free().MilliCPU).Dur("FreeIn", freeAt.Sub(now)).Dur("ReleasedIn", q.after.Sub(now)).Str("Decision", "ReserveWorker").
		Msg("worker reserved for a long-running task that fits on none now")
}

// mayReserve reports whether a worker may be reserved for the task of a step, whatever its free capacity is.
func (p *Planner) mayReserve(w *worker, c *candidateStep, now time.Time) bool {
	if _, lapsed := p.reservations.lapsedAt[w.ID]; lapsed || !p.isEligible(w, c.job, c.step, now) || p.isAtTaskLimit(w, c, c.tasks[0]) {
		return false
	}
	return !c.job.Queue.NeedsPermit || p.adviceOf(c.ref()).mayBePermitted(w)
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

// isReservedFor reports whether a worker is reserved for a task.
func (p *Planner) isReservedFor(w *worker, t *jobs.Task) bool {
	_, ok := p.reservations.of(w.ID, t.Ref)
	return ok
}

// sortReservedFirst moves the tasks of a long-running step that fit on a worker that is reserved for them before the others, after
// which the plan may find no worker.
func (p *Planner) sortReservedFirst(c *candidateStep) {
	if !c.step.LongRunning || p.reservations.count == 0 {
		return
	}
	fits := make(map[jobs.Ref]bool)
	for id, l := range p.reservations.byWorker {
		for _, x := range l {
			if w := p.workers[id]; w != nil && w.free().CanFit(x.size) {
				fits[x.ref] = true
			}
		}
	}
	slices.SortStableFunc(c.tasks, func(a, b *jobs.Task) int { return boolOrder(fits[a.Ref], fits[b.Ref]) })
}

// leavesReservations reports whether a worker may get a task beside its reservations for other tasks.
func (p *Planner) leavesReservations(w *worker, c *candidateStep, t *jobs.Task, now time.Time) bool {
	reserved, first := p.reservations.others(w.ID, t.Ref)
	if first.IsZero() {
		return true
	}
	free, size := w.free().Minus(c.step.Reserved()), c.step.Reserved()
	if free.CanFit(reserved) || size.MilliCPU == 0 && size.Accelerators == 0 && free.MemoryMB >= reserved.MemoryMB {
		return true
	}
	return !c.step.LongRunning && !now.Add(p.runTimes.Remaining(c.job.Queue.Name, c.step, 0)).After(first)
}

// leavesMoved reports whether a worker may get a task beside its reservations for tasks whose attempts are being stopped so that
// they move there.
func (p *Planner) leavesMoved(w *worker, c *candidateStep, t *jobs.Task) bool {
	var size jobs.Resources
	for _, x := range p.reservations.byWorker[w.ID] {
		j := p.active[x.ref.Job]
		if x.ref != t.Ref && j != nil && p.isStopping(j.Task(x.ref)) {
			size = size.Plus(x.size)
		}
	}
	return size == (jobs.Resources{}) || w.free().Minus(c.step.Reserved()).CanFit(size)
}

// boolOrder compares two booleans so that true comes first.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

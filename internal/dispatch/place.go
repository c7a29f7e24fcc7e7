package dispatch

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

// Plan decides on starts, stops, speed limits, relocations and maintenance; TakeChanges returns the resulting orders.
func (p *Planner) Plan(now time.Time) {
	p.ExpireLeases(now)
	p.repeatStops(now)
	p.expireBindings(now)
	l := p.candidateSteps(now)
	p.reserve.observe(p.workerList, p.withinCaps(l), now)
	p.detectStragglers(now)
	p.limitRestoredIsolation(now)
	p.schedulable = p.schedulableWorkers(now)
	p.reserve.begin(p.workerList, p.schedulable)
	p.isolation.begin(p.workerList, p.schedulable)
	p.unplaceable = make(map[placementClass]jobs.Resources)
	p.waits.begin(now)
	p.racks.begin()
	p.overdue.begin(p.schedulable, now)
	p.updateReservations(l, now)
	p.beginShares(l, now)
	p.placeSteps(l, now)
	p.waiting = countWaiting(p.withinCaps(l))
	p.accounts.recordWaiting(l)
	p.drainWorkers(now)
	p.rescheduleFromStragglers(now)
	p.advanceWaves(now)
	p.adjustThrottles(now)
	p.relocateThrottled(now)
	p.sendAdviceRequests(now)
	p.logModel(now)
	p.logHolds(now)
	p.observeInterruptions(now)
	p.observeExclusions(now)
}

// placeCandidate assigns the ready tasks of a step, and returns those that may run only isolated, nil if there are none.
func (p *Planner) placeCandidate(c *candidateStep, now time.Time) *candidateStep {
	if p.passOverAtCap(c, now) || p.putOff(c) {
		return nil
	}
	var later *candidateStep
	if c.job.HasSuspicions() {
		later = p.placeSuspects(c, now)
	}
	switch {
	case len(c.tasks) == 0:
	case c.step.Gang:
		p.placeGang(c, now)
	default:
		p.placeStep(c, now)
	}
	return later
}

// countWaiting returns the number of the steps' tasks that still wait for a worker. It is given the steps within the caps of their accounts.
func countWaiting(l []candidateStep) int {
	n := 0
	for _, c := range l {
		for _, t := range c.tasks {
			if t.State == jobs.TaskWaiting {
				n++
			}
		}
	}
	return n
}

// repeatStops orders another stop for each stopping attempt whose latest stop call was sent stopRetryInterval ago or
// earlier.
func (p *Planner) repeatStops(now time.Time) {
	for _, w := range p.workerList {
		for _, a := range w.attemptList {
			if a.stopping && a.phase != phasePlanned && now.Sub(a.stopSentAt) >= stopRetryInterval {
				p.sendStop(w, a, now)
			}
		}
	}
}

// placeStep assigns the ready tasks of a step in turn, until no worker can take the next task or the account is at its cap.
func (p *Planner) placeStep(c *candidateStep, now time.Time) {
	if p.passOverAtCap(c, now) {
		return
	}
	if p.isUnplaceable(c, c.tasks[0]) {
		p.recordSkip(c, now)
		p.claimRack(c, c.tasks, now)
		p.placeOverdue(c, c.tasks[0], now)
		return
	}
	p.sortReservedFirst(c)
	l := p.rateWorkers(c, now)
	var r *rating
	for i, t := range c.tasks {
		if p.passOverAtCap(c, now) {
			return
		}
		if p.putOff(c) {
			c.tasks = c.tasks[i:]
			return
		}
		if p.placeBound(c, t, now) {
			r = nil
			continue
		}
		// While tasks only wait for their rack, the best worker elsewhere stays the same.
		if r == nil || len(t.FailedAt) > 0 {
			r = p.findWorker(c, t, l, now)
		}
		if r == nil {
			r = p.findWorkerByCapacity(c, t, l, now)
		}
		if r == nil {
			p.recordWaits(c, c.tasks[i:], now)
			p.claimRack(c, c.tasks[i:], now)
			p.placeOverdue(c, t, now)
			return
		}
		p.waits.remove(t)
		if p.waitsForRack(c, t, r.worker, now) {
			if len(t.FailedAt) > 0 {
				r = nil
			}
			continue
		}
		p.assign(c.job, t, r.worker, now)
		var e exclusion
		r.score, e = p.score(r.worker, c, now)
		r.eligible = e == notExcluded
		r = nil
	}
}

// findWorker returns the best of the rated workers for a task, or nil if none can take the task.
//
// Workers on which the task failed, and workers for a long-running task that
// would use the reserve of their pool, are considered only if no other has capacity. So
// are avoided workers, for a long-running task, which may fail any number of
// times, after avoidedWorkerDelay. A
// run-to-completion task then waits for failedWorkerRetryDelay before it may
// return to a worker on which it failed, and a long-running task may use the
// reserve only if mayUseReserve allows it.
func (p *Planner) findWorker(c *candidateStep, t *jobs.Task, l []rating, now time.Time) *rating {
	if r := p.selectWorker(c, t, l, constraints{keepReserve: c.step.LongRunning, avoidFailed: true}, now); r != nil {
		return r
	}
	waited := p.waits.record(t, now)
	x := constraints{
		keepReserve: c.step.LongRunning && !p.mayUseReserve(c, t, waited, now),
		avoidFailed: !c.step.LongRunning && waited < failedWorkerRetryDelay,
	}
	p.logWait(wait{step: c, task: t, constraints: x, waited: waited}, now)
	if r := p.selectWorker(c, t, l, x, now); r != nil || !c.step.LongRunning || waited < avoidedWorkerDelay {
		return r
	}
	return p.selectWorker(c, t, p.rateAvoidedWorkers(c, now), x, now)
}

// rateAvoidedWorkers rates the workers that may run a step but for the failed attempts there.
func (p *Planner) rateAvoidedWorkers(c *candidateStep, now time.Time) []rating {
	var l []rating
	for _, w := range p.workerList {
		if p.workerExclusion(w, now) != excludedAvoided {
			continue
		}
		if s, e := p.rate(w, c, now); e == notExcluded {
			l = append(l, rating{w, s, true})
		}
	}
	return l
}

// mayUseReserve reports whether a long-running task that would use the reserve on every worker with capacity may do so:
// the task has waited for reserveWaitDuration or had an earlier attempt, and at least minTaskCapacity tasks of its step
// fit on the workers.
func (p *Planner) mayUseReserve(c *candidateStep, t *jobs.Task, waited time.Duration, now time.Time) bool {
	return (t.Run > 0 || waited >= reserveWaitDuration) && p.taskCapacity(c, t, now) >= minTaskCapacity
}

// minTaskCapacity is the number of tasks of a step that must fit on the workers before a long-running task of the step may
// use the reserve, which is the CPU that a pool keeps free for run-to-completion tasks.
const minTaskCapacity = 2

// taskCapacity returns the number of tasks of the step that fit into the free CPU of eligible workers, the reserve included.
func (p *Planner) taskCapacity(c *candidateStep, t *jobs.Task, now time.Time) int {
	n := 0
	for _, w := range p.workerList {
		if p.isEligible(w, c.job, c.step, now) && p.hasRoom(w, c, t, now) {
			n += w.free().MilliCPU / max(c.step.Size.MilliCPU, 1)
		}
	}
	return n
}

// assign starts an attempt of a task on a worker, unless the account's cap or the job does not allow it.
func (p *Planner) assign(j *jobs.Job, t *jobs.Task, w *worker, now time.Time) {
	if p.isBoundElsewhere(t, w) || !p.accounts.fitsTask(j, t.Spec) || !j.Assign(t, w.ID, w.Incarnation, now) {
		return
	}
	p.orderStart(j, t, w, now)
}

// orderStart adds the attempt of an assigned task and the order to start it.
func (p *Planner) orderStart(j *jobs.Job, t *jobs.Task, w *worker, now time.Time) {
	a := &attempt{job: j, task: t, run: t.Run, incarnation: w.Incarnation, plannedAt: now, resumed: t.Checkpoint != "", speedPercent: fullSpeed}
	w.add(a)
	if t.Spec.LongRunning {
		p.reserve.add(w.Pool, t.Spec)
	}
	p.dirty[j.ID] = j
	delete(p.accounts.cappedSince, j.ID)
	p.recordRackStart(j, t, w, now)
	x, _ := p.permitFor(w, j, stepRef(t), now)
	p.orders = append(p.orders, Order{
		Ref: t.Ref, Kind: OrderStart, Run: t.Run, Worker: w.ID, Address: w.Address, Incarnation: w.Incarnation, Payload: j.Payload, Checkpoint: t.Checkpoint, Permit: x,
	})
	e := p.Logger.Info().Str("Task", t.String()).Int("Run", t.Run).Str("Worker", w.ID).Int64("Life", w.Incarnation).Str("Decision", "Start").
		Int("FreeMilliCPU", w.free().MilliCPU).Int("FreeMemoryMB", w.free().MemoryMB).Dur("ReportAge", now.Sub(w.lastResponseAt)).Dur("JobAge", now.Sub(j.SubmittedAt))
	p.views.logStart(e, now).Msg("task placed on worker")
}

// rating is the score of a worker for the tasks of a step.
type rating struct {
	worker *worker
	score  float64
	// eligible means that the worker may get another task of the step.
	eligible bool
}

// rateWorkers rates the workers that may run a step, once for all tasks of the step.
func (p *Planner) rateWorkers(c *candidateStep, now time.Time) []rating {
	l := p.ratings[:0]
	for _, w := range p.schedulable {
		if s, e := p.rate(w, c, now); e == notExcluded {
			l = append(l, rating{w, s, true})
		}
	}
	p.ratings = l
	return l
}

// constraints exclude workers from a selection.
type constraints struct {
	// keepReserve excludes workers of pools in which the task would use the reserve, and avoidFailed those on which it failed.
	keepReserve bool
	avoidFailed bool
	// byCapacity lets the task use capacity that is reserved for other tasks.
	byCapacity bool
}

// selectWorker returns the best of the rated workers within the constraints. If no worker can take the task, it records
// this for later steps of the plan and returns nil.
func (p *Planner) selectWorker(c *candidateStep, t *jobs.Task, l []rating, x constraints, now time.Time) *rating {
	var best *rating
	for i := range l {
		r := &l[i]
		if !r.eligible || best != nil && (r.score < best.score || r.score == best.score && r.worker.ID > best.worker.ID) {
			continue
		}
		if p.taskExclusion(r.worker, c, t, x, now) == notExcluded {
			best = r
		}
	}
	if best == nil {
		p.recordUnplaceable(c, t)
	}
	return best
}

// placementClass groups best-effort tasks that the same workers can run, apart from differences in size.
type placementClass struct {
	pool  string
	image string
}

// isUnplaceable reports whether this plan found no worker for a best-effort task of the same class that is at most as large
// as the given task. It returns false for a task that failed before.
func (p *Planner) isUnplaceable(c *candidateStep, t *jobs.Task) bool {
	n, ok := p.unplaceable[placementClass{c.job.Queue.Pool, c.step.Image}]
	return ok && c.step.BestEffort && len(t.FailedAt) == 0 && c.step.Size.CanFit(n)
}

// recordUnplaceable records that no worker was found for a best-effort task. It ignores a task whose label, MaxPerWorker,
// queue, earlier failures or lost workers exclude workers that other tasks of the class could use.
func (p *Planner) recordUnplaceable(c *candidateStep, t *jobs.Task) {
	s := c.step
	if !s.BestEffort || len(t.FailedAt) > 0 || t.Suspicion.Losses > 0 || p.isBound(t) || s.Label != "" || s.MaxPerWorker > 0 || c.job.Queue.NeedsPermit {
		return
	}
	k := placementClass{c.job.Queue.Pool, s.Image}
	if n, ok := p.unplaceable[k]; !ok || n.CanFit(s.Size) {
		p.unplaceable[k] = s.Size
	}
}

// schedulableWorkers returns the workers that may get new tasks in this plan.
func (p *Planner) schedulableWorkers(now time.Time) []*worker {
	l := make([]*worker, 0, len(p.workers))
	for _, w := range p.workerList {
		if p.isSchedulable(w, now) {
			l = append(l, w)
		}
	}
	return l
}

// isSchedulable reports whether a worker may get new tasks.
func (p *Planner) isSchedulable(w *worker, now time.Time) bool {
	return p.workerExclusion(w, now) == notExcluded
}

// isEligible reports whether a worker may get tasks of a step, whatever its free capacity is.
func (p *Planner) isEligible(w *worker, j *jobs.Job, s *jobs.Step, now time.Time) bool {
	return p.isSchedulable(w, now) && stepExclusion(w, j, s) == notExcluded
}

// isAtTaskLimit reports whether the worker holds MaxPerWorker tasks of the step, if the step sets that limit.
func (p *Planner) isAtTaskLimit(w *worker, c *candidateStep, t *jobs.Task) bool {
	if c.step.MaxPerWorker == 0 {
		return false
	}
	n := 0
	for r := range w.attempts {
		if r.Job == t.Job && r.Step == t.Step && r.Occurrence == t.Occurrence {
			n++
		}
	}
	return n >= c.step.MaxPerWorker
}

// dataRackBonus is the score of a worker for being in the rack of the step's data. It exceeds any other difference in
// score, so that these workers come first.
const dataRackBonus = 10.0

// score rates a worker for a task of the step; higher is better. It returns the reason if the task must not run on the worker.
func (p *Planner) score(w *worker, c *candidateStep, now time.Time) (float64, exclusion) {
	s := 0.0
	if c.step.DataRack != "" && slices.Contains(w.Labels, c.step.DataRack) {
		s += dataRackBonus
	}
	if c.step.BestEffort {
		f, e := p.bestEffortScore(w, c, now)
		return s + f, e
	}
	if c.step.TailBound > 0 {
		return s + p.serviceScore(w, c), notExcluded
	}
	f := w.free()
	s += w.fraction(float64(f.MilliCPU))
	return s, notExcluded
}

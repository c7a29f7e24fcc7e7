package dispatch

import (
	"math"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/incarnation"
	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/lease"
)

const (
	// maxFailedAttempts is the number of consecutive failed attempts after which a worker is avoided for failureBackoff.
	maxFailedAttempts = 3
	// failureBackoff is the time for which a worker with too many failed attempts is avoided.
	failureBackoff = 6 * time.Second
	// unhealthyBackoff is the time for which a worker that refused a start as unhealthy gets no new tasks.
	unhealthyBackoff = 1500 * time.Millisecond
	// defaultRefusalBackoff is the time for which a worker that refused a start for any other reason gets no new tasks.
	defaultRefusalBackoff = 300 * time.Millisecond
)

// HandleReport applies a report of a worker. It ignores reports of earlier incarnations, for which it returns false, and
// reports to calls that were sent before that of the latest applied report.
func (p *Planner) HandleReport(r Report, now time.Time) bool {
	w := p.worker(r.Worker)
	switch w.present.OfResponse(r.Incarnation, r.RequestedAt) {
	case incarnation.Earlier:
		w.staleIncarnation = r.Incarnation
		return false
	case incarnation.Later:
		p.startIncarnation(w, r.Incarnation, now)
	case incarnation.Same:
	}
	if r.RequestedAt.Before(w.lastRequestedAt) {
		p.settleCalls(w, r, now)
		return true
	}
	w.lastRequestedAt = r.RequestedAt
	if !w.synced {
		p.Logger.Info().Str("Worker", w.ID).Str("Decision", "WorkerInTouch").Int64("Life", w.Incarnation).Int("Running", len(r.Running)).Int("Ended", len(r.Finished)).Msg("first response of worker to this owner in its incarnation, or since its lease expired")
	}
	if !w.fenced {
		// From now on the worker refuses calls of earlier owners, so that the leases of earlier owners were granted before now.
		w.fenced = true
		w.leaseUntil = laterOf(w.overlongUntil, earlier(w.leaseUntil, p.leaseExpiry(now)))
	}
	if r.OverlongLease {
		p.extendLease(w, []lease.Call{{Reason: lease.ReasonSync, SentAt: r.RequestedAt, EndsAt: now}}, now)
	}
	p.settleCalls(w, r, now)
	w.synced, w.failedCalls, w.lastResponseAt, w.staleIncarnation = true, 0, now, 0
	p.withdrawLosses(w, r.RequestedAt)
	p.recordCompleteness(w, r)
	p.handleEnds(w, r.Finished, now)
	w.clearOrphans()
	present := make(map[jobs.Ref]int, len(r.Running))
	for _, x := range r.Running {
		present[x.Ref] = x.Run
		p.handleRunning(w, x, now)
	}
	p.releaseMissing(w, present, r.RequestedAt, now)
	p.recordProgress(w, now)
	p.observeInterference(w, now)
	p.logSamples(w, now)
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// handleEnds applies the finished attempts of a report, and acknowledges those up to the first that is to be repeated.
func (p *Planner) handleEnds(w *worker, l []FinishedAttempt, now time.Time) {
	repeatFrom := int64(math.MaxInt64)
	for _, e := range l {
		if !p.handleFinished(w, e, now) {
			repeatFrom = min(repeatFrom, e.Number)
		}
	}
	for _, e := range l {
		if e.Number < repeatFrom {
			w.ackNumber = max(w.ackNumber, e.Number)
		}
	}
}

// handleFinished applies a finished attempt, and reports whether it may be acknowledged.
func (p *Planner) handleFinished(w *worker, e FinishedAttempt, now time.Time) bool {
	a := w.attempts[e.Ref]
	if a == nil || a.run != e.Run {
		return p.handleReleasedEnd(w, e, now)
	}
	w.remove(a)
	p.guard(a.job, func() { p.finishAttempt(w, a, e, now) })
	return true
}

// finishAttempt records the outcome of an attempt that was removed from its worker.
func (p *Planner) finishAttempt(w *worker, a *attempt, e FinishedAttempt, now time.Time) {
	if e.Checkpoint == "" && e.Outcome == jobs.OutcomeStopped {
		e.Checkpoint = a.task.Checkpoint
	}
	outcome := e.Outcome
	if _, ok := p.releasedEnd(a.job, a.task); ok {
		outcome = jobs.OutcomeDone
	}
	a.job.FinishAttempt(a.task, e.Run, outcome, e.Checkpoint)
	p.dropReleasedEnds(a.job, a.task)
	p.dirty[a.job.ID] = a.job
	p.Logger.Info().Str("Task", e.String()).Int("Run", e.Run).Str("Worker", w.ID).Int64("End", e.Number).Str("Decision", "End").Str("How", string(e.Outcome)).Int("Failures", a.task.Failures).Msg("attempt finished")
	p.recordOutcome(w, a, e.Outcome, now)
	if a.task.Spec.Gang && outcome == jobs.OutcomeDone {
		p.removeFinishedGang(a)
	}
	p.finalizeJob(a.job, now)
}

// removeFinishedGang removes the attempts of the other members of a gang that is done.
func (p *Planner) removeFinishedGang(a *attempt) {
	for _, t := range a.job.Tasks[a.task.Occurrence][a.task.Step] {
		for _, w := range p.workerList {
			if b := w.attempts[t.Ref]; b != nil && t.State == jobs.TaskDone {
				w.remove(b)
			}
		}
	}
}

// recordOutcome updates the worker's failure count, the step's progress rate and the queue's run times by the
// outcome of an attempt.
func (p *Planner) recordOutcome(w *worker, a *attempt, outcome jobs.AttemptOutcome, now time.Time) {
	switch outcome {
	case jobs.OutcomeDone:
		w.failedAttempts = 0
		p.proveStep(a)
		p.recordCompletion(a, now)
		p.recordRunTime(w, a, now)
	case jobs.OutcomeFailed:
		w.failedAttempts++
		if w.failedAttempts >= maxFailedAttempts {
			w.avoidUntil = now.Add(failureBackoff)
			w.failedAttempts = maxFailedAttempts - 1
			p.Logger.Warn().Str("Worker", w.ID).Str("Decision", "Avoid").Int("Failures", maxFailedAttempts).Time("Until", w.avoidUntil).Msg("too many consecutive failed attempts, worker gets no new tasks for which there is another worker")
		}
	case jobs.OutcomeStopped, jobs.OutcomeExpired, jobs.OutcomePeerLost, jobs.OutcomeIncomplete:
	}
}

// finalizeJob stops the remaining attempts of a job in a terminal state, and drops the job's planning state and tasks once
// no attempt is left.
func (p *Planner) finalizeJob(j *jobs.Job, now time.Time) {
	if !j.IsTerminal() {
		return
	}
	if j.Assigned() > 0 {
		p.stopAll(j, "job finished", now)
		return
	}
	p.Logger.Info().Str("Job", j.ID).Str("Decision", "JobOver").Str("State", string(j.State())).Dur("Age", now.Sub(j.SubmittedAt)).Msg("job finished")
	p.waits.removeJob(j)
	p.racks.removeJob(j)
	delete(p.overdue.jobs, j.ID)
	p.accounts.finishJob(j)
	p.removeRates(j)
	p.removeAdvice(j)
	p.isolation.removeJob(j)
	j.Compact()
	delete(p.active, j.ID)
}

// handleRunning applies an attempt that a worker reports as running. An orphan, which the planner does not hold, is stopped.
func (p *Planner) handleRunning(w *worker, x RunningAttempt, now time.Time) {
	a := w.attempts[x.Ref]
	if a == nil || a.run != x.Run {
		if j := p.jobs[x.Job]; j != nil && x.Step >= 0 && x.Step < len(j.Steps) {
			w.addOrphan(x.Ref, j, &j.Steps[x.Step])
		}
		p.stopOrphan(w, x, now)
		return
	}
	a.reported = true
	p.recordJobStart(a)
	if a.phase != phaseRunning {
		a.phase = phaseRunning
		a.confirmedAt = now
	}
	if x.Checkpoint != "" && x.Checkpoint != a.task.Checkpoint {
		a.job.RecordCheckpoint(a.task, x.Checkpoint)
	}
	a.sample, a.progressPercent, a.sampledAt = x.Sample, min(max(x.ProgressPercent, 0), fullSpeed), now
	p.clearSuspicion(w, a, now)
}

// recordJobStart records that a worker has started a task of a job; until then the job is published as pending.
func (p *Planner) recordJobStart(a *attempt) {
	if a.job.RecordStart() {
		p.dirty[a.job.ID] = a.job
	}
}

// stopOrphan orders the stop of an orphan: an attempt that a worker reports as running and that the planner does not hold.
// It does nothing if another stop of an orphan on the worker was ordered less than stopRetryInterval ago.
func (p *Planner) stopOrphan(w *worker, x RunningAttempt, now time.Time) {
	if now.Sub(w.orphanStopAt) < stopRetryInterval {
		return
	}
	w.orphanStopAt = now
	p.Logger.Warn().Str("Task", x.String()).Int("Run", x.Run).Str("Worker", w.ID).Str("Decision", "StopStray").Msg("worker runs an orphan, an attempt that the planner does not hold; stopping it")
	p.orders = append(p.orders, Order{Ref: x.Ref, Kind: OrderStop, Run: x.Run, Worker: w.ID, Address: w.Address})
}

// releaseMissing releases the attempts that are missing from a report and are known not to run, unless a later report may tell how
// they ended.
func (p *Planner) releaseMissing(w *worker, present map[jobs.Ref]int, requestedAt, now time.Time) {
	for _, a := range slices.Clone(w.attemptList) {
		if r, ok := present[a.task.Ref]; ok && r == a.run {
			continue
		}
		if p.isKnownAbsent(w, a, requestedAt) && !p.isEndAwaited(w, a) {
			if a.restored && a.incarnation != w.Incarnation {
				// The worker crashed before this owner knew it; how long the attempt had run is not known.
				p.suspect(a, jobs.Loss{Worker: w.ID, Address: w.Address, Incarnation: a.incarnation, Crashed: true}, now)
				p.recordRestart(w)
			}
			p.bind(w, a, now)
			p.release(w, a, "worker does not report the attempt", now)
			p.finalizeJob(a.job, now)
		}
	}
}

// isKnownAbsent reports whether an attempt that is missing from a report does not run and can no longer start.
func (p *Planner) isKnownAbsent(w *worker, a *attempt, requestedAt time.Time) bool {
	switch {
	case p.mayStartLate(a, requestedAt) && !p.isLateStartRefused(a, requestedAt):
		return false
	case !a.stopAcceptedAt.IsZero() && requestedAt.After(a.stopAcceptedAt):
		return true
	case a.phase == phaseRunning:
		return requestedAt.After(a.confirmedAt)
	case a.restored:
		// The report responds to a call with the fencing token of this owner, so that the worker refuses starts of earlier
		// owners from now on.
		return true
	case a.incarnation == w.Incarnation && !a.startableUntil.IsZero():
		// A start names the end of its lease by the clock of the incarnation, which refuses it from then on.
		return requestedAt.After(a.startableUntil)
	}
	return false
}

// HandleStartResult handles the result of a start order.
func (p *Planner) HandleStartResult(o Order, x OrderResult, now time.Time) {
	w := p.workers[o.Worker]
	if w != nil && x != ResultNotSent {
		w.answersNoOrder = x == ResultUnknown
	}
	if w != nil && x == ResultUnknown {
		p.raiseFence(w)
	}
	if w == nil || w.attempts[o.Ref] == nil || w.attempts[o.Ref].run != o.Run {
		return
	}
	a := w.attempts[o.Ref]
	switch x {
	case ResultAccepted:
		p.recordJobStart(a)
		if a.phase == phaseStarting {
			a.phase = phaseRunning
			a.confirmedAt = now
		}
	case ResultRefused, ResultNoCapacity, ResultUnhealthy:
		w.backoffUntil = now.Add(refusalBackoff(x))
		p.dropStart(w, a, "start refused", now)
	case ResultNotSent:
		p.dropStart(w, a, "start not sent", now)
	case ResultUnknown:
		w.recordFailedCall(false, now)
		if !a.reported {
			p.stopUnconfirmed(w, a, now)
		}
	}
}

// stopUnconfirmed stops an attempt whose start got no response and may have been executed, or may still be.
func (p *Planner) stopUnconfirmed(w *worker, a *attempt, now time.Time) {
	if a.phase == phaseStarting {
		a.phase = phaseUncertain
	}
	a.startableUntil = p.leaseExpiry(now)
	a.sentAt = now
	p.stop(w, a, "no response to start", now)
	p.stopGang(a, "state of another member of the gang is unknown", now)
}

// dropStart releases the attempt of a start that was not and will not be executed, and stops the other members of its gang.
func (p *Planner) dropStart(w *worker, a *attempt, reason string, now time.Time) {
	p.release(w, a, reason, now)
	p.stopGang(a, "another member of the gang was not started", now)
	p.finalizeJob(a.job, now)
}

// stopGang stops all assigned members of the gang of an attempt, if any, since no member can run without the others.
func (p *Planner) stopGang(a *attempt, reason string, now time.Time) {
	if !a.task.Spec.Gang {
		return
	}
	for _, t := range a.job.Tasks[a.task.Occurrence][a.task.Step] {
		w := p.workers[t.Worker]
		if t.State == jobs.TaskAssigned && w != nil && w.attempts[t.Ref] != nil {
			p.stop(w, w.attempts[t.Ref], reason, now)
		}
	}
}

// refusalBackoff returns the time for which a worker that refused a start gets no new tasks.
func refusalBackoff(x OrderResult) time.Duration {
	if x == ResultUnhealthy {
		return unhealthyBackoff
	}
	return defaultRefusalBackoff
}

// HandleStopResult handles the result of a stop order; a stop that was not accepted by the present incarnation of the worker
// is repeated by repeatStops.
func (p *Planner) HandleStopResult(o Order, x OrderResult, now time.Time) {
	w := p.workers[o.Worker]
	if w != nil && x == ResultAccepted {
		w.answersNoOrder = false
	}
	if w == nil || w.attempts[o.Ref] == nil || w.attempts[o.Ref].run != o.Run || x != ResultAccepted || o.Incarnation != w.Incarnation {
		return
	}
	a := w.attempts[o.Ref]
	if a.stopAcceptedAt.IsZero() {
		a.stopAcceptedAt = now
	}
}

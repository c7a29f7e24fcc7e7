package dispatch

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// strikesToAvoid is the number of failed attempts in a row, without a success, that marks a worker as bad.
	strikesToAvoid = 3
	// avoidAfterFailures is how long a bad worker gets nothing new.
	avoidAfterFailures = 6 * time.Second
	// avoidUnhealthy is how long a worker that calls itself unhealthy gets nothing new.
	avoidUnhealthy = 1500 * time.Millisecond
	// avoidFull is how long a worker that was found full gets nothing new.
	avoidFull = 300 * time.Millisecond
)

// Report takes in what a worker said of itself.
func (p *Planner) Report(r Report, now time.Time) {
	w := p.worker(r.Worker)
	switch {
	case r.Incarnation < w.Incarnation:
		return
	case r.Incarnation > w.Incarnation:
		if w.Incarnation != 0 {
			p.newLife(w, r.Incarnation, now)
		}
		w.Incarnation = r.Incarnation
	}
	if r.RequestedAt.Before(w.askedAt) {
		return
	}
	w.askedAt = r.RequestedAt
	if !w.synced {
		p.Logger.Info().Str("Worker", w.ID).Str("Decision", "WorkerInTouch").Int64("Life", w.Incarnation).Int("Running", len(r.Running)).Int("Ended", len(r.Finished)).Msg("worker answers")
	}
	if !w.fenced {
		// From now on the worker refuses earlier owners, so that only what they granted before counts.
		w.fenced = true
		w.leaseUntil = earlier(w.leaseUntil, p.leaseEnd(now))
	}
	w.synced, w.failures, w.contactAt = true, 0, now
	for _, e := range r.Finished {
		p.ended(w, e, now)
		w.ackable = max(w.ackable, e.Number)
	}
	present := make(map[jobs.Ref]int, len(r.Running))
	for _, x := range r.Running {
		present[x.Ref] = x.Run
		p.running(w, x, now)
	}
	p.missing(w, present, r.RequestedAt)
	p.noteProgress(w, now)
	p.learnPressure(w, now)
	p.logFigures(w, now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (p *Planner) ended(w *worker, e FinishedAttempt, now time.Time) {
	a := w.attempts[e.Ref]
	if a == nil || a.run != e.Run {
		return
	}
	w.remove(a)
	if e.Checkpoint == "" && e.Outcome == jobs.OutcomeStopped {
		e.Checkpoint = a.task.Checkpoint
	}
	a.job.FinishAttempt(a.task, e.Run, e.Outcome, e.Checkpoint)
	p.dirty[a.job.ID] = a.job
	p.Logger.Info().Str("Task", e.String()).Int("Run", e.Run).Str("Worker", w.ID).Int64("End", e.Number).Str("Decision", "End").Str("How", string(e.Outcome)).Int("Failures", a.task.Failures).Msg("attempt ended")
	p.judge(w, a, e.Outcome, now)
	if a.task.Spec.Gang && e.Outcome == jobs.OutcomeDone {
		p.endGang(a)
	}
	p.settle(a.job, now)
}

// endGang forgets the attempts of the other members of a gang that is done.
func (p *Planner) endGang(a *attempt) {
	for _, t := range a.job.Tasks[a.task.Occurrence][a.task.Step] {
		for _, w := range p.list {
			if b := w.attempts[t.Ref]; b != nil && t.State == jobs.TaskDone {
				w.remove(b)
			}
		}
	}
}

// judge learns from the end of an attempt about its worker and its kind of work.
func (p *Planner) judge(w *worker, a *attempt, how jobs.AttemptOutcome, now time.Time) {
	switch how {
	case jobs.OutcomeDone:
		w.strikes = 0
		p.noteDone(a, now)
		if a.task.Checkpoint == "" && a.phase == phaseRunning && !w.speed.slow {
			p.learned.learn(a.job.Queue.Name, a.task.Spec, now.Sub(a.confirmedAt))
		}
	case jobs.OutcomeFailed:
		w.strikes++
		if w.strikes >= strikesToAvoid {
			w.avoidUntil = now.Add(avoidAfterFailures)
			w.strikes = strikesToAvoid - 1
			p.Logger.Warn().Str("Worker", w.ID).Str("Decision", "Avoid").Int("Failures", strikesToAvoid).Time("Until", w.avoidUntil).Msg("worker fails what it starts")
		}
	case jobs.OutcomeStopped, jobs.OutcomeExpired, jobs.OutcomePeerLost, jobs.OutcomeIncomplete:
	}
}

// settle follows up the end of a job.
func (p *Planner) settle(j *jobs.Job, now time.Time) {
	if !j.IsTerminal() {
		return
	}
	if j.Assigned() > 0 {
		p.stopAll(j, "its job is over", now)
		return
	}
	p.Logger.Info().Str("Job", j.ID).Str("Decision", "JobOver").Str("State", string(j.State())).Dur("Age", now.Sub(j.SubmittedAt)).Msg("job has ended")
	p.waits.forget(j)
	p.forgetRates(j)
	j.Compact()
	delete(p.active, j.ID)
}

func (p *Planner) running(w *worker, x RunningAttempt, now time.Time) {
	a := w.attempts[x.Ref]
	if a == nil || a.run != x.Run {
		p.stray(w, x, now)
		return
	}
	a.reported = true
	p.confirmed(a)
	if a.phase != phaseRunning {
		a.phase = phaseRunning
		a.confirmedAt = now
	}
	if x.Checkpoint != "" && x.Checkpoint != a.task.Checkpoint {
		a.task.Checkpoint = x.Checkpoint
	}
	a.load, a.percent, a.loadAt = x.Sample, x.ProgressPercent, now
}

// confirmed notes that a worker has started a task; a job of which nothing was started is told as waiting.
func (p *Planner) confirmed(a *attempt) {
	if a.job.Confirm() {
		p.dirty[a.job.ID] = a.job
	}
}

// stray stops what runs at a worker without an attempt that the planner knows of.
func (p *Planner) stray(w *worker, x RunningAttempt, now time.Time) {
	if now.Sub(w.actedAt) < stopEvery {
		return
	}
	w.actedAt = now
	p.Logger.Warn().Str("Task", x.String()).Int("Run", x.Run).Str("Worker", w.ID).Str("Decision", "StopStray").Msg("worker runs an attempt that is not known")
	p.orders = append(p.orders, Order{Ref: x.Ref, Kind: OrderStop, Run: x.Run, Worker: w.ID, Address: w.Address})
}

// missing takes back the attempts that a worker should have listed and did not.
func (p *Planner) missing(w *worker, present map[jobs.Ref]int, askedAt time.Time) {
	for _, a := range slices.Clone(w.list) {
		if r, ok := present[a.task.Ref]; ok && r == a.run {
			continue
		}
		if p.isSurelyAbsent(a, askedAt) {
			p.release(w, a, "not present at its worker")
			p.settle(a.job, askedAt)
		}
	}
}

// isSurelyAbsent tells whether an attempt that a report does not list can never run again.
func (p *Planner) isSurelyAbsent(a *attempt, askedAt time.Time) bool {
	switch {
	case !a.stopAnsweredAt.IsZero() && askedAt.After(a.stopAnsweredAt):
		return true
	case a.phase == phaseRunning:
		return askedAt.After(a.confirmedAt)
	case a.inherited:
		// The report answers a call with the fence of this owner, so that starts of earlier owners are refused from now on.
		return true
	}
	return false
}

// HandleStartResult takes in the outcome of a start.
func (p *Planner) HandleStartResult(o Order, x OrderResult, now time.Time) {
	w := p.workers[o.Worker]
	if w == nil || w.attempts[o.Ref] == nil || w.attempts[o.Ref].run != o.Run {
		return
	}
	a := w.attempts[o.Ref]
	switch x {
	case ResultAccepted:
		p.confirmed(a)
		if a.phase == phaseStarting {
			a.phase = phaseRunning
			a.confirmedAt = now
		}
	case ResultRefused, ResultNoCapacity, ResultUnhealthy:
		p.release(w, a, "start refused")
		w.avoidUntil = now.Add(avoidFor(x))
		p.stopGang(a, "another member of the gang was refused", now)
		p.settle(a.job, now)
	case ResultUnknown:
		if a.phase == phaseStarting {
			a.phase = phaseUncertain
		}
		w.failures++
		p.stop(w, a, "start without an answer", now)
		p.stopGang(a, "another member of the gang is uncertain", now)
	}
}

// stopGang stops the other members of the gang of an attempt, which cannot work without it.
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

func avoidFor(x OrderResult) time.Duration {
	if x == ResultUnhealthy {
		return avoidUnhealthy
	}
	return avoidFull
}

// HandleStopResult takes in the outcome of a stop.
func (p *Planner) HandleStopResult(o Order, x OrderResult, now time.Time) {
	w := p.workers[o.Worker]
	if w == nil || w.attempts[o.Ref] == nil || w.attempts[o.Ref].run != o.Run || x != ResultAccepted {
		return
	}
	a := w.attempts[o.Ref]
	if a.stopAnsweredAt.IsZero() {
		a.stopAnsweredAt = now
	}
}

package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// startWindow is the run time up to which an attempt may have crashed its worker by starting.
	startWindow = 500 * time.Millisecond
	// instantWindow is the run time up to which the start of an attempt and the loss of its worker are hardly a coincidence, even
	// if other workers were lost at the same time.
	instantWindow = 100 * time.Millisecond
)

// blame records the loss of a worker with the tasks that may have caused it. shared means that other workers were lost with it,
// so that only an attempt that had just started, or that this owner has not seen running, counts as the cause of a crash.
func (p *Planner) blame(w *worker, crashed, shared bool, now time.Time) {
	for _, a := range w.suspects(shared, p.isLeaving(w)) {
		l := jobs.Loss{Worker: w.ID, Address: w.Address, Incarnation: a.incarnation, Isolated: a.isolated, AtStart: w.isAtStart(a), RanFor: w.provenRun(a)}
		isCause := !shared || a.isUnseen() || l.AtStart && l.RanFor < instantWindow
		l.Crashed = crashed && isCause
		p.suspect(a, l, now)
	}
}

// suspect records the loss of a worker with the task of an attempt that may have caused it.
func (p *Planner) suspect(a *attempt, l jobs.Loss, now time.Time) {
	a.job.RecordLoss(a.task, l)
	p.isolation.addLoss(a.task, l.Worker)
	p.isolation.forgetOldLosses(a.task)
	if l.AtStart {
		delete(p.isolation.provenSteps, stepRef(a.task))
	}
	p.dirty[a.job.ID] = a.job
	p.delaySuspect(a.job, a.task, l.AtStart, now)
	p.logSuspect(a, l, now)
}

// withdrawLosses takes back what counts against tasks for the loss of a worker that responds, in the incarnation in which it was
// lost, to a call that was sent after the loss was counted: it has not crashed and was only out of touch.
func (p *Planner) withdrawLosses(w *worker, requestedAt time.Time) {
	l := p.isolation.lostUnder[w.ID]
	if len(l) == 0 || p.recentLosses[w.ID].countedAt.After(requestedAt) {
		return
	}
	delete(p.isolation.lostUnder, w.ID)
	for _, r := range l {
		j := p.jobs[r.Job]
		if j == nil || j.Task(r) == nil {
			continue
		}
		t := j.Task(r)
		if n := j.WithdrawLosses(t, w.ID, w.Incarnation); n > 0 {
			p.dirty[j.ID] = j
			p.endSuspicion(t)
			p.Logger.Info().Str("Task", t.String()).Str("Worker", w.ID).Int("Withdrawn", n).Int("Losses", t.Suspicion.Losses).
				Str("Decision", "WithdrawLoss").Msg("worker that was lost under a task responds again, so that its loss no longer counts")
		}
	}
}

// logSuspect logs that a worker was lost under an attempt that may be the cause.
func (p *Planner) logSuspect(a *attempt, l jobs.Loss, now time.Time) {
	s := &a.task.Suspicion
	p.Logger.Warn().Str("Task", a.task.String()).Int("Run", a.run).Str("Worker", l.Worker).Dur("RanFor", l.RanFor).Bool("AtStart", l.AtStart).Bool("Isolated", l.Isolated).Bool("Crashed", l.Crashed).
		Int("Losses", s.Losses).Int("Crashes", s.Crashes).Int("IsolatedLosses", s.Isolated).Int("DistinctWorkers", s.DistinctWorkers()).
		Bool("ProbableCause", s.IsProbableCause()).Dur("RetryIn", max(0, p.isolation.retryAt[a.task.Ref].Sub(now))).Str("Decision", "Suspect").Msg("worker was lost under a task that may be the cause")
}

// isLeaving reports whether a worker is about to end, or has ended, by a decision of operators or the platform.
func (p *Planner) isLeaving(w *worker) bool {
	return w.Draining || w.takenDown || p.cordons[w.ID] != nil
}

// suspects returns the attempts that may have caused the loss of their worker. A worker that was about to leave is lost by that,
// unless an attempt had just started.
func (w *worker) suspects(shared, leaving bool) []*attempt {
	var l []*attempt
	for _, a := range w.attemptList {
		if a.phase == phasePlanned || w.wasSilentBefore(a) || a.restored && w.Incarnation != 0 && a.incarnation > w.Incarnation || w.isolated > 0 && !a.isolated {
			continue
		}
		if w.isAtStart(a) || !leaving && (a.isUnseen() || !shared && w.provenRun(a) < jobs.MaxSuspectRun) {
			l = append(l, a)
		}
	}
	return l
}

// wasSilentBefore reports whether the worker had not responded before the start of an attempt was sent, and has not confirmed it
// since: the attempt did not run there.
func (w *worker) wasSilentBefore(a *attempt) bool {
	return w.failedCalls > 0 && a.confirmedAt.IsZero() && w.silentSince.Before(a.orderedAt)
}

// isUnseen reports whether an earlier owner planned the attempt and its worker has not responded to this owner since, so that it
// is not known for how long the attempt had run.
func (a *attempt) isUnseen() bool { return a.restored && a.confirmedAt.IsZero() }

// isAtStart reports whether an attempt of this owner is not known to have run for startWindow.
func (w *worker) isAtStart(a *attempt) bool { return w.provenRun(a) < startWindow && !a.isUnseen() }

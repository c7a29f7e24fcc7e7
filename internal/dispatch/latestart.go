package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/lease"
)

const (
	// maxStartLateness is the time after the sending of a start for which its attempt is kept where workers start again under their
	// IDs. The next incarnation may execute the start for longer, until lease.MaxLateness; for the rest of that time, the task is bound
	// to the worker, where it may run.
	maxStartLateness = 5 * time.Second
)

// mayStartLate reports whether the call that starts an attempt may have been executed by an incarnation of the worker after the
// given time, although the present one runs nothing of it and refuses it.
//
// The worker may crash at any time, and its next incarnation knows neither a stop
// nor a fencing token. An attempt that the worker has confirmed is no longer in
// doubt, since its start was sent only once. An attempt of a finished job does
// not run again, so that a late start of it is stopped as an orphan.
func (p *Planner) mayStartLate(a *attempt, at time.Time) bool {
	return a.phase != phaseRunning && !a.job.IsTerminal() && at.Before(p.lateStartEnd(a))
}

// lateStartEnd returns the time from which no later incarnation executes the start of an attempt.
func (p *Planner) lateStartEnd(a *attempt) time.Time {
	if a.restored {
		end := p.lastGrantAt().Add(maxStartLateness)
		if x, ok := p.lateStarts[a.task.Ref]; ok && x.run == a.run {
			return earlier(end, x.endAt)
		}
		return end
	}
	return a.sentAt.Add(maxStartLateness)
}

// bindingEnd returns the time until which a task is bound to the worker of a start without a response: from then on no incarnation
// executes the start. A start of an earlier owner is older than what is known of its sending, and is bound no longer than it is kept.
func (p *Planner) bindingEnd(a *attempt) time.Time {
	if a.restored {
		return p.lateStartEnd(a)
	}
	return a.sentAt.Add(lease.MaxLateness)
}

// ReportDueAt returns from when on a report of a worker decides whether a start without a response is over, zero if there is no such
// start or if another condition has to be met before. It may have passed.
func (p *Planner) ReportDueAt(worker string) time.Time {
	var due time.Time
	w := p.workers[worker]
	if w == nil {
		return due
	}
	for _, a := range w.attemptList {
		if a.phase != phaseUncertain || a.job.IsTerminal() {
			continue
		}
		t := p.lateStartEnd(a)
		if !a.stopAcceptedAt.IsZero() && !a.task.Spec.Gang && !p.WorkersRestart {
			t = a.stopAcceptedAt
		}
		if due.IsZero() || t.Before(due) {
			due = t
		}
	}
	return due
}

// isLateStartRefused reports whether the present incarnation of the worker refuses the start of an attempt, if it runs nothing of it:
// it has accepted a stop, whose token is higher, or a call of an owner after the one that sent the start.
func (p *Planner) isLateStartRefused(a *attempt, requestedAt time.Time) bool {
	return !p.WorkersRestart && !a.task.Spec.Gang && (a.restored || !a.stopAcceptedAt.IsZero() && requestedAt.After(a.stopAcceptedAt))
}

// recordRestart records that a worker has started again under its ID, so that the others may as well.
func (p *Planner) recordRestart(w *worker) {
	if p.WorkersRestart {
		return
	}
	p.WorkersRestart = true
	p.Logger.Info().Str("Worker", w.ID).Str("Decision", "WorkersRestart").Msg("a worker has started again under its ID; from now on the task of a start without a response is kept until no incarnation can execute the start")
}

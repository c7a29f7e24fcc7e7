package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

// logHolds logs the workers that do not respond and at which the planner holds attempts, at most once per waitLogInterval and
// worker. A worker that responds is logged while its lease is withheld, since its attempts then end with the lease.
func (p *Planner) logHolds(now time.Time) {
	for _, w := range p.workerList {
		if len(w.attempts) == 0 || w.isReachable(now) || now.Sub(w.holdLoggedAt) < waitLogInterval {
			continue
		}
		d := p.heldFor(w, now)
		if d < waitLogInterval && !w.leaseWithheld {
			continue
		}
		w.holdLoggedAt = now
		e := p.Logger.Info().Str("Worker", w.ID).Int("Attempts", len(w.attempts)).Bool("Listed", w.listed).Int("FailedCalls", w.failedCalls).
			Dur("HeldFor", d).Dur("LeaseLeft", max(0, w.leaseUntil.Sub(now))).Bool("LeaseWithheld", w.leaseWithheld)
		if !w.lastResponseAt.IsZero() {
			e.Dur("ReportAge", now.Sub(w.lastResponseAt))
		}
		e.Str("Decision", "Hold").Msg("worker does not respond; its attempts are kept until its lease has certainly expired")
	}
}

// heldFor returns the time since the takeover or the last response of a worker, whichever is later.
func (p *Planner) heldFor(w *worker, now time.Time) time.Duration {
	t := p.takeoverAt
	if w.lastResponseAt.After(t) {
		t = w.lastResponseAt
	}
	return max(0, now.Sub(t))
}

// HeldAttempts returns the number of attempts, and how many of them are at workers that the platform does not list.
func (p *Planner) HeldAttempts() (total, unlisted int) {
	for _, w := range p.workerList {
		total += len(w.attempts)
		if !w.listed {
			unlisted += len(w.attempts)
		}
	}
	return total, unlisted
}

// Idle counts the tasks that should run and, as far as the planner knows, do not, and the workers that are kept for one task.
type Idle struct {
	// Held counts the attempts at workers that do not respond.
	Held int
	// Waiting counts the tasks whose turn has come and for which the latest plan found no worker, or that wait for their rack.
	Waiting int
	// SetAside counts the jobs that are set aside.
	SetAside int
	// Isolating counts the workers that run a task isolated.
	Isolating int
	// ProbableCauses counts the tasks that probably are what their lost workers crashed by.
	ProbableCauses int
}

// Idle returns the counts for the state after the latest plan.
func (p *Planner) Idle(now time.Time) Idle {
	x := Idle{Waiting: p.waiting, SetAside: len(p.aside)}
	for _, w := range p.workerList {
		if w.isolated > 0 {
			x.Isolating++
		}
		if !w.isReachable(now) {
			x.Held += len(w.attempts)
		}
	}
	for _, j := range p.active {
		j.ForEachSuspicion(func(t *jobs.Task) {
			if t.Suspicion.IsProbableCause() {
				x.ProbableCauses++
			}
		})
	}
	return x
}

package dispatch

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

// exclusion is the reason for which a worker may not get a task.
type exclusion uint8

// The reasons, in the order in which they are looked for: those of the worker, of the step on the worker, of one task, and of the account.
const (
	notExcluded exclusion = iota
	// excludedOldView to excludedAvoided exclude a worker from all tasks.
	excludedOldView
	excludedUnlisted
	excludedDraining
	excludedCordoned
	excludedDomain
	excludedEntry
	excludedStale
	excludedSilent
	excludedPartialReport
	excludedBackoff
	excludedIsolating
	excludedAvoided
	// excludedPool to excludedInterference exclude a worker from all tasks of a step.
	excludedPool
	excludedLabel
	excludedStraggler
	excludedCapacity
	excludedPermit
	excludedSpareCPU
	excludedInterference
	// excludedBound to excludedUnanswered exclude a worker from the next task of a step.
	excludedBound
	excludedTaskLimit
	excludedReservation
	excludedReserve
	excludedFailed
	excludedUnanswered
	// excludedCap excludes all workers from the tasks of a step, since the account of its job is at its cap.
	excludedCap
	exclusionCount
)

// exclusionNames holds the fields in which a Wait line counts the workers with each reason.
var exclusionNames = [exclusionCount]string{
	"Takers", "OldView", "NotListed", "DrainingWorker", "Cordoned", "DrainedDomain", "EntryOfEarlierIncarnation", "StaleIncarnation", "Silent", "PartialReport", "Backoff", "Isolating", "Avoided", "OtherPool", "OtherLabel", "Straggler",
	"NoCapacity", "NoPermit", "NoSpareCPU", "Interference", "BoundElsewhere", "TaskLimit", "Reservation", "Reserve", "FailedThere", "Unanswered", "AtCap",
}

// String returns the field of the Wait lines that counts the workers with the reason.
func (e exclusion) String() string { return exclusionNames[e] }

// viewExclusion returns the reason for which a worker may not get any task by what the planner knows from the store. Three
// separate conditions concern the end of a worker: Draining (the platform shuts the worker down), cordoned (the instance of
// the worker is due for maintenance), and drainedDomains (operators drained the failure domain).
func (p *Planner) viewExclusion(w *worker, now time.Time) exclusion {
	if p.areViewsOutdated(now) {
		return excludedOldView
	}
	if e := p.departureExclusion(w); e != notExcluded {
		return e
	}
	if w.hasEntryOfEarlierIncarnation(now) {
		return excludedEntry
	}
	return notExcluded
}

// departureExclusion returns the reason for which a worker may not get any task since it has left or is to leave.
func (p *Planner) departureExclusion(w *worker) exclusion {
	switch {
	case !w.listed:
		return excludedUnlisted
	case w.Draining:
		return excludedDraining
	case p.cordons[w.ID] != nil:
		return excludedCordoned
	case p.drainedDomains[w.FailureDomain]:
		return excludedDomain
	}
	return notExcluded
}

// workerExclusion returns the reason for which a worker may not get any task now.
func (p *Planner) workerExclusion(w *worker, now time.Time) exclusion {
	if e := p.viewExclusion(w, now); e != notExcluded {
		return e
	}
	switch {
	case w.staleIncarnation != 0:
		return excludedStale
	case !w.isReachable(now):
		return excludedSilent
	case w.moreFinished:
		return excludedPartialReport
	case now.Before(w.backoffUntil):
		return excludedBackoff
	case w.isolated > 0:
		return excludedIsolating
	case now.Before(w.avoidUntil):
		return excludedAvoided
	}
	return notExcluded
}

// stepExclusion returns the reason for which a worker may not get the tasks of a step, whatever runs on the worker.
func stepExclusion(w *worker, j *jobs.Job, s *jobs.Step) exclusion {
	switch {
	case w.Pool != j.Queue.Pool:
		return excludedPool
	case !w.hasLabel(s.Label):
		return excludedLabel
	case !w.isFastEnough(s):
		return excludedStraggler
	}
	return notExcluded
}

// offerExclusion returns the reason for which a schedulable worker may not get any of the step's tasks now, whatever its score
// would be.
func (p *Planner) offerExclusion(w *worker, c *candidateStep, now time.Time) exclusion {
	if e := stepExclusion(w, c.job, c.step); e != notExcluded {
		return e
	}
	if !w.free().CanFit(c.step.Reserved()) {
		return excludedCapacity
	}
	if _, ok := p.permitFor(w, c.job, c.ref(), now); !ok {
		return excludedPermit
	}
	return notExcluded
}

// rate returns the score of a schedulable worker for the tasks of a step, or the reason for which the worker may not get them.
func (p *Planner) rate(w *worker, c *candidateStep, now time.Time) (float64, exclusion) {
	if e := p.offerExclusion(w, c, now); e != notExcluded {
		return 0, e
	}
	return p.score(w, c, now)
}

// taskExclusion returns the reason within the constraints for which a rated worker may not get one more task of the step.
func (p *Planner) taskExclusion(w *worker, c *candidateStep, t *jobs.Task, x constraints, now time.Time) exclusion {
	switch {
	case !w.free().CanFit(c.step.Reserved()):
		return excludedCapacity
	case p.isBoundElsewhere(t, w):
		return excludedBound
	case p.isAtTaskLimit(w, c, t):
		return excludedTaskLimit
	case !x.byCapacity && !p.leavesReservations(w, c, t, now), x.byCapacity && !p.leavesMoved(w, c, t):
		return excludedReservation
	case x.keepReserve && !p.isReservedFor(w, t) && !p.reserve.leavesReserve(w.Pool, c.step):
		return excludedReserve
	case x.avoidFailed && slices.Contains(t.FailedAt, w.ID):
		return excludedFailed
	case x.avoidFailed && w.answersNoOrder && c.step.LongRunning:
		return excludedUnanswered
	}
	return notExcluded
}

// hasRoom reports whether an eligible worker has capacity for one more task of the step, the reserve included.
func (p *Planner) hasRoom(w *worker, c *candidateStep, t *jobs.Task, now time.Time) bool {
	return p.taskExclusion(w, c, t, constraints{}, now) == notExcluded
}

// explain returns the first reason for which a worker may not get a task within the constraints. For a gang, which is placed
// without scores, it is the reason for one member.
func (p *Planner) explain(w *worker, c *candidateStep, t *jobs.Task, x constraints, now time.Time) exclusion {
	if !p.accounts.fits(c) {
		return excludedCap
	}
	if e := p.workerExclusion(w, now); e != notExcluded {
		return e
	}
	if c.step.Gang {
		return p.offerExclusion(w, c, now)
	}
	if _, e := p.rate(w, c, now); e != notExcluded {
		return e
	}
	return p.taskExclusion(w, c, t, x, now)
}

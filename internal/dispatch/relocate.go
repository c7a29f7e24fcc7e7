package dispatch

import "time"

const (
	// relocationSpeedPercent is the speed limit at or below which a best-effort task should run on another worker.
	relocationSpeedPercent = 60
	// maxSlowDuration is the time at a speed limit of at most relocationSpeedPercent after which a task is relocated, unless
	// one of the longer times below applies.
	maxSlowDuration = 900 * time.Millisecond
	// nearlyDonePercent is the progress from which a task with checkpoints is relocated only after maxSlowDurationNearlyDone
	// instead of maxSlowDuration.
	nearlyDonePercent = 85
	// maxSlowDurationNearlyDone applies to tasks with checkpoints from nearlyDonePercent of progress, and
	// maxSlowDurationRestart to tasks without checkpoints from 15 percent (100 - nearlyDonePercent), since a relocation would
	// lose their progress. The latter applies also to overdue tasks that are all that their job runs.
	maxSlowDurationNearlyDone = 2500 * time.Millisecond
	maxSlowDurationRestart    = 4 * time.Second
	// maxRelocationsPerPlan bounds the number of tasks that one plan relocates.
	maxRelocationsPerPlan = 4
	// relocationInterval is the least time between two plans that relocate tasks.
	relocationInterval = 200 * time.Millisecond
)

// relocateThrottled stops best-effort tasks that are throttled because they interfere with co-located services, if another
// worker is expected to run them faster. The stopped tasks are then placed again.
//
// Tasks that were placed before the interference was learned would otherwise
// stay throttled until the co-located services finish.
func (p *Planner) relocateThrottled(now time.Time) {
	if now.Sub(p.relocatedAt) < relocationInterval {
		return
	}
	p.relocatedAt = now
	n := 0
	for _, w := range p.workerList {
		for _, a := range w.attemptList {
			if n == maxRelocationsPerPlan {
				return
			}
			if !isThrottledTooLong(a, now) || !p.hasFasterWorker(w, a, now) {
				continue
			}
			p.stop(w, a, "throttled for co-located services; another worker can run it", now)
			n++
		}
	}
}

// isThrottledTooLong reports whether a best-effort task has run at a speed limit of at most relocationSpeedPercent for longer
// than the maximum time for its progress. An unknownSpeed counts as such a speed limit.
func isThrottledTooLong(a *attempt, now time.Time) bool {
	if !a.task.Spec.BestEffort || a.phase != phaseRunning || a.stopping || a.speedPercent > relocationSpeedPercent {
		return false
	}
	limit := maxSlowDuration
	// The value of fullSpeed also stands for 100 percent of progress.
	switch {
	case a.isSoleOverdue(), !a.task.Spec.Checkpoints && a.progressPercent >= fullSpeed-nearlyDonePercent:
		limit = maxSlowDurationRestart
	case a.progressPercent >= nearlyDonePercent:
		limit = maxSlowDurationNearlyDone
	}
	return now.Sub(a.throttledSince) > limit
}

// hasFasterWorker reports whether another worker has capacity for the task and is expected to run it at minExpectedSpeed
// or more.
func (p *Planner) hasFasterWorker(w *worker, a *attempt, now time.Time) bool {
	return p.workerElsewhereIf(w, a, func(o *worker, c *candidateStep) bool {
		_, e := p.bestEffortScore(o, c, now)
		return e == notExcluded
	}, now) != nil
}

package dispatch

import "time"

const (
	// slowPace is the pace below which a best-effort task is better off elsewhere, in percent.
	slowPace = 60
	// slowFor is the time at a slow pace after which a task is moved.
	slowFor = 900 * time.Millisecond
	// nearlyDone is the percentage of its work beyond which a task is given longer.
	nearlyDone = 85
	// slowForNearlyDone is that time for a task with checkpoints, and slowForWhole for one that begins anew by a move.
	slowForNearlyDone = 2500 * time.Millisecond
	slowForWhole      = 4 * time.Second
	// relocationsPerPlan bounds the tasks that one plan moves.
	relocationsPerPlan = 4
	// relocateEvery is the time between two plans that move tasks.
	relocateEvery = 200 * time.Millisecond
)

// relocate stops best-effort tasks that are held at a slow pace beside services on which they press, so that they
// resume at a worker where they do not.
//
// It answers the time in which pressures were not known yet: tasks placed then
// would stand still until their neighbours leave.
func (p *Planner) relocate(now time.Time) {
	if now.Sub(p.relocatedAt) < relocateEvery {
		return
	}
	p.relocatedAt = now
	n := 0
	for _, w := range p.list {
		for _, a := range w.list {
			if n == relocationsPerPlan {
				return
			}
			if !isHeldBack(a, now) || !p.hasBetterPlace(w, a, now) {
				continue
			}
			p.stop(w, a, "held back beside services; another worker is free for it", now)
			n++
		}
	}
}

// isHeldBack tells whether a best-effort task has been slow for longer than a move costs it.
func isHeldBack(a *attempt, now time.Time) bool {
	if !a.task.Spec.BestEffort || a.phase != phaseRunning || a.stopping || a.pace > slowPace {
		return false
	}
	limit := slowFor
	switch {
	case !a.task.Spec.Checkpoints && a.percent >= fullPace-nearlyDone:
		limit = slowForWhole
	case a.percent >= nearlyDone:
		limit = slowForNearlyDone
	}
	return now.Sub(a.slowSince) > limit
}

// hasBetterPlace tells whether another worker would take the task at its speed.
func (p *Planner) hasBetterPlace(w *worker, a *attempt, now time.Time) bool {
	c := &candidate{job: a.job, step: a.task.Spec}
	for _, o := range p.list {
		if o == w || !p.isEligible(o, a.job, a.task.Spec, now) || !o.free().CanFit(a.task.Spec.Reserved()) || p.isCrowded(o, c, a.task) {
			continue
		}
		if _, ok := p.bestEffortScore(o, c, now); ok {
			return true
		}
	}
	return false
}

package dispatch

import "time"

const (
	// slowPace is the pace below which a best-effort task is better off elsewhere, in percent.
	slowPace = 60
	// slowFor is the time at a slow pace after which a task is moved.
	slowFor = 900 * time.Millisecond
	// relocatedDone is the percentage of its work beyond which a task stays where it is.
	relocatedDone = 85
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
	for _, w := range p.workers {
		for _, a := range w.attempts {
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

// isHeldBack tells whether a best-effort task has been slow for a while and loses little by a move.
func isHeldBack(a *attempt, now time.Time) bool {
	if !a.task.Spec.BestEffort || a.phase != phaseRunning || a.stopping || a.pace > slowPace {
		return false
	}
	cheap := a.task.Spec.Checkpoints || a.percent < 100-relocatedDone
	return cheap && a.percent < relocatedDone && now.Sub(a.slowSince) > slowFor
}

// hasBetterPlace tells whether another worker would take the task at its speed.
func (p *Planner) hasBetterPlace(w *worker, a *attempt, now time.Time) bool {
	c := &candidate{job: a.job, step: a.task.Spec}
	for _, o := range p.workers {
		if o == w || !p.isEligible(o, a.job, a.task.Spec, now) || !o.free().Holds(a.task.Spec.Held()) || p.isCrowded(o, c, a.task) {
			continue
		}
		if _, ok := p.bestEffortScore(o, c, now); ok {
			return true
		}
	}
	return false
}

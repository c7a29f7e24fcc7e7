package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

// atWorkAfter is the time after its confirmation from which a long-running task counts as being at work.
const atWorkAfter = 1500 * time.Millisecond

// vacate moves long-running tasks away from workers that leave, before these end them.
func (p *Planner) vacate(now time.Time) {
	for _, w := range p.list {
		if !w.Draining {
			continue
		}
		for _, a := range w.list {
			if a.task.Spec.LongRunning && !a.stopping && a.phase == phaseRunning && p.hasRoomElsewhere(w, a, now) {
				p.stop(w, a, "its worker leaves", now)
			}
		}
	}
}

// hasRoomElsewhere tells whether another worker has room for a task.
func (p *Planner) hasRoomElsewhere(w *worker, a *attempt, now time.Time) bool {
	c := &candidate{job: a.job, step: a.task.Spec}
	for _, o := range p.list {
		if o != w && !o.cordoned && p.isEligible(o, a.job, a.task.Spec, now) && o.free().CanFit(a.task.Spec.Reserved()) && !p.isCrowded(o, c, a.task) {
			return true
		}
	}
	return false
}

// isSpareable tells whether planned work may take a task away: enough others of its step are at work.
func (p *Planner) isSpareable(a *attempt, now time.Time) bool {
	s := a.task.Spec
	if s.MaxUnavailable == 0 {
		return true
	}
	away := 0
	for _, t := range a.job.Tasks[a.task.Occurrence][a.task.Step] {
		if t != a.task && !p.isAtWork(t, now) {
			away++
		}
	}
	return away < s.MaxUnavailable
}

func (p *Planner) isAtWork(t *jobs.Task, now time.Time) bool {
	w := p.workers[t.Worker]
	if t.State != jobs.TaskAssigned || w == nil {
		return false
	}
	a := w.attempts[t.Ref]
	return a != nil && a.phase == phaseRunning && !a.stopping && now.Sub(a.confirmedAt) > atWorkAfter && w.isReachable(now)
}

package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

// drainWorkers stops long-running tasks on draining workers, which the platform shuts down, once another worker has
// capacity for them. The tasks thus move before the draining worker ends them. The capacity is reserved, so that no other task is
// stopped for it.
func (p *Planner) drainWorkers(now time.Time) {
	for _, w := range p.workerList {
		if !w.Draining {
			continue
		}
		for _, a := range w.attemptList {
			if !a.task.Spec.LongRunning || a.stopping || a.phase != phaseRunning {
				continue
			}
			if o := p.workerElsewhere(w, a, now); o != nil {
				p.stop(w, a, "worker is draining", now)
				p.reservations.add(o.ID, reservation{ref: a.task.Ref, size: a.task.Spec.Reserved(), freeAt: now})
			}
		}
	}
}

// hasCapacityElsewhere reports whether another worker than w can take the task of an attempt.
func (p *Planner) hasCapacityElsewhere(w *worker, a *attempt, now time.Time) bool {
	return p.workerElsewhere(w, a, now) != nil
}

// workerElsewhere returns another worker than w that may get the task of an attempt and has capacity for it. It returns nil if there
// is none, or if the account's cap does not allow another start once the attempt has stopped.
func (p *Planner) workerElsewhere(w *worker, a *attempt, now time.Time) *worker {
	return p.workerElsewhereIf(w, a, func(*worker, *candidateStep) bool { return true }, now)
}

// workerElsewhereIf is workerElsewhere among the workers that suit. A worker that needs a permit of the placement advisor has to have
// one, since the task would be stopped for nothing if the advisor refused it. If only such workers suit, permits are requested for them.
func (p *Planner) workerElsewhereIf(w *worker, a *attempt, suits func(*worker, *candidateStep) bool, now time.Time) *worker {
	if p.accounts.isOverCap(a.job) {
		return nil
	}
	c := &candidateStep{job: a.job, step: a.task.Spec}
	var unpermitted []*worker
	for _, o := range p.workerList {
		if o == w || !p.isEligible(o, a.job, a.task.Spec, now) || !p.hasRoom(o, c, a.task, now) || !suits(o, c) {
			continue
		}
		if _, ok := p.permitFor(o, a.job, stepRef(a.task), now); ok {
			return o
		}
		unpermitted = append(unpermitted, o)
	}
	if len(unpermitted) > 0 {
		p.requestPermits(a.task, unpermitted, now)
	}
	return nil
}

// isWithinDisruptionBudget reports whether maintenance may stop a task: the number of other tasks of its step that are
// unavailable (not serving) is less than MaxUnavailable. A MaxUnavailable of 0 sets no limit.
func (p *Planner) isWithinDisruptionBudget(a *attempt, now time.Time) bool {
	s := a.task.Spec
	if s.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for _, t := range a.job.Tasks[a.task.Occurrence][a.task.Step] {
		if t != a.task && !p.isServing(t, now) {
			unavailable++
		}
	}
	return unavailable < s.MaxUnavailable
}

// isServing reports whether a task has ended its startup, by the latest report of its worker, which is reachable.
func (p *Planner) isServing(t *jobs.Task, now time.Time) bool {
	w := p.workers[t.Worker]
	if t.State != jobs.TaskAssigned || w == nil {
		return false
	}
	a := w.attempts[t.Ref]
	// The value of fullSpeed also stands for 100 percent of progress.
	return a != nil && a.phase == phaseRunning && a.progressPercent >= fullSpeed && !a.stopping && w.isReachable(now)
}

package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

// binding keeps a task at the worker of a start without a response.
//
// The worker's present incarnation refuses that start, since it has answered a
// call with a higher fencing token. The next one may execute it if it has the
// same ID. Until that is ruled out the task starts only at that worker: if the
// worker restarts, the late start has no other run of the task to run beside.
type binding struct {
	worker      string
	incarnation int64
	// since is when the attempt was released, and until when no incarnation executes the start any more.
	since time.Time
	until time.Time
}

// bind keeps the task of an attempt that is released at its worker while the worker's next incarnation may execute the start.
func (p *Planner) bind(w *worker, a *attempt, now time.Time) {
	until := p.bindingEnd(a)
	if a.phase != phaseRunning && !a.job.IsTerminal() && now.Before(until) {
		// The call may be on its way still, so that its token has not been exceeded yet.
		p.raiseFence(w)
		p.bindings[a.task.Ref] = binding{worker: w.ID, incarnation: w.Incarnation, since: now, until: until}
	}
}

// expireBindings drops the bindings of tasks whose earlier start is over.
func (p *Planner) expireBindings(now time.Time) {
	for r, b := range p.bindings {
		if !p.isBindingInForce(r, b, now) {
			delete(p.bindings, r)
		}
	}
}

// isBindingInForce reports whether the earlier start of a task may still be executed, runs, or may have ended with an outcome that the
// worker has not listed yet.
func (p *Planner) isBindingInForce(r jobs.Ref, b binding, now time.Time) bool {
	w := p.workers[b.worker]
	switch {
	case p.active[r.Job] == nil:
		return false
	case w != nil && (w.hasOrphan(r) || w.moreFinished):
		return true
	case w != nil && w.synced && w.Incarnation != b.incarnation && w.lastRequestedAt.After(b.since):
		return false
	}
	return now.Before(b.until)
}

// isBoundElsewhere reports whether a task must not start on a worker, since it is bound to another worker or incarnation, or since
// its earlier start runs there.
func (p *Planner) isBoundElsewhere(t *jobs.Task, w *worker) bool {
	b, ok := p.bindings[t.Ref]
	return ok && (w.ID != b.worker || w.Incarnation != b.incarnation || w.hasOrphan(t.Ref))
}

// isBound reports whether a task is bound to a worker.
func (p *Planner) isBound(t *jobs.Task) bool {
	_, ok := p.bindings[t.Ref]
	return ok
}

// placeBound starts a task that is bound to a worker there, if the worker can take it now, and reports whether the task is bound.
func (p *Planner) placeBound(c *candidateStep, t *jobs.Task, now time.Time) bool {
	b, ok := p.bindings[t.Ref]
	if !ok {
		return false
	}
	w := p.workers[b.worker]
	if w == nil || p.isBoundElsewhere(t, w) || p.explain(w, c, t, constraints{}, now) != notExcluded {
		p.waits.record(t, now)
		return true
	}
	p.waits.remove(t)
	p.assign(c.job, t, w, now)
	return true
}

package dispatch

import (
	"fmt"
	"runtime/debug"
	"slices"

	"currantknot.dev/currantknot/internal/jobs"
)

// guard calls f, which handles one job. If f panics, the job is set aside: a job that the planner can't handle must not end the
// process of its owner, since each later owner would end as well.
func (p *Planner) guard(j *jobs.Job, f func()) {
	defer func() {
		if x := recover(); x != nil {
			p.setAside(j, x)
		}
	}()
	f()
}

// SetAside stops to schedule a job whose changes the store refuses for good, so that nothing starts that a later owner doesn't know of.
func (p *Planner) SetAside(id string, cause error) {
	j := p.jobs[id]
	if j == nil || p.aside[id] {
		return
	}
	p.setAside(j, cause)
}

// setAside stops to schedule a job, and drops its starts and changes that are not committed. Attempts that run go on.
func (p *Planner) setAside(j *jobs.Job, cause any) {
	p.aside[j.ID] = true
	delete(p.active, j.ID)
	delete(p.dirty, j.ID)
	p.orders = slices.DeleteFunc(p.orders, func(o Order) bool { return o.Job == j.ID && o.Kind == OrderStart })
	for _, w := range p.workerList {
		for _, a := range slices.Clone(w.attemptList) {
			if a.job == j && a.phase == phasePlanned {
				w.remove(a)
			}
		}
	}
	p.Logger.Error().Str("Job", j.ID).Str("Cause", fmt.Sprint(cause)).Str("Stack", string(debug.Stack())).Str("Decision", "SetAside").Msg("the job made its owner panic, or the store refuses it, and it is not scheduled any more")
}

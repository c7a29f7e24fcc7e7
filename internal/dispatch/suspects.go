package dispatch

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

// sharing is what a task may run beside.
type sharing uint8

const (
	// shareNone means that the worker gets no other task until the task is cleared, and runs only tasks that have run for a moment and
	// under which no worker was lost.
	shareNone sharing = iota
	// shareSound means that the worker runs no task under which workers were lost.
	shareSound
	// shareAny means that the worker may run any tasks, but isolates none.
	shareAny
	// shareIsolated is the same, but that the worker gets no other task until the task is cleared.
	shareIsolated
)

// isolates reports whether the worker gets no other task until the task is cleared.
func (x sharing) isolates() bool { return x == shareNone || x == shareIsolated }

// sharingAtStart returns what a task that need not be isolated may run beside. It is isolated if half of the workers that may
// isolate tasks are left for suspects, and no task waits.
func (p *Planner) sharingAtStart() sharing {
	if p.waiting == 0 && 2*p.isolation.remaining > p.isolation.limit {
		return shareNone
	}
	return shareSound
}

// placeSuspects places the tasks of a step that may have crashed a worker by their start, and keeps the sound ones in c. It
// returns the tasks that may run only isolated, which are placed later, nil if there are none.
func (p *Planner) placeSuspects(c *candidateStep, now time.Time) *candidateStep {
	l := c.tasks
	later := *c
	if c.step.Gang {
		if !slices.ContainsFunc(l, func(t *jobs.Task) bool { return t.Suspicion.AtStart > 0 || t.Suspicion.IsSuspect() }) || p.isGangOverdue(l, now) {
			return nil
		}
		c.tasks = nil
		return &later
	}
	c.tasks, later.tasks = nil, nil
	held := c.job.IsStepSuspect(l[0].Occurrence, l[0].Step)
	for _, t := range l {
		if held {
			p.waits.record(t, now)
		}
		switch {
		case held, t.Suspicion.IsSuspect():
			later.tasks = append(later.tasks, t)
		case t.Suspicion.AtStart == 0 || !p.placeSuspect(c, t, p.sharingAtStart(), now):
			c.tasks = append(c.tasks, t)
		}
	}
	if held {
		later.tasks = p.tasksToProve(later.tasks, now)
	}
	if len(later.tasks) == 0 {
		return nil
	}
	return &later
}

// tasksToProve returns the tasks of a suspected step that may run next: one of them, unless another task of the step is on trial, and,
// once a task of the step has run without harm, those that are overdue.
func (p *Planner) tasksToProve(l []*jobs.Task, now time.Time) []*jobs.Task {
	first := p.firstToProve(l, now)
	onTrial, unproven := p.isStepOnTrial(first), p.stepTrial(first).unproven
	var next []*jobs.Task
	for _, t := range l {
		if t == first && !onTrial || !unproven && p.isOverdueSuspect(t, now) {
			next = append(next, t)
		}
	}
	return next
}

// firstToProve returns the task of a suspected step that has lost most workers, among those that may run now unless the step is
// contained, so that a contained one goes on at the pace of its worst task.
func (p *Planner) firstToProve(l []*jobs.Task, now time.Time) *jobs.Task {
	contained := p.stepTrial(l[0]).contained
	rank := func(t *jobs.Task) (bool, int) {
		return contained || !now.Before(p.isolation.retryAt[t.Ref]), t.Suspicion.Losses
	}
	first := l[0]
	for _, t := range l[1:] {
		may, losses := rank(t)
		if mayFirst, most := rank(first); may && !mayFirst || may == mayFirst && losses > most {
			first = t
		}
	}
	return first
}

// isStepOnTrial reports whether a task of the same step runs isolated or, if the step is suspected, has not run for long enough to show
// that its start does no harm.
func (p *Planner) isStepOnTrial(t *jobs.Task) bool {
	unproven := p.stepTrial(t).unproven
	return slices.ContainsFunc(p.jobs[t.Job].Tasks[t.Occurrence][t.Step], func(o *jobs.Task) bool {
		w := p.workers[o.Worker]
		if w == nil || w.attempts[o.Ref] == nil {
			return false
		}
		a := w.attempts[o.Ref]
		return a.isolated || unproven && w.provenRun(a) < minStepProof
	})
}

// placeIsolated places the tasks of a step that may run only isolated, each if it may run again and enough workers are left. After
// many losses, of which most tasks are not the cause, some run without isolation.
func (p *Planner) placeIsolated(c *candidateStep, now time.Time) {
	if p.passOverAtCap(c, now) {
		return
	}
	if c.step.Gang {
		p.placeGangIsolated(c, now)
		return
	}
	for _, t := range c.tasks {
		if p.passOverAtCap(c, now) {
			return
		}
		if !p.placeIsolatedTask(c, t, now) {
			p.logWait(wait{step: c, task: t, waited: p.waits.waited(t, now), suspect: true}, now)
		}
	}
}

// placeIsolatedTask places a task that may run only isolated, beside others if it has waited for too long, and reports whether it did.
func (p *Planner) placeIsolatedTask(c *candidateStep, t *jobs.Task, now time.Time) bool {
	p.waits.record(t, now)
	if now.Before(p.isolation.retryAt[t.Ref]) {
		return false
	}
	x := p.suspectDeadlines(t, now)
	if p.isolation.remaining > 0 && (p.placeSuspect(c, t, shareNone, now) || x.isContainedOverdue(now) && p.placeSuspect(c, t, shareIsolated, now)) {
		return true
	}
	if x.mayShare(now) && p.placeSuspect(c, t, shareSound, now) {
		return true
	}
	return x.isOverdue(now) && p.placeSuspect(c, t, shareAny, now)
}

// mayIsolate reports whether a task that may run only isolated may run now.
func (p *Planner) mayIsolate(t *jobs.Task, now time.Time) bool {
	return p.isolation.remaining > 0 && !now.Before(p.isolation.retryAt[t.Ref])
}

// placeSuspect places a task on the worker with the least to lose, and reports whether it did.
func (p *Planner) placeSuspect(c *candidateStep, t *jobs.Task, x sharing, now time.Time) bool {
	if !p.accounts.fits(c) {
		return false
	}
	one := *c
	one.tasks = []*jobs.Task{t}
	r := p.findWorker(&one, t, p.rateByRisk(&one, x, now), now)
	if r == nil {
		return false
	}
	p.waits.remove(t)
	beside, risk := len(r.worker.attemptList), r.worker.risk(now)
	p.assign(c.job, t, r.worker, now)
	a := r.worker.attempts[t.Ref]
	if a == nil {
		return false
	}
	if x.isolates() {
		r.worker.isolate(a)
		p.isolation.remaining--
	}
	p.Logger.Info().Str("Task", t.String()).Int("Run", t.Run).Str("Worker", r.worker.ID).Bool("Isolated", x.isolates()).Int("Beside", beside).Float64("RiskedCoreSeconds", risk).
		Int("Losses", t.Suspicion.Losses).Str("Decision", "Isolate").Msg("task that may crash its worker is placed where least is lost")
	return true
}

// lostBeforeRisk is the work, in core-seconds, that counts as lost besides at a worker at whose address the task has lost one before.
// It exceeds any other risk.
const lostBeforeRisk = 1e9

// rateByRisk rates the workers that may run a step by what would be lost with them. It leaves out those that run what the step may
// not run beside. A task that is not contained goes where it has lost no worker, so that what crashes there is told from the task.
func (p *Planner) rateByRisk(c *candidateStep, x sharing, now time.Time) []rating {
	var l []rating
	t := c.tasks[0]
	contained := p.isContained(t)
	for _, w := range p.schedulable {
		if !w.canShare(x, now) || x == shareNone && p.isReservedForOthers(w, t) {
			continue
		}
		if _, e := p.rate(w, c, now); e == notExcluded {
			risk := w.risk(now)
			if !contained && t.Suspicion.WasLostAt(w.ID, w.Address) {
				risk += lostBeforeRisk
			}
			l = append(l, rating{w, -risk, true})
		}
	}
	return l
}

// isReservedForOthers reports whether a worker is reserved for other tasks than t, which could not start there while it isolates t,
// whatever capacity is left.
func (p *Planner) isReservedForOthers(w *worker, t *jobs.Task) bool {
	return slices.ContainsFunc(p.reservations.byWorker[w.ID], func(x reservation) bool { return x.ref != t.Ref })
}

// canShare reports whether a worker runs only what a task may run beside.
func (w *worker) canShare(x sharing, now time.Time) bool {
	return w.isolated == 0 && (x == shareAny || x == shareIsolated || !slices.ContainsFunc(w.attemptList, func(a *attempt) bool {
		return a.task.Suspicion.Losses > 0 || x == shareNone && now.Sub(a.plannedAt) < startWindow
	}))
}

// risk returns the work that is lost if the worker crashes, in core-seconds.
func (w *worker) risk(now time.Time) float64 {
	sum := 0.0
	for _, a := range w.attemptList {
		at := longRunningRisk
		if !a.task.Spec.LongRunning {
			at = now.Sub(a.plannedAt)
		}
		sum += at.Seconds() * float64(a.task.Spec.Size.MilliCPU) / 1000
	}
	return sum
}

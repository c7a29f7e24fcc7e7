package dispatch

import (
	"cmp"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// maxAdviceCandidates is the maximum number of workers that one advice request names, while answers are in time.
	maxAdviceCandidates = 30
	// adviceRetryBackoff is the least time from a failed advice request to the next request.
	adviceRetryBackoff = 250 * time.Millisecond
	// adviceLead is the time before the end of the delay of a suspect, or of the lease of a lost worker, from which on permits are
	// requested for what waits for that.
	adviceLead = time.Second
	// permitMargin is the remaining validity that a permit must have, so that the permit is valid when the start call
	// arrives.
	permitMargin = 400 * time.Millisecond
)

// StepRef identifies a step of one occurrence of a job.
type StepRef struct {
	Job        string
	Occurrence int
	Step       int
}

// stepRef identifies the step of a task.
func stepRef(t *jobs.Task) StepRef { return StepRef{t.Job, t.Occurrence, t.Step} }

// recordedPermit is a permit for a worker incarnation to run the tasks of a step, as the planner records it.
type recordedPermit struct {
	token       string
	validUntil  time.Time
	incarnation int64
}

// advice holds the responses of the placement advisor about one step.
type advice struct {
	// requested holds the incarnations of the workers that the advisor was asked about, by worker ID.
	requested map[string]int64
	// permits holds the latest permits, which may have expired, by worker ID.
	permits map[string]recordedPermit
	// pending holds the incarnations of the workers that the request in flight names, by worker ID, nil if there is no request, and
	// requestedAt is when the latest request was made.
	pending     map[string]int64
	requestedAt time.Time
	// retryAt is the earliest time of the next request after a failed one.
	retryAt time.Time
}

func (p *Planner) adviceOf(r StepRef) *advice {
	a := p.advice[r]
	if a == nil {
		a = &advice{requested: make(map[string]int64), permits: make(map[string]recordedPermit)}
		p.advice[r] = a
	}
	return a
}

// removeAdvice drops what the advisor said about the steps of a finished job.
func (p *Planner) removeAdvice(j *jobs.Job) {
	if !j.Queue.NeedsPermit {
		return
	}
	for k := range j.Tasks {
		for i := range j.Steps {
			delete(p.advice, StepRef{j.ID, k, i})
		}
	}
}

// permitFor returns the token of a worker's permit for a step, and whether the worker may run the step. If the job's queue
// needs no permits, the token is empty and any worker may.
func (p *Planner) permitFor(w *worker, j *jobs.Job, r StepRef, now time.Time) (string, bool) {
	if !j.Queue.NeedsPermit {
		return "", true
	}
	a := p.adviceOf(r)
	return a.permits[w.ID].token, a.isInForce(w, now)
}

// isInForce reports whether a worker has a permit that is valid for long enough.
func (a *advice) isInForce(w *worker, now time.Time) bool {
	x, ok := a.permits[w.ID]
	return ok && x.incarnation == w.Incarnation && now.Add(permitMargin).Before(x.validUntil)
}

// requestAdvice requests permits for the workers that could get a task of the step with one, if the step needs permits and a task of it
// could start.
//
// It is called after each turn of a step, whatever the way in which the step was
// placed, so that no step is left without a worker and without a request.
func (p *Planner) requestAdvice(c *candidateStep, now time.Time) {
	if !c.job.Queue.NeedsPermit || c.isPutOff || !p.accounts.fits(c) {
		return
	}
	t := p.taskToAdviseOn(c, now)
	if t == nil || !p.adviceOf(c.ref()).mayRequest(now) {
		return
	}
	p.requestPermits(t, p.takersOf(c, t, now), now)
}

// takersOf returns the workers that could get a task of a step if they had permits.
func (p *Planner) takersOf(c *candidateStep, t *jobs.Task, now time.Time) []*worker {
	var l []*worker
	for _, w := range p.workerList {
		if p.couldTake(w, c, t, now) {
			l = append(l, w)
		}
	}
	return l
}

// couldTake reports whether a worker could get a task if it had a permit. A long-running task may also get avoided and reserved workers
// once it has waited for too long, as findWorker and findWorkerByCapacity have it.
func (p *Planner) couldTake(w *worker, c *candidateStep, t *jobs.Task, now time.Time) bool {
	byCapacity := c.step.LongRunning && p.goesByCapacity(t, now)
	mayBeAvoided := byCapacity || c.step.LongRunning && !c.step.Gang && p.waits.waited(t, now) >= avoidedWorkerDelay
	if e := p.workerExclusion(w, now); e != notExcluded && (e != excludedAvoided || !mayBeAvoided) {
		return false
	}
	return stepExclusion(w, c.job, c.step) == notExcluded && p.taskExclusion(w, c, t, constraints{byCapacity: byCapacity}, now) == notExcluded
}

// requestPermits requests permits with which a task could run on the workers in l, for those that the advisor may permit and that have
// no permit. It does nothing while a request about the step is in flight or a backoff lasts.
func (p *Planner) requestPermits(t *jobs.Task, l []*worker, now time.Time) {
	a := p.adviceOf(stepRef(t))
	if !a.mayRequest(now) {
		return
	}
	l = slices.DeleteFunc(l, func(w *worker) bool { return !a.mayBePermitted(w) || a.isInForce(w, now) })
	if len(l) == 0 {
		return
	}
	slices.SortFunc(l, func(x, y *worker) int {
		return cmp.Or(cmp.Compare(y.free().MilliCPU, x.free().MilliCPU), cmp.Compare(x.ID, y.ID))
	})
	p.adviceRequests = append(p.adviceRequests, adviceRequest{a, t.Ref, l})
}

// taskToAdviseOn returns a task of a step that found no worker in its turn and may start now. It prefers tasks that are not bound to a
// worker, and returns nil if there is none at all.
func (p *Planner) taskToAdviseOn(c *candidateStep, now time.Time) *jobs.Task {
	var bound *jobs.Task
	for _, t := range c.tasks {
		switch {
		case t.State != jobs.TaskWaiting || now.Add(adviceLead).Before(p.isolation.retryAt[t.Ref]):
		case !p.isBound(t):
			return t
		case bound == nil:
			bound = t
		}
	}
	return bound
}

// mayRequest reports whether no request is in flight, and no backoff lasts.
func (a *advice) mayRequest(now time.Time) bool { return a.pending == nil && !now.Before(a.retryAt) }

// mayBePermitted reports whether the advisor may permit a worker: the advisor has not been asked about this incarnation of
// the worker, or the advisor permitted the worker when last asked.
func (a *advice) mayBePermitted(w *worker) bool {
	if _, ok := a.permits[w.ID]; ok {
		return true
	}
	i, ok := a.requested[w.ID]
	return !ok || i != w.Incarnation
}

// Permit is the advisor's permission for one worker to run a step, as the advisor's response holds it.
type Permit struct {
	Worker string
	Token  string
}

// HandleAdvice handles the response to an advice request: the permits l, which are valid until the given time. ok is false
// if the request failed. They count for the incarnations that the request named, which may have ended meanwhile.
func (p *Planner) HandleAdvice(o Order, l []Permit, until time.Time, ok bool, now time.Time) {
	a := p.advice[StepRef{o.Job, o.Occurrence, o.Step}]
	if a == nil || a.pending == nil {
		// The job has finished meanwhile.
		p.adviceCalls.forget()
		return
	}
	p.adviceCalls.end(len(o.Candidates), now.Sub(a.requestedAt), ok)
	named := a.pending
	a.pending = nil
	if !ok {
		a.retryAt = now.Add(adviceRetryBackoff)
		return
	}
	for id, incarnation := range named {
		a.requested[id] = incarnation
		delete(a.permits, id)
	}
	for _, x := range l {
		if incarnation, ok := named[x.Worker]; ok {
			a.permits[x.Worker] = recordedPermit{x.Token, until, incarnation}
		}
	}
	p.Logger.Info().Str("Task", o.String()).Int("Asked", len(o.Candidates)).Int("Permitted", len(l)).Time("Until", until).Dur("Took", now.Sub(a.requestedAt)).Str("Decision", "Advised").Msg("placement advisor responded")
}

package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

// handleReleasedEnd applies the end of an attempt that the planner does not hold, and reports whether it may be acknowledged.
//
// A success completes the task, so that it does not run again. An attempt of the
// task that is assigned by then is stopped first, since it may start after the
// task is done. The worker repeats the end until that is over, so that a later
// owner gets it as well. A failure counts if the attempt was released before its
// outcome was known.
func (p *Planner) handleReleasedEnd(w *worker, e FinishedAttempt, now time.Time) bool {
	j := p.jobs[e.Job]
	if j == nil || p.aside[e.Job] {
		return true
	}
	handled := true
	p.guard(j, func() {
		p.resolve(w, j, e, now)
		if e.Outcome == jobs.OutcomeDone {
			handled = p.applyReleasedEnd(w, j, e, now)
		}
	})
	return handled
}

// resolve records the outcome of an attempt that was released before it was known.
func (p *Planner) resolve(w *worker, j *jobs.Job, e FinishedAttempt, now time.Time) {
	t := j.Task(e.Ref)
	if t == nil || !j.Resolve(t, e.Run, w.ID, e.Outcome) {
		return
	}
	p.dirty[j.ID] = j
	p.Logger.Info().Str("Task", e.String()).Int("Run", e.Run).Str("Worker", w.ID).Int64("End", e.Number).Str("How", string(e.Outcome)).Int("Failures", t.Failures).Int("LatestRun", t.Run).
		Str("Decision", "ReleasedEnd").Msg("the outcome of a released attempt has become known")
	p.finalizeJob(j, now)
}

func (p *Planner) applyReleasedEnd(w *worker, j *jobs.Job, e FinishedAttempt, now time.Time) bool {
	t := j.Task(e.Ref)
	if t == nil || !j.HadAttempt(t, e.Run) {
		return true
	}
	assigned := j.HasAssigned(t)
	if _, ok := p.releasedEnds[t.Ref]; !ok {
		p.logReleasedEnd(w, t, e, assigned)
	}
	p.releasedEnds[t.Ref] = e.Run
	if assigned {
		p.stopMembers(j, t, "an earlier attempt has succeeded", now)
		return false
	}
	p.completeReleased(j, t)
	p.finalizeJob(j, now)
	return true
}

func (p *Planner) logReleasedEnd(w *worker, t *jobs.Task, e FinishedAttempt, assigned bool) {
	p.Logger.Info().Str("Task", e.String()).Int("Run", e.Run).Str("Worker", w.ID).Int64("End", e.Number).Int("LatestRun", t.Run).Bool("Assigned", assigned).
		Str("Decision", "ReleasedEnd").Msg("a released attempt has succeeded, its task does not run again")
}

// stopMembers stops the assigned attempts of a task or its gang.
func (p *Planner) stopMembers(j *jobs.Job, t *jobs.Task, reason string, now time.Time) {
	for _, o := range j.Members(t) {
		w := p.workers[o.Worker]
		if o.State == jobs.TaskAssigned && w != nil && w.attempts[o.Ref] != nil {
			p.stop(w, w.attempts[o.Ref], reason, now)
		}
	}
}

// releasedEnd returns the number of the released attempt that succeeded of a task or its gang, and false if there is none.
func (p *Planner) releasedEnd(j *jobs.Job, t *jobs.Task) (int, bool) {
	if len(p.releasedEnds) == 0 {
		return 0, false
	}
	for _, o := range j.Members(t) {
		if run, ok := p.releasedEnds[o.Ref]; ok {
			return run, true
		}
	}
	return 0, false
}

// completeReleased completes a task of which a released attempt has succeeded, once no other attempt is assigned.
func (p *Planner) completeReleased(j *jobs.Job, t *jobs.Task) {
	run, ok := p.releasedEnd(j, t)
	if !ok || j.HasAssigned(t) {
		return
	}
	if j.CompleteReleased(t, run) {
		p.dirty[j.ID] = j
	}
	p.dropReleasedEnds(j, t)
}

// dropReleasedEnds forgets the successes of released attempts of a task or its gang.
func (p *Planner) dropReleasedEnds(j *jobs.Job, t *jobs.Task) {
	if len(p.releasedEnds) == 0 {
		return
	}
	for _, o := range j.Members(t) {
		delete(p.releasedEnds, o.Ref)
	}
}

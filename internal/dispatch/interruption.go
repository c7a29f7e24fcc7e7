package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// interruptionBound is the time without a run from which on a long-running task is reported.
	interruptionBound = 6 * time.Second
	// interruptionCheckInterval is the time between two searches for long-running tasks without a run.
	interruptionCheckInterval = 500 * time.Millisecond
	// interruptionLogInterval is the least time between two log messages about the same task.
	interruptionLogInterval = 5 * time.Second
	// maxInterruptionLines bounds the log messages of one search; the tasks that have waited longest come first.
	maxInterruptionLines = 16
	// maxStoredInterruptions bounds the interruptions in a snapshot; the longest are stored.
	maxStoredInterruptions = 256
	// maxRestoredInterruption is the longest interruption that is taken over from an earlier owner.
	maxRestoredInterruption = 30 * 24 * time.Hour
)

// interruptionReason tells why a long-running task has no run. Other than these, it is the name of the exclusion that is looked
// for last among those that apply to any worker.
type interruptionReason string

const (
	// reasonSilentWorker means that the worker of the attempt does not respond, and that its lease may not have expired.
	reasonSilentWorker interruptionReason = "SilentWorker"
	// reasonUnconfirmedStart means that the worker has not confirmed the start.
	reasonUnconfirmedStart interruptionReason = "UnconfirmedStart"
	// reasonSuspect means that workers were lost under the task, so that it may start only isolated.
	reasonSuspect interruptionReason = "Suspect"
	// reasonPassedOver means that a worker could take the task and the latest plan did not place it.
	reasonPassedOver interruptionReason = "PassedOver"
	// reasonSetAside means that the task's job made the owner panic.
	reasonSetAside interruptionReason = "SetAside"
	// reasonNotExamined means that the task waits and was not among those that were examined.
	reasonNotExamined interruptionReason = "NotExamined"
	// reasonNoWorkers means that the planner holds no worker.
	reasonNoWorkers interruptionReason = "NoWorkers"
)

// interruption is the time in which a long-running task that should run has no run, as far as the planner knows.
type interruption struct {
	since    time.Time
	reason   interruptionReason
	loggedAt time.Time
	// seen means that the latest search found the task without a run.
	seen bool
}

// interruptions holds the interruptions by task.
//
// They answer the loss of owners and workers in series: each phase of a wait has a
// bound, and the time since the last run is longer than any of them. The next
// owner goes on with the time that the snapshot has.
type interruptions struct {
	byTask    map[jobs.Ref]*interruption
	checkedAt time.Time
}

func newInterruptions() interruptions {
	return interruptions{byTask: make(map[jobs.Ref]*interruption)}
}

// InterruptionSummary describes the long-running tasks that have been without a run for interruptionBound.
type InterruptionSummary struct {
	// Longest is the longest time without a run of any long-running task, also below the bound.
	Longest time.Duration
	// Tasks counts the tasks beyond the bound by reason.
	Tasks map[string]int
}

// Interruptions returns the summary of the latest search.
func (p *Planner) Interruptions(now time.Time) InterruptionSummary {
	s := InterruptionSummary{Tasks: make(map[string]int)}
	for _, x := range p.interruptions.byTask {
		d := now.Sub(x.since)
		s.Longest = max(s.Longest, d)
		if d >= interruptionBound {
			s.Tasks[string(x.reason)]++
		}
	}
	return s
}

// observeInterruptions searches for long-running tasks without a run, at most once per interruptionCheckInterval, and logs those
// beyond interruptionBound.
func (p *Planner) observeInterruptions(now time.Time) {
	i := &p.interruptions
	if now.Sub(i.checkedAt) < interruptionCheckInterval {
		return
	}
	i.checkedAt = now
	for _, x := range i.byTask {
		x.seen = false
	}
	for _, j := range p.active {
		p.findInterrupted(j, now)
	}
	for id := range p.aside {
		if j := p.jobs[id]; j != nil && !j.IsTerminal() {
			p.findInterrupted(j, now)
		}
	}
	for r, x := range i.byTask {
		if !x.seen {
			p.endInterruption(r, x, now)
		}
	}
	p.logInterruptions(now)
}

// findInterrupted records the long-running tasks of a job that should run and don't.
func (p *Planner) findInterrupted(j *jobs.Job, now time.Time) {
	if j.IsTerminal() {
		return
	}
	for k, occurrence := range j.Tasks {
		if now.Before(j.EarliestStart(k)) {
			continue
		}
		for s := range j.Steps {
			if !j.Steps[s].LongRunning || !j.HasPredecessorsDone(k, s) {
				continue
			}
			for _, t := range occurrence[s] {
				if since, reason, ok := p.interruptedSince(j, t, now); ok {
					p.interruptions.record(t.Ref, since, reason)
				}
			}
		}
	}
}

// record records that a task has no run. The time of an interruption that goes on stays.
func (i *interruptions) record(r jobs.Ref, since time.Time, reason interruptionReason) {
	x := i.byTask[r]
	if x == nil {
		x = &interruption{since: since}
		i.byTask[r] = x
	}
	x.seen = true
	// The reason of a waiting task is known from its latest examination.
	if reason != reasonNotExamined || !x.isWaiting() {
		x.reason = reason
	}
}

// withoutRun returns for how long a task has had no run by the latest search, 0 if it runs.
func (i *interruptions) withoutRun(r jobs.Ref, now time.Time) time.Duration {
	x := i.byTask[r]
	if x == nil {
		return 0
	}
	return now.Sub(x.since)
}

// isWaiting reports whether the reason is that of a task that waits for a worker.
func (x *interruption) isWaiting() bool {
	switch x.reason {
	case "", reasonSilentWorker, reasonUnconfirmedStart, reasonSetAside:
		return false
	case reasonSuspect, reasonPassedOver, reasonNotExamined, reasonNoWorkers:
		return true
	}
	return true
}

// interruptedSince returns since when a task has no run and why, and false if it runs.
func (p *Planner) interruptedSince(j *jobs.Job, t *jobs.Task, now time.Time) (time.Time, interruptionReason, bool) {
	if p.aside[j.ID] {
		return now, reasonSetAside, true
	}
	if t.State == jobs.TaskWaiting {
		if t.Run == 0 {
			return laterOf(j.SubmittedAt, j.EarliestStart(t.Occurrence)), reasonNotExamined, true
		}
		return now, reasonNotExamined, true
	}
	w := p.workers[t.Worker]
	if w == nil || w.attempts[t.Ref] == nil {
		return time.Time{}, "", false
	}
	switch a := w.attempts[t.Ref]; {
	case a.phase != phaseRunning && !a.restored:
		return a.plannedAt, reasonUnconfirmedStart, true
	case !w.isResponding(now):
		return laterOf(w.lastResponseAt, p.lastKnownAt(a)), reasonSilentWorker, true
	case a.phase != phaseRunning:
		return a.plannedAt, reasonUnconfirmedStart, true
	}
	return time.Time{}, "", false
}

// lastKnownAt returns the time at which an attempt was planned, or at which an earlier owner may last have known that it runs.
func (p *Planner) lastKnownAt(a *attempt) time.Time {
	if a.restored {
		return p.LastCommitAt
	}
	return a.plannedAt
}

// endInterruption forgets an interruption, and logs its end if it was logged.
func (p *Planner) endInterruption(r jobs.Ref, x *interruption, now time.Time) {
	delete(p.interruptions.byTask, r)
	if x.loggedAt.IsZero() {
		return
	}
	e := p.Logger.Warn().Str("Task", r.String()).Dur("WithoutRun", now.Sub(x.since)).Str("LastReason", string(x.reason))
	j := p.jobs[r.Job]
	runs := j != nil && !j.IsTerminal() && j.Task(r) != nil
	e.Bool("Runs", runs)
	if runs {
		e.Int("Run", j.Task(r).Run).Str("Worker", j.Task(r).Worker)
	}
	e.Str("Decision", "InterruptionOver").Msg("long-running task runs again, or is not to run any more")
}

// logInterruptions logs the tasks beyond interruptionBound, each at most once per interruptionLogInterval.
func (p *Planner) logInterruptions(now time.Time) {
	l := p.interruptions.longest(func(x *interruption) bool {
		return now.Sub(x.since) >= interruptionBound && now.Sub(x.loggedAt) >= interruptionLogInterval
	})
	for _, r := range l[:min(len(l), maxInterruptionLines)] {
		p.logInterruption(r, p.interruptions.byTask[r], now)
	}
}

// longest returns the tasks of the interruptions for which f returns true, the longest first.
func (i *interruptions) longest(f func(*interruption) bool) []jobs.Ref {
	var l []jobs.Ref
	for r, x := range i.byTask {
		if f(x) {
			l = append(l, r)
		}
	}
	slices.SortFunc(l, func(a, b jobs.Ref) int {
		return cmp.Or(i.byTask[a].since.Compare(i.byTask[b].since), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	return l
}

// logInterruption logs for how long and why a task has no run: its silent worker, or for how many workers each reason to pass them
// over applies. It is a warning, so that it has a part in the budget of the log that ordinary lines don't use up.
func (p *Planner) logInterruption(r jobs.Ref, x *interruption, now time.Time) {
	j := p.jobs[r.Job]
	if j == nil || j.Task(r) == nil {
		return
	}
	x.loggedAt = now
	t := j.Task(r)
	e := p.Logger.Warn().Str("Task", r.String()).Int("Run", t.Run).Time("Since", x.since).Dur("WithoutRun", now.Sub(x.since))
	switch w := p.workers[t.Worker]; {
	case x.reason == reasonSetAside:
	case t.State == jobs.TaskWaiting:
		x.reason = p.explainWaiting(e, j, t, now)
	case w != nil:
		e.Str("Worker", w.ID).Bool("Listed", w.listed).Int("FailedCalls", w.failedCalls).Dur("LeaseLeft", max(0, w.leaseUntil.Sub(now))).Bool("LeaseWithheld", w.leaseWithheld)
	}
	e.Str("Reason", string(x.reason)).Str("Decision", "Interrupted").Msg("long-running task has no run")
}

// explainWaiting adds to a log line for how many workers each reason to pass them over applies, and returns the reason of the
// wait.
func (p *Planner) explainWaiting(e *zerolog.Event, j *jobs.Job, t *jobs.Task, now time.Time) interruptionReason {
	c := &candidateStep{job: j, step: t.Spec, tasks: []*jobs.Task{t}}
	x := wait{step: c, task: t, constraints: constraints{keepReserve: !p.mayUseReserve(c, t, p.waits.waited(t, now), now)}}
	counts := p.countExclusions(x, now)
	reason := reasonNoWorkers
	for i, n := range counts {
		if n == 0 {
			continue
		}
		e.Int(exclusion(i).String(), n)
		reason = interruptionReason(exclusion(i).String())
	}
	e.Int("NeedsMilliCPU", t.Spec.Size.MilliCPU).Int("NeedsMemoryMB", t.Spec.Size.MemoryMB)
	suspect := t.Suspicion.IsSuspect() || j.IsStepSuspect(t.Occurrence, t.Step)
	if suspect {
		p.logSuspectWait(e, t, now)
	}
	switch {
	case counts[notExcluded] == 0:
		return reason
	case suspect:
		return reasonSuspect
	}
	return reasonPassedOver
}

// encode returns, by task, the milliseconds without a run of the longest interruptions.
func (i *interruptions) encode(now time.Time) map[string]int64 {
	l := i.longest(func(x *interruption) bool { return now.Sub(x.since) >= interruptionCheckInterval })
	m := make(map[string]int64, min(len(l), maxStoredInterruptions))
	for _, r := range l[:min(len(l), maxStoredInterruptions)] {
		m[r.String()] = now.Sub(i.byTask[r].since).Milliseconds()
	}
	return m
}

// restore adds the interruptions of an encoded snapshot, which was made before the given time.
func (i *interruptions) restore(m map[string]int64, madeBefore time.Time) {
	for k, ms := range m {
		if r, ok := jobs.ParseRef(k); ok {
			d := min(max(0, time.Duration(ms)), maxRestoredInterruption/time.Millisecond) * time.Millisecond
			i.byTask[r] = &interruption{since: madeBefore.Add(-d), reason: reasonNotExamined}
		}
	}
}

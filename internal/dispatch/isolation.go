package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// maxIsolatedFraction is the fraction of the workers that may isolate tasks at a time, or be lost while they do.
	maxIsolatedFraction = 0.1
	// suspectRetryDelay is the time after which a suspect may run again. It doubles with each further worker that was lost, and with
	// each further loss of a task that is the probable cause, up to maxSuspectRetryDelay.
	suspectRetryDelay    = 2 * time.Second
	maxSuspectRetryDelay = 16 * time.Second
	// maxIsolation is the run time after which a worker gets other tasks again, also if its isolated task is not cleared yet, unless
	// that is the probable cause of its losses and no other long-running task has been without a run for interruptionBound.
	maxIsolation = 5 * time.Second
	// maxIsolationWait is the waiting time after which a suspect runs beside others, though not beside another suspect, if too many
	// tasks are isolated.
	maxIsolationWait = 4 * time.Second
	// longRunningSuspectDelay is the time after which a long-running suspect may run again, and from which on it runs beside any
	// others if no better worker has capacity and it is not the probable cause of its losses. maxSuspectInterruption is the time
	// without a run from which on it does so in any case: the expiry of a lease and the delay after it are shorter.
	longRunningSuspectDelay = 1500 * time.Millisecond
	maxSuspectInterruption  = 8500 * time.Millisecond
	// minStepProof is the run time of one task of a suspected step from which on the starts of its other tasks are no danger. It is
	// longer than startWindow, within which a start counts as the cause of a loss.
	minStepProof = time.Second
	// longRunningRisk is the work that counts as lost when a long-running task loses its worker.
	longRunningRisk = 30 * time.Second
)

// isolation decides where and when tasks run under which workers were lost.
//
// A worker may crash because of a task that it runs, and then each worker that
// starts the task does. Nothing tells which task it was. Attempts that had just
// started when their worker was lost count against their tasks, and so do all
// that had run for less than a minute unless several workers were lost together,
// and all of earlier owners that this owner has not seen running; an isolated
// attempt is blamed alone. jobs.Suspicion holds what counts against
// a task, and outlives the owner.
//
// A task that may have crashed a worker by its start runs next on the worker
// with the least to lose, if possible isolated: the worker gets no other task
// until the task is cleared. A suspect, which has lost several workers, runs
// isolated, later than sound tasks and after a delay. Once many workers were lost
// under one step, its tasks run one at a time. The number of workers that isolate
// tasks bounds how many of them suspects can crash at a time.
//
// A task under which several different workers crashed is the probable cause. It
// is never given up, since a lost worker is no failed attempt: it runs only
// isolated, until it is cleared, and its delay doubles with each loss up to
// maxSuspectRetryDelay, so that it crashes one worker at a time and few in any
// minute. Losses of one worker that crashes again and again do not make it one.
//
// Any other long-running task is without a run for a bounded time also if it is a
// suspect: its worker may have been lost for any reason. So it does not wait for
// one of the few workers that may isolate tasks, nor for a worker without other
// suspects, for longer than longRunningSuspectDelay.
type isolation struct {
	// retryAt holds the time before which a suspect does not run again.
	retryAt map[jobs.Ref]time.Time
	// lostUnder holds, by worker ID, the tasks against which the loss of the worker counts.
	lostUnder map[string][]jobs.Ref
	// provenSteps holds the steps of which a task has run without harm since a worker was last lost by a start, among those of jobs
	// under which workers were lost.
	provenSteps map[StepRef]bool
	// trials holds what counts against steps, as the current plan knows it.
	trials map[StepRef]stepTrial
	// limit is the number of workers that may isolate tasks at a time, and remaining that of those that may still begin to.
	limit     int
	remaining int
}

func newIsolation() isolation {
	return isolation{retryAt: make(map[jobs.Ref]time.Time), lostUnder: make(map[string][]jobs.Ref), provenSteps: make(map[StepRef]bool), trials: make(map[StepRef]stepTrial)}
}

// begin begins a plan, given all workers and those that may get tasks.
func (i *isolation) begin(all, schedulable []*worker) {
	i.limit = isolationLimit(len(schedulable))
	i.remaining = i.limit
	clear(i.trials)
	for _, w := range all {
		if w.isolated > 0 {
			i.remaining--
		}
	}
}

// isolationLimit returns how many of a number of workers may isolate tasks at a time.
func isolationLimit(workers int) int { return max(1, int(maxIsolatedFraction*float64(workers))) }

// limitRestoredIsolation ends the isolation of attempts of earlier owners at reachable workers beyond the limit, those of tasks
// under which fewest workers crashed first. A new owner isolates all suspects that run, also those that earlier owners no longer
// isolated, which may be most workers of a small fleet.
func (p *Planner) limitRestoredIsolation(now time.Time) {
	usable, isolating := 0, 0
	var restored []*attempt
	for _, w := range p.workerList {
		e := p.workerExclusion(w, now)
		if e == notExcluded || e == excludedIsolating {
			usable++
		}
		if e == excludedIsolating {
			isolating++
			restored = append(restored, w.restoredIsolated()...)
		}
	}
	slices.SortStableFunc(restored, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.task.Suspicion.Crashes, b.task.Suspicion.Crashes), cmp.Compare(a.task.Suspicion.Losses, b.task.Suspicion.Losses))
	})
	for _, a := range restored {
		if isolating <= isolationLimit(usable) {
			return
		}
		w := p.workers[a.task.Worker]
		w.endIsolation(a)
		if w.isolated == 0 {
			isolating--
		}
	}
}

// restoredIsolated returns the isolated attempts of earlier owners.
func (w *worker) restoredIsolated() []*attempt {
	var l []*attempt
	for _, a := range w.attemptList {
		if a.restored && a.isolated {
			l = append(l, a)
		}
	}
	return l
}

// delaySuspect makes a suspect wait after the loss of its worker. For a long-running one that is not the probable cause, the time that
// it has waited for the end of its lost run counts, unless it was lost right after its start: it may have had several such runs since.
func (p *Planner) delaySuspect(j *jobs.Job, t *jobs.Task, atStart bool, now time.Time) {
	if !t.Suspicion.IsSuspect() {
		return
	}
	at := now.Add(retryDelay(t))
	if x := p.interruptions.byTask[t.Ref]; x != nil && !atStart && !t.Suspicion.IsProbableCause() {
		at = earlier(at, x.since.Add(retryDelay(t)))
	}
	p.isolation.retryAt[t.Ref] = at
	j.SetRetryAt(t, at)
}

// restoreDelay takes over the delay of a task from an earlier owner, whose clock may differ.
func (i *isolation) restoreDelay(t *jobs.Task, now time.Time) {
	// The time of day may be set back later, so that the time that is left counts.
	left := min(time.UnixMilli(t.Suspicion.RetryAtUnixMilli).Sub(now), retryDelay(t))
	if left > 0 {
		i.retryAt[t.Ref] = now.Add(left)
	}
}

// endDelay lets a task run at once.
func (i *isolation) endDelay(j *jobs.Job, t *jobs.Task) {
	delete(i.retryAt, t.Ref)
	j.SetRetryAt(t, time.Time{})
}

// retryDelay returns for how long a suspect waits after its latest loss.
func retryDelay(t *jobs.Task) time.Duration {
	d := suspectRetryDelay
	if t.Spec.LongRunning {
		d = longRunningSuspectDelay
	}
	for n := delayDoublings(t); n > 0 && d < maxSuspectRetryDelay; n-- {
		d = min(2*d, maxSuspectRetryDelay)
	}
	return d
}

// delayDoublings returns how often the delay of a suspect has doubled.
func delayDoublings(t *jobs.Task) int {
	switch {
	case t.Suspicion.IsProbableCause():
		return t.Suspicion.Losses - jobs.SuspectLosses
	case t.Spec.LongRunning:
		return 0
	}
	return t.Suspicion.DistinctWorkers() - jobs.SuspectLosses
}

// addLoss records that the loss of a worker counts against a task.
func (i *isolation) addLoss(t *jobs.Task, worker string) {
	if !slices.Contains(i.lostUnder[worker], t.Ref) {
		i.lostUnder[worker] = append(i.lostUnder[worker], t.Ref)
	}
}

// forgetOldLosses drops a task from those of workers that are no longer stored with its losses.
func (i *isolation) forgetOldLosses(t *jobs.Task) {
	if t.Suspicion.Losses <= len(t.Suspicion.Workers) {
		return
	}
	for id, l := range i.lostUnder {
		if slices.Contains(t.Suspicion.Workers, id) {
			continue
		}
		l = slices.DeleteFunc(l, func(r jobs.Ref) bool { return r == t.Ref })
		i.lostUnder[id] = l
		if len(l) == 0 {
			delete(i.lostUnder, id)
		}
	}
}

// removeLosses drops the tasks for which drop returns true from those of lost workers.
func (i *isolation) removeLosses(drop func(jobs.Ref) bool) {
	for id, l := range i.lostUnder {
		l = slices.DeleteFunc(l, drop)
		i.lostUnder[id] = l
		if len(l) == 0 {
			delete(i.lostUnder, id)
		}
	}
}

// removeJob drops the tasks of a finished job.
func (i *isolation) removeJob(j *jobs.Job) {
	for r := range i.retryAt {
		if r.Job == j.ID {
			delete(i.retryAt, r)
		}
	}
	i.removeLosses(func(r jobs.Ref) bool { return r.Job == j.ID })
	maps.DeleteFunc(i.provenSteps, func(r StepRef, _ bool) bool { return r.Job == j.ID })
}

// isolate makes the worker of an attempt run no other task until the attempt is cleared or removed.
func (w *worker) isolate(a *attempt) {
	a.isolated = true
	w.isolated++
}

// endIsolation lets the worker of an attempt run other tasks again.
func (w *worker) endIsolation(a *attempt) {
	if a.isolated {
		a.isolated = false
		w.isolated--
	}
}

// clearSuspicion clears the task of a running attempt once it has run for long enough.
func (p *Planner) clearSuspicion(w *worker, a *attempt, now time.Time) {
	s := &a.task.Suspicion
	ranFor := w.provenRun(a)
	if a.isolated && p.isIsolatedForLong(a, ranFor, now) {
		w.endIsolation(a)
	}
	if s.Losses > 0 && ranFor >= minStepProof && a.job.IsStepSuspect(a.task.Occurrence, a.task.Step) {
		p.isolation.provenSteps[stepRef(a.task)] = true
	}
	if s.Losses == 0 && !a.isolated || !s.IsClearedBy(ranFor) {
		return
	}
	losses := s.Losses
	w.endIsolation(a)
	delete(p.isolation.retryAt, a.task.Ref)
	if a.job.ClearSuspicion(a.task) {
		p.isolation.removeLosses(func(r jobs.Ref) bool { return r == a.task.Ref })
		p.dirty[a.job.ID] = a.job
		p.Logger.Info().Str("Task", a.task.String()).Int("Run", a.run).Str("Worker", w.ID).Dur("RanFor", ranFor).Int("Losses", losses).Str("Decision", "Cleared").Msg("task ran without harm and is no suspect any more")
	}
}

// isIsolatedForLong reports whether the worker of an isolated attempt gets other tasks again although the attempt has not cleared its
// task. It does sooner while another long-running task has no run.
func (p *Planner) isIsolatedForLong(a *attempt, ranFor time.Duration, now time.Time) bool {
	if a.task.Suspicion.IsProbableCause() {
		return ranFor >= maxIsolation && p.hasInterrupted(now)
	}
	return ranFor >= maxIsolation || ranFor >= minStepProof && p.hasInterrupted(now)
}

// hasInterrupted reports whether a long-running task that is not contained waits and has been without a run for interruptionBound.
func (p *Planner) hasInterrupted(now time.Time) bool {
	for r, x := range p.interruptions.byTask {
		j := p.jobs[r.Job]
		if j == nil || now.Sub(x.since) < interruptionBound {
			continue
		}
		if t := j.Task(r); t != nil && t.State == jobs.TaskWaiting && !t.Suspicion.IsProbableCause() {
			return true
		}
	}
	return false
}

// proveStep records that a task has ended as done, so that starts of its step do no harm.
func (p *Planner) proveStep(a *attempt) {
	if a.job.HasSuspicions() {
		p.isolation.provenSteps[stepRef(a.task)] = true
	}
}

// endSuspicion lets a task that is no suspect any more run at once, and its worker run other tasks.
func (p *Planner) endSuspicion(t *jobs.Task) {
	if t.Suspicion.IsSuspect() {
		return
	}
	p.isolation.endDelay(p.jobs[t.Job], t)
	if w := p.workers[t.Worker]; w != nil && w.attempts[t.Ref] != nil && t.Suspicion.AtStart == 0 {
		w.endIsolation(w.attempts[t.Ref])
	}
}

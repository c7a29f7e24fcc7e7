package dispatch

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// maxSuspectWait is the waiting time from which on a suspect that is neither contained nor long-running runs beside any others.
	// Tasks of a suspected step wait until one of them has run for minStepProof besides.
	maxSuspectWait = 8 * time.Second
	// maxContainedWait is the waiting time from which on a contained task is isolated on a worker whatever runs there.
	maxContainedWait = 16 * time.Second
)

// suspectWaitReason tells why a suspect waits.
type suspectWaitReason string

const (
	// waitDelay means that the time has not come at which the task may run again.
	waitDelay suspectWaitReason = "Delay"
	// waitStep means that other tasks of a suspected step run first.
	waitStep suspectWaitReason = "Step"
	// waitIsolationLimit means that as many workers isolate tasks as may at a time.
	waitIsolationLimit suspectWaitReason = "IsolationLimit"
	// waitNoSoundWorker means that no worker with capacity for the task runs only tasks under which no worker was lost and that have
	// run for a moment.
	waitNoSoundWorker suspectWaitReason = "NoSoundWorker"
)

// suspectWait is the wait of a task that may run only isolated. Each has a deadline, so that none is without end once a worker has
// capacity for the task.
type suspectWait struct {
	reason suspectWaitReason
	since  time.Time
	// shareFrom is when the task may run beside sound tasks, and until when it may run beside any others. A contained task does
	// neither: it is isolated from until on whatever runs there, once fewer workers isolate tasks than may.
	shareFrom time.Time
	until     time.Time
	contained bool
}

// mayShare reports whether the task may run beside sound tasks.
func (x *suspectWait) mayShare(now time.Time) bool { return !x.contained && !now.Before(x.shareFrom) }

// isOverdue reports whether the task may run beside any others.
func (x *suspectWait) isOverdue(now time.Time) bool { return !x.contained && !now.Before(x.until) }

// isContainedOverdue reports whether a contained task may be isolated on any worker.
func (x *suspectWait) isContainedOverdue(now time.Time) bool {
	return x.contained && !now.Before(x.until)
}

// suspectWait returns the wait of a task that may run only isolated, and why it waits, after a plan.
func (p *Planner) suspectWait(t *jobs.Task, now time.Time) suspectWait {
	x := p.suspectDeadlines(t, now)
	x.reason = p.suspectWaitReason(t, now)
	return x
}

// suspectDeadlines returns the wait of a task that may run only isolated, without its reason.
func (p *Planner) suspectDeadlines(t *jobs.Task, now time.Time) suspectWait {
	x := suspectWait{since: now.Add(-p.waits.waited(t, now)), contained: p.isContained(t)}
	if x.contained {
		x.until = x.since.Add(maxContainedWait)
		return x
	}
	share, wait := suspectWaitBounds(t)
	x.shareFrom, x.until = x.since.Add(share), x.since.Add(wait)
	// The waiting time begins again with each owner, the time without a run does not.
	if i := p.interruptions.byTask[t.Ref]; i != nil && t.Spec.LongRunning {
		x.until = earlier(x.until, i.since.Add(maxSuspectInterruption))
		x.shareFrom = earlier(x.shareFrom, x.until)
	}
	return x
}

// suspectWaitBounds returns the waiting times after which a task that is not contained may run beside sound tasks and beside any.
func suspectWaitBounds(t *jobs.Task) (share, wait time.Duration) {
	s := &t.Suspicion
	switch {
	case t.Spec.LongRunning:
		return longRunningSuspectDelay, longRunningSuspectDelay
	case s.Isolated == 0 || s.DistinctWorkers() == 1:
		return maxIsolationWait, maxSuspectWait
	}
	return maxSuspectWait, maxSuspectWait
}

// isContained reports whether a task probably is what its lost workers crashed by, or a task of its step is: it runs only isolated.
func (p *Planner) isContained(t *jobs.Task) bool {
	return t.Suspicion.IsProbableCause() || p.stepTrial(t).contained
}

// stepTrial is what counts against a step as a whole.
type stepTrial struct {
	// unproven means that the step is suspected, and that none of its tasks has run without harm since.
	unproven bool
	// contained means besides that a task of it was lost right after an isolated start.
	contained bool
}

// stepTrial returns what counts against the step of a task. It is looked for once in each plan, since a step may have many tasks.
func (p *Planner) stepTrial(t *jobs.Task) stepTrial {
	r := stepRef(t)
	x, ok := p.isolation.trials[r]
	if ok {
		return x
	}
	j := p.jobs[t.Job]
	x.unproven = !p.isolation.provenSteps[r] && j.IsStepSuspect(t.Occurrence, t.Step)
	x.contained = x.unproven && slices.ContainsFunc(j.Tasks[t.Occurrence][t.Step], func(o *jobs.Task) bool { return o.Suspicion.WasLostIsolatedAtStart() })
	p.isolation.trials[r] = x
	return x
}

// isOverdueSuspect reports whether a task that may run only isolated has waited for so long that it runs beside any others, which a
// contained one never does.
func (p *Planner) isOverdueSuspect(t *jobs.Task, now time.Time) bool {
	x := p.suspectDeadlines(t, now)
	return x.isOverdue(now)
}

// isGangOverdue reports whether a gang that may run only isolated has waited for so long that it is placed as any other.
func (p *Planner) isGangOverdue(l []*jobs.Task, now time.Time) bool {
	if slices.ContainsFunc(l, func(t *jobs.Task) bool { return p.isContained(t) || now.Before(p.isolation.retryAt[t.Ref]) }) {
		return false
	}
	return p.isOverdueSuspect(l[0], now)
}

// suspectWaitReason returns why a task that may run only isolated waits, after a plan.
func (p *Planner) suspectWaitReason(t *jobs.Task, now time.Time) suspectWaitReason {
	switch {
	case now.Before(p.isolation.retryAt[t.Ref]):
		return waitDelay
	case p.jobs[t.Job].IsStepSuspect(t.Occurrence, t.Step) && p.isStepOnTrial(t):
		return waitStep
	case p.isolation.remaining <= 0:
		return waitIsolationLimit
	}
	return waitNoSoundWorker
}

// logSuspectWait adds to a log line why a task waits that may run only isolated, and until when.
func (p *Planner) logSuspectWait(e *zerolog.Event, t *jobs.Task, now time.Time) {
	x := p.suspectWait(t, now)
	e.Int("Losses", t.Suspicion.Losses).Str("SuspectWait", string(x.reason)).Bool("Contained", x.contained).Dur("WaitLeft", max(0, x.until.Sub(now))).
		Dur("RetryIn", max(0, p.isolation.retryAt[t.Ref].Sub(now))).Int("IsolationsLeft", p.isolation.remaining)
}

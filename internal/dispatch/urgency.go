package dispatch

import (
	"cmp"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/quota"
)

// candidateStep is a step with its tasks that are ready to start.
type candidateStep struct {
	job   *jobs.Job
	step  *jobs.Step
	tasks []*jobs.Task
	// beyondRate means that the job was submitted beyond the rate of its account and that the step is not interrupted.
	beyondRate bool
	// level is how much of their share the accounts may use whose turn it is, and isPutOff means that the account uses more.
	// hadTurn means that the step was not put off when its turn came.
	level    quota.Level
	isPutOff bool
	hadTurn  bool
	urgency
}

// ref identifies the step.
func (c *candidateStep) ref() StepRef { return stepRef(c.tasks[0]) }

// urgency compares the progress of a job with its latency objective.
type urgency struct {
	// slack is the time left until the objective minus the remaining critical path, and initialSlack the slack when the job
	// was submitted or its occurrence became due.
	slack        time.Duration
	initialSlack time.Duration
	// remainingFraction is the unfinished fraction of the estimated CPU work of the job's occurrence.
	remainingFraction float64
}

// minFreshSlack is the ratio of the slack of a job without progress to its initial slack below which the job is stale.
const minFreshSlack = 0.6

// candidateSteps returns the steps that may start tasks, the most urgent first.
//
// The order is designed for bursts and lasting overload. Steps are sorted by the
// priority of their queue, and steps of the same priority as follows:
//  1. Long-running steps with a task that was interrupted, since users notice
//     at once that a service is gone.
//  2. Steps whose jobs can meet their objective. Jobs with the smallest
//     remaining fraction come first, so that few jobs are in progress at a time.
//  3. Steps of stale jobs, which have used up much of their initial slack
//     without progress. They would mostly miss their objective and delay others.
//  4. Other long-running steps, whatever their slack. Users value a core more
//     when the run-to-completion tasks of 2 and 3 use it, and those tasks release
//     the core when they are done.
//  5. Steps whose jobs can no longer meet their objective.
//
// Jobs that were submitted beyond the rate of their account come after all
// others, in the same order, but for 1: what has run is no new load. While tasks
// are placed, steps whose accounts are over their share come later; see
// placeSteps.
func (p *Planner) candidateSteps(now time.Time) []candidateStep {
	var l []candidateStep
	for _, j := range p.active {
		if j.IsTerminal() {
			continue
		}
		p.guard(j, func() {
			for k := range j.Tasks {
				l = p.appendCandidateSteps(l, j, k, now)
			}
		})
	}
	slices.SortFunc(l, func(a, b candidateStep) int {
		return cmp.Or(
			boolOrder(!a.beyondRate, !b.beyondRate),
			cmp.Compare(a.rank(), b.rank()),
			cmp.Compare(a.remainingFraction, b.remainingFraction),
			cmp.Compare(a.slack, b.slack),
			cmp.Compare(a.job.ID, b.job.ID),
			cmp.Compare(a.tasks[0].Occurrence, b.tasks[0].Occurrence),
			cmp.Compare(a.tasks[0].Step, b.tasks[0].Step),
		)
	})
	return l
}

func (p *Planner) appendCandidateSteps(l []candidateStep, j *jobs.Job, k int, now time.Time) []candidateStep {
	if now.Before(j.EarliestStart(k)) {
		return l
	}
	var u urgency
	computed := false
	for i := range j.Steps {
		t := j.Ready(k, i, now)
		if len(t) == 0 {
			continue
		}
		if !computed {
			u = p.urgency(j, k, now)
			computed = true
		}
		for _, part := range splitInterrupted(j, &j.Steps[i], t) {
			c := candidateStep{job: j, step: &j.Steps[i], tasks: part, urgency: u}
			c.beyondRate = p.accounts.rates.IsBeyond(j.ID) && !c.isInterrupted()
			l = append(l, c)
		}
	}
	return l
}

// splitInterrupted returns the ready tasks of a long-running step that had an attempt, and then the others: these have another rank
// and rate, and would otherwise take the capacity that a run of the step has just lost. The tasks of a suspected step stay together,
// as they run one at a time.
func splitInterrupted(j *jobs.Job, s *jobs.Step, l []*jobs.Task) [][]*jobs.Task {
	if !s.LongRunning || s.Gang || j.IsStepSuspect(l[0].Occurrence, l[0].Step) {
		return [][]*jobs.Task{l}
	}
	slices.SortStableFunc(l, func(a, b *jobs.Task) int { return boolOrder(a.Run > 0, b.Run > 0) })
	n := slices.IndexFunc(l, func(t *jobs.Task) bool { return t.Run == 0 })
	if n <= 0 {
		return [][]*jobs.Task{l}
	}
	return [][]*jobs.Task{l[:n:n], l[n:]}
}

// isInterrupted reports whether the step is long-running and one of its ready tasks had an attempt.
func (c *candidateStep) isInterrupted() bool {
	return c.step.LongRunning && slices.ContainsFunc(c.tasks, func(t *jobs.Task) bool { return t.Run > 0 })
}

func (p *Planner) urgency(j *jobs.Job, k int, now time.Time) urgency {
	e := p.runTimesOf(j, k)
	from := j.SubmittedAt
	if d := j.EarliestStart(k); !d.IsZero() {
		from = d
	}
	path := jobs.CriticalPath(j.Steps, e)
	objective := time.Duration(j.Queue.Stretch*float64(path)) + j.Queue.TargetLatency
	return urgency{
		slack:             from.Add(objective).Sub(now) - j.RemainingCriticalPath(k, e),
		initialSlack:      objective - path,
		remainingFraction: j.RemainingFraction(k, e),
	}
}

// isStale reports whether a job has made no progress and has waited so long that newer jobs come first.
func (u *urgency) isStale() bool {
	return u.remainingFraction == 1 && float64(u.slack) < minFreshSlack*float64(u.initialSlack)
}

// The ranks of candidate steps within a priority, in their order.
const (
	rankInterrupted = iota
	rankInTime
	rankStale
	rankLongRunning
	rankLate
	ranksPerPriority
)

// rank returns the primary sort key of a candidate step; lower comes first.
func (c *candidateStep) rank() int {
	return c.job.Queue.Priority*ranksPerPriority + c.rankInPriority()
}

func (c *candidateStep) rankInPriority() int {
	switch {
	case c.isInterrupted():
		return rankInterrupted
	case c.step.LongRunning:
		return rankLongRunning
	case c.slack < 0:
		return rankLate
	case c.isStale():
		return rankStale
	}
	return rankInTime
}

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

// candidate is a step with waiting tasks whose turn has come.
type candidate struct {
	job   *jobs.Job
	step  *jobs.Step
	tasks []*jobs.Task
	urgency
}

// urgency is how a job stands against its objective.
type urgency struct {
	// slack is the time left until the objective beyond the work that is still to be done, and allowance what it was at first.
	slack     time.Duration
	allowance time.Duration
	// left is the part of the job's work that is still to be done.
	left float64
}

// freshAllowance is the part of its allowance that a job which has not begun must still have to go before those that waited.
const freshAllowance = 0.6

// candidates returns the steps that may start tasks, the most urgent first.
//
// The order answers a burst and lasting overload. What has passed its
// objective yields to what may still meet it. Among the latter, jobs that are
// nearest to their end go first, so that few are under way at a time; of
// those not begun, the ones that have lost much of their allowance come last,
// since they would mostly miss their objective and make others miss theirs.
// Long-running work of the same priority comes after work that ends, which is
// worth more for the processors that it holds and gives them back.
func (p *Planner) candidates(now time.Time) []candidate {
	var l []candidate
	for _, j := range p.active {
		if j.IsTerminal() {
			continue
		}
		for k := range j.Tasks {
			l = p.appendCandidates(l, j, k, now)
		}
	}
	slices.SortFunc(l, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.rank(), b.rank()),
			cmp.Compare(a.left, b.left),
			cmp.Compare(a.slack, b.slack),
			cmp.Compare(a.job.ID, b.job.ID),
			cmp.Compare(a.tasks[0].Occurrence, b.tasks[0].Occurrence),
			cmp.Compare(a.tasks[0].Step, b.tasks[0].Step),
		)
	})
	return l
}

func (p *Planner) appendCandidates(l []candidate, j *jobs.Job, k int, now time.Time) []candidate {
	if now.Before(j.EarliestStart(k)) {
		return l
	}
	var u urgency
	known := false
	for i := range j.Steps {
		t := j.Ready(k, i, now)
		if len(t) == 0 {
			continue
		}
		if !known {
			u = p.urgency(j, k, now)
			known = true
		}
		l = append(l, candidate{job: j, step: &j.Steps[i], tasks: t, urgency: u})
	}
	return l
}

func (p *Planner) urgency(j *jobs.Job, k int, now time.Time) urgency {
	e := func(s *jobs.Step) time.Duration { return p.learned.of(j.Queue.Name, s) }
	from := j.SubmittedAt
	if d := j.EarliestStart(k); !d.IsZero() {
		from = d
	}
	whole := jobs.CriticalPath(j.Steps, e)
	objective := time.Duration(j.Queue.Stretch*float64(whole)) + j.Queue.TargetLatency
	return urgency{
		slack:     from.Add(objective).Sub(now) - j.RemainingCriticalPath(k, e),
		allowance: objective - whole,
		left:      j.RemainingFraction(k, e),
	}
}

// isStale tells whether a job that has not begun has waited too long to go before those that arrive.
func (u *urgency) isStale() bool {
	return u.left == 1 && float64(u.slack) < freshAllowance*float64(u.allowance)
}

// ranks is the number of kinds of work within a priority.
const ranks = 4

// rank orders the kinds of work before their progress and slack.
func (c *candidate) rank() int {
	r := c.job.Queue.Priority * ranks
	switch {
	case c.step.LongRunning:
		return r + 2
	case c.slack < 0:
		return r + 3
	case c.isStale():
		return r + 1
	}
	return r
}

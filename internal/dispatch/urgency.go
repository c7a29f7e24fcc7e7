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
	// slack is the time left until the objective beyond the work that is still to be done.
	slack time.Duration
}

// candidates returns the steps that may start tasks, the most urgent first.
//
// The order answers a burst: what has passed its objective yields to what may
// still meet it, and among these the least slack goes first. Long-running work
// of the same priority comes after work that ends, which is worth more for the
// processors that it holds and gives them back.
func (p *Planner) candidates(now time.Time) []candidate {
	var l []candidate
	for _, j := range p.active {
		if j.Over() {
			continue
		}
		for k := range j.Tasks {
			l = p.appendCandidates(l, j, k, now)
		}
	}
	slices.SortFunc(l, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.rank(), b.rank()),
			cmp.Compare(a.slack, b.slack),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	return l
}

func (p *Planner) appendCandidates(l []candidate, j *jobs.Job, k int, now time.Time) []candidate {
	if now.Before(j.DueAt(k)) {
		return l
	}
	var slack time.Duration
	known := false
	for i := range j.Steps {
		t := j.Ready(k, i, now)
		if len(t) == 0 {
			continue
		}
		if !known {
			slack = p.slack(j, k, now)
			known = true
		}
		l = append(l, candidate{job: j, step: &j.Steps[i], tasks: t, slack: slack})
	}
	return l
}

// slack returns the time that is left until the objective, beyond the remaining work.
func (p *Planner) slack(j *jobs.Job, k int, now time.Time) time.Duration {
	e := func(s *jobs.Step) time.Duration { return p.learned.of(j.Queue.Name, s) }
	from := j.SubmittedAt
	if d := j.DueAt(k); !d.IsZero() {
		from = d
	}
	whole := jobs.Chain(j.Steps, e)
	objective := time.Duration(j.Queue.Stretch*float64(whole)) + j.Queue.TargetLatency
	return from.Add(objective).Sub(now) - j.RemainingChain(k, e)
}

// ranks is the number of kinds of work within a priority.
const ranks = 3

// rank orders the kinds of work before their slack.
func (c *candidate) rank() int {
	switch {
	case c.step.LongRunning:
		return c.job.Queue.Priority*ranks + 1
	case c.slack >= 0:
		return c.job.Queue.Priority * ranks
	}
	return c.job.Queue.Priority*ranks + 2
}

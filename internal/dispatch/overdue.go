package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// maxInterferenceWait is the waiting time after which a best-effort task of a job that runs nothing is placed on a worker
	// whatever its expected speed there.
	maxInterferenceWait = 6 * time.Second
	// maxOverduePerPlan bounds the number of such tasks that one plan places, and overdueInterval is the least time between two
	// plans that place some, so that the speed limits follow.
	maxOverduePerPlan = 8
	overdueInterval   = 200 * time.Millisecond
	// maxReservedFraction is the fraction of a pool's CPU that may be reserved while overdue tasks are placed. Above it tasks wait
	// because the pool is loaded, and its services need the rest.
	maxReservedFraction = 0.5
)

// overdueBudget bounds how many overdue tasks are placed.
type overdueBudget struct {
	// remaining is the number of tasks that the current plan may still place; the budget was last filled at filledAt.
	remaining int
	filledAt  time.Time
	// jobs holds the IDs of the jobs of which a task was placed as overdue.
	jobs map[string]bool
	// pools holds the pools in which overdue tasks may be placed, by name.
	pools map[string]bool
}

// isOverdue reports whether a task has waited for maxInterferenceWait, or a task of its job was placed as overdue before: a
// job that has begun to progress must not pause for as long between its tasks.
func (p *Planner) isOverdue(j *jobs.Job, t *jobs.Task, now time.Time) bool {
	return p.overdue.jobs[j.ID] || p.waits.waited(t, now) >= maxInterferenceWait
}

// begin begins a plan with the given workers.
func (b *overdueBudget) begin(l []*worker, now time.Time) {
	b.remaining = 0
	if now.Sub(b.filledAt) >= overdueInterval {
		b.remaining, b.filledAt, b.pools = maxOverduePerPlan, now, freePools(l)
	}
}

// freePools returns the pools of which at most maxReservedFraction is reserved.
func freePools(l []*worker) map[string]bool {
	free := make(map[string]float64)
	for _, w := range l {
		free[w.Pool] += maxReservedFraction*float64(w.Capacity.MilliCPU) - float64(w.reserved.MilliCPU)
	}
	m := make(map[string]bool, len(free))
	for k, n := range free {
		m[k] = n >= 0
	}
	return m
}

// placeOverdue places the first task of a best-effort step that no worker would run fast enough, if the job runs nothing and
// the task has waited for maxInterferenceWait.
//
// The task gets the worker on which it is expected to run fastest. Its speed limit
// keeps the services of the worker within their targets, and it may be moved like
// any throttled task. One task a job is enough for progress; more would only share
// the same tolerable slowdown. The waiting time is kept, so that a task that is
// moved does not wait as long again.
func (p *Planner) placeOverdue(c *candidateStep, t *jobs.Task, now time.Time) {
	if p.overdue.remaining == 0 || !c.step.BestEffort || !p.overdue.pools[c.job.Queue.Pool] || c.job.Assigned() > 0 || !p.isOverdue(c.job, t, now) {
		return
	}
	w := p.leastDisturbedWorker(c, t, now)
	if w == nil {
		return
	}
	p.overdue.remaining--
	p.overdue.jobs[c.job.ID] = true
	p.assign(c.job, t, w, now)
	if a := w.attempts[t.Ref]; a != nil {
		a.overdue = true
	}
	p.Logger.Info().Str("Task", t.String()).Int("Run", t.Run).Str("Worker", w.ID).Dur("Waited", p.waits.waited(t, now)).Str("Decision", "Overdue").
		Msg("task placed beside services that it slows down, since it waited too long for another worker")
}

// isSoleOverdue reports whether an attempt was placed as overdue and is all that its job runs.
func (a *attempt) isSoleOverdue() bool { return a.overdue && a.job.Assigned() == 1 }

// leastDisturbedWorker returns the worker with the best score among those that could take a task but for the interference with
// their services, or nil if there is none.
func (p *Planner) leastDisturbedWorker(c *candidateStep, t *jobs.Task, now time.Time) *worker {
	var best *worker
	var score float64
	for _, w := range p.schedulable {
		s, e := p.rate(w, c, now)
		if e != excludedInterference || p.taskExclusion(w, c, t, constraints{avoidFailed: true}, now) != notExcluded || best != nil && s <= score {
			continue
		}
		best, score = w, s
	}
	return best
}

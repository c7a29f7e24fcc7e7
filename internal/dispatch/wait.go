package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// failedWorkerRetryDelay is the waiting time after which a run-to-completion task may return to a worker on
	// which the task failed.
	failedWorkerRetryDelay = 1500 * time.Millisecond
	// avoidedWorkerDelay is the waiting time after which a long-running task gets a worker on which other attempts failed.
	avoidedWorkerDelay = time.Second
	// waitLogInterval is the least time between two log messages about a waiting job, and the waiting time before the first.
	waitLogInterval = 2 * time.Second
	// skippedWaitLogInterval is the least time between two log messages about a waiting job whose step was skipped, since a
	// backlog may have a thousand such jobs.
	skippedWaitLogInterval = 10 * time.Second
)

// waitTracker tracks how long tasks have waited for a worker.
type waitTracker struct {
	// since holds the time at which a plan first found no worker for a task.
	since map[jobs.Ref]time.Time
	// loggedAt holds the time of the latest log message about a waiting job, by job ID.
	loggedAt map[string]time.Time
	// skips means that the current plan records the steps that it skips, and skipsAt when a plan last did. It is once per
	// waitLogInterval, since a backlog has many.
	skips   bool
	skipsAt time.Time
}

func newWaitTracker() waitTracker {
	return waitTracker{since: make(map[jobs.Ref]time.Time), loggedAt: make(map[string]time.Time)}
}

// begin begins a plan.
func (w *waitTracker) begin(now time.Time) {
	w.skips = now.Sub(w.skipsAt) >= waitLogInterval
	if w.skips {
		w.skipsAt = now
	}
}

// record records that no worker was found for a task, and returns for how long the task has waited.
func (w *waitTracker) record(t *jobs.Task, now time.Time) time.Duration {
	s, ok := w.since[t.Ref]
	if !ok {
		s = now
		w.since[t.Ref] = now
	}
	return now.Sub(s)
}

// recordWaits records that the tasks of a long-running step wait, since a plan found no worker for the first of them: each of them
// may need capacity that only a task gets which has waited.
func (p *Planner) recordWaits(c *candidateStep, l []*jobs.Task, now time.Time) {
	if !c.step.LongRunning {
		return
	}
	for _, t := range l {
		p.waits.record(t, now)
	}
}

// waited returns for how long a task has waited, 0 if it has not been recorded.
func (w *waitTracker) waited(t *jobs.Task, now time.Time) time.Duration {
	s, ok := w.since[t.Ref]
	if !ok {
		return 0
	}
	return now.Sub(s)
}

// remove drops a task that no longer waits.
func (w *waitTracker) remove(t *jobs.Task) { delete(w.since, t.Ref) }

// removeJob drops the tasks of a finished job.
func (w *waitTracker) removeJob(j *jobs.Job) {
	delete(w.loggedAt, j.ID)
	for _, k := range j.Tasks {
		for _, s := range k {
			for _, t := range s {
				delete(w.since, t.Ref)
			}
		}
	}
}

// wait is a task for which a plan found no worker.
type wait struct {
	step        *candidateStep
	task        *jobs.Task
	constraints constraints
	// waited is for how long the task has waited.
	waited time.Duration
	// skipped means that the plan looked at no worker, since it had found none for a similar task.
	skipped bool
	// suspect means that the task may run only isolated, and waits for its time or for a worker that may isolate it.
	suspect bool
}

// recordSkip records the waiting time of a step that a plan skips.
func (p *Planner) recordSkip(c *candidateStep, now time.Time) {
	if !p.waits.skips {
		return
	}
	t := c.tasks[0]
	p.logWait(wait{step: c, task: t, waited: p.waits.record(t, now), skipped: true}, now)
}

// logWait logs that a task has waited for a worker for at least waitLogInterval, and for how many workers each reason to pass
// them over applies, at most once per waitLogInterval and job, and per skippedWaitLogInterval if the step was skipped.
func (p *Planner) logWait(x wait, now time.Time) {
	d := waitLogInterval
	if x.skipped {
		d = skippedWaitLogInterval
	}
	t, c := x.task, x.step
	if x.waited < waitLogInterval || now.Sub(p.waits.loggedAt[t.Job]) < d {
		return
	}
	p.waits.loggedAt[t.Job] = now
	e := p.Logger.Info().Str("Task", t.String()).Int("Run", t.Run).Dur("Waited", x.waited).Dur("Slack", c.slack).Float64("Left", c.remainingFraction).Int("OpenWorkers", len(p.schedulable)).
		Int("RoomFor", p.taskCapacity(c, t, now)).Int("FailedAt", len(t.FailedAt)).Float64("ReservedPart", p.reserve.fraction()).
		Str("Image", c.step.Image).Int("NeedsMilliCPU", c.step.Size.MilliCPU).Int("NeedsMemoryMB", c.step.Size.MemoryMB)
	if x.skipped {
		e.Bool("Skipped", true)
	}
	if c.job.Account != "" {
		p.logUse(e, c.job.Account).Bool("BeyondRate", c.beyondRate).Bool("OverShare", p.accounts.isOverShare(c.job))
	}
	if x.suspect {
		e.Bool("Suspect", true)
		p.logSuspectWait(e, t, now)
	}
	for r, n := range p.countExclusions(x, now) {
		if n > 0 {
			e.Int(exclusion(r).String(), n)
		}
	}
	e.Str("Decision", "Wait").Msg("task waits for a worker")
}

// countExclusions returns, by exclusion, the number of workers that are passed over for it.
func (p *Planner) countExclusions(x wait, now time.Time) [exclusionCount]int {
	var n [exclusionCount]int
	for _, w := range p.workerList {
		n[p.explain(w, x.step, x.task, x.constraints, now)]++
	}
	return n
}

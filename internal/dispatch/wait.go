package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// failedWorkerRetryDelay is the waiting time after which a run-to-completion task may return to a worker on
	// which the task failed.
	failedWorkerRetryDelay = 1500 * time.Millisecond
	// waitLogInterval is the least time between two log messages about a waiting job, and the waiting time before the first.
	waitLogInterval = 2 * time.Second
)

// waitTracker tracks how long tasks have waited for a worker.
type waitTracker struct {
	// since holds the time at which a plan first found no worker for a task.
	since map[jobs.Ref]time.Time
	// loggedAt holds the time of the latest log message about a waiting job, by job ID.
	loggedAt map[string]time.Time
}

func newWaitTracker() waitTracker {
	return waitTracker{since: make(map[jobs.Ref]time.Time), loggedAt: make(map[string]time.Time)}
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

// logWait logs that a task has waited for a worker for at least waitLogInterval, at most once per waitLogInterval and job.
func (p *Planner) logWait(c *candidateStep, t *jobs.Task, waited time.Duration, now time.Time) {
	if waited < waitLogInterval || now.Sub(p.waits.loggedAt[t.Job]) < waitLogInterval {
		return
	}
	p.waits.loggedAt[t.Job] = now
	p.Logger.Info().Str("Task", t.String()).Int("Run", t.Run).Dur("Waited", waited).Dur("Slack", c.slack).Float64("Left", c.remainingFraction).Int("OpenWorkers", len(p.schedulable)).
		Int("RoomFor", p.taskCapacity(c, t, now)).Int("FailedAt", len(t.FailedAt)).Float64("ReservedPart", p.reserve.fraction()).Str("Decision", "Wait").Msg("task waits for a worker")
}

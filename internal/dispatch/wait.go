package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// returnAfter is the time after which a task whose failures count goes back to a worker where it failed.
	returnAfter = 1500 * time.Millisecond
	// logWaitEvery is the time between two log lines of a job that waits.
	logWaitEvery = 2 * time.Second
)

// waits holds since when the tasks have waited for which a plan found no worker.
type waits struct {
	since    map[jobs.Ref]time.Time
	loggedAt map[string]time.Time
}

func newWaits() waits {
	return waits{since: make(map[jobs.Ref]time.Time), loggedAt: make(map[string]time.Time)}
}

// note notes that a task found no worker, and returns for how long it has waited.
func (w *waits) note(t *jobs.Task, now time.Time) time.Duration {
	s, ok := w.since[t.Ref]
	if !ok {
		s = now
		w.since[t.Ref] = now
	}
	return now.Sub(s)
}

// end notes that a task waits no longer.
func (w *waits) end(t *jobs.Task) { delete(w.since, t.Ref) }

// forget drops the tasks of a job that is over.
func (w *waits) forget(j *jobs.Job) {
	delete(w.loggedAt, j.ID)
	for _, k := range j.Tasks {
		for _, s := range k {
			for _, t := range s {
				delete(w.since, t.Ref)
			}
		}
	}
}

// logWait tells, from time to time, that a step waits and beside what room.
func (p *Planner) logWait(c *candidate, t *jobs.Task, waited time.Duration, now time.Time) {
	if waited < logWaitEvery || now.Sub(p.waits.loggedAt[t.Job]) < logWaitEvery {
		return
	}
	p.waits.loggedAt[t.Job] = now
	p.Logger.Info().Str("Task", t.String()).Int("Run", t.Run).Dur("Waited", waited).Dur("Slack", c.slack).Float64("Left", c.left).Int("OpenWorkers", len(p.open)).
		Int("RoomFor", p.roomFor(c, t, now)).Int("FailedAt", len(t.FailedAt)).Float64("ReservedPart", p.reserve.part()).Str("Decision", "Wait").Msg("no worker for the task yet")
}

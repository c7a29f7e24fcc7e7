package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// progressTick is the time between two reports, and progressTask the run time of a task at a sound worker.
	progressTick = 300 * time.Millisecond
	progressTask = 6 * time.Second
)

// progress plays tasks whose workers work at the given speeds, 1 where none is given.
type progress struct {
	*scene
	speeds map[string]float64
	done   map[jobs.Ref]float64
	// stopped counts the stops by worker, and started the starts after them.
	stopped map[string]int
	started map[string]int
}

func newProgress(t *testing.T, speeds map[string]float64) *progress {
	return &progress{
		scene: newScene(t, 8), speeds: speeds, done: make(map[jobs.Ref]float64),
		stopped: make(map[string]int), started: make(map[string]int),
	}
}

func (r *progress) tick() {
	x := r.plan()
	for _, o := range x[OrderStart] {
		r.p.HandleStartResult(o, ResultAccepted, r.now)
		r.done[o.Ref] = 0
		r.started[o.Worker]++
	}
	for _, o := range x[OrderStop] {
		r.p.HandleStopResult(o, ResultAccepted, r.now)
		r.stopped[o.Worker]++
	}
	r.after(progressTick)
	for _, w := range r.p.list {
		speed, ok := r.speeds[w.ID]
		if !ok {
			speed = 1
		}
		var l []RunningAttempt
		for _, a := range w.list {
			if a.stopping {
				continue
			}
			r.done[a.task.Ref] += speed * float64(progressTick) / float64(progressTask)
			l = append(l, RunningAttempt{Ref: a.task.Ref, Run: a.run, ProgressPercent: int(min(99, fullPace*r.done[a.task.Ref]))})
		}
		r.report(w.ID, l)
	}
}

// A job waited for the last of its tasks, which stood still at a worker whose reports were good.
func TestTasksAreMovedAwayFromWorkersThatStandStillOrAreSlow(t *testing.T) {
	for name, speed := range map[string]float64{"stands still": 0, "slow": 0.15} {
		t.Run(name, func(t *testing.T) {
			r := newProgress(t, map[string]float64{"i-03": speed})
			s := plainStep(24)
			s.Estimate, s.Checkpoints = 10*progressTask, true
			r.p.AddJob(testJob(testID(1), r.now, s), r.now)
			r.tick()
			held := r.started["i-03"]
			require.Positive(t, held)
			for range 12 {
				r.tick()
			}
			require.Equal(t, map[string]int{"i-03": held}, r.stopped)
			require.Equal(t, held, r.started["i-03"], "a slow worker gets nothing new")
		})
	}
}

// Estimates of callers are off by any factor, so that workers are compared by the progress of the same step only.
func TestWorkersWithLongTasksAreNotTakenForSlow(t *testing.T) {
	r := newProgress(t, nil)
	for n, e := range []time.Duration{time.Second / 10, progressTask, 10 * progressTask} {
		s := plainStep(16)
		s.Estimate = e
		r.p.AddJob(testJob(testID(n+1), r.now, s), r.now)
	}
	for range 15 {
		r.tick()
	}
	require.Empty(t, r.stopped)
}

// Where most workers are slow, it is the usual speed that is wrong.
func TestManySlowWorkersAreLeftAlone(t *testing.T) {
	r := newProgress(t, map[string]float64{"i-00": 0.2, "i-01": 0.2, "i-02": 0.2, "i-03": 0.2})
	r.p.AddJob(testJob(testID(1), r.now, plainStep(32)), r.now)
	for range 12 {
		r.tick()
	}
	require.Empty(t, r.stopped)
}

// A belief that nothing confirms is dropped, so that the worker is tried again.
func TestSlowWorkerIsTriedAgain(t *testing.T) {
	r := newProgress(t, map[string]float64{"i-03": 0})
	s := plainStep(24)
	s.Checkpoints = true
	r.p.AddJob(testJob(testID(1), r.now, s), r.now)
	for range 8 {
		r.tick()
	}
	require.True(t, r.p.workers["i-03"].speed.slow)
	for range 12 {
		r.tick()
	}
	require.False(t, r.p.workers["i-03"].speed.slow)
}

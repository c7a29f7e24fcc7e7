package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// stragglerTick is the time between two reports, and stragglerRunTime the run time of a task on a worker of speed 1.
	stragglerTick    = 300 * time.Millisecond
	stragglerRunTime = 6 * time.Second
)

// stragglerFleet simulates tasks on workers with different speeds.
type stragglerFleet struct {
	*simulation
	// speeds holds the speeds of workers by ID; a worker that is missing has speed 1. doneFraction holds the fraction of the
	// work that is done by task.
	speeds       map[string]float64
	doneFraction map[jobs.Ref]float64
	// stopped and started count the executed stops and starts by worker.
	stopped map[string]int
	started map[string]int
}

func newStragglerFleet(t *testing.T, speeds map[string]float64) *stragglerFleet {
	return &stragglerFleet{
		simulation: newSimulation(t, 8), speeds: speeds, doneFraction: make(map[jobs.Ref]float64),
		stopped: make(map[string]int), started: make(map[string]int),
	}
}

// tick plans, executes the orders, advances the time by stragglerTick and lets every worker report.
func (f *stragglerFleet) tick() {
	x := f.plan()
	for _, o := range x[OrderStart] {
		f.p.HandleStartResult(o, ResultAccepted, f.now)
		f.doneFraction[o.Ref] = 0
		f.started[o.Worker]++
	}
	for _, o := range x[OrderStop] {
		f.p.HandleStopResult(o, ResultAccepted, f.now)
		f.stopped[o.Worker]++
	}
	f.advance(stragglerTick)
	for _, w := range f.p.workerList {
		speed, ok := f.speeds[w.ID]
		if !ok {
			speed = 1
		}
		var l []RunningAttempt
		for _, a := range w.attemptList {
			if a.stopping {
				continue
			}
			f.doneFraction[a.task.Ref] += speed * float64(stragglerTick) / float64(stragglerRunTime)
			l = append(l, RunningAttempt{Ref: a.task.Ref, Run: a.run, ProgressPercent: int(min(99, fullSpeed*f.doneFraction[a.task.Ref]))})
		}
		f.report(w.ID, l)
	}
}

// A job waits for the last of its tasks, which may make no progress although its worker reports regularly.
func TestTasksAreRescheduledFromStragglers(t *testing.T) {
	for name, speed := range map[string]float64{"no progress": 0, "slow": 0.15} {
		t.Run(name, func(t *testing.T) {
			f := newStragglerFleet(t, map[string]float64{"i-03": speed})
			s := plainStep(24)
			s.Estimate, s.Checkpoints = 10*stragglerRunTime, true
			f.p.AddJob(testJob(testID(1), f.now, s), f.now)
			f.tick()
			started := f.started["i-03"]
			require.Positive(t, started)
			for range 12 {
				f.tick()
			}
			require.Equal(t, map[string]int{"i-03": started}, f.stopped)
			require.Equal(t, started, f.started["i-03"], "a straggler gets no new tasks")
		})
	}
}

// Callers' estimates may be wrong by any factor, so that workers are compared only by the progress of tasks of the same
// steps.
func TestWorkersWithLongTasksAreNotStragglers(t *testing.T) {
	f := newStragglerFleet(t, nil)
	for n, e := range []time.Duration{time.Second / 10, stragglerRunTime, 10 * stragglerRunTime} {
		s := plainStep(16)
		s.Estimate = e
		f.p.AddJob(testJob(testID(n+1), f.now, s), f.now)
	}
	for range 15 {
		f.tick()
	}
	require.Empty(t, f.stopped)
}

// If many workers are slow, the median speed is not a valid reference.
func TestNoStragglersWhenManyWorkersAreSlow(t *testing.T) {
	f := newStragglerFleet(t, map[string]float64{"i-00": 0.2, "i-01": 0.2, "i-02": 0.2, "i-03": 0.2})
	f.p.AddJob(testJob(testID(1), f.now, plainStep(32)), f.now)
	for range 12 {
		f.tick()
	}
	require.Empty(t, f.stopped)
}

// A speed that has not been measured for maxSpeedAge is no longer known, so that the worker no longer counts as a straggler.
func TestStragglerIsRetriedAfterMaxSpeedAge(t *testing.T) {
	f := newStragglerFleet(t, map[string]float64{"i-03": 0})
	s := plainStep(24)
	s.Checkpoints = true
	f.p.AddJob(testJob(testID(1), f.now, s), f.now)
	for range 8 {
		f.tick()
	}
	require.True(t, f.p.workers["i-03"].speed.straggler)
	for range 12 {
		f.tick()
	}
	require.False(t, f.p.workers["i-03"].speed.straggler)
}

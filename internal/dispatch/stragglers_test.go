package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/straggler"
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
	// odd holds, by job, what its tasks report as their progress at each tick instead of what is done.
	odd   map[string]func(tick int) int
	ticks int
	// stoppedTasks lists the tasks that were stopped.
	stoppedTasks []jobs.Ref
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
		f.stoppedTasks = append(f.stoppedTasks, o.Ref)
	}
	f.advance(stragglerTick)
	f.ticks++
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
			n := int(min(99, fullSpeed*f.doneFraction[a.task.Ref]))
			if x := f.odd[a.task.Job]; x != nil {
				n = x(f.ticks)
			}
			l = append(l, RunningAttempt{Ref: a.task.Ref, Run: a.run, ProgressPercent: n})
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

// A long task alone on its worker is no sign of a slow worker where long tasks are frequent; all tasks of a worker are.
func TestCausesOfSlowAttemptsAreTold(t *testing.T) {
	f := newStragglerFleet(t, map[string]float64{"i-03": 0.15})
	f.p.AddJob(testJob(testID(1), f.now, plainStep(40)), f.now)
	for range 6 {
		f.tick()
	}
	c := f.p.TakeCounts()
	require.Equal(t, map[string]int{string(straggler.CauseSlowWorker): 5}, c.SlowAttempts)
	require.Equal(t, map[string]int{string(straggler.CauseSlowWorker): 5}, c.MovedAttempts)
}

// A task with a checkpoint may try another worker once on suspicion. If it is slow there as well, it is long.
func TestTaskWithCheckpointIsMovedOnSuspicionOnce(t *testing.T) {
	s := newSimulation(t, 2)
	step := plainStep(1)
	step.Checkpoints = true
	j := testJob(testID(1), s.now, step)
	s.p.AddJob(j, s.now)
	o := s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultAccepted, s.now)
	w := s.p.workers[o.Worker]
	a := w.attempts[o.Ref]
	r := s.p.progressRate(a.task)
	r.percent, r.seconds = 1000, 40
	w.speed = speed{typicalSeconds: 0.2, elapsedSeconds: 2, at: s.now, suspected: true}
	s.p.medianSpeed, s.p.fleet.LongFraction = 1, 0.2
	w.paces.Reserved.Slow = 1
	require.Equal(t, straggler.CauseSlowWorker, s.p.moveCause(w, a))
	require.True(t, s.p.finishesEarlierElsewhere(w, a))
	r.recordMove(a.task)
	require.Equal(t, straggler.CauseNone, s.p.moveCause(w, a))
	require.False(t, s.p.finishesEarlierElsewhere(w, a))
}

// Reports may be repeated, and progress may jump or go back. The other tasks of the worker must not be stopped for it.
func TestProgressThatJumpsAffectsNoOtherTask(t *testing.T) {
	for name, progress := range map[string]func(n int) int{
		"jumps":      func(n int) int { return 99 * (n % 2) },
		"goes back":  func(n int) int { return max(0, 90-10*n) },
		"stands":     func(int) int { return 50 },
		"is invalid": func(n int) int { return []int{-1 << 40, 1 << 40}[n%2] },
	} {
		t.Run(name, func(t *testing.T) {
			f := newStragglerFleet(t, nil)
			f.p.AddJob(testJob(testID(1), f.now, plainStep(24)), f.now)
			f.p.AddJob(testJob(testID(2), f.now, plainStep(8)), f.now)
			f.odd = map[string]func(int) int{testID(2): progress}
			for range 15 {
				f.tick()
			}
			for _, r := range f.stoppedTasks {
				require.NotEqual(t, testID(1), r.Job)
			}
		})
	}
}

package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

// shrink lists the only worker with another capacity.
func (s *simulation) shrink(milliCPU, memoryMB int) {
	w := testWorker(0)
	w.Capacity = jobs.Resources{MilliCPU: milliCPU, MemoryMB: memoryMB}
	s.p.SetWorkers([]WorkerInfo{w}, s.now)
}

// startAll plans, accepts all starts, and reports them as running.
func (s *simulation) startAll() []Order {
	l := s.plan()[OrderStart]
	var running []RunningAttempt
	for _, o := range l {
		s.p.HandleStartResult(o, ResultAccepted, s.now)
		running = append(running, RunningAttempt{Ref: o.Ref, Run: o.Run})
	}
	s.report(testWorker(0).ID, running)
	return l
}

// A worker's capacity may shrink below what runs there, and grow again.
func TestNothingStartsOverAShrunkCapacity(t *testing.T) {
	bestEffort, large := plainStep(1), plainStep(1)
	bestEffort.BestEffort = true
	large.Size.MemoryMB = 20000
	for name, c := range map[string]struct {
		step                jobs.Step
		milliCPU, memoryMB  int
		startsAfterShrinked int
	}{
		"processors":                            {plainStep(1), 3000, 128000, 0},
		"memory":                                {large, 32000, 10000, 0},
		"memory of best-effort work":            {bestEffort, 32000, 1500, 0},
		"room for one more":                     {plainStep(1), 6000, 128000, 1},
		"best-effort work on shrunk processors": {bestEffort, 3000, 128000, 0},
	} {
		s := newSimulation(t, 1)
		s.p.AddJob(testJob(testID(1), s.now, plainStep(2)), s.now)
		require.Len(t, s.startAll(), 2)
		s.shrink(c.milliCPU, c.memoryMB)
		s.p.AddJob(testJob(testID(2), s.now, c.step), s.now)
		require.Len(t, s.plan()[OrderStart], c.startsAfterShrinked, name)
		s.shrink(32000, 128000)
		require.Len(t, s.plan()[OrderStart], 1-c.startsAfterShrinked, name)
	}
}

// The list showed that a worker had shrunk after a start was planned, and the start was sent all the same.
func TestPlannedStartOverAShrunkCapacityIsNotSent(t *testing.T) {
	s := newSimulation(t, 1)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	s.p.Plan(s.now)
	_, l := s.p.TakeChanges()
	require.Len(t, l, 1)
	s.shrink(1000, 128000)
	require.Empty(t, s.p.OrdersCommitted(l, s.now))
}

// A worker ran an attempt that the owner did not hold. Until it had stopped it took capacity that the owner gave to others.
func TestOrphanCountsAgainstTheCapacityUntilItHasStopped(t *testing.T) {
	s := newSimulation(t, 1)
	s.shrink(5000, 128000)
	orphaned := testJob(testID(1), s.now, plainStep(2))
	s.p.AddJob(orphaned, s.now)
	s.p.Cancel(orphaned.ID, s.now)
	s.report(testWorker(0).ID, []RunningAttempt{{Ref: orphaned.Tasks[0][0][0].Ref, Run: 1}, {Ref: orphaned.Tasks[0][0][1].Ref, Run: 1}})
	s.p.AddJob(testJob(testID(2), s.now, plainStep(1)), s.now)
	x := s.plan()
	require.NotEmpty(t, x[OrderStop])
	require.Empty(t, x[OrderStart])
	s.advance(crashFleetStep)
	s.report(testWorker(0).ID, nil)
	require.Len(t, s.plan()[OrderStart], 1)
}

// An attempt that is being stopped takes its capacity until its end is reported.
func TestStoppingAttemptCountsAgainstTheCapacity(t *testing.T) {
	s := newSimulation(t, 1)
	s.shrink(3000, 128000)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	o := s.startAll()[0]
	s.p.Cancel(o.Job, s.now)
	s.p.AddJob(testJob(testID(2), s.now, plainStep(1)), s.now)
	x := s.plan()
	require.Len(t, x[OrderStop], 1)
	require.Empty(t, x[OrderStart])
	s.p.HandleStopResult(x[OrderStop][0], ResultAccepted, s.now)
	require.Empty(t, s.plan()[OrderStart])
	s.report(o.Worker, nil, FinishedAttempt{Ref: o.Ref, Number: 1, Run: o.Run, Outcome: jobs.OutcomeStopped})
	require.Len(t, s.plan()[OrderStart], 1)
}

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// maxIdleJob is the longest time that a best-effort job may have nothing running while workers have CPU to spare.
	maxIdleJob = 10 * time.Second
	// maxPlanInterval is the longest time between two plans of an owner.
	maxPlanInterval = 100 * time.Millisecond
	// overdueJobs is the number of best-effort jobs in the simulated backlog; most of them wait at first.
	overdueJobs = 16
)

func overdueJob(n int, now time.Time) *jobs.Job {
	return testJob(testID(n), now, jobs.Step{
		Tasks: 5, Size: jobs.Resources{MilliCPU: 9000, MemoryMB: 4000}, BestEffort: true, Image: "batch-0", Estimate: 2 * time.Second, Checkpoints: true,
	})
}

// runBacklog simulates a backlog of best-effort jobs of an image that interferes strongly with the given number of services of 4
// tasks each, and returns the longest time for which one of the jobs had nothing running.
func runBacklog(t *testing.T, services int) (*colocationSimulation, time.Duration) {
	t.Helper()
	r := newColocationSimulation(t, 8)
	for n := range services {
		r.addService(n, "service-0")
	}
	r.executeOrders()
	for range 10 {
		r.step()
	}
	var l []*jobs.Job
	for n := range overdueJobs {
		j := overdueJob(n+1, r.now)
		r.p.AddJob(j, r.now)
		l = append(l, j)
	}
	idle := make(map[string]time.Duration)
	var longest time.Duration
	for range 80 {
		r.step()
		r.planAgain()
		for _, j := range l {
			idle[j.ID] += simulationStep
			if j.Assigned() > 0 || j.IsTerminal() {
				idle[j.ID] = 0
			}
			longest = max(longest, idle[j.ID])
		}
	}
	return r, longest
}

// planAgain lets the owner plan at its longest interval after a step, without new reports.
func (c *colocationSimulation) planAgain() {
	c.advance(maxPlanInterval)
	c.executeOrders()
	c.advance(-maxPlanInterval)
}

// Best-effort jobs had nothing running for 30 s and more, since each worker was either full or had a service with which they
// interfere, while most of the CPU was free.
func TestBestEffortJobIsNotKeptWaitingForInterferenceWithoutEnd(t *testing.T) {
	r, longest := runBacklog(t, 5)
	t.Logf("longest idle %v, over the bound %d of %d, finished %d", longest, r.overBoundSteps, r.serviceSteps, r.finishedTasks)
	require.Less(t, longest, maxIdleJob)
	require.Less(t, float64(r.overBoundSteps)/float64(r.serviceSteps), maxOverBoundFraction, "fraction of the time over the bound")
	require.Equal(t, 5*overdueJobs, r.finishedTasks)
}

// Overdue tasks kept services over their bounds while the pool was loaded.
func TestOverdueTasksAreNotPlacedWhileMostOfThePoolIsReserved(t *testing.T) {
	r, _ := runBacklog(t, 8)
	require.Empty(t, r.p.overdue.jobs)
}

// newOverdueSimulation returns a simulation in which a service on each of 2 workers tolerates a best-effort image at a few
// percent of its speed, and a job of the image that has just become overdue.
func newOverdueSimulation(t *testing.T) (*simulation, *lines) {
	t.Helper()
	s, log := newLoggedSimulation(t, 2)
	service := jobs.Step{Tasks: 2, Size: jobs.Resources{MilliCPU: 10000, MemoryMB: 1000}, LongRunning: true, Image: "service-0", TailBound: testTailBound, MaxPerWorker: 1}
	s.p.AddJob(testJob(testID(1), s.now, service), s.now)
	for _, o := range s.plan()[OrderStart] {
		s.p.HandleStartResult(o, ResultAccepted, s.now)
	}
	s.p.interference.sensitivityOf("service-0").pairs["batch-0"] = &estimate{heavyInterference, minVariance}
	s.p.AddJob(overdueJob(2, s.now), s.now)
	s.pass(maxInterferenceWait)
	require.Empty(t, log.with(t, "Overdue"))
	return s, log
}

func TestOverdueTaskIsThrottledByTheNextPlan(t *testing.T) {
	s, log := newOverdueSimulation(t)
	s.advance(overdueInterval)
	s.reportAll(s.p.workers["i-00"])
	s.reportAll(s.p.workers["i-01"])
	l := s.plan()[OrderStart]
	require.Len(t, l, 1, "one task of the job")
	x := log.with(t, "Overdue")
	require.Len(t, x, 1)
	require.Equal(t, l[0].String(), x[0]["Task"])
	s.p.workers[l[0].Worker].throttledAt = s.now
	s.p.HandleStartResult(l[0], ResultAccepted, s.now)
	s.advance(maxPlanInterval)
	p := s.plan()[OrderThrottle]
	require.Len(t, p, 1)
	require.Less(t, p[0].SpeedPercent, relocationSpeedPercent)
	s.advance(overdueInterval)
	require.Empty(t, s.plan()[OrderStart], "the job has something running")
}

// A task that was moved at once would wait again, and its job would have nothing running.
func TestSoleOverdueTaskIsMovedLate(t *testing.T) {
	a := &attempt{job: testJob(testID(1), time.Time{}, plainStep(2)), overdue: true, phase: phaseRunning}
	a.task = a.job.Tasks[0][0][0]
	a.task.Spec.BestEffort, a.task.Spec.Checkpoints = true, true
	require.True(t, a.job.Assign(a.task, "i-00", testIncarnation, time.Time{}))
	a.throttledSince = time.Unix(1_700_000_000, 0)
	late := a.throttledSince.Add(maxSlowDuration + time.Millisecond)
	require.False(t, isThrottledTooLong(a, late))
	require.True(t, isThrottledTooLong(a, a.throttledSince.Add(maxSlowDurationRestart+time.Millisecond)))
	require.True(t, a.job.Assign(a.job.Tasks[0][0][1], "i-01", testIncarnation, time.Time{}))
	require.True(t, isThrottledTooLong(a, late))
}

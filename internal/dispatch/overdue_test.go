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
	// overdueJobs is the number of best-effort jobs in the simulated backlog; most of them wait at first.
	overdueJobs = 16
)

// runBacklog simulates a backlog of best-effort jobs of an image that interferes strongly with a service on each worker, and
// returns the longest time for which one of the jobs had nothing running.
func runBacklog(t *testing.T) (*colocationSimulation, time.Duration) {
	t.Helper()
	r := newColocationSimulation(t, 8)
	for n := range 8 {
		r.addService(n, "service-0")
	}
	r.executeOrders()
	for range 10 {
		r.step()
	}
	var l []*jobs.Job
	for n := range overdueJobs {
		j := testJob(testID(n+1), r.now, jobs.Step{
			Tasks: 5, Size: jobs.Resources{MilliCPU: 9000, MemoryMB: 4000}, BestEffort: true, Image: "batch-0", Estimate: 2 * time.Second, Checkpoints: true,
		})
		r.p.AddJob(j, r.now)
		l = append(l, j)
	}
	idle := make(map[string]time.Duration)
	var longest time.Duration
	for range 80 {
		r.step()
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

// On a long day best-effort jobs had nothing running for 30 s and more, since each worker was either full or had a service with
// which they interfere, while most of the CPU was free (LOST in owners-lost-in-series, seed 11).
func TestBestEffortJobIsNotKeptWaitingForInterferenceWithoutEnd(t *testing.T) {
	r, longest := runBacklog(t)
	t.Logf("longest idle %v, over the bound %d of %d, finished %d", longest, r.overBoundSteps, r.serviceSteps, r.finishedTasks)
	require.Less(t, longest, maxIdleJob)
	require.Less(t, float64(r.overBoundSteps)/float64(r.serviceSteps), maxOverBoundFraction, "fraction of the time over the bound")
	require.Positive(t, r.finishedTasks)
}

package jobserve

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/limits"
)

// jobWithTasks returns a job with a number of tasks.
func jobWithTasks(n, tasks int) *jobs.Spec {
	return &jobs.Spec{ID: testJob(n), Queue: jobs.Queue{Name: "q"}, Steps: []jobs.Step{{Tasks: tasks}}, SubmittedAt: time.UnixMilli(0)}
}

// testJobLimit has room for three jobs of 1,000 tasks.
const testJobLimit = 3 * 1000 * 420

// newLimitedInstance returns a service that accepts jobs of testJobLimit.
func newLimitedInstance(t *testing.T, s *pagedStore) (*accountInstance, *Metrics) {
	t.Helper()
	i, m := newAccountInstance(t, s), NewMetrics()
	i.SetJobLimit(testJobLimit, m)
	return i, m
}

// Jobs of legal size that an instance had accepted ended it: each of their tasks takes some hundred bytes at the owner.
func TestJobsBeyondTheMemoryOfTheOwnerAreRefused(t *testing.T) {
	i, m := newLimitedInstance(t, newPagedStore(0))
	for n := range 3 {
		require.NoError(t, i.Submit(t.Context(), unchecked, jobWithTasks(n, 1000)))
	}
	stored := i.requests()
	err := i.Submit(t.Context(), unchecked, jobWithTasks(3, 1000))
	var e *FullError
	require.ErrorAs(t, err, &e)
	require.ErrorIs(t, err, ErrNotAccepted)
	require.Equal(t, stored, i.requests(), "a job that is refused is not stored")
	require.Equal(t, "1", m.counters.Get(series(metricLimited, label("listener", "callers", "reason", string(limits.ReasonJobs)))).String())
	require.NoError(t, i.Submit(t.Context(), unchecked, jobWithTasks(4, 2)), "large jobs keep no ordinary one out")
	require.NoError(t, i.Submit(t.Context(), unchecked, jobWithTasks(0, 1000)), "a job that is known is accepted again")
}

func TestFinishedJobsMakeRoom(t *testing.T) {
	s := newPagedStore(0)
	i, _ := newLimitedInstance(t, s)
	for n := range 3 {
		require.NoError(t, i.Submit(t.Context(), unchecked, jobWithTasks(n, 1000)))
	}
	s.put(PartitionRequests, statePrefix+testJob(0), []byte(jobs.StateCompleted))
	s.put(PartitionRequests, submissionPrefix+testJob(1), nil)
	require.NoError(t, refreshFor(i.replica, testPatience))
	i.replica.measureJobs()
	require.NoError(t, i.Submit(t.Context(), unchecked, jobWithTasks(3, 1000)))
	require.NoError(t, i.Submit(t.Context(), unchecked, jobWithTasks(4, 800)))
	require.ErrorIs(t, i.Submit(t.Context(), unchecked, jobWithTasks(5, 1000)), ErrNotAccepted)
}

// The jobs that other instances accept count too, since any instance may become the owner.
func TestJobsOfOtherInstancesAreMeasured(t *testing.T) {
	s := newPagedStore(0)
	i, _ := newLimitedInstance(t, s)
	other, _ := newLimitedInstance(t, s)
	for n := range 3 {
		require.NoError(t, other.Submit(t.Context(), unchecked, jobWithTasks(n, 1000)))
	}
	require.NoError(t, refreshFor(i.replica, testPatience))
	i.replica.measureJobs()
	require.Equal(t, other.replica.JobMemory(), i.replica.JobMemory())
	require.ErrorIs(t, i.Submit(t.Context(), unchecked, jobWithTasks(3, 1000)), ErrNotAccepted)
}

// A submission whose outcome is unknown takes room only while it is being stored.
func TestRoomOfASubmissionThatFailsIsReturned(t *testing.T) {
	i, _ := newLimitedInstance(t, newPagedStore(0))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for n := range 9 {
		err := i.Submit(ctx, unchecked, jobWithTasks(n, 1000))
		require.NotErrorAs(t, err, new(*FullError), fmt.Sprint(n))
		i.replica.mu.Lock()
		i.replica.memory.forget(testJob(n))
		i.replica.mu.Unlock()
	}
	require.Zero(t, i.room.storing.Load())
}

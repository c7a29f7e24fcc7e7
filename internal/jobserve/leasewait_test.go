package jobserve

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/jobs"
)

const (
	testStoreLossGrace = 3 * time.Second
	// testRestoredWait is longer than the wait until the leases that a former owner may have granted have expired.
	testRestoredWait = 10 * time.Second
)

// newIdleOwner returns an owner that took over now, with one job whose only task is assigned to a worker.
func newIdleOwner(t *testing.T, worker string, now time.Time) *Owner {
	t.Helper()
	p := dispatch.New(dispatch.Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, Logger: zerolog.Nop()}, now)
	p.SetWorkers([]dispatch.WorkerInfo{{ID: "i-00", Address: "10.0.0.0:80", Pool: "pool"}}, now)
	step := jobs.Step{Tasks: 1, Size: jobs.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second}
	j := jobs.New(jobs.Spec{ID: "0000000000000001", Queue: jobs.Queue{Name: "queue", Pool: "pool", MaxAttempts: 3}, Steps: []jobs.Step{step}, SubmittedAt: now})
	require.True(t, j.Assign(j.Tasks[0][0][0], worker, 1, now))
	p.AddJob(j, now)
	return &Owner{OwnerConfig: OwnerConfig{Replica: NewReplica(nil, zerolog.Nop())}, planner: p}
}

// runCycles runs planning cycles whose commits succeed, and returns when each snapshot was made. The workers don't respond.
func runCycles(t *testing.T, o *Owner, now time.Time, d time.Duration) []time.Time {
	t.Helper()
	var l []time.Time
	for u := now.Add(d); now.Before(u); now = now.Add(maxPlanInterval) {
		o.planner.Plan(now)
		changed, _ := o.planner.TakeChanges()
		r, err := o.encodeRecords(changed, now)
		require.NoError(t, err)
		if len(r) > 0 && r[len(r)-1].Key == snapshotKey {
			l = append(l, now)
			o.planner.SnapshotCommitted()
		}
	}
	return l
}

// An owner that had nothing to commit wrote no snapshot, so that the next owner started the wait for a missing worker anew.
func TestIdleOwnerRenewsTheSnapshotWhileItWaitsForAMissingWorker(t *testing.T) {
	const maxLostWait = 1200 * time.Millisecond
	now := time.Unix(1_700_000_000, 0)
	o := newIdleOwner(t, "i-09", now)
	l := runCycles(t, o, now, testRestoredWait)
	require.NotEmpty(t, l)
	require.Less(t, l[0].Sub(now), maxLostWait)
	for i := range l[1:] {
		require.Less(t, l[i+1].Sub(l[i]), maxLostWait)
	}
	require.Greater(t, l[len(l)-1].Sub(now), testRestoredWait-maxLostWait, "the last snapshot no longer names the worker")
	require.LessOrEqual(t, len(l), int(testRestoredWait/time.Second)+2)
	require.Empty(t, runCycles(t, o, now.Add(testRestoredWait), testRestoredWait))
}

func TestIdleOwnerWritesNoSnapshotWhileEachWorkerIsKnown(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	require.Empty(t, runCycles(t, newIdleOwner(t, "i-00", now), now, 2*time.Second))
}

package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/placement"
	"currantknot.dev/currantknot/internal/record"
)

// newClaimedShard returns a shard that is owned by the instance a, and its epoch.
func newClaimedShard(t *testing.T) (*placement.Shard, uint64) {
	t.Helper()
	s := placement.NewShard()
	require.NoError(t, s.Apply(0, &record.Envelope{}, &record.Record{Claim: &record.Claim{Owner: "a"}}))
	return s, s.Epoch
}

func bindRecord(epoch uint64, task string, processors int) *record.Record {
	return &record.Record{Bind: &record.Bind{
		Epoch: epoch, Task: task, Attempt: 1, Worker: "w",
		Size:        record.Size{processors, 1},
		Capacity:    record.Size{4, 8},
		StartBefore: time.Unix(1, 0),
	}}
}

func TestShardRefusesCommitmentBeyondCapacity(t *testing.T) {
	s, e := newClaimedShard(t)
	require.NoError(t, s.Apply(1, &record.Envelope{}, bindRecord(e, "j@1/0", 3)))
	var r *placement.RefusedError
	require.ErrorAs(t, s.Apply(2, &record.Envelope{}, bindRecord(e, "j@1/1", 2)), &r)
	require.Equal(t, 3, s.Committed["w"].Processors)
}

func TestShardRefusesSupersededOwner(t *testing.T) {
	s, e := newClaimedShard(t)
	require.NoError(t, s.Apply(1, &record.Envelope{}, &record.Record{Claim: &record.Claim{Owner: "b", Previous: e}}))
	var r *placement.RefusedError
	require.ErrorAs(t, s.Apply(2, &record.Envelope{}, bindRecord(e, "j@1/0", 1)), &r)
	require.ErrorAs(t, s.Apply(3, &record.Envelope{}, &record.Record{Claim: &record.Claim{Owner: "a", Previous: e}}), &r)
	require.Equal(t, "b", s.Owner)
}

func TestShardRefusesRepeatedRecords(t *testing.T) {
	s, e := newClaimedShard(t)
	b := bindRecord(e, "j@1/0", 1)
	f := &record.Record{Finish: &record.Finish{Epoch: e, Task: "j@1/0", Attempt: 1}}
	var r *placement.RefusedError
	require.NoError(t, s.Apply(1, &record.Envelope{}, b))
	require.ErrorAs(t, s.Apply(2, &record.Envelope{}, b), &r)
	require.NoError(t, s.Apply(3, &record.Envelope{}, f))
	require.ErrorAs(t, s.Apply(4, &record.Envelope{}, f), &r)
	require.ErrorAs(t, s.Apply(5, &record.Envelope{}, b), &r, "a finished task must not be committed again")
	require.Empty(t, s.Committed)
}

func TestShardKeepsCommitmentsAfterSnapshotAndRestore(t *testing.T) {
	s, e := newClaimedShard(t)
	require.NoError(t, s.Apply(1, &record.Envelope{}, bindRecord(e, "j@1/0", 1)))
	require.NoError(t, s.Apply(2, &record.Envelope{}, bindRecord(e, "j@1/70", 1)))
	require.NoError(t, s.Apply(3, &record.Envelope{}, &record.Record{Finish: &record.Finish{Epoch: e, Task: "j@1/70", Attempt: 1}}))
	b, err := s.Snapshot()
	require.NoError(t, err)
	n := placement.NewShard()
	require.NoError(t, n.Restore(b))
	require.Equal(t, s.Committed, n.Committed)
	require.True(t, n.IsFinished("j@1/70"))
	require.True(t, n.Attempts["j@1/0"].StartBefore.Equal(time.Unix(1, 0)))
	require.Equal(t, s.Epoch, n.Epoch)
}

// TestReportOfSupersededEpochIsIgnored guards against releasing a running attempt: a worker that has seen a later epoch
// responds to a sync order of an older one with an empty report.
func TestReportOfSupersededEpochIsIgnored(t *testing.T) {
	l := placement.DefaultLimits()
	o := placement.NewOwner(0, "a", l, nil)
	apply := func(offset uint64, r *record.Record) {
		require.NoError(t, o.Apply(offset, &record.Envelope{}, r))
	}
	apply(0, &record.Record{Claim: &record.Claim{Owner: "a"}})
	apply(1, bindRecord(1, "j@1/0", 1))
	old := placement.SyncOrder{Fence: placement.Fence{Epoch: 1}, Worker: "w"}
	apply(2, &record.Record{Claim: &record.Claim{Owner: "b", Previous: 1}})
	apply(3, &record.Record{Claim: &record.Claim{Owner: "a", Previous: 3}})
	now := time.Unix(1000, 0)
	require.Empty(t, o.OnReport(old, placement.WorkerReport{Worker: "w", Epoch: 3}, now, now))
	n := placement.SyncOrder{Fence: placement.Fence{Epoch: 4}, Worker: "w"}
	require.Len(t, o.OnReport(n, placement.WorkerReport{Worker: "w", Epoch: 4}, now, now), 1, "a report of the current epoch without the attempt releases it")
}

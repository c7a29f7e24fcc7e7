package jobserve

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

const stateTestJob = "00000000000000aa"

func newReplicaWithJob(t *testing.T, cancelled bool) *Replica {
	t.Helper()
	r := NewReplica(nil, zerolog.Nop())
	b, err := jobs.EncodeSpec(&jobs.Spec{ID: stateTestJob, Queue: jobs.Queue{Name: "q"}, Steps: []jobs.Step{{Tasks: 1}}})
	require.NoError(t, err)
	r.applyRecords(PartitionRequests, []Record{{Key: submissionPrefix + stateTestJob, Value: b}})
	if cancelled {
		r.applyRecords(PartitionRequests, []Record{{Key: cancelPrefix + stateTestJob, Value: []byte{1}}})
	}
	return r
}

func (r *Replica) applyState(s jobs.State) {
	r.applyRecords(PartitionRequests, []Record{{Key: statePrefix + stateTestJob, Value: []byte(s)}})
}

// The record of an earlier owner may arrive after that of a later one.
func TestStatesOnlyAdvance(t *testing.T) {
	r := newReplicaWithJob(t, false)
	require.Equal(t, 1, r.PendingCount("q"))
	r.applyState(jobs.StateCompleted)
	r.applyState(jobs.StateRunning)
	s, ok := r.State(stateTestJob)
	require.True(t, ok)
	require.Equal(t, jobs.StateCompleted, s)
	require.Zero(t, r.PendingCount("q"))
}

func TestJobStaysCancelledUnlessItCompleted(t *testing.T) {
	r := newReplicaWithJob(t, true)
	r.applyState(jobs.StateRunning)
	s, _ := r.State(stateTestJob)
	require.Equal(t, jobs.StateCancelled, s)
	r.applyState(jobs.StateCompleted)
	s, _ = r.State(stateTestJob)
	require.Equal(t, jobs.StateCompleted, s)
}

// An instance becomes the owner again after its state record was not stored: its callers see the state already, but it must
// still be published to the other instances.
func TestReelectedOwnerPublishesUnstoredStates(t *testing.T) {
	r := newReplicaWithJob(t, false)
	x := jobState{stateTestJob, jobs.StateCompleted, ""}
	require.True(t, newStatePublisher(nil, r, zerolog.Nop()).record(x))
	again := newStatePublisher(nil, r, zerolog.Nop())
	require.True(t, again.record(x))
	require.False(t, again.record(x), "each owner publishes a state once")
	r.applyState(jobs.StateCompleted)
	require.False(t, newStatePublisher(nil, r, zerolog.Nop()).record(x))
}

package jobserve

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

const stateTestJob = "00000000000000aa"

func accepted(t *testing.T, cancelled bool) *Replica {
	t.Helper()
	r := NewReplica(nil, zerolog.Nop())
	b, err := jobs.EncodeSpec(&jobs.Spec{ID: stateTestJob, Queue: jobs.Queue{Name: "q"}, Steps: []jobs.Step{{Tasks: 1}}})
	require.NoError(t, err)
	r.put(PartitionRequests, []Record{{Key: submissionPrefix + stateTestJob, Value: b}})
	if cancelled {
		r.put(PartitionRequests, []Record{{Key: cancelPrefix + stateTestJob, Value: []byte{1}}})
	}
	return r
}

func (r *Replica) told(s jobs.State) {
	r.put(PartitionRequests, []Record{{Key: statePrefix + stateTestJob, Value: []byte(s)}})
}

// A record of an earlier owner may arrive after that of a later one.
func TestStatesNeverGoBack(t *testing.T) {
	r := accepted(t, false)
	require.Equal(t, 1, r.Waiting("q"))
	r.told(jobs.StateCompleted)
	r.told(jobs.StateRunning)
	s, ok := r.State(stateTestJob)
	require.True(t, ok)
	require.Equal(t, jobs.StateCompleted, s)
	require.Zero(t, r.Waiting("q"))
}

func TestCancellationIsToldUnlessTheJobHadEnded(t *testing.T) {
	r := accepted(t, true)
	r.told(jobs.StateRunning)
	s, _ := r.State(stateTestJob)
	require.Equal(t, jobs.StateCancelled, s)
	r.told(jobs.StateCompleted)
	s, _ = r.State(stateTestJob)
	require.Equal(t, jobs.StateCompleted, s)
}

// An owner whose state was not stored comes back: callers here already know it, others must be told.
func TestOwnerThatComesBackTellsWhatTheStoreLacks(t *testing.T) {
	r := accepted(t, false)
	x := jobState{stateTestJob, jobs.StateCompleted}
	require.True(t, newStates(nil, r, zerolog.Nop()).note(x))
	again := newStates(nil, r, zerolog.Nop())
	require.True(t, again.note(x))
	require.False(t, again.note(x), "once by each owner")
	r.told(jobs.StateCompleted)
	require.False(t, newStates(nil, r, zerolog.Nop()).note(x))
}

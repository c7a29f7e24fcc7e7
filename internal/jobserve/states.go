package jobserve

import (
	"context"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/jobs"
)

// states tells all instances the states of jobs, once the progress that they follow from is stored.
//
// States only advance, so that their records need no fence and may be appended
// late or twice. They are few and small beside those of progress, which only an
// owner reads.
type states struct {
	batch   *batch
	replica *Replica
	// told holds the states that this owner has told, or is about to.
	told map[string]jobs.State
}

func newStates(s Store, r *Replica, l zerolog.Logger) *states {
	return &states{batch: &batch{store: s, logger: l}, replica: r, told: make(map[string]jobs.State)}
}

// jobState is the state of a job when its progress was committed.
type jobState struct {
	job   string
	state jobs.State
}

func statesOf(l []*jobs.Job) []jobState {
	s := make([]jobState, len(l))
	for i, j := range l {
		s[i] = jobState{j.ID, j.State()}
	}
	return s
}

// note notes a state here and tells whether the other instances are still to be told.
func (s *states) note(x jobState) bool {
	o := s.told[x.job]
	if x.state == jobs.StatePending || o.Later(x.state) == o {
		return false
	}
	s.told[x.job] = x.state
	return s.replica.Advance(x.job, x.state)
}

// tell stores a state for the other instances, again and again until the context ends.
func (s *states) tell(ctx context.Context, x jobState) {
	r := Record{Key: statePrefix + x.job, Value: []byte(x.state)}
	for ctx.Err() == nil && s.batch.append(ctx, r) != nil {
		pause(ctx, failurePause)
	}
}

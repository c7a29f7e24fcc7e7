package jobserve

import (
	"context"
	"errors"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/jobs"
)

// statePublisher publishes the states of jobs to all instances, once the progress from which they derive is committed.
//
// States only advance, so their records need no fence and may be appended late
// or twice. They are few and small compared with progress records, which only
// an owner reads.
type statePublisher struct {
	batcher *batcher
	replica *Replica
	// published holds, by job ID, the state that this owner has published or is about to publish.
	published map[string]jobs.State
}

func newStatePublisher(s Store, r *Replica, l zerolog.Logger) *statePublisher {
	return &statePublisher{batcher: &batcher{store: s, logger: l}, replica: r, published: make(map[string]jobs.State)}
}

// jobState is the state of a job at the time its progress was committed, and why the job failed if it did.
type jobState struct {
	job    string
	state  jobs.State
	reason string
}

func statesOf(l []*jobs.Job) []jobState {
	s := make([]jobState, len(l))
	for i, j := range l {
		s[i] = jobState{j.ID, j.State(), j.FailureReason}
	}
	return s
}

// record records a state in the replica, and reports whether publish must be called. A pending state is never published.
func (p *statePublisher) record(x jobState) bool {
	o := p.published[x.job]
	if x.state == jobs.StatePending || o.Later(x.state) == o {
		return false
	}
	p.published[x.job] = x.state
	return p.replica.RecordCommittedState(x.job, x.state, x.reason)
}

// publish appends a state for the other instances, after the reason of a failure, and retries until the appends succeed or the
// context ends.
func (p *statePublisher) publish(ctx context.Context, x jobState) {
	if x.state == jobs.StateFailed && x.reason != "" {
		p.appendRecord(ctx, Record{Key: reasonPrefix + x.job, Value: []byte(x.reason)})
	}
	p.appendRecord(ctx, Record{Key: statePrefix + x.job, Value: []byte(x.state)})
}

// appendRecord appends a record. It retries until the append succeeds, the store refuses the record for good, or the context ends.
func (p *statePublisher) appendRecord(ctx context.Context, r Record) {
	for ctx.Err() == nil {
		err := p.batcher.append(ctx, r)
		var refused *RefusedRecordError
		if err == nil || errors.As(err, &refused) {
			return
		}
		sleep(ctx, storeBackoff)
	}
}

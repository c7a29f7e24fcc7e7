package jobserve

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// maxStateAge is the maximum age of the replica's data that callers get without another read of the store.
	maxStateAge = 80 * time.Millisecond
)

// ErrNotAccepted means that the store rejected the record of a request, so that the request had no effect and never will.
// Callers receive the text of the error.
var ErrNotAccepted = errors.New("the store takes no records now")

// ErrOutcomeUnknown means that a request may or may not have an effect. Callers receive the text of the error.
var ErrOutcomeUnknown = errors.New("the store did not answer in time")

// Service accepts, cancels and queries jobs; every instance has one.
type Service struct {
	batcher *batcher
	// forwarded appends the records of other instances, always directly: two instances that each take the other for the one that
	// appends would wait for each other.
	forwarded *batcher
	replica   *Replica
	// monitor judges whether this instance reaches the store; it may be nil.
	monitor *StoreMonitor
	logger  zerolog.Logger
}

// NewService returns a service that writes to a store, through the forwarder while the store is congested, and reads from its
// replica.
func NewService(s Store, r *Replica, f Forwarder, l zerolog.Logger) *Service {
	return &Service{batcher: &batcher{store: s, forwarder: f, logger: l}, forwarded: &batcher{store: s, logger: l, lastHop: true}, replica: r, logger: l}
}

// SetMonitor makes the service follow the judgement of a monitor; it is called before any request.
func (s *Service) SetMonitor(m *StoreMonitor) {
	s.monitor, s.batcher.monitor, s.forwarded.monitor = m, m, m
}

// AppendFor stores records of requests that other instances have forwarded, those of all of them together. It returns
// ErrNotAccepted if none of the given records is stored, and ErrOutcomeUnknown if some may be.
func (s *Service) AppendFor(ctx context.Context, l []Record) error {
	return s.forwarded.appendAll(ctx, l)
}

// Submit stores a job; a further submission with the same ID has no effect. If the store fails, Submit returns ErrNotAccepted
// or ErrOutcomeUnknown.
func (s *Service) Submit(ctx context.Context, p *jobs.Spec) error {
	if s.replica.Contains(p.ID) {
		s.logger.Info().Str("Job", p.ID).Str("Decision", "AcceptRepeat").Msg("job was submitted before")
		return nil
	}
	b, err := jobs.EncodeSpec(p)
	if err != nil {
		return err
	}
	err = s.batcher.append(ctx, Record{Key: submissionPrefix + p.ID, Value: b})
	s.logOutcome(err, "Accept").Str("Job", p.ID).Str("Queue", p.Queue.Name).Int("Steps", len(p.Steps)).Msg("submission handled")
	return err
}

// Cancel stores the cancellation of a job, and reports whether the job is known.
func (s *Service) Cancel(ctx context.Context, id string) (bool, error) {
	if !s.replica.Contains(id) {
		_, ok, err := s.State(ctx, id)
		if err != nil || !ok {
			return ok, err
		}
	}
	err := s.batcher.append(ctx, Record{Key: cancelPrefix + id, Value: []byte{1}})
	s.logOutcome(err, "Cancel").Str("Job", id).Msg("cancellation handled")
	return true, err
}

// logOutcome returns a log event for a request that was stored, or that failed with err. The value Refused includes requests
// whose outcome is unknown; Err tells them apart.
func (s *Service) logOutcome(err error, decision string) *zerolog.Event {
	if err != nil {
		return s.logger.Warn().Str("Decision", decision).Str("Outcome", "Refused").Err(err)
	}
	return s.logger.Info().Str("Decision", decision).Str("Outcome", "Stored")
}

// State returns the state of a job as callers see it, and whether the job is known. If the store cannot be read, State returns
// the latest known state, or an error for an unknown job. States only advance, so that a state that was published stays true or
// is older.
func (s *Service) State(ctx context.Context, id string) (jobs.State, bool, error) {
	if x, ok := s.replica.State(id); ok && x.IsTerminal() {
		return x, true, nil
	}
	err := s.refresh(ctx)
	x, ok := s.replica.State(id)
	if ok {
		return x, true, nil
	}
	if err != nil {
		return "", false, err
	}
	return "", false, nil
}

// refresh reads what the store has beyond the replica. It returns a RejectedError at once while the store cannot be read.
func (s *Service) refresh(ctx context.Context) error {
	c, cancel := s.monitor.whileUsable(ctx, false)
	defer cancel()
	err := c.Err()
	if s.monitor.canRead() {
		err = s.replica.Refresh(c, time.Now().Add(-maxStateAge))
	}
	if !s.monitor.canRead() {
		return s.monitor.rejection(s.monitor.choose())
	}
	return err
}

// FailureReason returns why a job failed, empty if it has not or the reason is not known.
func (s *Service) FailureReason(id string) string { return s.replica.FailureReason(id) }

// PendingCount returns the number of accepted jobs of a queue of which no task has started.
func (s *Service) PendingCount(ctx context.Context, queue string) (int, error) {
	err := s.refresh(ctx)
	if err != nil && (s.monitor.canRead() || !s.replica.IsLoaded()) {
		return 0, err
	}
	return s.replica.PendingCount(queue), nil
}

package jobserve

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// freshEnough is the age up to which the replica answers for the state of a job without another read.
	freshEnough = 80 * time.Millisecond
)

// ErrNotAccepted tells that a request had no effect and never will.
var ErrNotAccepted = errors.New("the store takes no records now")

// ErrUnknown tells that the outcome of a request is not known.
var ErrUnknown = errors.New("the store did not answer in time")

// Service answers for jobs at any instance.
type Service struct {
	batch   *batch
	replica *Replica
	logger  zerolog.Logger
}

// NewService returns a service on the store and its replica.
func NewService(s Store, r *Replica, l zerolog.Logger) *Service {
	return &Service{batch: &batch{store: s, logger: l}, replica: r, logger: l}
}

// Submit accepts a job; the same job again has no effect. It returns ErrNotAccepted or ErrUnknown where the store fails.
func (s *Service) Submit(ctx context.Context, p *jobs.Spec) error {
	if s.replica.Contains(p.ID) {
		s.logger.Info().Str("Job", p.ID).Str("Decision", "AcceptRepeat").Msg("job is known")
		return nil
	}
	b, err := jobs.EncodeSpec(p)
	if err != nil {
		return err
	}
	err = s.batch.append(ctx, Record{Key: submissionPrefix + p.ID, Value: b})
	s.logOutcome(err, "Accept").Str("Job", p.ID).Str("Queue", p.Queue.Name).Int("Steps", len(p.Steps)).Msg("job handed in")
	return err
}

// Cancel ends a job for its caller; it tells whether the job is known.
func (s *Service) Cancel(ctx context.Context, id string) (bool, error) {
	if !s.replica.Contains(id) {
		_, ok, err := s.State(ctx, id)
		if err != nil || !ok {
			return ok, err
		}
	}
	err := s.batch.append(ctx, Record{Key: cancelPrefix + id, Value: []byte{1}})
	s.logOutcome(err, "Cancel").Str("Job", id).Msg("job cancelled")
	return true, err
}

func (s *Service) logOutcome(err error, decision string) *zerolog.Event {
	if err != nil {
		return s.logger.Warn().Str("Decision", decision).Str("Outcome", "Refused").Err(err)
	}
	return s.logger.Info().Str("Decision", decision).Str("Outcome", "Stored")
}

// State returns what callers are told of a job, and whether it is known.
func (s *Service) State(ctx context.Context, id string) (jobs.State, bool, error) {
	if x, ok := s.replica.State(id); ok && x.IsTerminal() {
		return x, true, nil
	}
	err := s.replica.Refresh(ctx, time.Now().Add(-freshEnough))
	x, ok := s.replica.State(id)
	if ok {
		return x, true, nil
	}
	if err != nil {
		return "", false, err
	}
	return "", false, nil
}

// Waiting returns the number of a queue's accepted jobs of which no task has started.
func (s *Service) Waiting(ctx context.Context, queue string) (int, error) {
	if err := s.replica.Refresh(ctx, time.Now().Add(-freshEnough)); err != nil {
		return 0, err
	}
	return s.replica.Waiting(queue), nil
}

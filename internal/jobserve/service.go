package jobserve

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// appendTimeout bounds one append of a submission.
	appendTimeout = 800 * time.Millisecond
	// retryPause is the pause between two appends of the same submission.
	retryPause = 120 * time.Millisecond
	// refusedTries is the number of appends that the store refuses before a caller is sent away.
	refusedTries = 2
	// freshEnough is the age up to which the replica answers for the state of a job without another read.
	freshEnough = 80 * time.Millisecond
)

// ErrNotAccepted tells that a request had no effect and never will.
var ErrNotAccepted = errors.New("the store takes no records now")

// ErrUnknown tells that the outcome of a request is not known.
var ErrUnknown = errors.New("the store did not answer in time")

// Service answers for jobs at any instance.
type Service struct {
	store   Store
	replica *Replica
	logger  zerolog.Logger
}

// NewService returns a service on the store and its replica.
func NewService(s Store, r *Replica, l zerolog.Logger) *Service {
	return &Service{store: s, replica: r, logger: l}
}

// Submit accepts a job; the same job again has no effect. It returns ErrNotAccepted or ErrUnknown where the store fails.
func (s *Service) Submit(ctx context.Context, p *jobs.Spec) error {
	if s.replica.Knows(p.ID) {
		s.logger.Info().Str("Job", p.ID).Str("Decision", "AcceptRepeat").Msg("job is known")
		return nil
	}
	b, err := jobs.EncodeSpec(p)
	if err != nil {
		return err
	}
	err = s.append(ctx, Record{Key: submissionPrefix + p.ID, Value: b}, p.ID)
	s.logOutcome(err, "Accept").Str("Job", p.ID).Str("Queue", p.Queue.Name).Int("Steps", len(p.Steps)).Msg("job handed in")
	return err
}

// Cancel ends a job for its caller; it tells whether the job is known.
func (s *Service) Cancel(ctx context.Context, id string) (bool, error) {
	_, ok, err := s.State(ctx, id)
	if err != nil || !ok {
		return ok, err
	}
	err = s.append(ctx, Record{Key: cancelPrefix + id, Value: []byte{1}}, id)
	s.logOutcome(err, "Cancel").Str("Job", id).Msg("job cancelled")
	return true, err
}

func (s *Service) logOutcome(err error, decision string) *zerolog.Event {
	if err != nil {
		return s.logger.Warn().Str("Decision", decision).Str("Outcome", "Refused").Err(err)
	}
	return s.logger.Info().Str("Decision", decision).Str("Outcome", "Stored")
}

// append adds a record whose repetition has no further effect, until it is stored or the caller's time is over.
func (s *Service) append(ctx context.Context, r Record, id string) error {
	refused, uncertain := 0, false
	for {
		t, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := s.store.Append(t, PartitionRequests, []Record{r}, nil)
		cancel()
		if err == nil {
			return nil
		}
		if isNotDone(err) {
			refused++
		} else {
			uncertain = true
		}
		s.logger.Warn().Err(err).Str("Job", id).Int("Refused", refused).Bool("Uncertain", uncertain).Msg("append failed")
		if !uncertain && refused >= refusedTries {
			return ErrNotAccepted
		}
		select {
		case <-ctx.Done():
			return ErrUnknown
		case <-time.After(retryPause):
		}
	}
}

// State returns what callers are told of a job, and whether it is known.
func (s *Service) State(ctx context.Context, id string) (jobs.State, bool, error) {
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

package jobserve

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/account"
	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// maxStateAge is the maximum age of the replica's data that callers get without another read of the store.
	maxStateAge = 80 * time.Millisecond
	// firstCheckTimeout bounds the read that tells whether a submission was the first with its ID.
	firstCheckTimeout = 500 * time.Millisecond
)

// ErrNotAccepted means that the store rejected the record of a request, so that the request had no effect and never will.
// Callers receive the text of the error.
var ErrNotAccepted = errors.New("the store takes no records now")

// RefusedRecordError reports that the store never takes a record, so that it must not be repeated. It is an ErrNotAccepted.
type RefusedRecordError struct {
	Key   string
	Cause error
}

// Error names the record and the cause.
func (e *RefusedRecordError) Error() string {
	return fmt.Sprintf("the store refuses record %s: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *RefusedRecordError) Unwrap() error { return e.Cause }

// Is reports whether the target is ErrNotAccepted.
func (e *RefusedRecordError) Is(target error) bool { return target == ErrNotAccepted }

// ErrOutcomeUnknown means that a request may or may not have an effect. Callers receive the text of the error.
var ErrOutcomeUnknown = errors.New("the store did not answer in time")

// ErrOtherAccount means that a job with the submitted ID belongs to another client account. Callers receive the text of the error.
var ErrOtherAccount = errors.New("another account submitted a job with this ID")

// PartialAppendError reports that some records of an append are not stored and never will be, and that the outcome of the others
// is unknown.
type PartialAppendError struct {
	// Rejected holds the indexes of the records that are not stored.
	Rejected []int
}

// Error says how many records are known not to be stored.
func (e *PartialAppendError) Error() string {
	return fmt.Sprintf("%v; %d records were not sent", ErrOutcomeUnknown, len(e.Rejected))
}

// Is reports whether the target is ErrOutcomeUnknown.
func (e *PartialAppendError) Is(target error) bool { return target == ErrOutcomeUnknown }

// Service accepts, cancels and queries jobs; every instance has one.
type Service struct {
	batcher *batcher
	// forwarded appends the records of other instances, always directly: two instances that each take the other for the one that
	// appends would wait for each other.
	forwarded *batcher
	replica   *Replica
	undecided undecidedJobs
	room      jobRoom
	// monitor judges whether this instance reaches the store; it may be nil.
	monitor *StoreMonitor
	logger  zerolog.Logger
}

// NewService returns a service that writes to a store, through the forwarder while the store is congested, and reads from its
// replica.
func NewService(s Store, r *Replica, f Forwarder, l zerolog.Logger) *Service {
	return &Service{
		batcher: &batcher{store: s, forwarder: f, logger: l}, forwarded: &batcher{store: s, logger: l, lastHop: true},
		replica: r, undecided: undecidedJobs{byID: make(map[string]*undecidedJob)}, logger: l,
	}
}

// SetMonitor makes the service follow the judgement of a monitor; it is called before any request.
func (s *Service) SetMonitor(m *StoreMonitor) {
	s.monitor, s.batcher.monitor, s.forwarded.monitor = m, m, m
}

// AppendFor stores records of requests that other instances have forwarded, those of all of them together. It returns
// ErrNotAccepted if none of the given records is stored, and a *PartialAppendError if some may be.
func (s *Service) AppendFor(ctx context.Context, l []Record) error {
	return s.forwarded.appendAll(ctx, l)
}

// Submit stores a job as the caller's; a further submission with the same ID has no effect. It returns ErrOtherAccount if the first
// submission with the ID is of another account, a *jobs.SpecError if the job never fits the cap of the account, a *FullError if there
// is no room for it, and ErrNotAccepted or ErrOutcomeUnknown if the store fails.
func (s *Service) Submit(ctx context.Context, c account.Caller, p *jobs.Spec) error {
	p.Account = c.Account
	if s.replica.Contains(p.ID) {
		return s.acceptRepeat(c, p.ID)
	}
	if err := account.CheckFit(c.Cap, p); err != nil {
		return s.rejectUnlessKnown(ctx, c, p.ID, err)
	}
	release, err := s.reserve(p)
	if err != nil {
		return s.rejectUnlessKnown(ctx, c, p.ID, err)
	}
	defer release()
	b, err := jobs.EncodeSpec(p)
	if err != nil {
		return err
	}
	err = s.store(ctx, c, p, b)
	s.logOutcome(err, "Accept").Str("Job", p.ID).Str("Account", p.Account).Str("Queue", p.Queue.Name).Int("Steps", len(p.Steps)).Msg("submission handled")
	return err
}

// store stores an encoded submission, and returns ErrOtherAccount if it was not the first with its ID.
func (s *Service) store(ctx context.Context, c account.Caller, p *jobs.Spec, encoded []byte) (err error) {
	s.undecided.begin(p.ID, p.Account)
	defer func() { s.undecided.end(p.ID, err) }()
	err = s.batcher.append(ctx, Record{Key: submissionPrefix + p.ID, Value: encoded})
	if err == nil && !c.Unchecked {
		err = s.checkFirst(ctx, c, p.ID)
	}
	if err == nil {
		s.replica.RecordAccepted(p.ID, p.Account)
		s.replica.recordMemory(p.ID, p.MemoryBytes())
	}
	return err
}

// acceptRepeat accepts a further submission of a known job, unless the job is of another account.
func (s *Service) acceptRepeat(c account.Caller, id string) error {
	if !s.replica.MayAccess(c, id) {
		return ErrOtherAccount
	}
	s.logger.Info().Str("Job", id).Str("Decision", "AcceptRepeat").Msg("job was submitted before")
	return nil
}

// rejectUnlessKnown returns the error with which a job is rejected that never fits the cap of its account, or that there is no room
// for. A job that was accepted before, by any instance, stays accepted.
func (s *Service) rejectUnlessKnown(ctx context.Context, c account.Caller, id string, rejection error) error {
	if err := s.replica.Confirm(ctx, time.Now()); err != nil {
		return fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	if s.replica.Contains(id) {
		return s.acceptRepeat(c, id)
	}
	return rejection
}

// checkFirst returns ErrOtherAccount if the first submission of a job that was just appended is of another account, which submitted
// it at another instance at the same time. Only the order of the records in the store tells, so that they are read.
//
// If they cannot be read soon, the submission is accepted: the record is stored,
// its account is decided by its place all the same, and an instance that is cut
// off from the store and appends through another one would accept nothing else.
func (s *Service) checkFirst(ctx context.Context, c account.Caller, id string) error {
	if !s.replica.Contains(id) {
		ctx, cancel := context.WithTimeout(ctx, firstCheckTimeout)
		defer cancel()
		if err := s.replica.Follow(ctx, PartitionRequests, time.Now(), time.Time{}); err != nil {
			s.logger.Warn().Err(err).Str("Job", id).Str("Account", c.Account).Str("Decision", "AcceptUnread").Msg("submission was stored but not read back; another account may have been first")
		}
	}
	if s.replica.Contains(id) && !s.replica.MayAccess(c, id) {
		return ErrOtherAccount
	}
	return nil
}

// Cancel stores the cancellation of a job, and reports whether the job is known, as State does.
func (s *Service) Cancel(ctx context.Context, c account.Caller, id string) (bool, error) {
	if _, known := s.stateFor(c, id); !known {
		if _, ok, err := s.confirmState(ctx, c, id); err != nil || !ok {
			return false, err
		}
	}
	err := s.batcher.append(ctx, Record{Key: cancelPrefix + id, Value: []byte{1}})
	if err == nil {
		s.replica.RecordCancelled(id)
	}
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

// State returns the state of a job as callers see it, and whether the job is known. A job that the caller may not access is treated
// as an unknown one throughout. If the store cannot be read, State returns the latest known state, or an error for an unknown job.
// States only advance, so that a state that was published stays true or is older.
//
// A job that any instance had accepted before the call is known, or the call fails. It fails with ErrUndecided for one whose submission
// at this instance is not decided.
func (s *Service) State(ctx context.Context, c account.Caller, id string) (jobs.State, bool, error) {
	x, ok := s.stateFor(c, id)
	if !ok {
		return s.confirmState(ctx, c, id)
	}
	if x.IsTerminal() {
		return x, true, nil
	}
	_ = s.refresh(ctx)
	x, ok = s.stateFor(c, id)
	return x, ok, nil
}

// confirmState returns the state of a job by a read that begins after the call.
func (s *Service) confirmState(ctx context.Context, c account.Caller, id string) (jobs.State, bool, error) {
	now := time.Now()
	err := s.read(ctx, func(ctx context.Context) error { return s.replica.Confirm(ctx, now) })
	// A submission that is decided by now is known to the replica below.
	undecided := s.undecided.contains(c, id)
	x, ok := s.stateFor(c, id)
	switch {
	case ok:
		return x, true, nil
	case err != nil:
		return "", false, err
	case undecided:
		return "", false, ErrUndecided
	}
	return "", false, nil
}

// stateFor returns the state of a job that the replica holds, or that this instance has accepted, and that the caller may access.
func (s *Service) stateFor(c account.Caller, id string) (jobs.State, bool) {
	if s.replica.MayAccess(c, id) {
		return s.replica.State(id)
	}
	return s.replica.AcceptedState(c, id)
}

// refresh reads what the store has beyond the replica, unless that was read less than maxStateAge ago.
func (s *Service) refresh(ctx context.Context) error {
	return s.read(ctx, func(ctx context.Context) error { return s.replica.Refresh(ctx, time.Now().Add(-maxStateAge)) })
}

// read calls f to read from the store. It returns a RejectedError at once while the store cannot be read.
func (s *Service) read(ctx context.Context, f func(ctx context.Context) error) error {
	c, cancel := s.monitor.whileUsable(ctx, false)
	defer cancel()
	err := c.Err()
	if s.monitor.canRead() {
		err = f(c)
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

package stream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"currantknot.dev/currantknot/internal/record"
)

// Log is the part of the platform's log that a follower uses.
type Log interface {
	// Append appends an entry to a stream. If it returns an error, the entry may have been appended nevertheless.
	Append(ctx context.Context, stream string, data []byte) error
	// Read returns entries of a stream from an offset on. If there are none, it waits for one until the given time.
	Read(ctx context.Context, stream string, from uint64, until time.Time) (record.Page, error)
}

// StateMachine holds the state that results from the records of a stream. The state depends on nothing but these
// records.
type StateMachine interface {
	// Apply applies one record to the state, or returns an error that says why the record is refused.
	Apply(offset uint64, e *record.Envelope, r *record.Record) error
	// Snapshot returns the complete state in encoded form.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state with one that Snapshot returned.
	Restore(state []byte) error
}

// Config holds the settings of a follower.
type Config struct {
	Stream string
	// Writer is the name that the follower writes into its envelopes. It is unique to the process.
	Writer string
	// PollTimeout is the maximum time for which a read waits for new entries. While there are none, ConfirmedAt advances
	// once per read.
	PollTimeout time.Duration
	// MinAppendInterval is the minimum time between two appends.
	MinAppendInterval time.Duration
	Logger            zerolog.Logger
}

// catchUpPollInterval is the time between two checks of the position in CatchUp.
const catchUpPollInterval = 10 * time.Millisecond

// maxBatchRecords is the maximum number of records in one envelope.
const maxBatchRecords = 512

// Position is a snapshot of the position of a follower in its stream, with the follower's counters.
type Position struct {
	// Next is the first offset that is not applied yet.
	Next uint64
	// ConfirmedAt is the time at which the last successful read up to the end of the stream began, zero if there was none.
	// The state includes every record that the log had accepted by then.
	ConfirmedAt time.Time
	// CheckpointAt is the time of the newest checkpoint that was read, by its writer's clock.
	CheckpointAt time.Time
	// SinceCheckpoint is the number of entries that were applied after the newest checkpoint, or since the follower
	// started if it has read none.
	SinceCheckpoint int
	// CorruptEntries is the number of entries that were skipped because they did not decode.
	CorruptEntries int
	// Appends and AppendedBytes count all appends, including retries. ReadBytes counts the bytes of the entries that were
	// read and applied or skipped.
	Appends       int
	AppendedBytes int
	ReadBytes     int
	// Blocked says why the follower can't proceed. It is empty if the follower can.
	Blocked string
}

// Follower replays one stream into a state machine and commits records to the stream.
type Follower struct {
	Config

	log          Log
	stateMachine StateMachine
	// wake tells writeLoop that the queue is not empty.
	wake chan struct{}
	// checkpointSearched means that this follower has searched for a checkpoint to start from. Only readLoop uses it.
	checkpointSearched bool

	// applyMu serializes changes to the state machine. It is locked before mu.
	applyMu sync.Mutex

	// mu guards the fields below.
	mu       sync.Mutex
	position Position
	// queue holds the commits that wait to be appended.
	queue []*pendingCommit
	// pending holds the commits whose envelope was not read back yet, by the ID of the envelope.
	pending map[ulid.ULID][]*pendingCommit
	// changed is closed, and replaced, when the follower advances in the stream.
	changed chan struct{}
}

// pendingCommit is a record whose caller waits on a channel for the outcome.
type pendingCommit struct {
	ctx    context.Context
	record record.Record
	done   chan Outcome
}

// NewFollower returns a follower that has not read anything yet.
func NewFollower(log Log, m StateMachine, c Config) *Follower {
	return &Follower{
		Config:       c,
		log:          log,
		stateMachine: m,
		wake:         make(chan struct{}, 1),
		pending:      make(map[ulid.ULID][]*pendingCommit),
		changed:      make(chan struct{}),
	}
}

// Run replays the stream and appends queued records until the context is done.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.readLoop(ctx) })
	g.Go(func() error { return f.writeLoop(ctx) })
	return g.Wait()
}

// Position returns the current position.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// Changed returns a channel that is closed when the follower next advances in the stream.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// IsFresh reports whether the follower can proceed and ConfirmedAt is after the given time.
func (f *Follower) IsFresh(since time.Time) bool {
	p := f.Position()
	return p.Blocked == "" && p.ConfirmedAt.After(since)
}

// StaleError reports that CatchUp could not confirm the state before its context was done.
type StaleError struct {
	Stream string
	Cause  error
}

// Error names the stream and the cause.
func (e *StaleError) Error() string {
	return fmt.Sprintf("stream %s could not be confirmed: %v", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *StaleError) Unwrap() error { return e.Cause }

// CatchUp waits until the state includes all records that were accepted before the call, or returns a *StaleError.
func (f *Follower) CatchUp(ctx context.Context) error {
	s := time.Now()
	t := time.NewTicker(catchUpPollInterval)
	defer t.Stop()
	for !f.IsFresh(s) {
		select {
		case <-ctx.Done():
			return &StaleError{Stream: f.Stream, Cause: ctx.Err()}
		case <-t.C:
		}
	}
	return nil
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	b.RandomizationFactor = 0.5
	return b
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

func (f *Follower) readLoop(ctx context.Context) error {
	b := newBackOff()
	for ctx.Err() == nil {
		if err := f.readOnce(ctx); err != nil {
			f.Logger.Debug().Err(err).Str("Stream", f.Stream).Msg("failed to follow stream")
			if err := sleep(ctx, b.NextBackOff()); err != nil {
				return err
			}
			continue
		}
		b.Reset()
	}
	return ctx.Err()
}

// readOnce reads and applies entries. Before its first read, a new follower searches for a checkpoint to start from.
func (f *Follower) readOnce(ctx context.Context) error {
	s := time.Now()
	n := f.Position().Next
	if n == 0 && !f.checkpointSearched {
		return f.startFromCheckpoint(ctx)
	}
	p, err := f.log.Read(ctx, f.Stream, n, s.Add(f.PollTimeout))
	if err != nil {
		return fmt.Errorf("read stream %s from %d: %w", f.Stream, n, err)
	}
	if p.First > n {
		return f.skipToCheckpoint(ctx, p.First)
	}
	for _, e := range p.Entries {
		if err := f.apply(e); err != nil {
			return err
		}
	}
	f.confirm(s, p)
	return nil
}

// confirm advances ConfirmedAt to the time at which the read of page p began, if all entries before the end of the
// stream in that page are applied.
func (f *Follower) confirm(at time.Time, p record.Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.position.Next >= p.Next && at.After(f.position.ConfirmedAt) {
		f.position.ConfirmedAt = at
	}
}

// apply applies the records of the next entry and ignores an entry at any other offset. An entry with an unsupported
// version blocks the follower; a corrupt entry is skipped.
func (f *Follower) apply(e record.Entry) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if e.Offset != f.Position().Next {
		return nil
	}
	v, err := record.Decode(e.Data)
	if x := (*record.VersionError)(nil); errors.As(err, &x) {
		f.block(x.Error())
		return x
	}
	var o []Outcome
	if err == nil {
		o = f.applyRecords(e.Offset, v)
	}
	f.advance(e, v, err)
	if v != nil {
		f.deliverOutcomes(v.ID, o)
	}
	return nil
}

func (f *Follower) applyRecords(offset uint64, v *record.Envelope) []Outcome {
	o := make([]Outcome, len(v.Records))
	for i := range v.Records {
		o[i].Offset = offset
		if v.Records[i].Checkpoint == nil {
			o[i].Err = f.stateMachine.Apply(offset, v, &v.Records[i])
		}
	}
	return o
}

// block records why the follower can't proceed.
func (f *Follower) block(reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.position.Blocked != reason {
		f.Logger.Error().Str("Stream", f.Stream).Str("Reason", reason).Msg("stream blocked")
	}
	f.position.Blocked = reason
}

// advance moves the position past an entry. If the entry did not decode, v is nil and err says why.
func (f *Follower) advance(e record.Entry, v *record.Envelope, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position.Next = e.Offset + 1
	f.position.Blocked = ""
	f.position.SinceCheckpoint++
	f.position.ReadBytes += len(e.Data)
	if err != nil {
		f.position.CorruptEntries++
		f.Logger.Error().Err(err).Str("Stream", f.Stream).Uint64("Offset", e.Offset).Msg("corrupt log entry skipped")
	}
	if v != nil && hasCheckpoint(v) {
		f.position.SinceCheckpoint = 0
		f.position.CheckpointAt = v.At
	}
	f.notifyChanged()
}

// notifyChanged wakes the goroutines that wait on the channel of Changed. The caller holds mu.
func (f *Follower) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func hasCheckpoint(v *record.Envelope) bool {
	for i := range v.Records {
		if v.Records[i].Checkpoint != nil {
			return true
		}
	}
	return false
}

// deliverOutcomes sends the outcomes of an envelope to the callers that wait for them. At a second occurrence of the
// envelope, no caller waits any more, so the first occurrence decides.
func (f *Follower) deliverOutcomes(id ulid.ULID, outcomes []Outcome) {
	f.mu.Lock()
	cs := f.pending[id]
	delete(f.pending, id)
	f.mu.Unlock()
	for i, c := range cs {
		c.done <- outcomes[i]
	}
}

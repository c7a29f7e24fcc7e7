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

// Log is the part of the platform's log that a follower needs.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) error
	Read(ctx context.Context, stream string, from uint64, until time.Time) (record.Page, error)
}

// Machine is the deterministic state that a stream builds.
type Machine interface {
	// Apply changes the state by one record and returns why it was refused, if it was.
	Apply(offset uint64, e *record.Envelope, r *record.Record) error
	// Save returns the whole state.
	Save() ([]byte, error)
	// Load replaces the whole state.
	Load(state []byte) error
}

// Config holds what varies between followers.
type Config struct {
	Stream string
	Writer string
	// PollWait bounds how long one read waits for news, and so how old ConfirmedAt becomes.
	PollWait time.Duration
	// FlushEvery is the least time between two appends.
	FlushEvery time.Duration
	Logger     zerolog.Logger
}

// catchUpEvery is the time between two looks at the position while waiting for it.
const catchUpEvery = 10 * time.Millisecond

// maxBatch bounds the records of one envelope.
const maxBatch = 512

// Position is a snapshot of how far a follower has come.
type Position struct {
	Next uint64
	// ConfirmedAt is an instant at which the state held all accepted records.
	ConfirmedAt time.Time
	// CheckpointAt is the time of the newest checkpoint seen.
	CheckpointAt time.Time
	// SinceCheckpoint counts the entries after the newest checkpoint.
	SinceCheckpoint int
	Corrupt         int
	Appends         int
	AppendedBytes   int
	ReadBytes       int
	// Blocked tells why the follower can't go on, empty where it can.
	Blocked string
}

// Follower replays one stream into a machine and commits records to it.
type Follower struct {
	Config

	log     Log
	machine Machine
	wake    chan struct{}
	// searched tells that a new follower has looked for a checkpoint to begin from; it belongs to the reading goroutine.
	searched bool

	// applyMu serialises changes of the machine; it is taken before mu.
	applyMu sync.Mutex

	// mu guards the fields below.
	mu       sync.Mutex
	position Position
	queue    []*commit
	waiting  map[ulid.ULID][]*commit
	changed  chan struct{}
}

// commit is one caller's wait for the outcome of one record.
type commit struct {
	ctx    context.Context
	record record.Record
	done   chan Outcome
}

// NewFollower returns a follower at the start of the stream.
func NewFollower(log Log, m Machine, c Config) *Follower {
	return &Follower{
		Config:  c,
		log:     log,
		machine: m,
		wake:    make(chan struct{}, 1),
		waiting: make(map[ulid.ULID][]*commit),
		changed: make(chan struct{}),
	}
}

// Run follows the stream and appends queued records until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.readLoop(ctx) })
	g.Go(func() error { return f.writeLoop(ctx) })
	return g.Wait()
}

// Position returns how far the follower has come.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// Changed returns a channel that closes at the next change of the position.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// IsFresh reports whether the state was complete at the given instant or later.
func (f *Follower) IsFresh(since time.Time) bool {
	p := f.Position()
	return p.Blocked == "" && p.ConfirmedAt.After(since)
}

// StaleError reports a state that could not be confirmed in time.
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

// CatchUp waits until the state holds all that was accepted before the call, or returns a *StaleError.
func (f *Follower) CatchUp(ctx context.Context) error {
	a := time.Now()
	t := time.NewTicker(catchUpEvery)
	defer t.Stop()
	for !f.IsFresh(a) {
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

func pause(ctx context.Context, d time.Duration) error {
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
			f.Logger.Debug().Err(err).Str("Stream", f.Stream).Msg("read failed")
			if err := pause(ctx, b.NextBackOff()); err != nil {
				return err
			}
			continue
		}
		b.Reset()
	}
	return ctx.Err()
}

func (f *Follower) readOnce(ctx context.Context) error {
	a := time.Now()
	n := f.Position().Next
	if n == 0 && !f.searched {
		return f.startFromCheckpoint(ctx)
	}
	p, err := f.log.Read(ctx, f.Stream, n, a.Add(f.PollWait))
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
	f.confirm(a, p)
	return nil
}

func (f *Follower) confirm(at time.Time, p record.Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.position.Next >= p.Next && at.After(f.position.ConfirmedAt) {
		f.position.ConfirmedAt = at
	}
}

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
		f.resolve(v.ID, o)
	}
	return nil
}

func (f *Follower) applyRecords(offset uint64, v *record.Envelope) []Outcome {
	o := make([]Outcome, len(v.Records))
	for i := range v.Records {
		o[i].Offset = offset
		if v.Records[i].Checkpoint == nil {
			o[i].Err = f.machine.Apply(offset, v, &v.Records[i])
		}
	}
	return o
}

func (f *Follower) block(reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.position.Blocked != reason {
		f.Logger.Error().Str("Stream", f.Stream).Str("Reason", reason).Msg("stream blocked")
	}
	f.position.Blocked = reason
}

func (f *Follower) advance(e record.Entry, v *record.Envelope, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position.Next = e.Offset + 1
	f.position.Blocked = ""
	f.position.SinceCheckpoint++
	f.position.ReadBytes += len(e.Data)
	if err != nil {
		f.position.Corrupt++
		f.Logger.Error().Err(err).Str("Stream", f.Stream).Uint64("Offset", e.Offset).Msg("entry skipped")
	}
	if v != nil && hasCheckpoint(v) {
		f.position.SinceCheckpoint = 0
		f.position.CheckpointAt = v.At
	}
	f.signal()
}

// signal wakes those who wait for a change; the caller holds mu.
func (f *Follower) signal() {
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

// resolve answers those who wait for the envelope; its first occurrence decides.
func (f *Follower) resolve(id ulid.ULID, outcomes []Outcome) {
	f.mu.Lock()
	w := f.waiting[id]
	delete(f.waiting, id)
	f.mu.Unlock()
	for i, c := range w {
		c.done <- outcomes[i]
	}
}

package stream

import (
	"context"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"currantknot.dev/currantknot/internal/record"
)

// UnknownError reports a record that may or may not have been accepted.
type UnknownError struct {
	Stream string
	Cause  error
}

// Error names the stream and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome of the append to stream %s is unknown: %v", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Outcome is what became of a record.
type Outcome struct {
	// Offset is the place of the record in the stream, where its outcome is known.
	Offset uint64
	// Err is the machine's refusal, or an *UnknownError where the context ended before the outcome was known.
	Err error
}

// Commit appends the record and returns its offset once it was read back and accepted.
func (f *Follower) Commit(ctx context.Context, r record.Record) (uint64, error) {
	o := f.CommitAll(ctx, r)[0]
	return o.Offset, o.Err
}

// CommitAll appends the records, in one envelope where possible, and returns what became of each.
func (f *Follower) CommitAll(ctx context.Context, rs ...record.Record) []Outcome {
	q := make([]*commit, len(rs))
	for i, r := range rs {
		q[i] = &commit{ctx: ctx, record: r, done: make(chan Outcome, 1)}
	}
	f.mu.Lock()
	f.queue = append(f.queue, q...)
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
	o := make([]Outcome, len(rs))
	for i, c := range q {
		o[i] = f.await(ctx, c)
	}
	return o
}

func (f *Follower) await(ctx context.Context, c *commit) Outcome {
	select {
	case o := <-c.done:
		return o
	case <-ctx.Done():
	}
	select {
	case o := <-c.done:
		return o
	default:
		return Outcome{Err: &UnknownError{Stream: f.Stream, Cause: ctx.Err()}}
	}
}

func (f *Follower) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.wake:
		}
		for b := f.take(); len(b) > 0; b = f.take() {
			if err := f.appendBatch(ctx, b); err != nil {
				return err
			}
			if err := pause(ctx, f.FlushEvery); err != nil {
				return err
			}
		}
	}
}

// take removes the next batch from the queue and drops commits that nobody awaits.
func (f *Follower) take() []*commit {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b []*commit
	for len(f.queue) > 0 && len(b) < maxBatch {
		c := f.queue[0]
		f.queue = f.queue[1:]
		if c.ctx.Err() == nil {
			b = append(b, c)
		}
	}
	return b
}

// appendBatch appends one envelope, again after each failure, while anyone awaits its outcome.
func (f *Follower) appendBatch(ctx context.Context, b []*commit) error {
	e := &record.Envelope{ID: ulid.Make(), Writer: f.Writer, At: time.Now(), Records: make([]record.Record, len(b))}
	for i, c := range b {
		e.Records[i] = c.record
	}
	d, err := record.Encode(e)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.waiting[e.ID] = b
	f.mu.Unlock()
	w := newBackOff()
	for f.isAwaited(e.ID, b) {
		err := f.log.Append(ctx, f.Stream, d)
		f.countAppend(len(d))
		if err == nil {
			return nil
		}
		f.Logger.Debug().Err(err).Str("Stream", f.Stream).Stringer("Envelope", e.ID).Msg("append failed")
		if err := pause(ctx, w.NextBackOff()); err != nil {
			return err
		}
	}
	return nil
}

func (f *Follower) countAppend(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position.Appends++
	f.position.AppendedBytes += bytes
}

// isAwaited reports whether the envelope is unresolved and someone still waits for it.
func (f *Follower) isAwaited(id ulid.ULID, b []*commit) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.waiting[id]; !ok {
		return false
	}
	for _, c := range b {
		if c.ctx.Err() == nil {
			return true
		}
	}
	delete(f.waiting, id)
	return false
}

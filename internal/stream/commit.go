package stream

import (
	"context"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"currantknot.dev/currantknot/internal/record"
)

// UnknownError reports that a record may or may not have been accepted.
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

// Outcome is the result of committing a record.
type Outcome struct {
	// Offset is the offset of the entry that holds the record. It is set if the outcome is known.
	Offset uint64
	// Err is nil if the record was accepted. Otherwise, it is the error with which the state machine refused the record,
	// or an *UnknownError if the context was done before the outcome was known.
	Err error
}

// Commit appends a record, waits until it is read back, and returns its offset if the state machine accepts it.
func (f *Follower) Commit(ctx context.Context, r record.Record) (uint64, error) {
	o := f.CommitAll(ctx, r)[0]
	return o.Offset, o.Err
}

// CommitAll appends the records, in one envelope if they fit, waits until they are read back, and returns the outcome
// of each.
func (f *Follower) CommitAll(ctx context.Context, rs ...record.Record) []Outcome {
	q := make([]*pendingCommit, len(rs))
	for i, r := range rs {
		q[i] = &pendingCommit{ctx: ctx, record: r, done: make(chan Outcome, 1)}
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
		o[i] = f.awaitOutcome(ctx, c)
	}
	return o
}

func (f *Follower) awaitOutcome(ctx context.Context, c *pendingCommit) Outcome {
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
		for b := f.takeBatch(); len(b) > 0; b = f.takeBatch() {
			if err := f.appendBatch(ctx, b); err != nil {
				return err
			}
			if err := sleep(ctx, f.MinAppendInterval); err != nil {
				return err
			}
		}
	}
}

// takeBatch removes the next batch from the queue. It drops commits whose context is done.
func (f *Follower) takeBatch() []*pendingCommit {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b []*pendingCommit
	for len(f.queue) > 0 && len(b) < maxBatchRecords {
		c := f.queue[0]
		f.queue = f.queue[1:]
		if c.ctx.Err() == nil {
			b = append(b, c)
		}
	}
	return b
}

// appendBatch appends the batch as one envelope. It retries a failed append until the envelope is read back or no
// caller waits for an outcome.
func (f *Follower) appendBatch(ctx context.Context, b []*pendingCommit) error {
	e := &record.Envelope{ID: ulid.Make(), Writer: f.Writer, At: time.Now(), Records: make([]record.Record, len(b))}
	for i, c := range b {
		e.Records[i] = c.record
	}
	d, err := record.Encode(e)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.pending[e.ID] = b
	f.mu.Unlock()
	bo := newBackOff()
	for f.retainIfAwaited(e.ID, b) {
		err := f.log.Append(ctx, f.Stream, d)
		f.countAppend(len(d))
		if err == nil {
			return nil
		}
		f.Logger.Debug().Err(err).Str("Stream", f.Stream).Stringer("Envelope", e.ID).Msg("append returned an error")
		if err := sleep(ctx, bo.NextBackOff()); err != nil {
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

// retainIfAwaited reports whether the envelope was not read back yet and any caller still waits for its outcome. If no
// caller waits, it removes the envelope from pending.
func (f *Follower) retainIfAwaited(id ulid.ULID, b []*pendingCommit) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.pending[id]; !ok {
		return false
	}
	for _, c := range b {
		if c.ctx.Err() == nil {
			return true
		}
	}
	delete(f.pending, id)
	return false
}

package stream

import (
	"context"
	"fmt"
	"time"

	"currantknot.dev/currantknot/internal/record"
)

// skipToCheckpoint restores the newest usable checkpoint, or blocks the follower if there is none. first is the oldest
// offset that the log still holds.
func (f *Follower) skipToCheckpoint(ctx context.Context, first uint64) error {
	c, err := f.findCheckpoint(ctx, first)
	if err != nil {
		return err
	}
	if c == nil {
		f.block(fmt.Sprintf("retention has passed offset %d and the log holds no checkpoint", f.Position().Next))
		return &RetentionError{Stream: f.Stream, First: first}
	}
	return f.Restore(c.Covers, c.State)
}

// startFromCheckpoint lets a new follower start at the newest usable checkpoint, if there is one, instead of replaying
// all retained entries.
func (f *Follower) startFromCheckpoint(ctx context.Context) error {
	c, err := f.findCheckpoint(ctx, 0)
	if err != nil {
		return err
	}
	f.checkpointSearched = true
	if c == nil {
		return nil
	}
	return f.Restore(c.Covers, c.State)
}

// RetentionError reports that a follower cannot replay a stream: retention has removed entries that the follower has
// not read, and there is no usable checkpoint. First is the oldest offset that the log still holds.
type RetentionError struct {
	Stream string
	First  uint64
}

// Error names the stream and its first offset.
func (e *RetentionError) Error() string {
	return fmt.Sprintf("stream %s cannot be replayed: its entries before offset %d were removed by retention, and it holds no usable checkpoint", e.Stream, e.First)
}

// findCheckpoint reads the stream from the given offset and returns the newest usable checkpoint, or nil.
func (f *Follower) findCheckpoint(ctx context.Context, first uint64) (*record.Checkpoint, error) {
	var c *record.Checkpoint
	for n := first; ; {
		p, err := f.log.Read(ctx, f.Stream, n, time.Now())
		if err != nil {
			return nil, fmt.Errorf("find checkpoint in stream %s: %w", f.Stream, err)
		}
		if p.First > n {
			n, c, first = p.First, nil, p.First
			continue
		}
		for _, e := range p.Entries {
			c = selectCheckpoint(c, e, first)
			n = e.Offset + 1
		}
		if n >= p.Next || len(p.Entries) == 0 {
			return c, nil
		}
	}
}

// selectCheckpoint returns the usable checkpoint of an entry, or c if the entry has none. A checkpoint is usable if the
// log, which begins at offset first, still holds all entries that the checkpoint does not cover.
func selectCheckpoint(c *record.Checkpoint, e record.Entry, first uint64) *record.Checkpoint {
	v, err := record.Decode(e.Data)
	if err != nil {
		return c
	}
	for i := range v.Records {
		if k := v.Records[i].Checkpoint; k != nil && k.Covers >= first {
			c = k
		}
	}
	return c
}

// Restore replaces the state with one that includes the entries before the offset covers, and unblocks the follower. It
// does nothing if the follower has already applied these entries.
func (f *Follower) Restore(covers uint64, state []byte) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if covers <= f.Position().Next {
		return nil
	}
	if err := f.stateMachine.Restore(state); err != nil {
		return fmt.Errorf("restore stream %s at offset %d: %w", f.Stream, covers, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position.Next = covers
	f.position.Blocked = ""
	f.notifyChanged()
	f.Logger.Info().Str("Stream", f.Stream).Uint64("Offset", covers).Msg("state restored")
	return nil
}

// State returns the complete state in encoded form. covers is the first offset that the state does not include.
func (f *Follower) State() (covers uint64, state []byte, err error) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	b, err := f.stateMachine.Snapshot()
	if err != nil {
		return 0, nil, fmt.Errorf("encode state of stream %s: %w", f.Stream, err)
	}
	return f.Position().Next, b, nil
}

// WriteCheckpoint appends a checkpoint with the complete state to the stream and waits until it is read back.
func (f *Follower) WriteCheckpoint(ctx context.Context) error {
	n, b, err := f.State()
	if err != nil {
		return err
	}
	_, err = f.Commit(ctx, record.Record{Checkpoint: &record.Checkpoint{Covers: n, State: b}})
	return err
}

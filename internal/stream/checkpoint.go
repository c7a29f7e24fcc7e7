package stream

import (
	"context"
	"fmt"
	"time"

	"currantknot.dev/currantknot/internal/record"
)

// skipToCheckpoint restores the newest checkpoint that the log still holds in full.
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

// startFromCheckpoint lets a new follower begin at the newest checkpoint in place of replaying all that is retained.
func (f *Follower) startFromCheckpoint(ctx context.Context) error {
	c, err := f.findCheckpoint(ctx, 0)
	if err != nil {
		return err
	}
	f.searched = true
	if c == nil {
		return nil
	}
	return f.Restore(c.Covers, c.State)
}

// RetentionError reports a stream whose start is gone and which holds no checkpoint.
type RetentionError struct {
	Stream string
	First  uint64
}

// Error names the stream and its first offset.
func (e *RetentionError) Error() string {
	return fmt.Sprintf("stream %s begins at offset %d and holds no checkpoint", e.Stream, e.First)
}

func (f *Follower) findCheckpoint(ctx context.Context, first uint64) (*record.Checkpoint, error) {
	var c *record.Checkpoint
	for n := first; ; {
		p, err := f.log.Read(ctx, f.Stream, n, time.Now())
		if err != nil {
			return nil, fmt.Errorf("look for a checkpoint in stream %s: %w", f.Stream, err)
		}
		if p.First > n {
			n, c, first = p.First, nil, p.First
			continue
		}
		for _, e := range p.Entries {
			c = newerCheckpoint(c, e, first)
			n = e.Offset + 1
		}
		if n >= p.Next || len(p.Entries) == 0 {
			return c, nil
		}
	}
}

// newerCheckpoint returns the entry's checkpoint if the log holds all that follows its state.
func newerCheckpoint(c *record.Checkpoint, e record.Entry, first uint64) *record.Checkpoint {
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

// Restore takes over a state that covers the stream up to the offset, unless the follower is past it.
func (f *Follower) Restore(covers uint64, state []byte) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if covers <= f.Position().Next {
		return nil
	}
	if err := f.machine.Load(state); err != nil {
		return fmt.Errorf("restore stream %s at offset %d: %w", f.Stream, covers, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position.Next = covers
	f.position.Blocked = ""
	f.signal()
	f.Logger.Info().Str("Stream", f.Stream).Uint64("Offset", covers).Msg("state restored")
	return nil
}

// State returns the whole state and the first offset that it does not include.
func (f *Follower) State() (covers uint64, state []byte, err error) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	b, err := f.machine.Save()
	if err != nil {
		return 0, nil, fmt.Errorf("save stream %s: %w", f.Stream, err)
	}
	return f.Position().Next, b, nil
}

// WriteCheckpoint appends the whole state to the stream.
func (f *Follower) WriteCheckpoint(ctx context.Context) error {
	n, b, err := f.State()
	if err != nil {
		return err
	}
	_, err = f.Commit(ctx, record.Record{Checkpoint: &record.Checkpoint{Covers: n, State: b}})
	return err
}

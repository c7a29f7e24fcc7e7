package jobserve

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantknot.dev/currantknot/internal/bootclock"
)

// minConfirmInterval is the least time between the beginnings of two reads that confirm that jobs are unknown, so that callers who ask
// for many such jobs share few reads.
const minConfirmInterval = maxStateAge

// confirmation is a read of the requests that goes on beside a long poll, for which any number of callers wait.
type confirmation struct {
	done chan struct{}
	// err is the error that ended the read; it is set when done is closed.
	err error
}

// Confirm reads the requests to their end, unless a completed read began after since. Unlike Follow it does not wait for a long poll,
// whose response may be later than that to an append of this instance. As there, a call without a response is repeated for as long as
// a caller waits.
func (r *Replica) Confirm(ctx context.Context, since time.Time) error {
	for r.IsLoaded() {
		x := r.startConfirmation(ctx, since)
		if x == nil {
			return nil
		}
		select {
		case <-x.done:
			switch {
			case errors.Is(x.err, ErrTruncated), errors.Is(x.err, errDropped):
				return r.Follow(ctx, PartitionRequests, since, time.Time{})
			case x.err != nil && !errors.Is(x.err, context.DeadlineExceeded):
				return x.err
			}
		case <-ctx.Done():
			return fmt.Errorf("wait for records of jobs: %w", ctx.Err())
		}
	}
	return r.Follow(ctx, PartitionRequests, since, time.Time{})
}

// startConfirmation returns the confirmation in progress or starts one; it returns nil if a completed read began after since.
func (r *Replica) startConfirmation(ctx context.Context, since time.Time) *confirmation {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.partitions[PartitionRequests]
	if s.loaded && (!s.currentAt.Before(since) || r.isConfirmed(since)) {
		return nil
	}
	if r.confirmation == nil {
		x := &confirmation{done: make(chan struct{})}
		r.confirmation = x
		go r.runConfirmation(context.WithoutCancel(ctx), s, x)
	}
	return r.confirmation
}

// runConfirmation waits until minConfirmInterval has passed since the previous confirmation, and reads the requests.
func (r *Replica) runConfirmation(ctx context.Context, s *partitionState, x *confirmation) {
	r.mu.Lock()
	wait := time.Until(r.confirmAt)
	r.mu.Unlock()
	sleep(ctx, wait)
	r.mu.Lock()
	r.confirmAt = time.Now().Add(minConfirmInterval)
	r.mu.Unlock()
	x.err = r.readBeside(ctx, s)
	r.mu.Lock()
	r.confirmation = nil
	r.mu.Unlock()
	close(x.done)
}

// readBeside reads the requests to their end, beside the read in progress if there is one. It returns errDropped if that loads them.
func (r *Replica) readBeside(ctx context.Context, s *partitionState) error {
	for {
		r.mu.Lock()
		loaded, next := s.loaded, s.nextOffset
		r.mu.Unlock()
		if !loaded {
			return errDropped
		}
		start := bootclock.NowInstant()
		c, cancel := context.WithTimeout(ctx, s.latency.timeout())
		g, err := r.store.Read(c, PartitionRequests, next, time.Time{})
		cancel()
		s.latency.observe(time.Since(start.Time()))
		if err != nil {
			return fmt.Errorf("confirm jobs: %w", err)
		}
		if r.applyConfirmation(s, g, start) {
			return nil
		}
	}
}

// isConfirmed reports whether a completed confirmation began after since; r.mu is held.
func (r *Replica) isConfirmed(since time.Time) bool { return !r.confirmedAt.Before(since) }

// applyConfirmation applies a page and reports whether it reached the end. It doesn't count for currentAt, since an owner passes requests
// to its planner only after its own reads.
func (r *Replica) applyConfirmation(s *partitionState, g Page, start bootclock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.nextOffset == noOffset {
		// The load has begun again meanwhile.
		return false
	}
	r.applyUnread(PartitionRequests, s, g, start)
	if s.nextOffset < g.EndOffset {
		return false
	}
	r.confirmedAt = start.Time()
	r.dropAccepted(r.confirmedAt)
	return true
}

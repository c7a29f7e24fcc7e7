package jobserve

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// retryPause is the pause after an append that failed.
	retryPause = 120 * time.Millisecond
	// refusedTries is the number of appends that the store refuses before a caller is sent away.
	refusedTries = 2
	// batchRecords bounds the records of one append.
	batchRecords = 500
)

// batch appends the records of many callers together, one append at a time.
//
// It answers a store that is slow or takes one append after the other: what
// arrives during an append goes with the next one. The records have no further
// effect when they are appended again, so that an append without an answer is
// repeated.
type batch struct {
	store   Store
	logger  zerolog.Logger
	latency latency

	mu      sync.Mutex
	waiting []*entry
	running bool
}

// entry is a record whose caller waits.
type entry struct {
	record    Record
	ctx       context.Context //nolint:containedctx // the caller's wait belongs to the record
	refused   int
	uncertain bool
	done      chan error
}

// append adds a record and waits until it is stored, surely is not, or the caller's time is over.
func (b *batch) append(ctx context.Context, r Record) error {
	e := &entry{record: r, ctx: ctx, done: make(chan error, 1)}
	b.mu.Lock()
	b.waiting = append(b.waiting, e)
	if !b.running {
		b.running = true
		go b.run()
	}
	b.mu.Unlock()
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
		return ErrUnknown
	}
}

// run appends until nobody waits.
func (b *batch) run() {
	for {
		l := b.take()
		if len(l) == 0 {
			return
		}
		err := b.send(l)
		if b.settle(l, err) {
			time.Sleep(retryPause)
		}
	}
}

// take returns the records whose callers still wait.
func (b *batch) take() []*entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var l []*entry
	for len(b.waiting) > 0 && len(l) < batchRecords {
		e := b.waiting[0]
		b.waiting = b.waiting[1:]
		if e.ctx.Err() == nil {
			l = append(l, e)
		}
	}
	if len(l) == 0 {
		b.running = false
	}
	return l
}

func (b *batch) send(l []*entry) error {
	r := make([]Record, len(l))
	for i, e := range l {
		r[i] = e.record
	}
	begun := time.Now()
	c, cancel := context.WithTimeout(context.Background(), b.latency.timeout())
	defer cancel()
	_, err := b.store.Append(c, PartitionRequests, r, nil)
	if !isNotDone(err) {
		b.latency.observe(time.Since(begun))
	}
	return err
}

// settle answers the callers whose outcome is known, and tells whether others wait for another append.
func (b *batch) settle(l []*entry, err error) bool {
	if err == nil {
		for _, e := range l {
			e.done <- nil
		}
		return false
	}
	b.logger.Warn().Err(err).Int("Records", len(l)).Bool("NotDone", isNotDone(err)).Str("Decision", "AppendAgain").Msg("append failed")
	var again []*entry
	for _, e := range l {
		if isNotDone(err) {
			e.refused++
		} else {
			e.uncertain = true
		}
		if !e.uncertain && e.refused >= refusedTries {
			e.done <- ErrNotAccepted
			continue
		}
		again = append(again, e)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(again, b.waiting...)
	return len(again) > 0
}

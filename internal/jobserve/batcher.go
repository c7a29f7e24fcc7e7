package jobserve

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// appendBackoff is the delay after a failed append.
	appendBackoff = 120 * time.Millisecond
	// maxRejections is the number of rejected appends after which the caller of a record gets ErrNotAccepted, unless another
	// append of the record may have had an effect.
	maxRejections = 2
	// maxBatchRecords is the maximum number of records in one append.
	maxBatchRecords = 500
)

// batcher appends the records of concurrent callers in batches, one append at a time.
//
// It bounds the load on a store that is slow or serializes appends: records that
// arrive during an append go into the next batch. Appending a record again has
// no further effect, so an append without a response is retried.
type batcher struct {
	store   Store
	logger  zerolog.Logger
	latency latencyEstimator

	mu      sync.Mutex
	waiting []*pendingRecord
	running bool
}

// pendingRecord is a record whose caller waits for the append.
type pendingRecord struct {
	record Record
	ctx    context.Context //nolint:containedctx // bounds how long this record's caller waits
	// rejections counts the appends with this record that are known to have had no effect; maybeApplied means that a failed
	// append may have had an effect.
	rejections   int
	maybeApplied bool
	result       chan error
}

// append adds a record and waits until it is stored, is known not to be stored, or the context ends.
func (b *batcher) append(ctx context.Context, r Record) error {
	p := &pendingRecord{record: r, ctx: ctx, result: make(chan error, 1)}
	b.mu.Lock()
	b.waiting = append(b.waiting, p)
	if !b.running {
		b.running = true
		go b.run()
	}
	b.mu.Unlock()
	select {
	case err := <-p.result:
		return err
	case <-ctx.Done():
		return ErrOutcomeUnknown
	}
}

// run appends batches until no caller waits.
func (b *batcher) run() {
	for {
		l := b.nextBatch()
		if len(l) == 0 {
			return
		}
		err := b.appendBatch(l)
		if b.completeAppends(l, err) {
			time.Sleep(appendBackoff)
		}
	}
}

// nextBatch removes records from the queue and returns those whose callers still wait, at most maxBatchRecords.
func (b *batcher) nextBatch() []*pendingRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	var l []*pendingRecord
	for len(b.waiting) > 0 && len(l) < maxBatchRecords {
		p := b.waiting[0]
		b.waiting = b.waiting[1:]
		if p.ctx.Err() == nil {
			l = append(l, p)
		}
	}
	if len(l) == 0 {
		b.running = false
	}
	return l
}

// appendBatch appends a batch to the store.
func (b *batcher) appendBatch(l []*pendingRecord) error {
	r := make([]Record, len(l))
	for i, p := range l {
		r[i] = p.record
	}
	start := time.Now()
	c, cancel := context.WithTimeout(context.Background(), b.latency.timeout())
	defer cancel()
	_, err := b.store.Append(c, PartitionRequests, r, nil)
	if !isNotApplied(err) {
		b.latency.observe(time.Since(start))
	}
	return err
}

// completeAppends sends the outcome of an append to the callers for whom it is final. It queues the records of other callers
// again, and reports whether there are such callers.
func (b *batcher) completeAppends(l []*pendingRecord, err error) bool {
	if err == nil {
		for _, p := range l {
			p.result <- nil
		}
		return false
	}
	b.logger.Warn().Err(err).Int("Records", len(l)).Bool("NotDone", isNotApplied(err)).Str("Decision", "AppendAgain").Msg("append failed")
	var retry []*pendingRecord
	for _, p := range l {
		if isNotApplied(err) {
			p.rejections++
		} else {
			p.maybeApplied = true
		}
		if !p.maybeApplied && p.rejections >= maxRejections {
			p.result <- ErrNotAccepted
			continue
		}
		retry = append(retry, p)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(retry, b.waiting...)
	return len(retry) > 0
}

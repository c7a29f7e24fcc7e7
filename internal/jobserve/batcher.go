package jobserve

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/storepath"
)

const (
	// appendBackoff is the delay after a failed append.
	appendBackoff = 120 * time.Millisecond
	// maxRejections is the number of rejected appends after which the caller of a record gets ErrNotAccepted, unless another
	// append of the record may have had an effect.
	maxRejections = 2
	// maxBatchRecords is the maximum number of records in one append.
	maxBatchRecords = 500
	// maxBatchBytes is the size of the values in an append from which on further records wait for the next one.
	maxBatchBytes = 512 << 10
	// congestedLatency is the duration of an append from which the store counts as congested.
	congestedLatency = 150 * time.Millisecond
	// congestionPeriod is the time after a slow or failed append in which records go through another instance.
	congestionPeriod = 3 * time.Second
	// maxHandedOver is the maximum number of records that are handed over to a peer together.
	maxHandedOver = 128
	// forwardTimeout bounds an append through another instance, which is longer than the store lets appends wait.
	forwardTimeout = 2600 * time.Millisecond
)

// Forwarder appends records through the instance that appends for many others.
type Forwarder interface {
	// Forward appends records to PartitionRequests. It returns false if they were not sent, because this instance is the one that
	// appends for others, or is not connected to it. The error is as that of Store.Append.
	Forward(ctx context.Context, l []Record) (bool, error)
}

// batcher appends the records of concurrent callers in batches, one append at a time.
//
// It bounds the load on a store that is slow or serializes appends: records that
// arrive during an append go into the next batch. Appending a record again has
// no further effect, so an append without a response is retried.
//
// The store serializes the appends of all instances, so that many instances with
// few records each wait for each other once an append takes long. While it does,
// the records go to one instance, which appends those of all others together.
//
// While this instance does not reach the store, records go to a peer that does, or
// are rejected. A record is rejected only if nothing of it was sent, or if all that
// was sent was refused.
type batcher struct {
	store  Store
	logger zerolog.Logger
	// forwarder is nil if records are always appended directly.
	forwarder Forwarder
	// monitor judges whether this instance reaches the store; it may be nil.
	monitor *StoreMonitor
	// lastHop means that records are not handed over, since another instance has handed them over to this one.
	lastHop bool
	latency latencyEstimator
	// congestedUntil is the time until which records are forwarded; only the goroutine of run uses it.
	congestedUntil time.Time

	mu      sync.Mutex
	waiting []*pendingRecord
	running bool
	// lastGroup is the highest group of any record so far.
	lastGroup int
}

// pendingRecord is a record whose caller waits for the append.
type pendingRecord struct {
	record Record
	ctx    context.Context //nolint:containedctx // bounds how long this record's caller waits
	// rejections counts the appends with this record that are known to have had no effect; maybeApplied means that a failed
	// append may have had an effect.
	rejections   int
	maybeApplied bool
	// group is not 0 if the store has refused a batch with the record for a reason that will not pass: it is sent only with others of
	// the same group.
	group int
	// taken means that the record is being sent or was sent, and withdrawn that its caller has left before that. The mutex of the
	// batcher guards both.
	taken     bool
	withdrawn bool
	result    chan error
}

// append adds a record and waits until it is stored, is known not to be stored, or the context ends.
func (b *batcher) append(ctx context.Context, r Record) error {
	return b.await(ctx, b.enqueue(ctx, r))
}

// appendAll adds records and waits as append does. It returns ErrNotAccepted only if none of the records is stored, and a
// *PartialAppendError if that is known of some of them.
func (b *batcher) appendAll(ctx context.Context, l []Record) error {
	p := make([]*pendingRecord, len(l))
	for i, r := range l {
		p[i] = b.enqueue(ctx, r)
	}
	var rejected []int
	var err error
	for i, x := range p {
		e := b.await(ctx, x)
		if errors.Is(e, ErrNotAccepted) {
			rejected = append(rejected, i)
		}
		if e != nil {
			err = e
		}
	}
	if err != nil && len(rejected) < len(l) {
		return &PartialAppendError{Rejected: rejected}
	}
	return err
}

// enqueue adds a record to the next batch.
func (b *batcher) enqueue(ctx context.Context, r Record) *pendingRecord {
	p := &pendingRecord{record: r, ctx: ctx, result: make(chan error, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, p)
	if !b.running {
		b.running = true
		go b.run()
	}
	return p
}

// await waits for the outcome of a record.
func (b *batcher) await(ctx context.Context, p *pendingRecord) error {
	select {
	case err := <-p.result:
		return err
	case <-ctx.Done():
		return b.withdraw(p)
	}
}

// withdraw gives a record up whose caller has waited for too long, and returns the outcome: a record of which nothing was sent is
// rejected.
func (b *batcher) withdraw(p *pendingRecord) error {
	b.mu.Lock()
	p.withdrawn = !p.taken
	b.mu.Unlock()
	if p.withdrawn {
		return b.monitor.rejection(storepath.Decision{Elsewhere: true})
	}
	b.monitor.countRecords("unknown", 1)
	return ErrOutcomeUnknown
}

// run appends batches until no caller waits.
func (b *batcher) run() {
	for {
		b.monitor.awaitTurn()
		d := b.choose()
		limit := maxBatchRecords
		if d.Choice == storepath.HandOver {
			limit = maxHandedOver
		}
		l := b.nextBatch(limit)
		switch {
		case len(l) == 0:
			return
		case d.Choice == storepath.HandOver:
			b.handOver(l, d.Peer)
		case d.Choice == storepath.Reject:
			b.reject(l, d)
		default:
			err := b.appendBatch(l)
			if b.completeAppends(l, err) && b.monitor.appendState().IsUsable() {
				time.Sleep(appendBackoff)
			}
		}
	}
}

// choose chooses what becomes of the next batch.
func (b *batcher) choose() storepath.Decision {
	d := b.monitor.choose()
	if b.lastHop && d.Choice == storepath.HandOver {
		return storepath.Decision{Choice: storepath.Reject, Elsewhere: true}
	}
	return d
}

// handOver appends a batch through a peer. Records that the peer has not appended go into the next batch.
func (b *batcher) handOver(l []*pendingRecord, peer string) {
	start := time.Now()
	c, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	sent, err := b.monitor.peers.HandOver(c, peer, recordsOf(l))
	b.logger.Info().Err(err).Bool("Sent", sent).Str("Peer", peer).Int("Records", len(l)).Dur("Took", time.Since(start)).Str("Decision", "HandOver").Msg("records were handed over to a peer that reaches the store")
	if sent && err == nil {
		b.monitor.countRecords("handed_over", len(l))
		for _, p := range l {
			p.result <- nil
		}
		return
	}
	if !sent || isNotApplied(err) {
		b.requeue(l, l)
		return
	}
	b.requeue(l, rejectedOf(l, err))
}

// rejectedOf returns the records of a failed append that are known not to be stored while the outcome of the others is unknown.
func rejectedOf(l []*pendingRecord, err error) []*pendingRecord {
	var e *PartialAppendError
	if !errors.As(err, &e) {
		return nil
	}
	var r []*pendingRecord
	for i, p := range l {
		if slices.Contains(e.Rejected, i) {
			r = append(r, p)
		}
	}
	return r
}

// reject answers the callers of a batch for which there is neither the store nor a peer: records of which nothing can have been applied
// are rejected, and the outcome of the others is unknown. Their callers are better off with a repeat at another instance than held.
func (b *batcher) reject(l []*pendingRecord, d storepath.Decision) {
	unknown := 0
	for _, p := range l {
		if p.maybeApplied {
			unknown++
			p.result <- ErrOutcomeUnknown
			continue
		}
		p.result <- b.monitor.rejection(d)
	}
	b.monitor.countRecords("unknown", unknown)
	b.monitor.countRecords("rejected", len(l)-unknown)
}

// requeue puts records at the head of the queue; those that are not in notApplied may have been applied.
func (b *batcher) requeue(l, notApplied []*pendingRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range l {
		p.maybeApplied = p.maybeApplied || !slices.Contains(notApplied, p)
		p.taken = p.maybeApplied || p.rejections > 0
	}
	b.waiting = append(l, b.waiting...)
}

func recordsOf(l []*pendingRecord) []Record {
	r := make([]Record, len(l))
	for i, p := range l {
		r[i] = p.record
	}
	return r
}

// nextBatch removes records from the queue and returns those whose callers still wait, within the given number and maxBatchBytes.
// While the path is Suspect, records that may have been applied are sent again by themselves, so that nothing of the records behind
// them has been sent if the path turns out to be Down.
func (b *batcher) nextBatch(limit int) []*pendingRecord {
	suspect := b.monitor.appendState() == storepath.Suspect
	b.mu.Lock()
	defer b.mu.Unlock()
	var l []*pendingRecord
	size := 0
	for len(b.waiting) > 0 && len(l) < limit && size < maxBatchBytes {
		p := b.waiting[0]
		if suspect && len(l) > 0 && l[0].maybeApplied && !p.maybeApplied {
			break
		}
		if len(l) > 0 && p.group != l[0].group {
			break
		}
		b.waiting = b.waiting[1:]
		if p.ctx.Err() == nil && !p.withdrawn {
			p.taken = true
			l = append(l, p)
			size += len(p.record.Value)
		}
	}
	if len(l) == 0 {
		b.running = false
	}
	return l
}

// appendBatch appends a batch to the store, through another instance while the store is congested.
func (b *batcher) appendBatch(l []*pendingRecord) error {
	r := recordsOf(l)
	start := time.Now()
	sent, err := b.forward(r)
	if !sent {
		err = b.appendDirectly(r)
	}
	b.observeCongestion(time.Since(start), err)
	return err
}

// observeCongestion records that the store is congested if an append was slow or failed.
func (b *batcher) observeCongestion(took time.Duration, err error) {
	if err == nil && took < congestedLatency {
		return
	}
	now := time.Now()
	if b.forwarder != nil && now.After(b.congestedUntil) {
		b.logger.Info().Err(err).Dur("Took", took).Str("Decision", "AppendThroughOther").Msg("the store is congested; another instance appends the records of this one")
	}
	b.congestedUntil = now.Add(congestionPeriod)
}

// forward sends records to the instance that appends for others, if the store is congested.
func (b *batcher) forward(l []Record) (bool, error) {
	if b.forwarder == nil || time.Now().After(b.congestedUntil) {
		return false, nil
	}
	c, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	c, stop := b.monitor.whileUsable(c, true)
	defer stop()
	return b.forwarder.Forward(c, l)
}

func (b *batcher) appendDirectly(l []Record) error {
	c, cancel := context.WithTimeout(context.Background(), b.latency.timeout())
	defer cancel()
	c, stop := b.monitor.whileUsable(c, true)
	defer stop()
	start := time.Now()
	_, err := b.store.Append(c, PartitionRequests, l, nil)
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
	if isRefused(err) {
		return b.separate(l, err)
	}
	rejected := rejectedOf(l, err)
	var retry []*pendingRecord
	for _, p := range l {
		if isNotApplied(err) || slices.Contains(rejected, p) {
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

// separate handles a batch that the store refuses for a reason that will not pass: one of its records is at fault, so that its halves are
// sent by themselves, and a record that is refused by itself is given up. It reports whether there are records to send.
func (b *batcher) separate(l []*pendingRecord, err error) bool {
	if len(l) == 1 {
		b.logger.Error().Err(err).Str("Key", l[0].record.Key).Int("Bytes", len(l[0].record.Value)).Str("Decision", "RecordRefused").Msg("the store refuses a record for a reason that will not pass")
		l[0].result <- &RefusedRecordError{Key: l[0].record.Key, Cause: err}
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, p := range l {
		p.group = b.lastGroup + 1
		if i >= len(l)/2 {
			p.group++
		}
	}
	b.lastGroup += 2
	b.waiting = append(l, b.waiting...)
	return true
}

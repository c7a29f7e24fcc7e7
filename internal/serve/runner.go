package serve

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"currantknot.dev/currantknot/internal/decision"
	"currantknot.dev/currantknot/internal/placement"
	"currantknot.dev/currantknot/internal/record"
	"currantknot.dev/currantknot/internal/stream"
)

const (
	// planInterval is the time between two plans of a shard.
	planInterval = 200 * time.Millisecond
	// minAppendInterval is the minimum time between two appends to a shard's stream.
	minAppendInterval = 150 * time.Millisecond
	// renewInterval is the time since the last record of an owner after which the owner writes a Renew record.
	renewInterval = time.Second
	// ownerTimeout is the time without a record of the owner after which another instance may claim the shard.
	ownerTimeout = 4 * time.Second
	// handOverDelay is the time for which an owner must have stopped being the preferred owner before it resigns.
	handOverDelay = 3 * time.Second
	// commitTimeout is the maximum time to wait for the outcome of a record.
	commitTimeout = 5 * time.Second
	// maxEntriesSinceCheckpoint is the number of entries after which a stream gets a new checkpoint.
	maxEntriesSinceCheckpoint = 2000
	// firstCheckpointEntries is the number of entries above which a stream gets its first checkpoint.
	firstCheckpointEntries = 200
	// checkpointInterval is the time after which a stream with new entries gets a new checkpoint. It must be far below the
	// retention of the log.
	checkpointInterval = 10 * time.Minute
)

// runner follows the stream of one shard while this instance owns the shard or should own it.
type runner struct {
	instance   *Instance
	shard      int
	streamName string
	owner      *placement.Owner
	follower   *stream.Follower
	stop       context.CancelFunc
	done       sync.WaitGroup
	// commits waits for the commits in progress.
	commits sync.WaitGroup

	// claiming means that a claim of the shard is being committed.
	claiming atomic.Bool

	// The fields below belong to the goroutine that runs the shard.

	// ownerActiveAt is the time of the owner's latest record by the owner's clock. ownerSeenAt is the time at which this
	// instance read that record, or the last time at which it could not read the log, if that is later.
	ownerActiveAt time.Time
	ownerSeenAt   time.Time
	// epoch is the epoch of the shard as of the last call of observeOwner.
	epoch uint64
	// notPreferredSince is the time at which this instance was first seen not to be the preferred owner, zero while it is.
	notPreferredSince time.Time
	// renewedAt is the time at which this instance last began to write a Renew record, other than to resign.
	renewedAt time.Time
}

func newRunner(i *Instance, shard int) *runner {
	l := placement.DefaultLimits()
	l.Lease, l.SyncInterval = i.Lease, i.SyncEvery
	r := &runner{instance: i, shard: shard, streamName: fmt.Sprintf("shard-%d", shard)}
	r.owner = placement.NewOwner(shard, i.ID, l, i.newPlacementPolicy())
	r.follower = stream.NewFollower(i.platform, r.owner, stream.Config{
		Stream: r.streamName, Writer: i.ID, PollTimeout: pollTimeout, MinAppendInterval: minAppendInterval, Logger: i.logger,
	})
	r.owner.SetView(i.store.View(), time.Now())
	i.mu.Lock()
	w := i.workers
	i.mu.Unlock()
	r.owner.SetWorkers(w)
	return r
}

// start starts the goroutines that follow the stream and run the shard until close is called.
func (r *runner) start(ctx context.Context) {
	ctx, r.stop = context.WithCancel(ctx)
	r.done.Go(func() { _ = r.follower.Run(ctx) })
	r.done.Go(func() { r.run(ctx) })
}

func (r *runner) close() {
	r.stop()
	r.done.Wait()
	r.commits.Wait()
}

func (r *runner) run(ctx context.Context) {
	t := time.NewTicker(planInterval)
	defer t.Stop()
	for {
		r.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// step runs once per planInterval. If this instance owns the shard, it commits plans and sends orders. Otherwise, it
// claims the shard if that is due.
func (r *runner) step(ctx context.Context, now time.Time) {
	r.observeOwner(now)
	if !r.owner.IsOwner() {
		r.claimIfDue(ctx, now)
		return
	}
	r.handOverIfDue(ctx, now)
	c := r.clock(now)
	if rs := r.owner.Plan(c); len(rs) > 0 {
		r.commit(ctx, rs)
	}
	r.sendOrders(ctx, r.owner.Orders(c))
	r.renewIfDue(ctx, now)
	r.logDecisions()
}

// clock returns the times on which the decisions of a step at the given time are based.
func (r *runner) clock(now time.Time) placement.Clock {
	s := r.follower.Position().ConfirmedAt
	return placement.Clock{
		Now: now, ShardAt: s, LeaseAt: r.instance.leaseStart(r.shard, r.epoch, s, now),
		DocumentAt: r.instance.document.Position().ConfirmedAt,
	}
}

// observeOwner updates ownerActiveAt, ownerSeenAt and epoch from the records that were read.
func (r *runner) observeOwner(now time.Time) {
	_, e, _, a := r.owner.Ownership()
	if e != r.epoch || !a.Equal(r.ownerActiveAt) || r.ownerSeenAt.IsZero() {
		r.epoch, r.ownerActiveAt, r.ownerSeenAt = e, a, now
	}
	if !r.follower.IsFresh(now.Add(-time.Second)) {
		// While the log cannot be read, the owner's records cannot be seen. ownerTimeout starts once the log can be read.
		r.ownerSeenAt = now
	}
}

// claimIfDue claims the shard if this instance is the preferred owner and the shard has no owner, or one that has
// resigned or timed out. It does nothing while a claim is being committed, the instance is leaving, or the log cannot
// be read.
func (r *runner) claimIfDue(ctx context.Context, now time.Time) {
	o, e, resigned, _ := r.owner.Ownership()
	if r.claiming.Load() || r.instance.leaving.Load() || !r.follower.IsFresh(now.Add(-time.Second)) || r.instance.preferredOwner(r.shard, now) != r.instance.Name {
		return
	}
	if o != "" && !resigned && now.Sub(r.ownerSeenAt) < ownerTimeout {
		return
	}
	r.claiming.Store(true)
	c := record.Record{Claim: &record.Claim{Owner: r.instance.ID, Previous: e}}
	r.commits.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		_, err := r.follower.Commit(ctx, c)
		d := decision.Entry{At: time.Now(), Kind: "Claim", Subjects: []string{r.streamName}, Reason: fmt.Sprintf("previous owner %q of epoch %d", o, e)}
		if err != nil {
			d.Rejected = err.Error()
		}
		r.instance.decisions.Add(d)
		r.claiming.Store(false)
	})
}

// handOverIfDue resigns if this instance stopped being the preferred owner more than handOverDelay ago.
func (r *runner) handOverIfDue(ctx context.Context, now time.Time) {
	if r.instance.preferredOwner(r.shard, now) == r.instance.Name {
		r.notPreferredSince = time.Time{}
		return
	}
	if r.notPreferredSince.IsZero() {
		r.notPreferredSince = now
	}
	if now.Sub(r.notPreferredSince) > handOverDelay {
		r.notPreferredSince = time.Time{}
		r.resign(ctx)
	}
}

// resign writes a record after which another instance may claim the shard at once.
func (r *runner) resign(ctx context.Context) {
	_, e, _, _ := r.owner.Ownership()
	r.commit(ctx, []record.Record{{Renew: &record.Renew{Epoch: e, Resigned: true}}})
}

// renewIfDue writes a Renew record if this instance wrote no other record for renewInterval and has not resigned.
func (r *runner) renewIfDue(ctx context.Context, now time.Time) {
	_, e, resigned, a := r.owner.Ownership()
	if resigned || now.Sub(a) < renewInterval || now.Sub(r.renewedAt) < renewInterval {
		return
	}
	r.renewedAt = now
	r.commit(ctx, []record.Record{{Renew: &record.Renew{Epoch: e}}})
}

// commit appends records in the background. It passes the records with an unknown outcome to r.owner, which may propose
// them again.
func (r *runner) commit(ctx context.Context, rs []record.Record) {
	r.commits.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		var u []record.Record
		for i, o := range r.follower.CommitAll(ctx, rs...) {
			if x := (*stream.UnknownError)(nil); errors.As(o.Err, &x) {
				u = append(u, rs[i])
			}
		}
		r.owner.OnUnknownOutcome(u)
	})
}

// sendOrders queues orders on the pool. If the pool's queue is full, the order is dropped and r.owner repeats it.
func (r *runner) sendOrders(ctx context.Context, o placement.Orders) {
	p := r.instance.platform
	for _, s := range o.Starts {
		r.instance.pool.tryEnqueue(func() {
			// The process may have been suspended since the order was made, so the deadline is checked again.
			if !time.Now().Before(s.StartBefore) {
				return
			}
			t, err := p.Start(ctx, s)
			r.handleTaskReport(ctx, s.Worker, t, err)
		})
	}
	for _, s := range o.Stops {
		r.instance.pool.tryEnqueue(func() {
			t, err := p.Stop(ctx, s)
			r.handleTaskReport(ctx, s.Worker, t, err)
		})
	}
	for _, s := range o.Syncs {
		r.instance.pool.tryEnqueue(func() { r.syncWorker(ctx, s) })
	}
}

// handleTaskReport passes a worker's response to a start or stop order to r.owner and commits the resulting records. It
// ignores a failed call.
func (r *runner) handleTaskReport(ctx context.Context, worker string, t placement.TaskReport, err error) {
	if err != nil {
		return
	}
	if rs := r.owner.OnTask(worker, t, time.Now()); len(rs) > 0 {
		r.commit(ctx, rs)
	}
}

// syncWorker sends a sync order to a worker, passes the report or the failure to r.owner, and commits the resulting
// records.
func (r *runner) syncWorker(ctx context.Context, s placement.SyncOrder) {
	t := time.Now()
	w, err := r.instance.platform.Sync(ctx, s)
	if err != nil {
		r.owner.OnSyncFailure(s)
		return
	}
	if rs := r.owner.OnReport(s, w, t, time.Now()); len(rs) > 0 {
		r.commit(ctx, rs)
	}
}

// logDecisions moves the decisions of r.owner to the instance's ring of decisions.
func (r *runner) logDecisions() {
	for _, d := range r.owner.TakeDecisions() {
		at := d.At
		if at.IsZero() {
			at = time.Now()
		}
		g, _ := placement.SplitTask(d.Task)
		r.instance.decisions.Add(decision.Entry{
			At: at, Kind: d.Kind, Subjects: []string{d.Task, g, d.Worker, d.Domain}, Reason: d.Reason, Rejected: d.Rejected,
		})
	}
}

// checkpointIfDue writes a checkpoint of the shard if this instance owns it and a checkpoint is due.
func (r *runner) checkpointIfDue(ctx context.Context, now time.Time) {
	if r.owner.IsOwner() && isCheckpointDue(r.follower.Position(), now) {
		if err := r.follower.WriteCheckpoint(ctx); err != nil {
			r.instance.logger.Warn().Err(err).Str("Stream", r.streamName).Msg("failed to write checkpoint")
		}
	}
}

// isCheckpointDue reports whether a stream needs a new checkpoint. The first one is due after more than
// firstCheckpointEntries entries. Any later one is due after maxEntriesSinceCheckpoint entries, or after
// checkpointInterval if there are new entries.
func isCheckpointDue(p stream.Position, now time.Time) bool {
	if p.CheckpointAt.IsZero() {
		return p.SinceCheckpoint > firstCheckpointEntries
	}
	old := now.Sub(p.CheckpointAt) > checkpointInterval
	return p.SinceCheckpoint >= maxEntriesSinceCheckpoint || old && p.SinceCheckpoint > 0
}

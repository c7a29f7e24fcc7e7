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
	// tickEvery is the time between two plans of a shard.
	planInterval = 200 * time.Millisecond
	// flushEvery is the least time between two appends to a shard's stream.
	minAppendInterval = 150 * time.Millisecond
	// renewAfter is the time after which an owner that had nothing to write shows that it is alive.
	renewInterval = time.Second
	// claimAfter is the time without a sign of life after which a shard may be claimed.
	ownerTimeout = 4 * time.Second
	// handOverAfter is the time for which another instance must be preferred before the owner resigns.
	handOverDelay = 3 * time.Second
	// commitTimeout bounds the wait for the outcome of a record.
	commitTimeout = 5 * time.Second
	// checkpointAfter is the number of entries after which a stream gets a new checkpoint.
	maxEntriesSinceCheckpoint = 2000
	// firstCheckpointAfter is the number of entries after which a stream gets its first checkpoint.
	firstCheckpointEntries = 200
	// checkpointEvery is the time after which a stream gets a new checkpoint, far below any retention.
	checkpointInterval = 10 * time.Minute
)

// runner follows one shard while this instance owns it or should.
type runner struct {
	instance *Instance
	number   int
	stream   string
	owner    *placement.Owner
	follower *stream.Follower
	stop     context.CancelFunc
	done     sync.WaitGroup
	// committing bounds the commits under way.
	commits sync.WaitGroup

	claiming atomic.Bool

	// The fields below belong to the goroutine that runs the shard.

	// activeAt is the writer's time of the owner's latest record, and seenAt when it was noticed.
	ownerActiveAt time.Time
	ownerSeenAt   time.Time
	epoch         uint64
	// unwantedAt is the time since which another instance is preferred, zero where none is.
	notPreferredSince time.Time
	renewedAt         time.Time
}

func newRunner(i *Instance, number int) *runner {
	l := placement.DefaultLimits()
	l.Lease, l.SyncEvery = i.Lease, i.SyncEvery
	r := &runner{instance: i, number: number, stream: fmt.Sprintf("shard-%d", number)}
	r.owner = placement.NewOwner(number, i.ID, l, i.newPlacementPolicy())
	r.follower = stream.NewFollower(i.platform, r.owner, stream.Config{
		Stream: r.stream, Writer: i.ID, PollTimeout: pollTimeout, MinAppendInterval: minAppendInterval, Logger: i.logger,
	})
	r.owner.SetView(i.store.View(), time.Now())
	i.mu.Lock()
	w := i.workers
	i.mu.Unlock()
	r.owner.SetWorkers(w)
	return r
}

// start follows the stream until close is called.
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

// step does what is due now.
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

// clock returns the instants that a decision now rests on.
func (r *runner) clock(now time.Time) placement.Clock {
	s := r.follower.Position().ConfirmedAt
	return placement.Clock{
		Now: now, ShardAt: s, LeaseAt: r.instance.leaseStart(r.number, r.epoch, s, now),
		DocumentAt: r.instance.document.Position().ConfirmedAt,
	}
}

// observe notes signs of life of the owner.
func (r *runner) observeOwner(now time.Time) {
	_, e, _, a := r.owner.Ownership()
	if e != r.epoch || !a.Equal(r.ownerActiveAt) || r.ownerSeenAt.IsZero() {
		r.epoch, r.ownerActiveAt, r.ownerSeenAt = e, a, now
	}
	if !r.follower.IsFresh(now.Add(-time.Second)) {
		// Without the log nothing is known of the owner; the silence counts from its return.
		r.ownerSeenAt = now
	}
}

// considerClaim claims the shard if this instance is the preferred one and the owner is gone.
func (r *runner) claimIfDue(ctx context.Context, now time.Time) {
	o, e, resigned, _ := r.owner.Ownership()
	if r.claiming.Load() || r.instance.leaving.Load() || !r.follower.IsFresh(now.Add(-time.Second)) || r.instance.preferredOwner(r.number, now) != r.instance.Name {
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
		d := decision.Entry{At: time.Now(), Kind: "Claim", Subjects: []string{r.stream}, Reason: fmt.Sprintf("previous owner %q of epoch %d", o, e)}
		if err != nil {
			d.Rejected = err.Error()
		}
		r.instance.decisions.Add(d)
		r.claiming.Store(false)
	})
}

// considerHandOver resigns when another live instance has been preferred for a while.
func (r *runner) handOverIfDue(ctx context.Context, now time.Time) {
	if r.instance.preferredOwner(r.number, now) == r.instance.Name {
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

// resign lets the shard be claimed at once.
func (r *runner) resign(ctx context.Context) {
	_, e, _, _ := r.owner.Ownership()
	r.commit(ctx, []record.Record{{Renew: &record.Renew{Epoch: e, Resigned: true}}})
}

// keepAlive writes a sign of life if nothing else was written for a while.
func (r *runner) renewIfDue(ctx context.Context, now time.Time) {
	_, e, resigned, a := r.owner.Ownership()
	if resigned || now.Sub(a) < renewInterval || now.Sub(r.renewedAt) < renewInterval {
		return
	}
	r.renewedAt = now
	r.commit(ctx, []record.Record{{Renew: &record.Renew{Epoch: e}}})
}

// commit appends records in the background and reports unknown outcomes to the owner.
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
		r.owner.OnUnknown(u)
	})
}

// send carries out orders on the pool; an order without room is sent again by the owner.
func (r *runner) sendOrders(ctx context.Context, o placement.Orders) {
	p := r.instance.platform
	for _, s := range o.Starts {
		r.instance.pool.tryRun(func() {
			// An instance that was paused since the order was made checks the deadline again.
			if !time.Now().Before(s.StartBefore) {
				return
			}
			a, err := p.Start(ctx, s)
			r.handleTaskReport(ctx, s.Worker, a, err)
		})
	}
	for _, s := range o.Stops {
		r.instance.pool.tryRun(func() {
			a, err := p.Stop(ctx, s)
			r.handleTaskReport(ctx, s.Worker, a, err)
		})
	}
	for _, s := range o.Syncs {
		r.instance.pool.tryRun(func() { r.syncWorker(ctx, s) })
	}
}

func (r *runner) handleTaskReport(ctx context.Context, worker string, t placement.TaskReport, err error) {
	if err != nil {
		return
	}
	if rs := r.owner.OnTask(worker, t, time.Now()); len(rs) > 0 {
		r.commit(ctx, rs)
	}
}

func (r *runner) syncWorker(ctx context.Context, s placement.SyncOrder) {
	a := time.Now()
	w, err := r.instance.platform.Sync(ctx, s)
	if err != nil {
		r.owner.OnSilence(s)
		return
	}
	if rs := r.owner.OnReport(s, w, a, time.Now()); len(rs) > 0 {
		r.commit(ctx, rs)
	}
}

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

// considerCheckpoint writes a checkpoint of an owned shard when it is due.
func (r *runner) checkpointIfDue(ctx context.Context, now time.Time) {
	if r.owner.IsOwner() && isCheckpointDue(r.follower.Position(), now) {
		if err := r.follower.WriteCheckpoint(ctx); err != nil {
			r.instance.logger.Warn().Err(err).Str("Stream", r.stream).Msg("checkpoint not written")
		}
	}
}

// isCheckpointDue reports whether a stream needs a new checkpoint: after many entries, after a while with any, or for the first time.
func isCheckpointDue(p stream.Position, now time.Time) bool {
	if p.CheckpointAt.IsZero() {
		return p.SinceCheckpoint > firstCheckpointEntries
	}
	old := now.Sub(p.CheckpointAt) > checkpointInterval
	return p.SinceCheckpoint >= maxEntriesSinceCheckpoint || old && p.SinceCheckpoint > 0
}

package jobserve

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// planEvery is the longest time between two plans.
	planEvery = 100 * time.Millisecond
	// gatherFor is the time for which events gather before they are planned and committed together.
	gatherFor = 10 * time.Millisecond
	// gatherFactor times the time of the latest step is gathered, so that a busy owner steps less often.
	gatherFactor = 1
	// listEvery is the time between two reads of the list of workers.
	listEvery = 500 * time.Millisecond
	// takeoverTimeout bounds one try to take over.
	takeoverTimeout = 3 * time.Second
	// followFor is the longest wait for a submission in one read.
	followFor = time.Second
	// followTimeout is added to the wait for the answer.
	followTimeout = 900 * time.Millisecond
	// knowledgeEvery is the time between two records of what was learned.
	knowledgeEvery = 3 * time.Second
	// silenceEvery is the least time between two records for a worker that has fallen silent.
	silenceEvery = 500 * time.Millisecond
	// knowledgeKey is the key of that record; no job has such an identity.
	knowledgeKey = "knowledge"
	// failurePause is the pause after a failed call to the store.
	failurePause = 150 * time.Millisecond
)

// OwnerConfig holds what an owner needs.
type OwnerConfig struct {
	// Identity names this process in the store.
	Identity    string
	Store       Store
	Replica     *Replica
	Workers     Workers
	Directory   Directory
	Adviser     Adviser
	Maintenance Maintenance
	State       *State
	// RenewedAt returns the instant of the latest word from the store that this instance is the owner.
	RenewedAt func() time.Time
	// Lease is the longest lease that a worker is granted.
	Lease time.Duration
	// StoreLossGrace is the longest time without word from the store for which leases are granted.
	StoreLossGrace time.Duration
	// FinishedJobRetention is how long callers may ask for a job that has ended, 0 where its records are kept for good.
	FinishedJobRetention time.Duration
	// MaintenanceDelay is the time after a takeover in which no instance is ordered.
	MaintenanceDelay time.Duration
	Metrics          *Metrics
	Logger           zerolog.Logger
}

// Owner runs all jobs for as long as this instance owns them.
type Owner struct {
	OwnerConfig
	epoch      int64
	sequence   int64
	latency    latency
	signal     chan struct{}
	contacts   map[string]context.CancelFunc
	work       sync.WaitGroup
	states     *states
	retirement *retirement
	// inherited holds the states of jobs that the former owner may not have told.
	inherited []jobState
	// knowledgeAt is the instant of the latest record of what was learned.
	knowledgeAt time.Time

	mu      sync.Mutex
	planner *dispatch.Planner
	// acknowledged holds the committed ends of each worker.
	acknowledged map[string]acknowledgement
}

// acknowledgement is how far the ends of a worker's life are committed.
type acknowledgement struct {
	life   int64
	number int64
}

// RunOwner owns the jobs until the context ends or another owner has taken over.
func RunOwner(ctx context.Context, c OwnerConfig) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := &Owner{
		OwnerConfig: c, signal: make(chan struct{}, 1),
		states: newStates(c.Store, c.Replica, c.Logger), retirement: newRetirement(c.FinishedJobRetention),
		contacts: make(map[string]context.CancelFunc), acknowledged: make(map[string]acknowledgement),
	}
	defer o.work.Wait()
	defer cancel()
	if err := o.takeOver(ctx); err != nil {
		o.Logger.Warn().Err(err).Int64("Epoch", o.epoch).Str("Decision", "TakeoverFailed").Msg("ownership not taken")
		return
	}
	defer o.Replica.DropProgress()
	o.tell(ctx, o.inherited)
	o.retirement.note(o.inherited, time.Now())
	o.spawn(func() { o.followRequests(ctx) })
	o.spawn(func() { o.followMembers(ctx) })
	o.spawn(func() { o.followInstances(ctx) })
	err := o.loop(ctx)
	o.Logger.Info().AnErr("Cause", err).Int64("Epoch", o.epoch).Str("Decision", "OwnerStops").Msg("owner stops")
}

func (o *Owner) spawn(f func()) {
	o.work.Add(1)
	go func() {
		defer o.work.Done()
		f()
	}()
}

// loop plans, commits and carries out until the context ends.
func (o *Owner) loop(ctx context.Context) error {
	t := time.NewTicker(planEvery)
	defer t.Stop()
	var took time.Duration
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-o.signal:
			pause(ctx, max(gatherFor, gatherFactor*took))
		}
		begun := time.Now()
		if err := o.step(ctx); err != nil {
			return err
		}
		took = min(time.Since(begun), planEvery)
	}
}

// step makes one plan, commits what it changed, and then carries its orders out.
func (o *Owner) step(ctx context.Context) error {
	o.mu.Lock()
	now := time.Now()
	o.planner.SetDrainedDomains(o.State.DrainedDomains())
	o.planner.SetWaves(o.State.Waves())
	o.planner.Plan(now)
	changed, orders := o.planner.TakeChanges()
	reached := statesOf(changed)
	r, err := o.records(changed, now)
	acks := make(map[string]acknowledgement)
	contacts := o.planner.SyncTargets()
	for _, m := range contacts {
		l, n := o.planner.Acknowledged(m.ID)
		acks[m.ID] = acknowledgement{l, n}
	}
	o.mu.Unlock()
	if err != nil {
		return err
	}
	if err := o.commit(ctx, r); err != nil {
		return err
	}
	o.tell(ctx, reached)
	o.retirement.note(reached, now)
	if err := o.retire(ctx, now); err != nil {
		return err
	}
	o.mu.Lock()
	if len(r) > 0 && r[len(r)-1].Key == knowledgeKey {
		o.planner.SnapshotCommitted()
	}
	o.acknowledged = acks
	orders = o.planner.OrdersCommitted(orders, time.Now())
	o.mu.Unlock()
	for _, x := range orders {
		o.spawn(func() { o.carry(ctx, x) })
	}
	o.keepContacts(ctx, contacts)
	return nil
}

// tell tells the other instances the states of jobs that are new.
func (o *Owner) tell(ctx context.Context, l []jobState) {
	for _, x := range l {
		if o.states.note(x) {
			o.spawn(func() { o.states.tell(ctx, x) })
		}
	}
}

// records encodes changed jobs and, from time to time, what was learned; o.mu is held.
func (o *Owner) records(l []*jobs.Job, now time.Time) ([]Record, error) {
	r := make([]Record, 0, len(l))
	for _, j := range l {
		b, err := j.EncodeProgress()
		if err != nil {
			return nil, err
		}
		r = append(r, Record{Key: j.ID, Value: b})
	}
	due := len(r) > 0 && now.Sub(o.knowledgeAt) >= knowledgeEvery
	urgent := now.Sub(o.knowledgeAt) >= silenceEvery && o.planner.HasNewUnresponsive()
	if !due && !urgent {
		return r, nil
	}
	o.knowledgeAt = now
	b, err := o.planner.EncodeSnapshot(now)
	if err != nil || b == nil {
		return r, err
	}
	return append(r, Record{Key: knowledgeKey, Value: b}), nil
}

// notify asks for a plan soon.
func (o *Owner) notify() {
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

// commit appends records, again and again until the store has them or another owner has taken over.
func (o *Owner) commit(ctx context.Context, r []Record) error {
	if len(r) == 0 {
		return nil
	}
	o.sequence++
	w := &Writer{Epoch: o.epoch, Sequence: o.sequence}
	for {
		begun := time.Now()
		c, cancel := context.WithTimeout(ctx, o.latency.timeout())
		end, err := o.Store.Append(c, PartitionProgress, r, w)
		cancel()
		if !isNotDone(err) {
			o.latency.observe(time.Since(begun))
		}
		switch {
		case err == nil:
			o.Replica.ApplyCommitted(r, end-int64(len(r)))
			o.Metrics.Add(metricCommits, "", len(r))
			return nil
		case errors.Is(err, ErrFenced):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
		o.Logger.Warn().Err(err).Int64("Epoch", o.epoch).Int64("Sequence", o.sequence).Int("Records", len(r)).Msg("commit is tried again")
		pause(ctx, failurePause)
	}
}

// pause waits for a time or the end of the context.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

package jobserve

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/bootclock"
	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/locality"
)

const (
	// maxPlanInterval is the longest time between two planning cycles.
	maxPlanInterval = 100 * time.Millisecond
	// batchDuration is the time during which events are collected before they are planned and committed together.
	batchDuration = 10 * time.Millisecond
	// batchFactor scales the duration of the latest cycle: events are collected for the product if the product is longer than
	// batchDuration, so that a busy owner runs fewer cycles.
	batchFactor = 1
	// workerListInterval is the time from the beginning of a read of the worker list to the next read.
	workerListInterval = 500 * time.Millisecond
	// takeoverCallTimeout bounds the claim of the jobs and the fencing of the former owner, with repetitions.
	takeoverCallTimeout = 1500 * time.Millisecond
	// takeoverTimeout bounds the load of the records in a takeover, and one background refresh of the replica.
	takeoverTimeout = 3 * time.Second
	// requestsPollTimeout is the duration of the long poll for submissions and cancellations in one read.
	requestsPollTimeout = time.Second
	// pollResponseTimeout is the time for the response of the store to a read, in addition to the long poll of the read.
	pollResponseTimeout = 900 * time.Millisecond
	// snapshotInterval is the minimum time between two regular snapshots of the learned estimates.
	snapshotInterval = 3 * time.Second
	// unresponsiveSnapshotInterval is the minimum time between the latest snapshot and one that is made because the set of
	// unresponsive workers changed.
	unresponsiveSnapshotInterval = 500 * time.Millisecond
	// leaseSnapshotInterval is the time between two snapshots while the latest names workers whose leases have not expired. The
	// next owner repeats at most this much of the wait for the leases.
	leaseSnapshotInterval = time.Second
	// snapshotKey is the key of the snapshot record; it is not a valid job ID.
	snapshotKey = "knowledge"
	// runTimesKey is the key of the record of the run times, which is made every runTimesInterval if there are new ones; it is
	// not a valid job ID.
	runTimesKey      = "run-times"
	runTimesInterval = 10 * time.Second
	// keepAliveKey is the key of the record that an owner commits if it has committed nothing else for keepAliveInterval; it is
	// not a valid job ID.
	keepAliveKey      = "owner-alive"
	keepAliveInterval = time.Second
	// storeBackoff is the delay after a failed call to the store.
	storeBackoff = 150 * time.Millisecond
)

// OwnerConfig holds the settings and dependencies of an owner.
type OwnerConfig struct {
	// Identity is the name of this process in the group, which the owner stores so that members know the incumbent.
	Identity string
	// Predecessor is the claim after which the owner appends its own.
	Predecessor Claim
	// ListeningSince is when this process had its listeners, which an earlier process of the instance has until it ends.
	ListeningSince time.Time
	Store          Store
	Replica        *Replica
	Workers        Workers
	Directory      Directory
	Advisor        Advisor
	Maintenance    Maintenance
	State          *OperatorState
	// Commits knows by when the latest commit of an earlier owner was sent, and learns of the commits of this one.
	Commits *CommitWatch
	// Lease is the duration of each lease that is granted to a worker.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// StoreLossGrace is the time after the start of the latest successful commit in which leases are still granted.
	StoreLossGrace time.Duration
	// StartBounds bounds the ages of what starts rest on.
	StartBounds  dispatch.StartBounds
	AppendLimits AppendLimits
	// OffRackFactor is the factor by which a task takes longer outside the rack of its data or its gang, 0 if it is not known.
	OffRackFactor locality.Factor
	// FinishedJobRetention is how long callers may query a finished job; if it is 0, records are kept forever.
	FinishedJobRetention time.Duration
	// WorkersRestart means that workers start again under their IDs.
	WorkersRestart bool
	// MaintenanceDelay is the time after a takeover in which no maintenance is ordered.
	MaintenanceDelay time.Duration
	// Announce is called with the owner once it has taken over, and with nil when it stops.
	Announce func(*Owner)
	// Resign is called when the owner stops because the store refuses all its commits, so that another instance takes over. It may be
	// nil.
	Resign  func()
	Metrics *Metrics
	Logger  zerolog.Logger
}

// Owner schedules all jobs for as long as this instance owns them.
type Owner struct {
	OwnerConfig
	// epoch is the fencing token of this ownership, and sequence the number of its latest commit.
	epoch      int64
	sequence   int64
	latency    latencyEstimator
	planSignal chan struct{}
	// refused holds, by their keys without parts, the records of the latest commit that the store refuses for a reason that will not
	// pass.
	refused map[string]error
	// syncLoops holds the sync loops by worker ID.
	syncLoops  map[string]syncLoop
	goroutines sync.WaitGroup
	publisher  *statePublisher
	retention  *retention
	// restoredStates holds the job states that were read at the takeover; the former owner may have left them unpublished.
	restoredStates []jobState
	// snapshotAt is the time of the latest snapshot, and committedAt that of the latest successful commit.
	snapshotAt time.Time
	// runTimesAt is the time of the latest record of the run times.
	runTimesAt  time.Time
	committedAt time.Time
	// accountMetricsAt is when the metrics by account were last set.
	accountMetricsAt time.Time
	// inherited holds, by worker ID, the leases that commits name, as of the latest cycle.
	inherited map[string]int64
	// listRead is the read of the worker list in progress.
	listRead pendingRead

	mu      sync.Mutex
	planner *dispatch.Planner
	// workersAt is as of when the planner knows the list of workers.
	workersAt bootclock.Instant
	// grantsUntil is when this owner stops to grant leases, by the boot clock, which counts suspensions.
	grantsUntil time.Duration
	// acknowledged holds, by worker ID, up to which number the finished attempts are committed.
	acknowledged map[string]acknowledgement
}

// acknowledgement means that the finished attempts of a worker's incarnation are committed up to a number.
type acknowledgement struct {
	incarnation int64
	number      int64
}

// RunOwner takes over the jobs and schedules them until the context ends, another owner has taken over, a record cannot be encoded, or
// the store refuses all commits.
func RunOwner(ctx context.Context, c OwnerConfig) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := &Owner{
		OwnerConfig: c, planSignal: make(chan struct{}, 1),
		publisher: newStatePublisher(c.Store, c.Replica, c.Logger), retention: newRetention(c.FinishedJobRetention),
		syncLoops: make(map[string]syncLoop), acknowledged: make(map[string]acknowledgement),
	}
	defer o.goroutines.Wait()
	defer cancel()
	if err := o.takeOver(ctx); err != nil {
		o.Logger.Warn().Err(err).Int64("Epoch", o.epoch).Str("Decision", "TakeoverFailed").Msg("takeover failed")
		return
	}
	defer o.Replica.DropProgress()
	if o.Announce != nil {
		o.Announce(o)
		defer o.Announce(nil)
	}
	defer o.recordIdle(dispatch.Idle{})
	defer o.recordInterruptions(dispatch.InterruptionSummary{})
	defer o.recordExclusions(nil)
	defer o.Metrics.setAccountMetrics([]dispatch.AccountUsage{})
	o.Metrics.Gauge(metricWorkersAge, func() float64 { return o.workersAge().Seconds() })
	defer o.Metrics.Set(metricWorkersAge, 0)
	defer o.Metrics.Set(series(metricMalformed, label("kind", "Worker")), 0)
	o.publishStates(ctx, o.restoredStates)
	o.retention.recordFinished(o.restoredStates, time.Now())
	o.spawn(func() { o.followRequests(ctx) })
	o.spawn(func() { o.pollWorkers(ctx) })
	o.spawn(func() { o.pollInstances(ctx) })
	// Workers that respond before the first commit are granted leases after it, others after a further one.
	o.mu.Lock()
	targets := o.planner.SyncTargets()
	o.mu.Unlock()
	o.startSyncLoops(ctx, targets)
	err := o.runCycles(ctx)
	var refused *CommitRefusedError
	if errors.As(err, &refused) && o.Resign != nil {
		o.Resign()
	}
	o.Logger.Info().AnErr("Cause", err).Int64("Epoch", o.epoch).Str("Decision", "OwnerStops").Msg("owner stopped")
}

// spawn runs f in a goroutine that RunOwner waits for.
func (o *Owner) spawn(f func()) {
	o.goroutines.Add(1)
	go func() {
		defer o.goroutines.Done()
		f()
	}()
}

// runCycles runs a planning cycle after each batch of events, and otherwise every maxPlanInterval, until the context ends or a
// cycle fails.
func (o *Owner) runCycles(ctx context.Context) error {
	t := time.NewTicker(maxPlanInterval)
	defer t.Stop()
	var took time.Duration
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-o.planSignal:
			sleep(ctx, max(batchDuration, batchFactor*took))
		}
		start := time.Now()
		if err := o.runCycle(ctx); err != nil {
			return err
		}
		took = min(time.Since(start), maxPlanInterval)
	}
}

// runCycle makes one plan, commits its changes, and then starts the execution of its orders. It fails if another owner has
// taken over.
func (o *Owner) runCycle(ctx context.Context) error {
	o.mu.Lock()
	now := time.Now()
	o.refreshViews(now)
	o.planner.SetWaves(o.State.Waves())
	o.planner.Plan(now)
	idle, counts, usages, interruptions := o.planner.Idle(now), o.planner.TakeCounts(), o.accountUsages(now), o.planner.Interruptions(now)
	exclusions := o.planner.LongestExclusions(now)
	changed, orders := o.planner.TakeChanges()
	states := statesOf(changed)
	r, err := o.encodeRecords(changed, now)
	acks := make(map[string]acknowledgement)
	targets := o.planner.SyncTargets()
	for _, w := range targets {
		i, n := o.planner.AckNumber(w.ID)
		acks[w.ID] = acknowledgement{i, n}
	}
	o.mu.Unlock()
	o.recordIdle(idle)
	o.recordInterruptions(interruptions)
	o.recordExclusions(exclusions)
	o.addCounts(counts)
	o.Metrics.setAccountMetrics(usages)
	if err != nil {
		return err
	}
	if err := o.store(ctx, r, states, now); err != nil {
		return err
	}
	o.mu.Lock()
	o.acknowledged = acks
	committedAt := time.Now()
	o.refreshViews(committedAt)
	orders = o.planner.OrdersCommitted(orders, committedAt)
	o.mu.Unlock()
	for _, x := range orders {
		o.spawn(func() { o.execute(ctx, x) })
	}
	o.startSyncLoops(ctx, targets)
	return nil
}

// store commits the records of a cycle, publishes the states that follow from them, and removes what has expired.
func (o *Owner) store(ctx context.Context, r []Record, l []jobState, now time.Time) error {
	if err := o.commit(ctx, r); err != nil {
		return err
	}
	o.recordCommitted(r)
	l = o.setRefusedAside(l)
	o.publishStates(ctx, l)
	o.retention.recordFinished(l, now)
	return o.removeExpired(ctx, now)
}

// setRefusedAside sets the jobs aside whose progress the store refuses, and returns the states of the others. What a refused record
// says must have no effect: the next owner would not know of it.
func (o *Owner) setRefusedAside(l []jobState) []jobState {
	if len(o.refused) == 0 {
		return l
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(l, func(x jobState) bool {
		err := o.refused[x.job]
		if err != nil {
			o.planner.SetAside(x.job, err)
		}
		return err != nil
	})
}

// recordCommitted tells the planner which of what its leases depend on is committed with the records of a cycle. A snapshot that the
// store refuses is made again without what the next owner can do without.
func (o *Owner) recordCommitted(r []Record) {
	if len(r) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.planner.InheritedLeasesCommitted()
	switch {
	case o.refused[snapshotKey] != nil:
		o.planner.ReduceSnapshots()
	case baseKey(r[len(r)-1].Key) == snapshotKey:
		o.planner.SnapshotCommitted()
	}
}

// recordIdle sets the gauges of the tasks that should run and do not.
func (o *Owner) recordIdle(x dispatch.Idle) {
	o.Metrics.Set(metricHeldAttempts, x.Held)
	o.Metrics.Set(metricWaitingTasks, x.Waiting)
	o.Metrics.Set(metricIsolating, x.Isolating)
	o.Metrics.Set(metricProbableCauses, x.ProbableCauses)
	o.Metrics.Set(metricSetAside, x.SetAside)
}

// recordInterruptions sets the gauges of the long-running tasks without a run.
func (o *Owner) recordInterruptions(x dispatch.InterruptionSummary) {
	l := make(map[string]float64, len(x.Tasks))
	for reason, n := range x.Tasks {
		l[label("reason", reason)] = float64(n)
	}
	o.Metrics.SetSeries(metricInterrupted, l)
	o.Metrics.Gauge(metricInterruption, x.Longest.Seconds)
}

// recordExclusions sets the gauges of the workers that get no tasks.
func (o *Owner) recordExclusions(longest map[string]time.Duration) {
	l := make(map[string]float64, len(longest))
	for reason, d := range longest {
		l[label("reason", reason)] = d.Seconds()
	}
	o.Metrics.SetSeries(metricExclusion, l)
}

// addCounts adds what happened since the latest cycle to the counters.
func (o *Owner) addCounts(c dispatch.Counts) {
	for cause, n := range c.LostWorkers {
		o.Metrics.Add(metricLostWorkers, label("cause", cause), n)
	}
	o.countRackWaits(c)
	if c.LostAttempts > 0 {
		o.Metrics.Add(metricLostAttempts, "", c.LostAttempts)
	}
}

// publishStates publishes new job states to the other instances.
func (o *Owner) publishStates(ctx context.Context, l []jobState) {
	for _, x := range l {
		if o.publisher.record(x) {
			o.spawn(func() { o.publisher.publish(ctx, x) })
		}
	}
}

// encodeRecords encodes changed jobs, and a snapshot of the learned estimates if one is due, or a keep-alive record if there is
// nothing else and one is due, and prepares what the commit records name; o.mu is held.
func (o *Owner) encodeRecords(l []*jobs.Job, now time.Time) ([]Record, error) {
	r := make([]Record, 0, len(l))
	for _, j := range l {
		b, err := j.EncodeProgress()
		if err != nil {
			return nil, err
		}
		r = append(r, o.partRecords(j.ID, b)...)
		s, changed, err := j.EncodeSuspicions()
		if err != nil {
			return nil, err
		}
		if changed {
			r = append(r, o.partRecords(suspicionPrefix+j.ID, s)...)
		}
	}
	x, err := o.runTimesRecords(len(r) > 0, now)
	if err != nil {
		return nil, err
	}
	r = append(r, x...)
	if o.isSnapshotDue(len(r) > 0, now) {
		o.snapshotAt = now
		b, err := o.planner.PrepareSnapshot(now)
		if err != nil {
			return nil, err
		}
		if b != nil {
			r = append(r, o.partRecords(snapshotKey, b)...)
		}
	}
	if len(r) == 0 && (now.Sub(o.committedAt) >= keepAliveInterval || o.planner.HasOutdatedInheritedLeases()) {
		r = append(r, Record{Key: keepAliveKey, Value: []byte{1}})
	}
	o.inherited = o.planner.InheritedLeases(now)
	return r, nil
}

// partRecords returns the parts of a record, and the deletion of the parts that an earlier, larger one has beyond them.
func (o *Owner) partRecords(key string, value []byte) []Record {
	r := o.AppendLimits.split(key, value)
	for o.Replica.Progress(partKey(key, len(r))) != nil {
		r = append(r, Record{Key: partKey(key, len(r))})
	}
	return r
}

// runTimesRecords returns the record of the run times if one is due; o.mu is held. It is committed only together with other
// records, and left out if it is too large for the store.
func (o *Owner) runTimesRecords(hasRecords bool, now time.Time) ([]Record, error) {
	if !hasRecords || now.Sub(o.runTimesAt) < runTimesInterval {
		return nil, nil
	}
	b, err := o.planner.EncodeRunTimes()
	if err != nil || b == nil {
		return nil, err
	}
	o.runTimesAt = now
	if len(b)+maxKeyBytes+recordOverheadBytes > o.AppendLimits.recordBytes() {
		return nil, nil
	}
	return []Record{{Key: runTimesKey, Value: b}}, nil
}

// isSnapshotDue reports whether a snapshot is due; o.mu is held. Regular snapshots are committed only together with other
// records. A snapshot with a changed maintenance is committed with the plan that changed it, before its order is executed.
func (o *Owner) isSnapshotDue(hasRecords bool, now time.Time) bool {
	age := now.Sub(o.snapshotAt)
	switch {
	case o.planner.HasMaintenanceChanged(), o.planner.HasOverlongChanged():
		return true
	case o.planner.DetectUnresponsiveChange():
		return age >= unresponsiveSnapshotInterval
	case o.planner.HasUnexpiredLeases(), o.planner.HasLateStarts(now), o.planner.HasBindings():
		return age >= leaseSnapshotInterval
	}
	return hasRecords && age >= snapshotInterval
}

// requestPlan triggers a planning cycle.
func (o *Owner) requestPlan() {
	select {
	case o.planSignal <- struct{}{}:
	default:
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

package jobserve

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/inbound"
	"currantknot.dev/currantknot/internal/limits"
	"currantknot.dev/currantknot/internal/locality"
)

const (
	// operatorsPollTimeout is the longest wait for a change by operators in one read.
	operatorsPollTimeout = 900 * time.Millisecond
	// replicaRefreshInterval is the time between two background reads of new records, which keep the replica from falling so far
	// behind that the store drops records before they are read.
	replicaRefreshInterval = 2500 * time.Millisecond
	// maxReadyStoreAge is the time since the last response of the store after which an instance is not ready.
	maxReadyStoreAge = 2200 * time.Millisecond
	// silentLogInterval is the time between two lines about a store that does not respond.
	silentLogInterval = time.Second
	// balancerDrainDuration is the time that the load balancer takes to stop sending requests to an instance that is not ready.
	balancerDrainDuration = 2500 * time.Millisecond
	// shutdownMargin is the time at the end of the shutdown timeout that is reserved for flushing the log and exiting.
	shutdownMargin = 1200 * time.Millisecond
)

// Operators reads the settings and requests of operators.
type Operators interface {
	// Follow applies changes by operators to s, and waits for one until the given time.
	Follow(ctx context.Context, s *OperatorState, until time.Time) error
}

// InstanceConfig holds the settings and dependencies of an instance.
type InstanceConfig struct {
	Name         string
	CallerListen string
	ReadyListen  string
	// Guards bounds what clients of the listeners may use.
	Guards Guards
	// ShutdownTimeout is the time from the termination signal until the platform kills the process.
	ShutdownTimeout time.Duration
	// Lease is the duration of each lease that an owner grants to a worker.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// StartBounds bounds the ages of what starts rest on.
	StartBounds  dispatch.StartBounds
	AppendLimits AppendLimits
	// OffRackFactor is the factor by which a task takes longer outside the rack of its data or its gang, 0 if it is not known.
	OffRackFactor locality.Factor
	// FinishedJobRetention is how long callers may query a finished job.
	FinishedJobRetention time.Duration
	// Identity identifies this process in the group that elects the owner.
	Identity    Identity
	Store       Store
	Workers     Workers
	Relays      Relays
	Directory   Directory
	Advisor     Advisor
	Maintenance Maintenance
	// WorkersRestart means that workers start again under their IDs.
	WorkersRestart bool
	// MaintenanceDelay is the time after a takeover in which the new owner orders no maintenance, so that the orders of two
	// owners do not overlap.
	MaintenanceDelay time.Duration
	Operators        Operators
	State            *OperatorState
	Replica          *Replica
	// Commits knows by when commits of owners were sent.
	Commits *CommitWatch
	// Monitor judges whether this instance reaches the store; without it, the age of the latest response does.
	Monitor       *StoreMonitor
	CallerHandler http.Handler
	// MetricsListen is the listen address for metrics and for DecodeJob's jobs; if it is empty, none are served.
	MetricsListen string
	// DecodeJob decodes the jobs for which the instance tells where they would go; nil if it does not.
	DecodeJob JobDecoder
	Metrics   *Metrics
	Log       *LogWriter
	Logger    zerolog.Logger
}

// Instance is one process of the system. It serves callers, and is a member of the group that elects the owner of the jobs
// while the group needs it.
type Instance struct {
	InstanceConfig
	member *Member
	// listeningSince is when this process had its listeners, which an earlier process of the instance has until it ends.
	listeningSince time.Time
	stopping       atomic.Bool
	// storeRespondedAt is the time of the latest response of the store, in nanoseconds since 1970.
	storeRespondedAt atomic.Int64
	// owner is the owner that this instance runs, nil if it does not own the jobs.
	owner atomic.Pointer[Owner]
}

// storeLossGrace is the time after the start of the latest successful commit in which an owner still grants leases.
const storeLossGrace = 2500 * time.Millisecond

// NewInstance returns an instance that Run starts.
func NewInstance(c InstanceConfig) *Instance {
	i := &Instance{InstanceConfig: c}
	i.CallerHandler = instrumentHandler(c.Metrics, c.CallerHandler)
	i.registerGauges()
	i.member = NewMember(MemberConfig{Store: c.Store, Identity: c.Identity, Logger: c.Logger, RunOwner: i.runOwner, OnGroup: i.updateRelayOwners, SilentSince: c.Relays.SilentSince, RefusedSince: c.Relays.RefusedSince, Incumbent: i.Replica.RefreshClaim})
	return i
}

// updateRelayOwners makes this instance call workers on behalf of the other members of the group, since any may own the jobs, and
// of the incumbent, which the store may not list yet.
func (i *Instance) updateRelayOwners(g group, incumbent string) {
	i.Relays.SetOwners(g.with(parseIdentity(incumbent)).peerAddresses(i.Identity))
	i.Relays.SetAppender(g.appender(i.Identity))
}

// registerGauges registers the metrics of the instance's state.
func (i *Instance) registerGauges() {
	i.Metrics.Gauge(metricOwner, func() float64 { return boolValue(i.member.IsOwner()) })
	i.Metrics.Gauge(metricRelays, func() float64 { return float64(i.Relays.Count()) })
	i.Metrics.Gauge(metricReady, func() float64 { return boolValue(i.isReady()) })
	i.Metrics.Gauge(metricStoreAge, func() float64 { return i.storeAge().Seconds() })
	i.Metrics.Gauge(metricOperatorsAge, func() float64 { return i.State.CurrentAt().Age().Seconds() })
	i.Metrics.Gauge(metricRequestsAge, func() float64 { return i.Replica.RequestsCurrentAt().Age().Seconds() })
	i.Metrics.Gauge(metricJobs, func() float64 { return float64(len(i.Replica.IDs())) })
	i.Metrics.Gauge(metricJobMemory, func() float64 { return float64(i.Replica.JobMemory()) })
	i.Metrics.Gauge(series(metricMalformed, label("kind", "Job")), func() float64 { return float64(i.Replica.Malformed()) })
	i.Metrics.Gauge(series(metricMalformed, label("kind", "Operator")), func() float64 { return float64(i.State.Malformed()) })
	i.Guards.registerGauges(i.Metrics)
	i.Metrics.Gauge(metricLinesDropped, func() float64 { return float64(i.Log.Dropped()) })
	i.Metrics.Gauge(metricVersion, func() float64 {
		if c := i.State.Configuration(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
}

// boolValue returns 1 for true and 0 for false.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// storeAge returns the time since the last response of the store.
func (i *Instance) storeAge() time.Duration {
	return time.Since(time.Unix(0, i.storeRespondedAt.Load()))
}

// runOwner runs the owner until the context ends, another owner has taken over, or the owner fails.
func (i *Instance) runOwner(ctx context.Context, predecessor Claim) {
	i.Metrics.Add(metricTakeovers, "", 1)
	RunOwner(ctx, OwnerConfig{
		Identity: i.Identity.String(), Predecessor: predecessor, ListeningSince: i.listeningSince, Store: i.Store, Replica: i.Replica, Workers: i.Workers, Directory: i.Directory, Advisor: i.Advisor, Maintenance: i.Maintenance,
		State: i.State, WorkersRestart: i.WorkersRestart, MaintenanceDelay: i.MaintenanceDelay, Announce: i.owner.Store, Resign: i.member.Resign,
		Commits: i.Commits, Lease: i.Lease, MaxLease: i.MaxLease, FinishedJobRetention: i.FinishedJobRetention, StoreLossGrace: storeLossGrace, StartBounds: i.StartBounds, OffRackFactor: i.OffRackFactor, AppendLimits: i.AppendLimits, Metrics: i.Metrics, Logger: i.Logger,
	})
}

// Run serves until the context ends, and then shuts down gracefully; it returns an error if it cannot listen.
func (i *Instance) Run(ctx context.Context) error {
	callers, err := i.listen(ctx, i.Guards.Callers, i.CallerListen, i.CallerHandler)
	if err != nil {
		return err
	}
	ready, err := i.listen(ctx, i.Guards.Readiness, i.ReadyListen, http.HandlerFunc(i.serveReadiness))
	if err != nil {
		return err
	}
	if i.MetricsListen != "" {
		if _, err := i.listen(ctx, i.Guards.Metrics, i.MetricsListen, i.metricsHandler()); err != nil {
			return err
		}
	}
	i.listeningSince = time.Now()
	i.Logger.Info().Str("Decision", "Started").Str("Callers", i.CallerListen).Dur("Lease", i.Lease).Msg("instance started")
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	memberCtx, leaveGroup := context.WithCancel(background)
	var o sync.WaitGroup
	o.Go(func() { i.member.Run(memberCtx) })
	go inbound.Run(background, i.Guards.all()...)
	go i.runRelays(background)
	go i.followOperators(background)
	go i.refreshReplica(background)
	go i.Monitor.Run(background, i.Store)
	go i.watchCommits(background)
	<-ctx.Done()
	i.shutDown(callers, leaveGroup, &o)
	cancel()
	_ = ready.Close()
	i.Logger.Info().Str("Decision", "Stopped").Msg("instance stopped")
	return nil
}

// shutDown leaves the group, serves callers for balancerDrainDuration while the load balancer stops sending requests, and then
// waits for requests in flight, until shutdownMargin before the shutdown timeout at most.
func (i *Instance) shutDown(callers *http.Server, leaveGroup context.CancelFunc, o *sync.WaitGroup) {
	i.stopping.Store(true)
	start := time.Now()
	i.Logger.Info().Str("Decision", "Stopping").Bool("Owner", i.member.IsOwner()).Msg("instance is shutting down")
	c, cancel := context.WithDeadline(context.Background(), start.Add(i.ShutdownTimeout-shutdownMargin))
	defer cancel()
	callers.SetKeepAlivesEnabled(false)
	i.Relays.Leave()
	leaveGroup()
	left := make(chan struct{})
	go func() {
		defer close(left)
		o.Wait()
	}()
	sleep(c, balancerDrainDuration)
	if err := callers.Shutdown(c); err != nil {
		i.Logger.Warn().Err(err).Dur("After", time.Since(start)).Str("Decision", "CutRequests").Msg("requests were still in flight at the shutdown deadline")
		_ = callers.Close()
	}
	select {
	case <-left:
	case <-c.Done():
		i.Logger.Warn().Dur("After", time.Since(start)).Str("Decision", "LeftBehind").Msg("leaving the group was not finished at the shutdown deadline; a membership that remains will expire")
	}
}

// listen starts an HTTP server at an address, within the limits of a guard.
func (i *Instance) listen(ctx context.Context, g *inbound.Guard, address string, h http.Handler) (*http.Server, error) {
	l, err := g.Listen(ctx, address, limits.PhaseHead)
	if err != nil {
		return nil, err
	}
	s := g.Server(h, true)
	go func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			i.Logger.Error().Err(err).Str("Address", address).Msg("HTTP server failed")
		}
	}()
	return s, nil
}

// runRelays connects this instance with the others, so that an owner can distribute its calls to workers; an owner without
// relays makes all calls itself.
func (i *Instance) runRelays(ctx context.Context) {
	if err := i.Relays.Run(ctx); err != nil && ctx.Err() == nil {
		i.Logger.Error().Err(err).Str("Decision", "NoRelays").Msg("relays failed; calls to workers are not distributed")
	}
}

// serveReadiness handles the readiness probe of the load balancer.
func (i *Instance) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if i.isReady() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// isReady reports whether callers are better served here than elsewhere: until the jobs are loaded, this instance can only let
// queries wait.
func (i *Instance) isReady() bool {
	return !i.stopping.Load() && i.State.Configuration() != nil && i.reachesStore() && i.Replica.IsLoaded()
}

// reachesStore reports whether callers are not better served elsewhere as far as the store is concerned.
func (i *Instance) reachesStore() bool {
	if i.Monitor == nil {
		return i.storeAge() < maxReadyStoreAge
	}
	return i.Monitor.isReady()
}

// followOperators applies changes by operators until the context ends. The first read and the one after a failed read don't wait
// for a change, so that it is soon known again that there is none.
func (i *Instance) followOperators(ctx context.Context) {
	wait := time.Duration(0)
	silent := i.Logger.Sample(&zerolog.BurstSampler{Burst: 1, Period: silentLogInterval})
	for ctx.Err() == nil {
		u := time.Now().Add(wait)
		wait = operatorsPollTimeout
		c, end := i.State.read.begin(ctx, u, pollResponseTimeout)
		answered := i.Monitor.begin(false, u)
		err := i.Operators.Follow(c, i.State, u)
		answered(err)
		end(err)
		switch {
		case err == nil:
			i.recordStoreResponse()
			i.Guards.configure(i.State.Configuration())
		case ctx.Err() == nil:
			wait = 0
			silent.Warn().Err(err).Dur("StoreAge", i.storeAge()).Str("Decision", "StoreSilent").Msg("changes by operators were not read")
			sleep(ctx, storeBackoff)
		}
	}
}

// recordStoreResponse records the time of a response of the store. It logs the first response, and the first one after an
// outage.
func (i *Instance) recordStoreResponse() {
	last := time.Unix(0, i.storeRespondedAt.Swap(time.Now().UnixNano()))
	if d := time.Since(last); d > maxReadyStoreAge {
		i.Logger.Info().Dur("Silence", d).Str("Decision", "StoreInTouch").Msg("the store responds")
	}
}

// refreshReplica loads the jobs, and then reads new records in the background, until the context ends.
func (i *Instance) refreshReplica(ctx context.Context) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, takeoverTimeout)
		err := i.Replica.Refresh(c, time.Now().Add(-replicaRefreshInterval/2))
		cancel()
		if err != nil && ctx.Err() == nil {
			i.Logger.Warn().Err(err).Msg("job records were not read")
		}
		if i.Replica.IsLoaded() {
			i.Replica.measureJobs()
			sleep(ctx, replicaRefreshInterval)
			continue
		}
		sleep(ctx, storeBackoff)
	}
}

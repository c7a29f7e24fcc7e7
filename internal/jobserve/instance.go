package jobserve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// operatorsWait is the longest wait for a decision of operators in one read.
	operatorsWait = 900 * time.Millisecond
	// backgroundEvery is the time between two reads that keep the replica within the store's retention.
	backgroundEvery = 2500 * time.Millisecond
	// readyLimit is the age of the last word from the store beyond which an instance is not ready.
	readyLimit = 2200 * time.Millisecond
	// balancerDelay is the time in which the balancer notices that an instance is not ready.
	balancerDelay = 2500 * time.Millisecond
	// stopMargin is kept of the time to stop, for the log and the end of the process.
	stopMargin = 1200 * time.Millisecond
	// readHeaderTimeout and idleTimeout bound what callers may leave open.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 30 * time.Second
)

// Operators follows what operators decided.
type Operators interface {
	// Follow takes decisions into the state, and waits for one until the given instant.
	Follow(ctx context.Context, s *State, until time.Time) error
}

// InstanceConfig holds what an instance needs.
type InstanceConfig struct {
	Name         string
	CallerListen string
	ReadyListen  string
	// ShutdownTimeout is the time between the signal to stop and the kill.
	ShutdownTimeout time.Duration
	Lease           time.Duration
	// FinishedJobRetention is how long callers may ask for a job that has ended.
	FinishedJobRetention time.Duration
	// Identity is how the group of instances names this process.
	Identity    Identity
	Store       Store
	Workers     Workers
	Relays      Relays
	Directory   Directory
	Adviser     Adviser
	Maintenance Maintenance
	// MaintenanceDelay is the time in which two owners may not take turns in ordering an instance.
	MaintenanceDelay time.Duration
	Operators        Operators
	State            *State
	Replica          *Replica
	CallerHandler    http.Handler
	// MetricsListen is the address that serves metrics, empty for none.
	MetricsListen string
	Metrics       *Metrics
	Log           *LogWriter
	Logger        zerolog.Logger
}

// Instance is one process of the system on the users' platform.
type Instance struct {
	InstanceConfig
	member   *Member
	stopping atomic.Bool
	storeAt  atomic.Int64
}

// detachedLimit is the longest time without word from the store for which an owner renews leases.
const detachedLimit = 3 * time.Second

// NewInstance returns an instance.
func NewInstance(c InstanceConfig) *Instance {
	i := &Instance{InstanceConfig: c}
	i.CallerHandler = measuredHandler(c.Metrics, c.CallerHandler)
	i.gauges()
	i.member = NewMember(MemberConfig{Store: c.Store, Identity: c.Identity, Logger: c.Logger, Own: i.own, Seen: i.onGroup, Incumbent: i.incumbent})
	return i
}

// onGroup makes calls to workers for the other members of the group, one of which owns the jobs.
func (i *Instance) onGroup(g group) { i.Relays.SetOwners(g.addresses(i.Identity)) }

// gauges registers what is known of the instance's state.
func (i *Instance) gauges() {
	i.Metrics.Gauge(metricOwner, func() float64 { return number(i.member.IsOwner()) })
	i.Metrics.Gauge(metricRelays, func() float64 { return float64(i.Relays.Relays()) })
	i.Metrics.Gauge(metricReady, func() float64 { return number(i.isReady()) })
	i.Metrics.Gauge(metricStoreAge, func() float64 { return i.storeAge().Seconds() })
	i.Metrics.Gauge(metricJobs, func() float64 { return float64(len(i.Replica.IDs())) })
	i.Metrics.Gauge(metricLinesDropped, func() float64 { return float64(i.Log.Dropped()) })
	i.Metrics.Gauge(metricVersion, func() float64 {
		if c := i.State.Configuration(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// storeAge returns the age of the last word from the store.
func (i *Instance) storeAge() time.Duration { return time.Since(time.Unix(0, i.storeAt.Load())) }

// incumbent returns the identity of the process that took the jobs over last.
func (i *Instance) incumbent(ctx context.Context) (string, error) {
	err := i.Replica.Refresh(ctx, time.Now())
	return i.Replica.Owner(), err
}

func (i *Instance) own(ctx context.Context) {
	i.Metrics.Add(metricTakeovers, "", 1)
	RunOwner(ctx, OwnerConfig{
		Identity: i.Identity.String(), Store: i.Store, Replica: i.Replica, Workers: i.Workers, Directory: i.Directory, Adviser: i.Adviser, Maintenance: i.Maintenance,
		State: i.State, MaintenanceDelay: i.MaintenanceDelay,
		RenewedAt: i.member.RenewedAt, Lease: i.Lease, FinishedJobRetention: i.FinishedJobRetention, StoreLossGrace: detachedLimit, Metrics: i.Metrics, Logger: i.Logger,
	})
}

// Run serves until the context ends, and then stops without cutting a request.
func (i *Instance) Run(ctx context.Context) error {
	front, err := i.listen(ctx, i.CallerListen, i.CallerHandler)
	if err != nil {
		return err
	}
	ready, err := i.listen(ctx, i.ReadyListen, http.HandlerFunc(i.ready))
	if err != nil {
		return err
	}
	if i.MetricsListen != "" {
		if _, err := i.listen(ctx, i.MetricsListen, i.Metrics); err != nil {
			return err
		}
	}
	i.Logger.Info().Str("Decision", "Started").Str("Callers", i.CallerListen).Dur("Lease", i.Lease).Msg("instance started")
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	member, leave := context.WithCancel(background)
	var o sync.WaitGroup
	o.Go(func() { i.member.Run(member) })
	go i.runRelays(background)
	go i.followOperators(background)
	go i.followReplica(background)
	<-ctx.Done()
	i.stop(front, leave, &o)
	cancel()
	_ = ready.Close()
	i.Logger.Info().Str("Decision", "Stopped").Msg("instance stopped")
	return nil
}

// stop gives the ownership up, serves callers until the balancer sends no more, and finishes what is in flight.
func (i *Instance) stop(front *http.Server, leave context.CancelFunc, o *sync.WaitGroup) {
	i.stopping.Store(true)
	begun := time.Now()
	i.Logger.Info().Str("Decision", "Stopping").Bool("Owner", i.member.IsOwner()).Msg("instance stops")
	c, cancel := context.WithDeadline(context.Background(), begun.Add(i.ShutdownTimeout-stopMargin))
	defer cancel()
	front.SetKeepAlivesEnabled(false)
	i.Relays.Leave()
	leave()
	left := make(chan struct{})
	go func() {
		defer close(left)
		o.Wait()
	}()
	pause(c, balancerDelay)
	if err := front.Shutdown(c); err != nil {
		i.Logger.Warn().Err(err).Dur("After", time.Since(begun)).Str("Decision", "CutRequests").Msg("requests were still open at the end")
		_ = front.Close()
	}
	select {
	case <-left:
	case <-c.Done():
		i.Logger.Warn().Dur("After", time.Since(begun)).Str("Decision", "LeftBehind").Msg("membership was not given up in time; it will lapse")
	}
}

func (i *Instance) listen(ctx context.Context, address string, h http.Handler) (*http.Server, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	go func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			i.Logger.Error().Err(err).Str("Address", address).Msg("server ended")
		}
	}()
	return s, nil
}

// runRelays shares calls to workers out; without it every owner makes all calls itself.
func (i *Instance) runRelays(ctx context.Context) {
	if err := i.Relays.Run(ctx); err != nil && ctx.Err() == nil {
		i.Logger.Error().Err(err).Str("Decision", "NoRelays").Msg("calls to workers are not shared out")
	}
}

// ready answers the balancer's probe.
func (i *Instance) ready(w http.ResponseWriter, _ *http.Request) {
	if i.isReady() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (i *Instance) isReady() bool {
	return !i.stopping.Load() && i.State.Configuration() != nil && i.storeAge() < readyLimit
}

func (i *Instance) followOperators(ctx context.Context) {
	for ctx.Err() == nil {
		u := time.Now().Add(operatorsWait)
		c, cancel := context.WithDeadline(ctx, u.Add(followTimeout))
		err := i.Operators.Follow(c, i.State, u)
		cancel()
		switch {
		case err == nil:
			i.contact()
		case ctx.Err() == nil:
			i.Logger.Warn().Err(err).Dur("StoreAge", i.storeAge()).Str("Decision", "StoreSilent").Msg("operators' decisions are not followed")
			pause(ctx, failurePause)
		}
	}
}

// contact notes word from the store.
func (i *Instance) contact() {
	last := time.Unix(0, i.storeAt.Swap(time.Now().UnixNano()))
	if d := time.Since(last); d > readyLimit {
		i.Logger.Info().Dur("Silence", d).Str("Decision", "StoreInTouch").Msg("the store answers")
	}
}

func (i *Instance) followReplica(ctx context.Context) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, takeoverTimeout)
		err := i.Replica.Refresh(c, time.Now().Add(-backgroundEvery/2))
		cancel()
		if err != nil && ctx.Err() == nil {
			i.Logger.Warn().Err(err).Msg("jobs are not followed")
		}
		pause(ctx, backgroundEvery)
	}
}

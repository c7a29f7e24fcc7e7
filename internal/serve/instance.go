package serve

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"currantknot.dev/currantknot/internal/caller"
	"currantknot.dev/currantknot/internal/decision"
	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/inbound"
	"currantknot.dev/currantknot/internal/limits"
	"currantknot.dev/currantknot/internal/peer"
	"currantknot.dev/currantknot/internal/placement"
	"currantknot.dev/currantknot/internal/platform"
	"currantknot.dev/currantknot/internal/routing"
	"currantknot.dev/currantknot/internal/settings"
	"currantknot.dev/currantknot/internal/stream"
	"currantknot.dev/currantknot/internal/upstream"
	"currantknot.dev/currantknot/pkg/document"
)

const (
	// documentStream is the stream that holds the operators' document.
	documentStream = "document"
	// pollTimeout is the maximum time for which a read of a stream waits for new entries. While there are none, the state
	// is confirmed once per read.
	pollTimeout = 300 * time.Millisecond
	// maxDecisions is the maximum number of decisions that are stored for explain requests.
	maxDecisions = 20_000
	// shutdownTimeout is the maximum time that a shutdown waits for requests in flight.
	shutdownTimeout = 5 * time.Minute
	// expireInterval is the time between two checks of the deadlines of waiting requests.
	expireInterval = 20 * time.Millisecond
)

// Instance is one instance of the system: a daemon with its connections.
type Instance struct {
	settings.Serve

	// ID is the name with the incarnation. No two processes ever have the same ID.
	ID string
	// incarnation is the start time in nanoseconds since the Unix epoch.
	incarnation    int64
	logger         zerolog.Logger
	decisions      *decision.Ring
	platform       *platform.Client
	store          *docstore.Store
	document       *stream.Follower
	router         *routing.Router
	callerHandler  *caller.Handler
	upstreamClient *upstream.Client
	mesh           *peer.Mesh
	metrics        *instanceMetrics
	guards         guards
	// leaving means that the graceful shutdown has begun. killed is closed by Kill.
	leaving  atomic.Bool
	killed   chan struct{}
	killOnce sync.Once
	pool     *pool
	keys     *idempotencyKeys

	// mu guards the fields below.
	mu sync.Mutex
	// runners holds the runners by shard number.
	runners map[int]*runner
	// upstreams, listedInstances and workers are the platform's lists as last read. listedInstancesAt is the time at which
	// listedInstances was read.
	upstreams         []platform.Upstream
	listedInstances   []platform.Instance
	listedInstancesAt time.Time
	workers           []placement.Worker
	// knownInstances holds every other instance that may own shards, by name.
	knownInstances map[string]knownInstance
}

// New returns an instance that is not running yet.
func New(s settings.Serve, l zerolog.Logger) (*Instance, error) {
	n := time.Now().UnixNano()
	i := &Instance{
		Serve: s, ID: s.Name + "~" + strconv.FormatInt(n, 36), incarnation: n, logger: l,
		decisions:      decision.NewRing(s.Name, maxDecisions, l),
		platform:       platform.NewClient(s.Platform, s.PlatformTimeout),
		store:          docstore.NewStore(),
		upstreamClient: upstream.NewClient(),
		metrics:        newMetrics(),
		runners:        make(map[int]*runner),
		knownInstances: make(map[string]knownInstance),
		pool:           newPool(),
		killed:         make(chan struct{}),
	}
	r := rand.New(rand.NewPCG(uint64(n), 0))
	var err error
	if i.router, err = routing.NewRouter(s.Name, s.RoutingPolicy, r); err != nil {
		return nil, err
	}
	i.document = stream.NewFollower(i.platform, i.store, stream.Config{
		Stream: documentStream, Writer: i.ID, PollTimeout: pollTimeout, Logger: l,
	})
	if err := i.newMesh(); err != nil {
		return nil, err
	}
	i.callerHandler = &caller.Handler{
		Router: i.router, Sender: i.upstreamClient, Keys: i.newIdempotencyKeys(), Decisions: i.decisions, Metrics: i.metrics.caller(),
		Services: i.services, RequestIDPrefix: i.ID,
	}
	i.guards = newGuards(s.Plan(), i.metrics, l)
	i.metrics.publish(i)
	return i, nil
}

// services returns the services of the current document.
func (i *Instance) services() []document.Service {
	var a []document.Service
	for _, s := range i.store.View().Document.SortedSections() {
		a = append(a, s.Services...)
	}
	return a
}

// listeners holds the open listeners of an instance.
type listeners struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
}

func (i *Instance) listen(ctx context.Context) (*listeners, error) {
	var l listeners
	var errs []error
	for _, x := range []struct {
		to      *net.Listener
		address string
		guard   *inbound.Guard
		phase   limits.Phase
	}{
		{&l.caller, i.CallerListen, i.guards.callers, limits.PhaseHead},
		{&l.operator, i.OperatorListen, i.guards.operators, limits.PhaseHead},
		{&l.peer, i.PeerListen, i.guards.peers, limits.PhaseBody},
	} {
		var err error
		*x.to, err = x.guard.Listen(ctx, x.address, x.phase)
		if err != nil {
			errs = append(errs, fmt.Errorf("listen for %s: %w", x.guard.Name, err))
		}
	}
	return &l, errors.Join(errs...)
}

// Run serves until the context is done, and then shuts down gracefully. It returns early if Kill is called.
func (i *Instance) Run(ctx context.Context) error {
	l, err := i.listen(ctx)
	if err != nil {
		return err
	}
	// The goroutines use a context that outlives ctx, since they must run until the last request has got its response.
	x, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, x := errgroup.WithContext(x)
	callers := i.guards.callers.Server(i.callerHandler.HTTPHandler(), false)
	operators := i.guards.operators.Server(i.operatorHandler(), true)
	go inbound.Run(x, i.guards.all()...)
	g.Go(func() error { return serveHTTP(callers, l.caller) })
	g.Go(func() error { return serveHTTP(operators, l.operator) })
	g.Go(func() error { return i.mesh.Run(x, l.peer) })
	g.Go(func() error { return i.document.Run(x) })
	g.Go(func() error { return i.followDocument(x) })
	g.Go(func() error { return i.pollLists(x) })
	g.Go(func() error { return i.runShards(x) })
	g.Go(func() error { return i.expireRequests(x) })
	g.Go(func() error { return i.checkpointDocument(x) })
	g.Go(func() error { return i.bootstrapDocument(x) })
	g.Go(func() error {
		defer cancel()
		defer func() { _ = operators.Close() }()
		select {
		case <-i.killed:
			return callers.Close()
		case <-ctx.Done():
		case <-x.Done():
		}
		return i.shutDown(i.killContext(x), callers)
	})
	i.logger.Info().Str("Instance", i.ID).Str("Callers", l.caller.Addr().String()).
		Str("Operators", l.operator.Addr().String()).Str("Peers", l.peer.Addr().String()).Msg("instance started")
	err = g.Wait()
	i.Kill()
	i.pool.close()
	i.platform.Close()
	i.upstreamClient.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// killContext returns a context that is cancelled when the instance is killed, but not when the given context is
// cancelled.
func (i *Instance) killContext(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		defer cancel()
		<-i.killed
	}()
	return ctx
}

// Kill stops the instance without a graceful shutdown, as a crash of its process would.
func (i *Instance) Kill() { i.killOnce.Do(func() { close(i.killed) }) }

func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve at %s: %w", l.Addr(), err)
	}
	return nil
}

// shutDown fails the readiness check, resigns all shards, waits until no request is in flight, and hands over the
// completed idempotency keys.
func (i *Instance) shutDown(ctx context.Context, callers *http.Server) error {
	i.leaving.Store(true)
	i.logger.Info().Msg("instance shutting down")
	t := time.NewTimer(i.DrainDelay)
	defer t.Stop()
	i.resignShards(ctx)
	select {
	case <-t.C:
	case <-ctx.Done():
		return callers.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		return fmt.Errorf("wait for requests in flight: %w", err)
	}
	i.keys.handOver(ctx)
	return nil
}

// followDocument passes the latest view of the document to the router and the shards whenever the view changes.
func (i *Instance) followDocument(ctx context.Context) error {
	for {
		c := i.document.Changed()
		i.applyView()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c:
		}
	}
}

func (i *Instance) applyView() {
	v := i.store.View()
	i.router.SetServices(i.services())
	i.refreshUpstreams()
	for _, r := range i.currentRunners() {
		r.owner.SetView(v, time.Now())
	}
}

// pollLists reads the platform's lists periodically. While reads fail, the last list that was read stays in use.
func (i *Instance) pollLists(ctx context.Context) error {
	t := time.NewTicker(i.ListEvery)
	defer t.Stop()
	for {
		i.refreshLists(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (i *Instance) refreshLists(ctx context.Context) {
	if u, err := i.platform.Upstreams(ctx); err == nil {
		i.mu.Lock()
		i.upstreams = u
		i.mu.Unlock()
		i.refreshUpstreams()
	}
	if l, err := i.platform.Instances(ctx); err == nil {
		i.mu.Lock()
		i.listedInstances, i.listedInstancesAt = l, time.Now()
		i.mu.Unlock()
		i.mesh.SetAddresses(i.peerAddresses(l))
	}
	if w, err := i.platform.Workers(ctx); err == nil {
		i.mu.Lock()
		i.workers = w
		i.mu.Unlock()
		for _, r := range i.currentRunners() {
			r.owner.SetWorkers(w)
		}
	}
}

// peerAddresses returns the addresses of the other instances from the settings, and those from the platform's list
// whose instances are not leaving.
func (i *Instance) peerAddresses(listed []platform.Instance) []string {
	a := append([]string(nil), i.Peers...)
	for _, x := range listed {
		if !x.Leaving && x.Name != i.Name {
			a = append(a, x.PeerAddress)
		}
	}
	return a
}

// refreshUpstreams passes the upstreams to the router. An upstream drains if it is leaving or if its failure domain is
// out of service.
func (i *Instance) refreshUpstreams() {
	v := i.store.View()
	i.mu.Lock()
	l := i.upstreams
	i.mu.Unlock()
	us := make([]routing.Upstream, 0, len(l))
	for _, u := range l {
		s, n, ok := v.Document.FindFailureDomain(u.FailureDomain)
		us = append(us, routing.Upstream{
			Name: u.Name, Service: u.Service, Address: u.Address, FailureDomain: u.FailureDomain,
			Draining: u.Leaving || ok && s.FailureDomains[n].OutOfService,
		})
	}
	caller.Deliver(i.router.SetUpstreams(us, time.Now()))
}

// expireRequests periodically delivers the decisions on waiting requests that are due, such as the refusals of requests
// whose deadline has passed.
func (i *Instance) expireRequests(ctx context.Context) error {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			caller.Deliver(i.router.Expire(time.Now()))
		}
	}
}

package jobserve

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"currantknot.dev/currantknot/internal/storepath"
)

const (
	// monitorInterval is the time between two judgements of the paths to the store while no call begins or ends.
	monitorInterval = 50 * time.Millisecond
	// maxMonitorGap is the time between two judgements from which on the process has not run in between.
	maxMonitorGap = 300 * time.Millisecond
	// suspectFor is how long a path stays Suspect after the latest evidence.
	suspectFor = time.Second
	// suspectAfter, downAfter and maxDownAfter bound how long a call is overdue. They are longer than the responses of a store that is
	// slow and still of use.
	suspectAfter = 250 * time.Millisecond
	downAfter    = 400 * time.Millisecond
	maxDownAfter = 1200 * time.Millisecond
	// minResponseAge is the age of the latest response below which the store is not away.
	minResponseAge = 800 * time.Millisecond
	// appendsDownAfter and maxAppendsDownAfter replace downAfter and maxDownAfter for appends while other calls are answered: the
	// store serializes the appends of all instances, so that each may wait for others.
	appendsDownAfter    = 1200 * time.Millisecond
	maxAppendsDownAfter = 2400 * time.Millisecond
	// outlivedAfter is how long a call is overdue when another one is answered for its connection to be at fault.
	outlivedAfter = 150 * time.Millisecond
	// refusedCalls and refusedFor are the refused calls, and the time since the first, from which on the path is Down.
	refusedCalls = 3
	refusedFor   = 300 * time.Millisecond
	// upResponses and upFor are the responses, and the time since the first, from which on a path is Up again.
	upResponses = 3
	upFor       = 200 * time.Millisecond
	// unreadyAfter and readyAfter are how long the evidence lasts before readiness changes.
	unreadyAfter = time.Second
	readyAfter   = time.Second
	// pageAllowance and readAllowance are added to when the response to a load or a read is due, since it may be large and the
	// link slow.
	pageAllowance = 2 * time.Second
	readAllowance = 500 * time.Millisecond
	// probeTimeout bounds a probe; minProbeInterval and maxProbeInterval bound the time between two, which is random so that
	// instances do not probe together.
	probeTimeout     = 700 * time.Millisecond
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = 400 * time.Millisecond
	// returnPeriod is the time after the store's return in which an instance makes at most returnAppends appends a second, so that
	// the appends of all instances together stay below what the store accepts.
	returnPeriod  = 2 * time.Second
	returnAppends = 20
	// handOverTimeout bounds an append through a peer. It is below the 500 ms in which a caller is answered.
	handOverTimeout = 450 * time.Millisecond
)

// RejectedError means that a request was not accepted and never will be, since this instance does not reach the store. It is an
// ErrNotAccepted.
type RejectedError struct {
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
}

// Error says that the store is away.
func (e *RejectedError) Error() string { return "this instance does not reach the store now" }

// Is reports whether the target is ErrNotAccepted.
func (e *RejectedError) Is(target error) bool { return target == ErrNotAccepted }

// Peers are the instances to which records can be handed over.
type Peers interface {
	Peers() []storepath.Peer
	// HandOver appends records through the peer with the given name, as Forwarder.Forward does. It avoids the peer for a while if
	// that fails.
	HandOver(ctx context.Context, peer string, l []Record) (bool, error)
}

// monitoredPath is a path with a context that is cancelled when the path stops being usable.
type monitoredPath struct {
	*storepath.Path
	calls  string
	usable context.Context //nolint:containedctx // calls end when the path stops being usable
	cancel context.CancelFunc
}

func newMonitoredPath(calls string, l storepath.Limits) *monitoredPath {
	p := &monitoredPath{Path: storepath.NewPath(l), calls: calls}
	p.usable, p.cancel = context.WithCancel(context.Background())
	return p
}

// StoreMonitor judges whether this instance reaches the store, by the responses to all its calls. A nil monitor counts the store
// as reachable.
type StoreMonitor struct {
	metrics *Metrics
	logger  zerolog.Logger
	// peers is nil if records are not handed over.
	peers Peers
	// returnLimiter bounds the appends after the store's return.
	returnLimiter *rate.Limiter

	mu sync.Mutex
	// all is judged by all calls, and appends by appends.
	all, appends *monitoredPath
	readiness    storepath.Readiness
	ready        bool
	returnedAt   time.Time
}

// NewStoreMonitor returns a monitor by which the store is reachable.
func NewStoreMonitor(m *Metrics, l zerolog.Logger) *StoreMonitor {
	limits := storepath.Limits{
		SuspectFor: suspectFor, SuspectAfter: suspectAfter, DownAfter: downAfter, MaxDownAfter: maxDownAfter, MinResponseAge: minResponseAge, OutlivedAfter: outlivedAfter,
		RefusedCalls: refusedCalls, RefusedFor: refusedFor, UpResponses: upResponses, UpFor: upFor, MaxGap: maxMonitorGap,
	}
	appends := limits
	appends.DownAfter, appends.MaxDownAfter, appends.MinResponseAge = appendsDownAfter, maxAppendsDownAfter, 0
	x := &StoreMonitor{
		metrics: m, logger: l, returnLimiter: rate.NewLimiter(returnAppends, 1), ready: true,
		all: newMonitoredPath("all", limits), appends: newMonitoredPath("appends", appends), readiness: storepath.Readiness{UnreadyAfter: unreadyAfter, ReadyAfter: readyAfter},
	}
	m.Gauge(metricStorePath, func() float64 { return float64(x.appendState()) })
	return x
}

// SetPeers sets the instances to which records are handed over; it is called before Run.
func (m *StoreMonitor) SetPeers(p Peers) { m.peers = p }

// Reach returns whether this instance reaches the store, as it tells its peers.
func (m *StoreMonitor) Reach() storepath.Reach {
	if m.appendState().IsUsable() {
		return storepath.ReachesStore
	}
	return storepath.ReachesNothing
}

// Run judges the paths as time passes, and probes the store while it is away, until the context ends.
func (m *StoreMonitor) Run(ctx context.Context, s Store) {
	if m == nil {
		return
	}
	go m.probe(ctx, s)
	for ctx.Err() == nil {
		l := m.listPeers()
		m.mu.Lock()
		now := time.Now()
		m.all.Tick(now)
		m.appends.Tick(now)
		m.apply(now)
		m.ready = m.readiness.Update(m.worst(), l, now)
		m.mu.Unlock()
		sleep(ctx, monitorInterval)
	}
}

// probe makes one call at a time unless the paths are Up. While a path is Suspect, it tells a dead connection from a store that is
// away.
func (m *StoreMonitor) probe(ctx context.Context, s Store) {
	b := &backoff.ExponentialBackOff{InitialInterval: minProbeInterval, RandomizationFactor: backoff.DefaultRandomizationFactor, Multiplier: backoff.DefaultMultiplier, MaxInterval: maxProbeInterval}
	for ctx.Err() == nil {
		state := m.appendState()
		if state == storepath.Up {
			b.Reset()
			sleep(ctx, monitorInterval)
			continue
		}
		if state == storepath.Probing {
			b.Reset()
		}
		if m.readState() != storepath.Up {
			probeRead(ctx, s)
		}
		if m.readState() != storepath.Down {
			probeAppend(ctx, s)
		}
		sleep(ctx, b.NextBackOff())
	}
}

// probeRead makes a call that reads nothing; the monitor has the outcome.
func probeRead(ctx context.Context, s Store) {
	c, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, _ = s.NewestByKey(c, PartitionProgress, afterAllProgress)
}

// probeAppend makes an append without records, at an offset that the partition has left, so that it has no effect. The monitor has
// the outcome, which is a conflict if the store responds.
func probeAppend(ctx context.Context, s Store) {
	c, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_ = s.AppendAt(c, PartitionRequests, 0, nil)
}

func (m *StoreMonitor) listPeers() []storepath.Peer {
	if m == nil || m.peers == nil {
		return nil
	}
	return m.peers.Peers()
}

// begin records the beginning of a call whose response is due at the given instant. The caller calls the returned function with the
// call's result.
func (m *StoreMonitor) begin(isAppend bool, due time.Time) func(error) {
	if m == nil {
		return func(error) {}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	paths := []*monitoredPath{m.all}
	switch {
	case isAppend && !m.appends.State().IsUsable():
		// An append that is expected to get no response tells nothing about other calls.
		paths = []*monitoredPath{m.appends}
	case isAppend:
		paths = append(paths, m.appends)
	}
	ids := make([]uint64, len(paths))
	for i, p := range paths {
		ids[i] = p.Begin(now, due)
	}
	m.apply(now)
	return func(err error) {
		m.mu.Lock()
		defer m.mu.Unlock()
		now := time.Now()
		for i, p := range paths {
			p.End(ids[i], now, outcomeOf(err))
		}
		m.apply(now)
	}
}

// outcomeOf returns what the result of a call tells about the path.
func outcomeOf(err error) storepath.Outcome {
	var e *StoreError
	switch {
	case err == nil:
		return storepath.Answered
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return storepath.Unanswered
	case !errors.As(err, &e):
		return storepath.Answered
	case e.Status == 0, e.Status == http.StatusTooManyRequests, e.Status >= http.StatusInternalServerError:
		return storepath.Refused
	}
	return storepath.Answered
}

// apply logs the changes of state, and ends the calls of paths that are not usable any more; m.mu is held.
func (m *StoreMonitor) apply(now time.Time) {
	for _, p := range []*monitoredPath{m.all, m.appends} {
		for _, c := range p.TakeChanges() {
			m.metrics.Add(metricStorePathChanges, label("calls", p.calls, "state", c.State.String()), 1)
			m.logger.Info().Str("Calls", p.calls).Stringer("State", c.State).Str("Cause", string(c.Cause)).Dur("LastResponseAge", c.LastResponseAge).Int("Unanswered", c.Unanswered).Str("Decision", "StorePath").Msg("the judgement of the path to the store has changed")
		}
		usable := p.State().IsUsable()
		switch {
		case !usable:
			p.cancel()
		case p.usable.Err() != nil:
			p.usable, p.cancel = context.WithCancel(context.Background())
			m.returnedAt = now
		}
	}
}

// worst returns the state of the path for appends; m.mu is held.
func (m *StoreMonitor) worst() storepath.State {
	if !m.all.State().IsUsable() {
		return m.all.State()
	}
	return max(m.all.State(), m.appends.State())
}

func (m *StoreMonitor) appendState() storepath.State {
	if m == nil {
		return storepath.Up
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worst()
}

// readState returns the state of the path for reads.
func (m *StoreMonitor) readState() storepath.State {
	if m == nil {
		return storepath.Up
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all.State()
}

// canRead reports whether reads of the store are worth waiting for.
func (m *StoreMonitor) canRead() bool { return m.readState().IsUsable() }

// isReady reports whether the load balancer should send callers to this instance, as far as the store is concerned.
func (m *StoreMonitor) isReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

// whileUsable returns a context that ends when the store cannot be read any more, or, for an append, takes no appends.
func (m *StoreMonitor) whileUsable(ctx context.Context, isAppend bool) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancel(ctx)
	if m == nil {
		return c, cancel
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	stop := context.AfterFunc(m.all.usable, cancel)
	stopAppends := func() bool { return false }
	if isAppend {
		stopAppends = context.AfterFunc(m.appends.usable, cancel)
	}
	return c, func() {
		stop()
		stopAppends()
		cancel()
	}
}

// choose chooses what becomes of new records.
func (m *StoreMonitor) choose() storepath.Decision {
	s := m.appendState()
	if s.IsUsable() {
		return storepath.Decision{Choice: storepath.Append}
	}
	return storepath.Choose(s, m.listPeers(), time.Now())
}

// awaitTurn delays an append soon after the store's return.
func (m *StoreMonitor) awaitTurn() {
	if m == nil {
		return
	}
	m.mu.Lock()
	returned := !m.returnedAt.IsZero() && time.Since(m.returnedAt) < returnPeriod && m.worst().IsUsable()
	m.mu.Unlock()
	if returned {
		time.Sleep(m.returnLimiter.Reserve().Delay())
	}
}

// rejection returns the error for a request that this instance cannot serve.
func (m *StoreMonitor) rejection(d storepath.Decision) error {
	return &RejectedError{RetryAfter: storepath.RetryAfter(d.Elsewhere || d.Choice == storepath.HandOver, rand.IntN)}
}

// countRecords counts records by what became of them.
func (m *StoreMonitor) countRecords(outcome string, n int) {
	if m != nil && n > 0 {
		m.metrics.Add(metricStorePathRecords, label("outcome", outcome), n)
	}
}

// monitoredStore passes the outcome of each call to a monitor.
type monitoredStore struct {
	Store
	monitor *StoreMonitor
}

// Watch returns s with its calls observed by the monitor.
func (m *StoreMonitor) Watch(s Store) Store { return &monitoredStore{s, m} }

// Append implements Store.
func (s *monitoredStore) Append(ctx context.Context, p Partition, r []Record, w *Writer) (int64, error) {
	end := s.monitor.begin(true, time.Time{})
	n, err := s.Store.Append(ctx, p, r, w)
	end(err)
	return n, err
}

// AppendAt implements Store.
func (s *monitoredStore) AppendAt(ctx context.Context, p Partition, at int64, r []Record) error {
	end := s.monitor.begin(true, time.Time{})
	err := s.Store.AppendAt(ctx, p, at, r)
	end(err)
	return err
}

// Read implements Store.
func (s *monitoredStore) Read(ctx context.Context, p Partition, from int64, until time.Time) (Page, error) {
	due := until
	if until.IsZero() {
		due = time.Now().Add(readAllowance)
	}
	end := s.monitor.begin(false, due)
	g, err := s.Store.Read(ctx, p, from, until)
	end(err)
	return g, err
}

// NewestByKey implements Store.
func (s *monitoredStore) NewestByKey(ctx context.Context, p Partition, after string) (NewestByKeyPage, error) {
	end := s.monitor.begin(false, time.Now().Add(pageAllowance))
	n, err := s.Store.NewestByKey(ctx, p, after)
	end(err)
	return n, err
}

// Join implements Store.
func (s *monitoredStore) Join(ctx context.Context, generation int64, lease time.Duration) (Membership, error) {
	end := s.monitor.begin(false, time.Time{})
	m, err := s.Store.Join(ctx, generation, lease)
	end(err)
	return m, err
}

// Members implements Store.
func (s *monitoredStore) Members(ctx context.Context) ([]string, error) {
	end := s.monitor.begin(false, time.Time{})
	l, err := s.Store.Members(ctx)
	end(err)
	return l, err
}

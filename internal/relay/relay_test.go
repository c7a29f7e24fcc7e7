package relay

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/jobserve"
)

// patience bounds the wait for something that must come; it is no measure of the system.
const patience = 30 * time.Second

var errSilent = errors.New("worker is silent")

// fakeWorkers answer calls, or refuse and fail them as told.
type fakeWorkers struct {
	mu     sync.Mutex
	syncs  []jobserve.Sync
	orders []jobserve.FencedOrder
	err    error
	hold   chan struct{}
}

func (f *fakeWorkers) Sync(ctx context.Context, s jobserve.Sync) (dispatch.Report, error) {
	f.mu.Lock()
	f.syncs = append(f.syncs, s)
	err, hold := f.err, f.hold
	f.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return dispatch.Report{}, ctx.Err()
		}
	}
	return dispatch.Report{
		Worker: s.Worker, Incarnation: 7,
		Running:  []dispatch.RunningAttempt{{Ref: jobs.Ref{Job: "j", Index: 3}, Run: 2, Checkpoint: "s", ProgressPercent: 40, Sample: 12.5}},
		Finished: []dispatch.FinishedAttempt{{Ref: jobs.Ref{Job: "j", Index: 4}, Number: 9, Run: 1, Outcome: jobs.OutcomeDone}},
	}, err
}

func (f *fakeWorkers) Execute(ctx context.Context, s jobserve.FencedOrder) (dispatch.OrderResult, error) {
	f.mu.Lock()
	f.orders = append(f.orders, s)
	err, hold := f.err, f.hold
	f.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
		}
	}
	return dispatch.ResultNoCapacity, err
}

func (f *fakeWorkers) carried() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

func (f *fakeWorkers) Forget(string) {}

func (f *fakeWorkers) SetWorkerCount(int) {}

func (f *fakeWorkers) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *fakeWorkers) synced() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.syncs)
}

// scene is a pool with relays around it.
type scene struct {
	*testing.T
	pool    *Pool
	address string
	local   *fakeWorkers
}

func newScene(t *testing.T) *scene {
	t.Helper()
	s := &scene{T: t, local: &fakeWorkers{}}
	s.pool = NewPool(s.local, 1.0/workersPerCore, zerolog.Nop())
	s.pool.SetWorkerCount(2)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = l.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.pool.Run(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

// relay connects a relay; the function stops it.
func (s *scene) relay(name, domain string) (*fakeWorkers, *Agent, func()) {
	s.Helper()
	w := &fakeWorkers{}
	a := NewAgent(Hello{name, domain}, w, zerolog.Nop())
	ctx, cancel := context.WithCancel(s.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	n := s.pool.Relays()
	s.eventually(func() bool {
		a.SetOwners([]string{s.address})
		return s.pool.Relays() == n+1
	})
	stop := func() {
		cancel()
		<-done
	}
	s.Cleanup(stop)
	return w, a, stop
}

func (s *scene) eventually(ok func() bool) {
	s.Helper()
	require.Eventually(s, ok, patience, 5*time.Millisecond)
}

// sync asks for a report of a worker in the failure domain north.
func (s *scene) sync() (dispatch.Report, error) {
	c, cancel := context.WithTimeout(s.Context(), time.Second)
	defer cancel()
	now := time.Now()
	return s.pool.Sync(c, jobserve.Sync{Worker: "i-1", Address: "a", FailureDomain: "north", Fence: 5, LeaseUntil: now.Add(6 * time.Second), LongPollUntil: now})
}

func TestCallsPassWhole(t *testing.T) {
	s := newScene(t)
	w, _, _ := s.relay("r", "north")
	begun := time.Now()
	r, err := s.sync()
	require.NoError(t, err)
	require.False(t, r.RequestedAt.Before(begun))
	want, _ := (&fakeWorkers{}).Sync(t.Context(), jobserve.Sync{Worker: "i-1"})
	want.RequestedAt = r.RequestedAt
	require.Equal(t, want, r)
	require.Empty(t, s.local.syncs)
	o := dispatch.Order{Ref: jobs.Ref{Job: "j", Step: 1}, Kind: dispatch.OrderStart, Run: 3, Worker: "i-1", Address: "a", Payload: "p", Checkpoint: "s", Permit: "t"}
	c, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	a, err := s.pool.Execute(c, jobserve.FencedOrder{Order: o, Fence: 5, LeaseUntil: time.Now().Add(time.Second)})
	require.NoError(t, err)
	require.Equal(t, dispatch.ResultNoCapacity, a)
	require.Equal(t, o, w.orders[0].Order)
	require.EqualValues(t, 5, w.orders[0].Fence)
}

// A relay's clock differs from the owner's, and pings take their time: no instant may be read too late.
func TestInstantsAreNeverReadTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "offset"))
		var c clock
		now := time.Duration(1e16)
		for range rapid.IntRange(1, 6).Draw(t, "pings") {
			sent := now
			now += time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "way"))
			read := now + offset
			now += time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "back"))
			c.read(sent, read)
		}
		owner := now + offset + time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "ahead"))
		require.LessOrEqual(t, c.bootTime(owner), owner-offset)
	})
}

func TestLeaseIsNoLongerThanTheOwnersBelief(t *testing.T) {
	s := newScene(t)
	w, _, _ := s.relay("r", "north")
	_, err := s.sync()
	require.NoError(t, err)
	require.LessOrEqual(t, time.Until(w.syncs[0].LeaseUntil), 6*time.Second)
	require.Greater(t, time.Until(w.syncs[0].LeaseUntil), 4*time.Second)
}

// A relay that stood still must not carry out what it finds when it wakes up.
func TestCallThatArrivesTooLateIsNotMade(t *testing.T) {
	w := &fakeWorkers{}
	s := &session{Agent: NewAgent(Hello{}, w, zerolog.Nop())}
	s.clock.read(bootTime(time.Now()), bootTime(time.Now()))
	x := orderCall(jobserve.FencedOrder{Order: dispatch.Order{Kind: dispatch.OrderStart}}, time.Now().Add(-time.Millisecond))
	a := s.call(t.Context(), &x)
	require.Equal(t, dispatch.ResultRefused, a.Outcome)
	require.Empty(t, a.Failure, "it was surely not carried out")
	y := syncCall(jobserve.Sync{}, time.Now().Add(-time.Millisecond))
	require.NotEmpty(t, s.call(t.Context(), &y).Failure)
	require.Empty(t, w.orders)
	require.Empty(t, w.syncs)
}

func TestRelayOfTheWorkersDomainIsKept(t *testing.T) {
	s := newScene(t)
	north, _, stop := s.relay("n", "north")
	south, _, _ := s.relay("s", "south")
	for range 5 {
		_, err := s.sync()
		require.NoError(t, err)
	}
	require.Equal(t, 5, north.synced())
	stop()
	s.eventually(func() bool { return s.pool.Relays() == 1 })
	_, err := s.sync()
	require.NoError(t, err)
	require.Equal(t, 1, south.synced())
	s.relay("n", "north")
	_, err = s.sync()
	require.NoError(t, err)
	require.Equal(t, 2, south.synced(), "a worker is not handed back, since that opens a connection")
}

func TestWorkerThatOneRelayCannotReachIsAskedThroughAnother(t *testing.T) {
	s := newScene(t)
	north, _, _ := s.relay("n", "north")
	south, _, _ := s.relay("s", "south")
	north.fail(errSilent)
	_, err := s.sync()
	require.Error(t, err)
	_, err = s.sync()
	require.NoError(t, err)
	require.Equal(t, 1, south.synced())
}

func TestRelayThatStopsFinishesItsCalls(t *testing.T) {
	s := newScene(t)
	w, a, _ := s.relay("r", "north")
	w.hold = make(chan struct{})
	done := make(chan error, 1)
	go func() {
		_, err := s.sync()
		done <- err
	}()
	s.eventually(func() bool { return w.synced() == 1 })
	a.Leave()
	s.eventually(func() bool { return s.pool.Relays() == 0 })
	close(w.hold)
	require.NoError(t, <-done)
	_, err := s.sync()
	require.NoError(t, err)
	require.Len(t, s.local.syncs, 1, "without a relay the owner calls by itself")
}

func TestLostRelayLeavesTheOutcomeOpen(t *testing.T) {
	s := newScene(t)
	w, _, stop := s.relay("r", "north")
	w.hold = make(chan struct{})
	done := make(chan error, 1)
	go func() {
		c, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		_, err := s.pool.Execute(c, jobserve.FencedOrder{Order: dispatch.Order{Kind: dispatch.OrderStart, Worker: "i-1"}})
		done <- err
	}()
	s.eventually(func() bool { return w.carried() == 1 })
	go stop()
	var e *LinkError
	require.ErrorAs(t, <-done, &e)
	close(w.hold)
}

// Relays cost a call's way and what is lost with them, so that an owner calls by itself while it can.
func TestFewWorkersAreCalledDirectly(t *testing.T) {
	p := NewPool(&fakeWorkers{}, 0.16, zerolog.Nop())
	p.relays["r"], p.links["r"] = Hello{"r", "north"}, newLink(nil)
	p.SetWorkerCount(48)
	_, l, err := p.home(t.Context(), "i-1", "north")
	require.NoError(t, err)
	require.Nil(t, l)
	p.SetWorkerCount(490)
	n, l, err := p.home(t.Context(), "i-1", "north")
	require.NoError(t, err)
	require.Equal(t, "r", n)
	require.NotNil(t, l)
}

// An owner of 3,000 workers connected to all of them before the first relay came, and ran out of descriptors.
func TestOwnerOfManyWorkersWaitsForRelays(t *testing.T) {
	const workers = 3000
	p := NewPool(&fakeWorkers{}, 0.16, zerolog.Nop())
	p.SetWorkerCount(workers)
	direct := func(now time.Time) int {
		n := 0
		for i := range workers {
			if _, _, wait := p.tryHome(strconv.Itoa(i), "north", now); wait == nil {
				n++
			}
		}
		return n
	}
	now := time.Now()
	require.Equal(t, 64, direct(now))
	require.Equal(t, 64, direct(now), "the same ones go on")
	require.Equal(t, mostDirect, direct(now.Add(2*relaysWithin)), "no relay comes")
	done := make(chan string, 1)
	go func() {
		n, _, err := p.home(t.Context(), "2999", "north")
		require.NoError(t, err)
		done <- n
	}()
	time.Sleep(10 * time.Millisecond)
	p.took(newLink(nil), &toOwner{Hello: &Hello{"r", "north"}})
	require.Equal(t, "r", <-done)
	require.Equal(t, workers, direct(now))
	require.Empty(t, p.called, "with a relay none is called directly")
}

// A report is asked for through another relay at once, since asking twice does no harm.
func TestLostRelayDelaysNoReport(t *testing.T) {
	s := newScene(t)
	w, _, stop := s.relay("n", "north")
	other, _, _ := s.relay("s", "south")
	w.hold = make(chan struct{})
	done := make(chan error, 1)
	go func() {
		_, err := s.sync()
		done <- err
	}()
	s.eventually(func() bool { return w.synced() == 1 })
	go stop()
	require.NoError(t, <-done)
	require.Equal(t, 1, other.synced())
	close(w.hold)
}

func TestFencedCallIsToldAsSuch(t *testing.T) {
	s := newScene(t)
	w, _, _ := s.relay("r", "north")
	w.fail(jobserve.ErrFenced)
	_, err := s.sync()
	require.ErrorIs(t, err, jobserve.ErrFenced)
}

// Every owner chooses alike, so that a new one finds the connections of the former.
func TestOwnersChooseTheSameRelays(t *testing.T) {
	relays := map[string]Hello{"a": {"a", "x"}, "b": {"b", "x"}, "c": {"c", "y"}}
	count := make(map[string]int)
	for i := range 300 {
		w := string(rune('a'+i%26)) + string(rune('a'+i/26))
		n := choose(w, "x", "", relays)
		require.Equal(t, n, choose(w, "x", "", relays))
		require.NotEqual(t, "c", n)
		count[n]++
	}
	require.Greater(t, count["a"], 100)
	require.Greater(t, count["b"], 100)
}

package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantknot.dev/currantknot/internal/routing"
	"currantknot.dev/currantknot/pkg/document"
)

var start = time.Unix(1_800_000_000, 0)

// newRouter returns the router of instance e0 for service s with the given number of upstreams.
func newRouter(tb testingT, upstreams int) *routing.Router {
	r, err := routing.NewRouter("e0", routing.PolicySlots, rand.New(rand.NewPCG(1, 1)))
	require.NoError(tb, err)
	r.SetServices([]document.Service{{Name: "s", Bound: time.Second}})
	r.SetUpstreams(newUpstreams(upstreams, -1), start)
	return r
}

type testingT interface {
	Errorf(format string, args ...any)
	FailNow()
}

// newUpstreams returns n upstreams named u0, u1 and so on. The upstream with the index draining is marked as draining.
// If the index is negative, none is.
func newUpstreams(n, draining int) []routing.Upstream {
	var us []routing.Upstream
	for i := range n {
		us = append(us, routing.Upstream{Name: fmt.Sprintf("u%d", i), Service: "s", Draining: i == draining})
	}
	return us
}

// request returns a request of the account with 1 s left until its deadline.
func request(id int, account string) *routing.Request {
	return &routing.Request{ID: uint64(id), Service: "s", ClientAccount: account, ArrivedAt: start, Deadline: start.Add(time.Second)}
}

func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	r := newRouter(t, 2)
	r.SetUpstreams(newUpstreams(2, 1), start)
	for i := range 8 {
		d := r.Route(request(i, ""), start)
		require.Equal(t, "u0", d.Upstream.Name)
	}
}

func TestFloodDelaysOnlyItsAccount(t *testing.T) {
	r := newRouter(t, 1)
	var n int
	route := func(account string) *routing.Decision {
		n++
		return r.Route(request(n, account), start)
	}
	bound := 0
	for route("flood") != nil {
		bound++
	}
	for range 200 {
		route("flood")
	}
	require.Nil(t, route("quiet"))
	// The quiet account gets one of the next two slots that become free.
	var accounts []string
	for range 2 {
		for _, d := range r.HandleResult(routing.Result{Upstream: "u0", Service: "s", Latency: time.Millisecond}, start) {
			accounts = append(accounts, d.Request.ClientAccount)
		}
	}
	require.Contains(t, accounts, "quiet")
}

func TestRateLimitAppliesPerAccount(t *testing.T) {
	r, err := routing.NewRouter("e0", routing.PolicySlots, rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	r.SetServices([]document.Service{{Name: "s", Bound: time.Second, RequestsPerSecond: 4}})
	r.SetUpstreams(newUpstreams(4, -1), start)
	refused := 0
	for i := range 10 {
		if d := r.Route(request(i, "a"), start); d != nil && d.Refusal != nil {
			require.Equal(t, routing.RefusedLimit, d.Refusal.Reason)
			require.True(t, d.Refusal.RetryAt.After(start))
			refused++
		}
	}
	require.Equal(t, 8, refused)
	require.NotNil(t, r.Route(request(99, "b"), start).Upstream)
}

func TestFailingUpstreamIsEjectedAndReturnsWithSlowStart(t *testing.T) {
	r := newRouter(t, 4)
	now := start
	ejected := func() map[string]bool {
		m := make(map[string]bool)
		for _, u := range r.Status(now) {
			if u.Ejected {
				m[u.Name] = true
			}
		}
		return m
	}
	for i := range 400 {
		d := r.Route(request(i, ""), now)
		r.HandleResult(routing.Result{Upstream: d.Upstream.Name, Service: "s", Failed: d.Upstream.Name == "u1", Latency: time.Millisecond}, now)
	}
	require.Equal(t, map[string]bool{"u1": true}, ejected())
	now = now.Add(1100 * time.Millisecond)
	require.Empty(t, ejected())
	n := 0
	for i := range 32 {
		if d := r.Route(request(i, ""), now); d != nil && d.Upstream != nil && d.Upstream.Name == "u1" {
			n++
		}
	}
	require.Equal(t, 1, n, "slow start begins with one request in flight")
}

func TestNeverMoreThanAThirdIsEjected(t *testing.T) {
	r := newRouter(t, 6)
	for i := range 600 {
		if d := r.Route(request(i, ""), start); d.Upstream != nil {
			r.HandleResult(routing.Result{Upstream: d.Upstream.Name, Service: "s", Failed: true, Latency: time.Millisecond}, start)
		}
	}
	n := 0
	for _, u := range r.Status(start) {
		if u.Ejected {
			n++
		}
	}
	require.Equal(t, 2, n)
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	r := newRouter(t, 1)
	for i := range 50 {
		d := r.Route(request(i, ""), start)
		r.HandleResult(routing.Result{Upstream: d.Upstream.Name, Service: "s", Latency: 400 * time.Millisecond}, start)
	}
	waiting, refused := 0, 0
	for i := range 60 {
		switch d := r.Route(request(i, ""), start); {
		case d == nil:
			waiting++
		case d.Refusal != nil:
			require.Equal(t, routing.RefusedOverload, d.Refusal.Reason)
			refused++
		}
	}
	require.Positive(t, waiting)
	require.Greater(t, refused, waiting, "with 8 slots, 0.4 s per request and 1 s left, few of 60 can wait")
}

// TestInstancesShareTheSlotsOfAnUpstream checks that the slots that 1 to 9 instances hold add up to the same total at
// each upstream, and that each instance holds some.
func TestInstancesShareTheSlotsOfAnUpstream(t *testing.T) {
	const upstreams = 12
	for n := 1; n <= 9; n++ {
		totalSlots := 9
		if n == 1 {
			totalSlots = 8
		}
		granted := make([]int, upstreams)
		for e := range n {
			r, err := routing.NewRouter(fmt.Sprintf("e%d", e), routing.PolicySlots, rand.New(rand.NewPCG(1, 1)))
			require.NoError(t, err)
			r.SetServices([]document.Service{{Name: "s"}})
			r.SetUpstreams(newUpstreams(upstreams, -1), start)
			var ds []routing.Demand
			for o := range n {
				if o != e {
					ds = append(ds, routing.Demand{Instance: fmt.Sprintf("e%d", o)})
				}
			}
			r.SetDemands(map[string][]routing.Demand{"s": ds}, nil, start)
			instanceSlots := 0
			for i, u := range r.Status(start) {
				granted[i] += u.GrantedSlots
				instanceSlots += u.GrantedSlots
			}
			require.Positive(t, instanceSlots, "every instance holds a slot")
		}
		for _, g := range granted {
			require.Equal(t, totalSlots, g, "%d instances", n)
		}
	}
}

// TestSlotModel routes, completes and cancels requests at random. It checks that no request gets more than one decision
// and that the requests in flight match those bound.
func TestSlotModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRouter(t, 3)
		now := start
		decisions := make(map[*routing.Request]int)
		var waiting, assigned []*routing.Request
		upstreamOf := make(map[*routing.Request]string)
		handle := func(ds []routing.Decision) {
			for _, d := range ds {
				decisions[d.Request]++
				if d.Upstream != nil {
					assigned = append(assigned, d.Request)
					upstreamOf[d.Request] = d.Upstream.Name
				}
			}
		}
		remove := func(l []*routing.Request, q *routing.Request) []*routing.Request {
			for i := range l {
				if l[i] == q {
					return append(l[:i:i], l[i+1:]...)
				}
			}
			return l
		}
		t.Repeat(map[string]func(*rapid.T){
			"route": func(t *rapid.T) {
				q := request(len(decisions), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"))
				q.Deadline = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				decisions[q] = 0
				if d := r.Route(q, now); d != nil {
					handle([]routing.Decision{*d})
					return
				}
				waiting = append(waiting, q)
			},
			"finish": func(t *rapid.T) {
				if len(assigned) == 0 {
					return
				}
				q := assigned[rapid.IntRange(0, len(assigned)-1).Draw(t, "request")]
				assigned = remove(assigned, q)
				took := time.Duration(rapid.IntRange(1, 300).Draw(t, "took")) * time.Millisecond
				handle(r.HandleResult(routing.Result{Upstream: upstreamOf[q], Service: "s", Failed: rapid.Bool().Draw(t, "failed"), Latency: took}, now))
			},
			"cancel": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}
				q := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "request")]
				if r.Cancel(q) {
					decisions[q]++
				}
				waiting = remove(waiting, q)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				handle(r.Expire(now))
			},
			"drain": func(t *rapid.T) {
				handle(r.SetUpstreams(newUpstreams(3, rapid.IntRange(-1, 2).Draw(t, "draining")), now))
			},
			"": func(t *rapid.T) {
				for q, n := range decisions {
					if n > 1 {
						t.Fatalf("request %d got %d decisions", q.ID, n)
					}
				}
				n := 0
				for _, u := range r.Status(now) {
					if u.InFlight < 0 {
						t.Fatalf("%d requests in flight at %s", u.InFlight, u.Name)
					}
					n += u.InFlight
				}
				if n != len(assigned) {
					t.Fatalf("%d requests in flight, %d bound", n, len(assigned))
				}
			},
		})
	})
}

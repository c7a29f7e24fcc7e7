package routing_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/routing"
	"currantknot.dev/currantknot/pkg/document"
)

const (
	benchInstances  = 9
	benchUpstreams  = 65
	benchSlots      = 8
	meanServiceTime = 40 * time.Millisecond
	demandInterval  = 500 * time.Millisecond
	warmUpDuration  = 5 * time.Second
)

// scenario is one configuration of the routing simulation.
type scenario struct {
	policy string
	// load is the offered load as a fraction of the capacity of all slots.
	load         float64
	requests     int
	latencyBound time.Duration
	// fault names the fault that scheduleFault or arrivals adds, "none" or empty for none.
	fault string
}

// arrival is one request with its random properties, which are the same for every policy.
type arrival struct {
	at          time.Duration
	instance    int
	account     string
	serviceTime time.Duration
}

func (s scenario) arrivals() []arrival {
	r := rand.New(rand.NewPCG(42, 7))
	mean := meanServiceTime.Seconds() / (s.load * benchUpstreams * benchSlots)
	var t float64
	a := make([]arrival, s.requests)
	for i := range a {
		t += r.ExpFloat64() * mean
		a[i] = arrival{
			at: time.Duration(t * float64(time.Second)), instance: r.IntN(benchInstances), account: fmt.Sprint(r.IntN(4)),
			serviceTime: time.Duration(r.ExpFloat64() * float64(meanServiceTime)),
		}
	}
	if s.fault == "flood" {
		// Three in four requests come from one account.
		for i := range a {
			if i%4 != 0 {
				a[i].account = "flood"
			}
		}
	}
	return a
}

// event is one event of the simulation. Events of equal time run in the order in which they were scheduled.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) } //nolint:forcetypeassert // heap of events
func (q *eventQueue) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	return x
}

// result holds the measurements of a simulation.
type result struct {
	latency *hdrhistogram.Histogram
	// otherAccounts is the latency of the requests of all accounts except the account "flood".
	otherAccounts *hdrhistogram.Histogram
	withinBound   int
	offered       int
	failed        int
	notRun        int
	// busyTime is the total time for which slots were busy after the warm-up. duration is the time from the end of the
	// warm-up to the last arrival.
	busyTime time.Duration
	duration time.Duration
	// maxAtUpstream is the greatest number of requests that were in service or queued at one upstream.
	maxAtUpstream int
}

func newResult() *result {
	return &result{latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3), otherAccounts: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
}

func (r *result) recordResponse(a arrival, latency, bound time.Duration) {
	if a.at < warmUpDuration {
		return
	}
	_ = r.latency.RecordValue(latency.Microseconds())
	if a.account != "flood" {
		_ = r.otherAccounts.RecordValue(latency.Microseconds())
	}
	if latency <= bound {
		r.withinBound++
	}
}

// simulatedUpstream is one upstream with its slots and its queue.
type simulatedUpstream struct {
	// busy is the number of slots in use.
	busy  int
	queue []func()
	// slowdown is the factor by which the upstream takes longer than the service time of a request.
	slowdown float64
	// fails means that every request fails, and down that the upstream is draining.
	fails bool
	down  bool
}

// simulation drives the routers of all instances in a discrete-event simulation.
type simulation struct {
	scenario

	now          time.Duration
	seq          int
	events       eventQueue
	routers      []*routing.Router
	upstreams    []*simulatedUpstream
	unresponsive []bool
	partitioned  bool
	waiting      map[*routing.Request]func(routing.Decision)
	result       *result
}

var simulationStart = time.Unix(1_800_000_000, 0)

func (x *simulation) wallTime() time.Time { return simulationStart.Add(x.now) }

func (x *simulation) schedule(t time.Duration, run func()) {
	x.seq++
	heap.Push(&x.events, event{t, x.seq, run})
}

func newSimulation(tb testing.TB, s scenario) *simulation {
	tb.Helper()
	x := &simulation{scenario: s, waiting: make(map[*routing.Request]func(routing.Decision)), result: newResult(), unresponsive: make([]bool, benchInstances)}
	for i := range benchInstances {
		r, err := routing.NewRouter(fmt.Sprintf("e%d", i), s.policy, rand.New(rand.NewPCG(1, uint64(i))))
		require.NoError(tb, err)
		r.SetServices([]document.Service{{Name: "s", Bound: s.latencyBound}})
		x.routers = append(x.routers, r)
	}
	for range benchUpstreams {
		x.upstreams = append(x.upstreams, &simulatedUpstream{slowdown: 1})
	}
	x.updateUpstreams()
	return x
}

func (x *simulation) updateUpstreams() {
	var us []routing.Upstream
	for i, u := range x.upstreams {
		us = append(us, routing.Upstream{Name: fmt.Sprintf("u%02d", i), Service: "s", Draining: u.down})
	}
	for _, r := range x.routers {
		x.deliverDecisions(r.SetUpstreams(us, x.wallTime()))
	}
}

func (x *simulation) deliverDecisions(ds []routing.Decision) {
	for _, d := range ds {
		handle := x.waiting[d.Request]
		delete(x.waiting, d.Request)
		handle(d)
	}
}

// exchangeDemands publishes demands and requests in flight to all instances.
func (x *simulation) exchangeDemands() {
	if !x.partitioned {
		ds := make([]map[string]float64, benchInstances)
		fs := make([]map[string]int, benchInstances)
		for i, r := range x.routers {
			ds[i], fs[i] = r.Demands(x.wallTime()), r.InFlight()
		}
		for i, r := range x.routers {
			d := make(map[string][]routing.Demand)
			f := make(map[string]int)
			for j := range x.routers {
				if j == i {
					continue
				}
				d["s"] = append(d["s"], routing.Demand{Instance: fmt.Sprintf("e%d", j), Slots: ds[j]["s"]})
				for u, n := range fs[j] {
					f[u] += n
				}
			}
			x.deliverDecisions(r.SetDemands(d, f, x.wallTime()))
		}
	}
	x.schedule(x.now+demandInterval, x.exchangeDemands)
}

func (x *simulation) expireQueued() {
	for _, r := range x.routers {
		x.deliverDecisions(r.Expire(x.wallTime()))
	}
	x.schedule(x.now+20*time.Millisecond, x.expireQueued)
}

func (x *simulation) run() *result {
	as := x.arrivals()
	for i, a := range as {
		x.schedule(a.at, func() { x.arrive(i, a) })
	}
	x.schedule(0, x.exchangeDemands)
	x.schedule(0, x.expireQueued)
	x.scheduleFault(as[len(as)-1].at)
	end := as[len(as)-1].at
	// The simulation continues for drainDuration, so that the last requests can complete.
	for x.now <= end+drainDuration {
		e := heap.Pop(&x.events).(event) //nolint:forcetypeassert // heap of events
		x.now = e.at
		e.run()
	}
	x.result.duration = end - warmUpDuration
	return x.result
}

// scheduleFault schedules the fault of the scenario for the middle third of the simulation.
func (x *simulation) scheduleFault(end time.Duration) {
	set := func(do func(bool)) {
		x.schedule(end/3, func() { do(true) })
		x.schedule(2*end/3, func() { do(false) })
	}
	switch x.fault {
	case "slow":
		set(func(on bool) {
			x.upstreams[3].slowdown = 1
			if on {
				x.upstreams[3].slowdown = 10
			}
		})
	case "failing":
		set(func(on bool) { x.upstreams[3].fails = on })
	case "domain":
		set(func(on bool) {
			for i := range benchUpstreams / 4 {
				x.upstreams[i].down = on
			}
			x.updateUpstreams()
		})
	case "paused":
		set(func(on bool) { x.unresponsive[2] = on })
	case "partition":
		set(func(on bool) { x.partitioned = on })
	}
}

func (x *simulation) arrive(id int, a arrival) {
	if a.at >= warmUpDuration {
		x.result.offered++
	}
	// The load balancer skips an unresponsive instance.
	for n := a.instance; ; n = (n + 1) % benchInstances {
		if !x.unresponsive[n] {
			a.instance = n
			break
		}
	}
	x.route(id, a, nil)
}

func (x *simulation) route(id int, a arrival, tried []string) {
	q := &routing.Request{
		ID: uint64(id), Service: "s", ClientAccount: a.account, ArrivedAt: simulationStart.Add(a.at), Deadline: simulationStart.Add(a.at + x.latencyBound), Tried: tried,
	}
	x.waiting[q] = func(d routing.Decision) { x.handleDecision(id, a, q, d) }
	if d := x.routers[a.instance].Route(q, x.wallTime()); d != nil {
		x.deliverDecisions([]routing.Decision{*d})
	}
}

func (x *simulation) handleDecision(id int, a arrival, q *routing.Request, d routing.Decision) {
	if d.Refusal != nil {
		if a.at >= warmUpDuration {
			x.result.notRun++
		}
		return
	}
	var n int
	_, _ = fmt.Sscanf(d.Upstream.Name, "u%d", &n)
	u := x.upstreams[n]
	sent := x.now
	finish := func(failed bool) {
		x.deliverDecisions(x.routers[a.instance].HandleResult(routing.Result{Upstream: d.Upstream.Name, Service: "s", Failed: failed, Latency: x.now - sent}, x.wallTime()))
		switch {
		case !failed:
			x.result.recordResponse(a, x.now-a.at, x.latencyBound)
		case len(q.Tried) < 3:
			x.route(id, a, append(slices.Clone(q.Tried), d.Upstream.Name))
		default:
			x.result.failed++
		}
	}
	if u.fails {
		x.schedule(x.now+time.Millisecond, func() { finish(true) })
		return
	}
	x.enqueue(u, a, finish)
}

// enqueue serves a request as soon as the upstream has a free slot.
func (x *simulation) enqueue(u *simulatedUpstream, a arrival, finish func(bool)) {
	x.result.maxAtUpstream = max(x.result.maxAtUpstream, u.busy+len(u.queue)+1)
	if u.busy >= benchSlots {
		u.queue = append(u.queue, func() { x.serve(u, a, finish) })
		return
	}
	x.serve(u, a, finish)
}

func (x *simulation) serve(u *simulatedUpstream, a arrival, finish func(bool)) {
	u.busy++
	s := time.Duration(float64(a.serviceTime) * u.slowdown)
	if x.now >= warmUpDuration {
		x.result.busyTime += s
	}
	x.schedule(x.now+s, func() {
		u.busy--
		if len(u.queue) > 0 {
			q := u.queue[0]
			u.queue = u.queue[1:]
			q()
		}
		finish(false)
	})
}

// idealResult computes the result of a single queue for all slots, where each request gets the slot that is free first.
func (s scenario) idealResult() *result {
	r := newResult()
	free := make([]time.Duration, benchUpstreams*benchSlots)
	h := durationHeap(free)
	heap.Init(&h)
	as := s.arrivals()
	for _, a := range as {
		if a.at >= warmUpDuration {
			r.offered++
		}
		t := max(h[0], a.at)
		// A request that can't complete within its deadline is not started.
		if t+a.serviceTime > a.at+s.latencyBound {
			r.notRun++
			continue
		}
		h[0] = t + a.serviceTime
		heap.Fix(&h, 0)
		r.recordResponse(a, t+a.serviceTime-a.at, s.latencyBound)
	}
	return r
}

type durationHeap []time.Duration

func (h durationHeap) Len() int           { return len(h) }
func (h durationHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h durationHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *durationHeap) Push(x any)        { *h = append(*h, x.(time.Duration)) } //nolint:forcetypeassert // heap of durations
func (h *durationHeap) Pop() any          { panic("not used") }

// relaxedBound is a latency bound that requests rarely exceed at loads below the capacity.
const relaxedBound = 4 * time.Second

// drainDuration is the simulated time after the last arrival.
const drainDuration = 2 * time.Second

func ratio(a, b *hdrhistogram.Histogram, q float64) float64 {
	return float64(a.ValueAtQuantile(q)) / float64(b.ValueAtQuantile(q))
}

func report(b *testing.B, s scenario) {
	for b.Loop() {
		r, i := newSimulation(b, s).run(), s.idealResult()
		b.ReportMetric(ratio(r.latency, i.latency, 50), "p50/ideal")
		b.ReportMetric(ratio(r.latency, i.latency, 99), "p99/ideal")
		b.ReportMetric(ratio(r.latency, i.latency, 99.9), "p99.9/ideal")
		b.ReportMetric(float64(r.withinBound)*meanServiceTime.Seconds()/(r.duration.Seconds()*benchUpstreams*benchSlots), "good/capacity")
		b.ReportMetric(float64(r.otherAccounts.ValueAtQuantile(99))/1000, "others-p99-ms")
		b.ReportMetric(float64(r.failed), "failed")
		b.ReportMetric(float64(r.maxAtUpstream), "most-at-upstream")
	}
}

func BenchmarkRoutingLoad(b *testing.B) {
	for _, l := range []float64{0.5, 0.7, 0.85, 0.95, 1.1} {
		for _, p := range routing.PolicyNames() {
			b.Run(fmt.Sprintf("load=%.2f/%s", l, p), func(b *testing.B) {
				report(b, scenario{policy: p, load: l, requests: 250_000, latencyBound: latencyBoundFor(l)})
			})
		}
	}
}

// latencyBoundFor returns a bound that is tight for loads above the capacity, and relaxedBound otherwise.
func latencyBoundFor(load float64) time.Duration {
	if load > 1 {
		return 8 * meanServiceTime
	}
	return relaxedBound
}

func BenchmarkRoutingFault(b *testing.B) {
	for _, f := range []string{"none", "slow", "failing", "domain", "paused", "partition", "flood"} {
		for _, p := range routing.PolicyNames() {
			b.Run(fmt.Sprintf("fault=%s/%s", f, p), func(b *testing.B) {
				l := 0.7
				if f == "flood" {
					l = 1.1
				}
				report(b, scenario{policy: p, load: l, requests: 150_000, latencyBound: relaxedBound, fault: f})
			})
		}
	}
}

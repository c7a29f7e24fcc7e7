package placement_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/placement"
	"currantknot.dev/currantknot/internal/record"
)

// fleetSize is one size of the placement experiment: what one shard holds.
type fleetSize struct {
	name    string
	workers int
	// services and batch are the numbers of running tasks.
	services int
	batch    int
	// starts is the number of batch starts a second.
	starts int
}

// benchTick is the time between two plans, and the time from an append to its being read back.
const benchTick = 100 * time.Millisecond

// experiment drives one owner event by event; its workers answer at once.
type experiment struct {
	tb      testing.TB
	owner   *placement.Owner
	store   *docstore.Store
	now     time.Time
	random  *rand.Rand
	events  simQueue
	seq     int
	log     []record.Record
	offset  uint64
	running map[string]map[string]*placement.TaskReport

	spent       time.Duration
	appends     int
	bytes       int
	orderBytes  int
	orders      int
	starts      int
	evictions   int
	finished    int
	busy        time.Duration
	urgentSince map[string]time.Time
	seen        map[string]bool
	urgent      *hdrhistogram.Histogram
	runTime     time.Duration
	drained     map[string]bool
	// hook adds the measurements of the workers, nil where there are none.
	hook interface {
		report(s placement.SyncOrder) []placement.Usage
	}
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) } //nolint:forcetypeassert // heap of events
func (q *simQueue) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	return x
}

func newExperiment(tb testing.TB, s fleetSize, policy string) *experiment {
	tb.Helper()
	p, err := placement.NewPolicy(policy, rand.New(rand.NewPCG(1, 2)))
	require.NoError(tb, err)
	l := placement.DefaultLimits()
	l.SyncEvery = 2 * time.Second
	x := &experiment{
		tb: tb, owner: placement.NewOwner(0, "a", l, p), store: docstore.NewStore(), now: time.Unix(1_800_000_000, 0),
		random: rand.New(rand.NewPCG(3, 4)), running: make(map[string]map[string]*placement.TaskReport),
		urgentSince: make(map[string]time.Time), seen: make(map[string]bool), urgent: hdrhistogram.New(1, 1_000_000, 3),
		runTime: time.Duration(float64(s.batch) / float64(s.starts) * float64(time.Second)), drained: make(map[string]bool),
	}
	x.edit("fleet", x.fleet(s))
	x.edit("work", x.work(s))
	x.apply(record.Record{Claim: &record.Claim{Owner: "a"}})
	var ws []placement.Worker
	for i := range s.workers {
		ws = append(ws, placement.Worker{Name: fmt.Sprintf("w%03d", i)})
	}
	x.owner.SetWorkers(ws)
	return x
}

func (x *experiment) edit(name string, text []byte) {
	v := x.store.View()
	e := record.SectionEdit{Section: name, Base: v.Revisions[name], Text: text}
	require.NoError(x.tb, x.store.Apply(v.Next, &record.Envelope{}, &record.Record{Edit: &record.Edit{Sections: []record.SectionEdit{e}}}))
	x.owner.SetView(x.store.View(), x.now)
}

// fleet gives each worker room for its part of the running tasks and a tenth more.
func (x *experiment) fleet(s fleetSize) []byte {
	b := []byte("Section: fleet\nOwner: o\nFailureDomains:\n")
	for d := range 5 {
		b = fmt.Appendf(b, "  - {Name: d%d, OutOfService: %v}\n", d, x.drained[fmt.Sprintf("d%d", d)])
	}
	b = append(b, "Instances:\n"...)
	p := (s.services+s.batch)*2*11/10/s.workers + 1
	for i := range s.workers {
		b = fmt.Appendf(b, "  - {Name: w%03d, FailureDomain: d%d, Rack: r%d, Processors: %d, MemoryMiB: 250000}\n", i, i%5, i/8, p)
	}
	b = append(b, "Quotas:\n"...)
	for t := range 49 {
		b = fmt.Appendf(b, "  - {Team: t%d, Processors: %d, MemoryMiB: 250000}\n", t, p*s.workers/49)
	}
	return b
}

// work declares services and more batch than fits, in jobs of all teams.
func (x *experiment) work(s fleetSize) []byte {
	b := []byte("Section: work\nOwner: o\nServices:\n")
	for i := range 20 {
		b = fmt.Appendf(b, "  - {Name: s%d, ClientAccount: c, Team: t%d, PathPrefix: /s%d, Bound: 1s, Replicas: %d, Processors: 2, MemoryMiB: 100}\n", i, i, i, max(1, s.services/20))
	}
	b = append(b, "Jobs:\n"...)
	for i := range 49 {
		b = fmt.Appendf(b, "  - {Name: j%d, Team: t%d, Priority: Patient, Tasks: 20000, RunTime: 1h, Processors: 2, MemoryMiB: 100}\n", i, i)
	}
	return b
}

// urgentWork adds a job of urgent tasks.
func (x *experiment) urgentWork(s fleetSize, n int) {
	b := x.work(s)
	for i := range n {
		b = fmt.Appendf(b, "  - {Name: u%d, Team: t%d, Priority: Urgent, Tasks: %d, RunTime: 1s, Processors: 2, MemoryMiB: 100}\n", i, i%49, max(1, s.starts/100))
	}
	x.edit("work", b)
	for name, g := range x.store.View().Generations {
		if name[0] != 'u' {
			continue
		}
		for i := range max(1, s.starts/100) {
			k := placement.TaskName(placement.Group(name, g), i)
			if !x.seen[k] {
				x.seen[k] = true
				x.urgentSince[k] = x.now
			}
		}
	}
}

func (x *experiment) at(d time.Duration, do func()) {
	x.seq++
	heap.Push(&x.events, simEvent{x.now.Add(d), x.seq, do})
}

// timed adds the time of a call of the core to what the core has spent.
func (x *experiment) timed(do func()) {
	a := time.Now()
	do()
	x.spent += time.Since(a)
}

func (x *experiment) apply(r record.Record) {
	_ = x.owner.Apply(x.offset, &record.Envelope{At: x.now}, &r)
	x.offset++
}

// step commits what was proposed, plans, and carries out the orders.
func (x *experiment) step() {
	if len(x.log) > 0 {
		b, err := record.Encode(&record.Envelope{Writer: "entry-1~dnbgvb116vo0", At: x.now, Records: x.log})
		require.NoError(x.tb, err)
		x.appends++
		x.bytes += len(b)
		l := x.log
		x.log = nil
		x.timed(func() {
			for _, r := range l {
				x.apply(r)
			}
		})
	}
	c := placement.Clock{Now: x.now, ShardAt: x.now, LeaseAt: x.now, DocumentAt: x.now}
	var o placement.Orders
	x.timed(func() {
		x.log = append(x.log, x.owner.Plan(c)...)
		o = x.owner.Orders(c)
	})
	x.owner.TakeDecisions()
	x.carryOut(o)
	x.at(benchTick, x.step)
}

func (x *experiment) count(order any) {
	b, err := json.Marshal(order)
	require.NoError(x.tb, err)
	x.orders++
	x.orderBytes += len(b)
}

func (x *experiment) carryOut(o placement.Orders) {
	for _, s := range o.Starts {
		x.count(s)
		x.starts++
		x.start(s)
	}
	for _, s := range o.Stops {
		x.count(s)
		r := x.running[s.Worker][s.Task]
		if r == nil || r.State != placement.TaskRunning {
			continue
		}
		x.evictions++
		r.State, r.Checkpoint = placement.TaskStopped, "1"
		x.answer(s.Worker, *r)
	}
	for _, s := range o.Syncs {
		x.count(s)
		x.sync(s)
	}
}

func (x *experiment) answer(worker string, r placement.TaskReport) {
	x.timed(func() { x.log = append(x.log, x.owner.OnTask(worker, r, x.now)...) })
}

func (x *experiment) start(s placement.StartOrder) {
	if x.running[s.Worker] == nil {
		x.running[s.Worker] = make(map[string]*placement.TaskReport)
	}
	r := &placement.TaskReport{TaskAttempt: placement.TaskAttempt{Task: s.Task, Attempt: s.Attempt}, State: placement.TaskRunning}
	x.running[s.Worker][s.Task] = r
	if t, ok := x.urgentSince[s.Task]; ok {
		_ = x.urgent.RecordValue(x.now.Sub(t).Milliseconds())
		delete(x.urgentSince, s.Task)
	}
	x.answer(s.Worker, *r)
	if s.Service != "" {
		return
	}
	d := time.Duration(x.random.ExpFloat64() * float64(x.runTime))
	began := x.now
	x.at(d, func() {
		if r.State == placement.TaskRunning {
			r.State = placement.TaskFinished
			x.finished++
			x.busy += x.now.Sub(began)
		}
	})
}

func (x *experiment) sync(s placement.SyncOrder) {
	r := placement.WorkerReport{Worker: s.Worker, Epoch: s.Epoch}
	for _, t := range s.Forget {
		delete(x.running[s.Worker], t.Task)
	}
	for _, k := range slices.Sorted(maps.Keys(x.running[s.Worker])) {
		r.Tasks = append(r.Tasks, *x.running[s.Worker][k])
	}
	if x.hook != nil {
		r.Usage = x.hook.report(s)
	}
	x.timed(func() { x.log = append(x.log, x.owner.OnReport(s, r, x.now, x.now)...) })
}

func (x *experiment) runFor(d time.Duration) {
	end := x.now.Add(d)
	for len(x.events) > 0 && !x.events[0].at.After(end) {
		e := heap.Pop(&x.events).(simEvent) //nolint:forcetypeassert // heap of events
		x.now = e.at
		e.do()
	}
	x.now = end
}

// reset begins the measurement.
func (x *experiment) reset() {
	x.spent, x.appends, x.bytes, x.orders, x.orderBytes, x.starts, x.evictions, x.finished = 0, 0, 0, 0, 0, 0, 0, 0
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkPlacementCost measures what one shard costs its owner, at several sizes.
func BenchmarkPlacementCost(b *testing.B) {
	for _, s := range []fleetSize{
		{"records-office", 50, 260, 1200, 44},
		{"consortium", 65, 340, 1550, 57},
		{"planned-shard-of-18", 37, 194, 889, 33},
		{"planned-shard-of-9", 75, 389, 1778, 66},
		{"planned-third", 223, 1167, 5333, 197},
		{"planned-single-owner", 670, 3500, 16000, 590},
	} {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				x := newExperiment(b, s, placement.PolicyColocated)
				x.at(0, x.step)
				x.runFor(90 * time.Second)
				x.reset()
				const span = 60 * time.Second
				x.runFor(span)
				per := func(n int) float64 { return float64(n) / span.Seconds() }
				b.ReportMetric(100*x.spent.Seconds()/span.Seconds(), "%core")
				b.ReportMetric(per(x.starts), "starts/s")
				b.ReportMetric(per(x.appends), "appends/s")
				b.ReportMetric(per(x.bytes), "log-B/s")
				b.ReportMetric(per(x.orders), "orders/s")
				b.ReportMetric(per(x.orderBytes), "order-B/s")
				after := heapBytes()
				b.ReportMetric((after-before)/(1<<20), "heap-MiB")
				runtime.KeepAlive(x)
			}
		})
	}
}

// BenchmarkUrgentStart measures the time from an edit to the start of its urgent tasks on a full fleet.
func BenchmarkUrgentStart(b *testing.B) {
	for _, s := range []fleetSize{{"planned-shard-of-18", 37, 194, 889, 33}, {"planned-single-owner", 670, 3500, 16000, 590}} {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				x := newExperiment(b, s, placement.PolicyColocated)
				x.at(0, x.step)
				x.runFor(90 * time.Second)
				x.reset()
				for n := range 60 {
					x.urgentWork(s, n+1)
					x.runFor(time.Second)
				}
				x.runFor(10 * time.Second)
				b.ReportMetric(float64(x.urgent.ValueAtQuantile(50))/1000, "p50-s")
				b.ReportMetric(float64(x.urgent.ValueAtQuantile(99.9))/1000, "p99.9-s")
				b.ReportMetric(float64(x.urgent.TotalCount()), "urgent")
				b.ReportMetric(float64(len(x.urgentSince)), "not-started")
				b.ReportMetric(float64(x.evictions), "evictions")
			}
		})
	}
}

// BenchmarkDrain measures the work done while a failure domain leaves and returns, as a share of what the open capacity can do.
func BenchmarkDrain(b *testing.B) {
	s := fleetSize{"", 50, 260, 1200, 44}
	for _, p := range placement.PolicyNames() {
		b.Run(p, func(b *testing.B) {
			for b.Loop() {
				x := newExperiment(b, s, p)
				x.at(0, x.step)
				x.runFor(120 * time.Second)
				full := x.runningBatch()
				var have, can float64
				measure := func(seconds int, open float64) {
					for range seconds {
						x.runFor(time.Second)
						have += float64(x.runningBatch())
						can += open
					}
				}
				x.drained["d2"] = true
				x.edit("fleet", x.fleet(s))
				// Services keep their room, so batch gives way for those of the failure domain.
				left := float64(full+x.runningServices())*0.8 - float64(x.runningServices())
				measure(60, left)
				x.drained["d2"] = false
				x.edit("fleet", x.fleet(s))
				measure(60, float64(full))
				b.ReportMetric(have/can, "work/possible")
				b.ReportMetric(float64(x.evictions), "evictions")
			}
		})
	}
}

func (x *experiment) runningBatch() int    { return x.runningOf('j') }
func (x *experiment) runningServices() int { return x.runningOf('s') }

func (x *experiment) runningOf(kind byte) int {
	n := 0
	for _, w := range x.running {
		for k, t := range w {
			if k[0] == kind && t.State == placement.TaskRunning {
				n++
			}
		}
	}
	return n
}

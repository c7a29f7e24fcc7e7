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

// shardSize is the size of the shard in the experiment.
type shardSize struct {
	name    string
	workers int
	// services and batch are the numbers of replicas and batch tasks that run at a time.
	services int
	batch    int
	// starts is the number of batch task starts per second.
	starts int
}

// benchTick is the time between two plans, and the time until an appended record is read back.
const benchTick = 100 * time.Millisecond

// experiment drives one owner in a discrete event simulation; its workers respond immediately.
type experiment struct {
	tb       testing.TB
	owner    *placement.Owner
	store    *docstore.Store
	now      time.Time
	random   *rand.Rand
	events   simQueue
	seq      int
	proposed []record.Record
	offset   uint64
	// attempts holds the state of each attempt on the workers, by worker and task.
	attempts map[string]map[string]*placement.TaskReport

	// ownerTime is the time spent in calls of the owner.
	ownerTime       time.Duration
	appends         int
	logBytes        int
	orderBytes      int
	orderCount      int
	starts          int
	evictions       int
	finished        int
	finishedRunTime time.Duration
	// urgentWaiting holds the time at which each urgent task that has not started was declared.
	urgentWaiting map[string]time.Time
	// knownUrgent holds the urgent tasks that have been declared.
	knownUrgent   map[string]bool
	urgentLatency *hdrhistogram.Histogram
	// meanRunTime is the mean run time of the batch tasks.
	meanRunTime time.Duration
	// drained holds the failure domains that are out of service.
	drained map[string]bool
	// usageSource returns the measurements in a worker's report, nil if there are none.
	usageSource interface {
		usage(s placement.SyncOrder) []placement.Usage
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

func newExperiment(tb testing.TB, s shardSize, policy string) *experiment {
	tb.Helper()
	p, err := placement.NewPolicy(policy, rand.New(rand.NewPCG(1, 2)))
	require.NoError(tb, err)
	l := placement.DefaultLimits()
	l.SyncInterval = 2 * time.Second
	x := &experiment{
		tb: tb, owner: placement.NewOwner(0, "a", l, p), store: docstore.NewStore(), now: time.Unix(1_800_000_000, 0),
		random: rand.New(rand.NewPCG(3, 4)), attempts: make(map[string]map[string]*placement.TaskReport),
		urgentWaiting: make(map[string]time.Time), knownUrgent: make(map[string]bool), urgentLatency: hdrhistogram.New(1, 1_000_000, 3),
		meanRunTime: time.Duration(float64(s.batch) / float64(s.starts) * float64(time.Second)), drained: make(map[string]bool),
	}
	x.edit("fleet", x.fleetText(s))
	x.edit("work", x.workText(s))
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

// fleetText returns a section that declares workers with the capacity for the running tasks and a tenth more.
func (x *experiment) fleetText(s shardSize) []byte {
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

// workText returns a section with services and with more batch tasks than fit, in jobs of all teams.
func (x *experiment) workText(s shardSize) []byte {
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

// submitUrgent declares n jobs of urgent tasks and records when each task first appears in the document.
func (x *experiment) submitUrgent(s shardSize, n int) {
	b := x.workText(s)
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
			if !x.knownUrgent[k] {
				x.knownUrgent[k] = true
				x.urgentWaiting[k] = x.now
			}
		}
	}
}

func (x *experiment) schedule(d time.Duration, do func()) {
	x.seq++
	heap.Push(&x.events, simEvent{x.now.Add(d), x.seq, do})
}

// measureOwner adds the time of a call of the owner to ownerTime.
func (x *experiment) measureOwner(do func()) {
	a := time.Now()
	do()
	x.ownerTime += time.Since(a)
}

func (x *experiment) apply(r record.Record) {
	_ = x.owner.Apply(x.offset, &record.Envelope{At: x.now}, &r)
	x.offset++
}

// step commits the proposed records, plans, and executes the orders.
func (x *experiment) step() {
	if len(x.proposed) > 0 {
		b, err := record.Encode(&record.Envelope{Writer: "entry-1~dnbgvb116vo0", At: x.now, Records: x.proposed})
		require.NoError(x.tb, err)
		x.appends++
		x.logBytes += len(b)
		l := x.proposed
		x.proposed = nil
		x.measureOwner(func() {
			for _, r := range l {
				x.apply(r)
			}
		})
	}
	c := placement.Clock{Now: x.now, ShardAt: x.now, LeaseAt: x.now, DocumentAt: x.now}
	var o placement.Orders
	x.measureOwner(func() {
		x.proposed = append(x.proposed, x.owner.Plan(c)...)
		o = x.owner.Orders(c)
	})
	x.owner.TakeDecisions()
	x.execute(o)
	x.schedule(benchTick, x.step)
}

func (x *experiment) countOrder(order any) {
	b, err := json.Marshal(order)
	require.NoError(x.tb, err)
	x.orderCount++
	x.orderBytes += len(b)
}

func (x *experiment) execute(o placement.Orders) {
	for _, s := range o.Starts {
		x.countOrder(s)
		x.starts++
		x.start(s)
	}
	for _, s := range o.Stops {
		x.countOrder(s)
		r := x.attempts[s.Worker][s.Task]
		if r == nil || r.State != placement.TaskRunning {
			continue
		}
		x.evictions++
		r.State, r.Checkpoint = placement.TaskStopped, "1"
		x.respond(s.Worker, *r)
	}
	for _, s := range o.Syncs {
		x.countOrder(s)
		x.report(s)
	}
}

func (x *experiment) respond(worker string, r placement.TaskReport) {
	x.measureOwner(func() { x.proposed = append(x.proposed, x.owner.OnTask(worker, r, x.now)...) })
}

func (x *experiment) start(s placement.StartOrder) {
	if x.attempts[s.Worker] == nil {
		x.attempts[s.Worker] = make(map[string]*placement.TaskReport)
	}
	r := &placement.TaskReport{TaskAttempt: placement.TaskAttempt{Task: s.Task, Attempt: s.Attempt}, State: placement.TaskRunning}
	x.attempts[s.Worker][s.Task] = r
	if t, ok := x.urgentWaiting[s.Task]; ok {
		_ = x.urgentLatency.RecordValue(x.now.Sub(t).Milliseconds())
		delete(x.urgentWaiting, s.Task)
	}
	x.respond(s.Worker, *r)
	if s.Service != "" {
		return
	}
	d := time.Duration(x.random.ExpFloat64() * float64(x.meanRunTime))
	startedAt := x.now
	x.schedule(d, func() {
		if r.State == placement.TaskRunning {
			r.State = placement.TaskFinished
			x.finished++
			x.finishedRunTime += x.now.Sub(startedAt)
		}
	})
}

func (x *experiment) report(s placement.SyncOrder) {
	r := placement.WorkerReport{Worker: s.Worker, Epoch: s.Epoch}
	for _, t := range s.Forget {
		delete(x.attempts[s.Worker], t.Task)
	}
	for _, k := range slices.Sorted(maps.Keys(x.attempts[s.Worker])) {
		r.Tasks = append(r.Tasks, *x.attempts[s.Worker][k])
	}
	if x.usageSource != nil {
		r.Usage = x.usageSource.usage(s)
	}
	x.measureOwner(func() { x.proposed = append(x.proposed, x.owner.OnReport(s, r, x.now, x.now)...) })
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

// resetCounters sets the counters that the benchmarks report to zero at the start of a measurement.
func (x *experiment) resetCounters() {
	x.ownerTime, x.appends, x.logBytes, x.orderCount, x.orderBytes, x.starts, x.evictions, x.finished = 0, 0, 0, 0, 0, 0, 0, 0
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkPlacementCost measures the resource use of one shard's owner, for several sizes of the shard.
func BenchmarkPlacementCost(b *testing.B) {
	for _, s := range []shardSize{
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
				x.schedule(0, x.step)
				x.runFor(90 * time.Second)
				x.resetCounters()
				const span = 60 * time.Second
				x.runFor(span)
				per := func(n int) float64 { return float64(n) / span.Seconds() }
				b.ReportMetric(100*x.ownerTime.Seconds()/span.Seconds(), "%core")
				b.ReportMetric(per(x.starts), "starts/s")
				b.ReportMetric(per(x.appends), "appends/s")
				b.ReportMetric(per(x.logBytes), "log-B/s")
				b.ReportMetric(per(x.orderCount), "orders/s")
				b.ReportMetric(per(x.orderBytes), "order-B/s")
				after := heapBytes()
				b.ReportMetric((after-before)/(1<<20), "heap-MiB")
				runtime.KeepAlive(x)
			}
		})
	}
}

// BenchmarkUrgentStart measures the time from an edit of the document to the start of its urgent tasks, with all
// workers full.
func BenchmarkUrgentStart(b *testing.B) {
	for _, s := range []shardSize{{"planned-shard-of-18", 37, 194, 889, 33}, {"planned-single-owner", 670, 3500, 16000, 590}} {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				x := newExperiment(b, s, placement.PolicyColocated)
				x.schedule(0, x.step)
				x.runFor(90 * time.Second)
				x.resetCounters()
				for n := range 60 {
					x.submitUrgent(s, n+1)
					x.runFor(time.Second)
				}
				x.runFor(10 * time.Second)
				b.ReportMetric(float64(x.urgentLatency.ValueAtQuantile(50))/1000, "p50-s")
				b.ReportMetric(float64(x.urgentLatency.ValueAtQuantile(99.9))/1000, "p99.9-s")
				b.ReportMetric(float64(x.urgentLatency.TotalCount()), "urgent")
				b.ReportMetric(float64(len(x.urgentWaiting)), "not-started")
				b.ReportMetric(float64(x.evictions), "evictions")
			}
		})
	}
}

// BenchmarkDrain measures the work done while a failure domain is drained and returned to service, as a fraction of
// the work that the capacity in service could do.
func BenchmarkDrain(b *testing.B) {
	s := shardSize{"", 50, 260, 1200, 44}
	for _, p := range placement.PolicyNames() {
		b.Run(p, func(b *testing.B) {
			for b.Loop() {
				x := newExperiment(b, s, p)
				x.schedule(0, x.step)
				x.runFor(120 * time.Second)
				full := x.runningBatch()
				var work, possible float64
				measure := func(seconds int, possiblePerSecond float64) {
					for range seconds {
						x.runFor(time.Second)
						work += float64(x.runningBatch())
						possible += possiblePerSecond
					}
				}
				x.drained["d2"] = true
				x.edit("fleet", x.fleetText(s))
				// Services move to the other failure domains and evict batch tasks there, so only batch loses capacity.
				reduced := float64(full+x.runningServices())*0.8 - float64(x.runningServices())
				measure(60, reduced)
				x.drained["d2"] = false
				x.edit("fleet", x.fleetText(s))
				measure(60, float64(full))
				b.ReportMetric(work/possible, "work/possible")
				b.ReportMetric(float64(x.evictions), "evictions")
			}
		})
	}
}

func (x *experiment) runningBatch() int    { return x.countRunning('j') }
func (x *experiment) runningServices() int { return x.countRunning('s') }

func (x *experiment) countRunning(kind byte) int {
	n := 0
	for _, w := range x.attempts {
		for k, t := range w {
			if k[0] == kind && t.State == placement.TaskRunning {
				n++
			}
		}
	}
	return n
}

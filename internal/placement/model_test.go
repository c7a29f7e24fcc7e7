package placement_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/placement"
	"currantknot.dev/currantknot/internal/record"
)

// step is the time by which each cycle of the model advances the clock.
const step = 100 * time.Millisecond

// drainBound is the time from the drain of a failure domain after which no task may start there.
const drainBound = 3 * time.Second

const fleetSection = `
Section: fleet
Owner: ops
FailureDomains:
  - {Name: north, OutOfService: %v}
  - {Name: south, OutOfService: %v}
Instances:
  - {Name: north-1, FailureDomain: north, Rack: r1, Processors: 4, MemoryMiB: 100}
  - {Name: north-2, FailureDomain: north, Rack: r1, Processors: 4, MemoryMiB: 100}
  - {Name: south-1, FailureDomain: south, Rack: r1, Processors: 4, MemoryMiB: 100}
Quotas:
  - {Team: ops, Processors: 6, MemoryMiB: 100}
Jobs:
  - {Name: patient, Team: ops, Priority: Patient, Tasks: 6, RunTime: 1s, Processors: 2, MemoryMiB: 10}
%s`

const urgentJob = "  - {Name: urgent, Team: ops, Priority: Urgent, Tasks: 2, RunTime: 1s, Processors: 3, MemoryMiB: 10}\n"

// modelAttempt is the actual state of an attempt on a worker.
type modelAttempt struct {
	order  placement.StartOrder
	report placement.TaskReport
	// lease is the expiry of the attempt's lease.
	lease time.Time
	// remaining and done count the steps of the attempt's work.
	remaining int
	done      int
	// ran means that the attempt was started.
	ran bool
	// reportedStop means that the last report included the attempt as no longer running.
	reportedStop bool
}

// modelWorker implements the contract of a worker in docs/PLATFORM.md.
type modelWorker struct {
	epoch       uint64
	attempts    map[string]*modelAttempt
	unreachable bool
}

// entryInstance is one instance that may own the shard.
type entryInstance struct {
	name  string
	owner *placement.Owner
	// nextRead is the offset of the next log entry to read.
	nextRead int
	// readAt is the time at which the instance last read the log, and viewAt the time at which the instance last
	// read the document.
	readAt time.Time
	viewAt time.Time
	paused bool
	// documentDown means that the instance cannot read the document's stream.
	documentDown bool
}

// message is an order on its way to a worker, or a response on its way to an instance.
type message struct {
	deliver func()
}

// model simulates the environment of the owners: a log, a network, workers and three instances.
type model struct {
	t          *rapid.T
	now        time.Time
	log        []*record.Envelope
	logDown    bool
	instances  []*entryInstance
	workers    map[string]*modelWorker
	store      *docstore.Store
	network    []message
	duplicates []message
	// drainedAt holds the time at which each drained failure domain was taken out of service.
	drainedAt  map[string]time.Time
	finished   map[string]int
	checkpoint map[string]string
	// shard is the state after all records of the log, and releases holds the reason of each accepted release.
	shard    *placement.Shard
	releases map[placement.TaskAttempt]record.ReleaseReason
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.Unix(1_800_000_000, 0), workers: make(map[string]*modelWorker), store: docstore.NewStore(),
		drainedAt: make(map[string]time.Time), finished: make(map[string]int), checkpoint: make(map[string]string),
		shard: placement.NewShard(), releases: make(map[placement.TaskAttempt]record.ReleaseReason),
	}
	for _, n := range []string{"north-1", "north-2", "south-1"} {
		m.workers[n] = &modelWorker{attempts: make(map[string]*modelAttempt)}
	}
	m.edit(false, false, true)
	l := placement.DefaultLimits()
	l.Lease = 5 * time.Second
	for _, n := range []string{"a", "b", "c"} {
		p, err := placement.NewPolicy(placement.PolicyColocated, nil)
		require.NoError(t, err)
		e := &entryInstance{name: n, owner: placement.NewOwner(0, n, l, p)}
		e.owner.SetView(m.store.View(), m.now)
		e.owner.SetWorkers(m.workerList())
		e.viewAt = m.now
		m.instances = append(m.instances, e)
	}
	return m
}

func (m *model) workerList() []placement.Worker {
	var a []placement.Worker
	for n := range m.workers {
		a = append(a, placement.Worker{Name: n})
	}
	return a
}

func (m *model) edit(north, south, urgent bool) {
	j := ""
	if urgent {
		j = urgentJob
	}
	v := m.store.View()
	e := record.SectionEdit{Section: "fleet", Base: v.Revisions["fleet"], Text: fmt.Appendf(nil, fleetSection, north, south, j)}
	err := m.store.Apply(v.Next, &record.Envelope{}, &record.Record{Edit: &record.Edit{Sections: []record.SectionEdit{e}}})
	require.NoError(m.t, err)
	for d, out := range map[string]bool{"north": north, "south": south} {
		if !out {
			delete(m.drainedAt, d)
		} else if _, ok := m.drainedAt[d]; !ok {
			m.drainedAt[d] = m.now
		}
	}
}

// acceptRelease records an accepted release and checks that the released attempt does not run on any worker.
func (m *model) acceptRelease(r *record.Release) {
	k := placement.TaskAttempt{Task: r.Task, Attempt: r.Attempt}
	m.releases[k] = r.Reason
	for n, w := range m.workers {
		if a := w.attempts[r.Task]; a != nil && a.order.Attempt == r.Attempt && a.report.State == placement.TaskRunning {
			m.t.Fatalf("%v released as %s while it runs on %s", k, r.Reason, n)
		}
	}
	if r.Reason == record.ReleaseLeaseExpired {
		// A worker that was unresponsive beyond the lease stopped the attempt without a report, so the task resumes from
		// the checkpoint in the log.
		delete(m.finished, r.Task)
		m.checkpoint[r.Task] = m.shard.Attempts[r.Task].Checkpoint
	}
}

// runCycle lets an instance read the log and the document, plan, and send its orders.
func (m *model) runCycle(e *entryInstance) {
	if e.paused {
		return
	}
	if !m.logDown {
		for ; e.nextRead < len(m.log); e.nextRead++ {
			x := m.log[e.nextRead]
			for i := range x.Records {
				_ = e.owner.Apply(uint64(e.nextRead), x, &x.Records[i])
			}
		}
		e.readAt = m.now
	}
	if !m.logDown && !e.documentDown {
		e.viewAt = m.now
		e.owner.SetView(m.store.View(), m.now)
	}
	c := placement.Clock{Now: m.now, ShardAt: e.readAt, LeaseAt: e.readAt, DocumentAt: e.viewAt}
	if rs := e.owner.Plan(c); len(rs) > 0 {
		m.append(e, rs)
	}
	o := e.owner.Orders(c)
	for _, s := range o.Starts {
		m.sendOrder(e, s.Worker, func(w *modelWorker) placement.TaskReport { return m.start(w, s) })
	}
	for _, s := range o.Stops {
		m.sendOrder(e, s.Worker, func(w *modelWorker) placement.TaskReport { return m.stop(w, s) })
	}
	for _, s := range o.Syncs {
		m.sendSync(e, s)
	}
}

func (m *model) append(e *entryInstance, rs []record.Record) {
	if m.logDown {
		e.owner.OnUnknownOutcome(rs)
		return
	}
	m.acceptEnvelope(&record.Envelope{Writer: e.name, At: m.now, Records: rs})
	if rapid.IntRange(0, 9).Draw(m.t, "lost append response") == 0 {
		// The writer does not know the outcome: the records are appended twice, and may be proposed again.
		m.acceptEnvelope(m.log[len(m.log)-1])
		e.owner.OnUnknownOutcome(rs)
	}
}

// acceptEnvelope appends an envelope to the log, applies its records and checks the result.
func (m *model) acceptEnvelope(e *record.Envelope) {
	n := uint64(len(m.log))
	m.log = append(m.log, e)
	for i := range e.Records {
		err := m.shard.Apply(n, e, &e.Records[i])
		if r := e.Records[i].Release; r != nil && err == nil {
			m.acceptRelease(r)
		}
	}
	m.checkCommitments()
}

// checkCommitments checks the committed size of each worker against its committed attempts and its capacity.
func (m *model) checkCommitments() {
	sum := make(map[string]int)
	for _, a := range m.shard.Attempts {
		if a.IsBound() {
			sum[a.Worker] += a.Size.Processors
		}
	}
	for w := range m.workers {
		if c := m.shard.Committed[w].Processors; c > 4 || c != sum[w] {
			m.t.Fatalf("worker %s has %d processors committed of 4, its attempts hold %d", w, c, sum[w])
		}
	}
}

// sendOrder sends an order; the order may be delayed, lost or duplicated, and its response delayed or lost.
func (m *model) sendOrder(e *entryInstance, name string, do func(*modelWorker) placement.TaskReport) {
	w := m.workers[name]
	deliver := func() {
		if w.unreachable {
			return
		}
		r := do(w)
		if rapid.IntRange(0, 4).Draw(m.t, "lost response") > 0 {
			m.respond(e, func() { m.append(e, e.owner.OnTask(name, r, m.now)) })
		}
	}
	m.network = append(m.network, message{deliver})
	if rapid.IntRange(0, 9).Draw(m.t, "duplicated order") == 0 {
		m.duplicates = append(m.duplicates, message{deliver})
	}
}

// deliverDuplicate may deliver the duplicate of an order, which can be long after the first delivery.
func (m *model) deliverDuplicate() {
	if len(m.duplicates) == 0 || rapid.IntRange(0, 7).Draw(m.t, "deliver duplicate") > 0 {
		return
	}
	i := rapid.IntRange(0, len(m.duplicates)-1).Draw(m.t, "duplicate")
	x := m.duplicates[i]
	m.duplicates = slices.Delete(m.duplicates, i, i+1)
	x.deliver()
}

func (m *model) respond(e *entryInstance, do func()) {
	m.network = append(m.network, message{func() {
		if !e.paused {
			do()
		}
	}})
}

func (m *model) sendSync(e *entryInstance, s placement.SyncOrder) {
	w := m.workers[s.Worker]
	sent := m.now
	m.network = append(m.network, message{func() {
		if w.unreachable || rapid.IntRange(0, 4).Draw(m.t, "lost sync") == 0 {
			e.owner.OnSyncFailure(s)
			return
		}
		r := m.report(w, s)
		m.respond(e, func() { m.append(e, e.owner.OnReport(s, r, sent, m.now)) })
	}})
}

// deliver delivers one of the six oldest messages, chosen at random.
func (m *model) deliver() {
	if len(m.network) == 0 {
		return
	}
	i := rapid.IntRange(0, min(len(m.network)-1, 5)).Draw(m.t, "message")
	x := m.network[i]
	m.network = slices.Delete(m.network, i, i+1)
	x.deliver()
}

// acceptFence reports whether the worker accepts an order with the fence, and if so, records the epoch.
func (m *model) acceptFence(w *modelWorker, f placement.Fence) bool {
	if f.Epoch < w.epoch {
		return false
	}
	w.epoch = f.Epoch
	return true
}

func (m *model) start(w *modelWorker, o placement.StartOrder) placement.TaskReport {
	t := placement.TaskAttempt{Task: o.Task, Attempt: o.Attempt}
	if a := w.attempts[o.Task]; a != nil && a.order.Attempt >= o.Attempt {
		if a.order.Attempt == o.Attempt {
			return a.report
		}
		return placement.TaskReport{TaskAttempt: t, State: placement.TaskRefused}
	}
	a := &modelAttempt{order: o, lease: o.LeaseUntil, remaining: rapid.SampledFrom([]int{1, 2, 3, 10, 40}).Draw(m.t, "work")}
	a.report = placement.TaskReport{TaskAttempt: t, State: placement.TaskRefused}
	w.attempts[o.Task] = a
	if !m.acceptFence(w, o.Fence) || !m.now.Before(o.StartBefore) {
		return a.report
	}
	a.report.State = placement.TaskRunning
	a.ran = true
	m.checkStart(o)
	return a.report
}

// checkStart checks that the start of an attempt that a worker accepted was allowed.
func (m *model) checkStart(o placement.StartOrder) {
	d := o.Worker[:len("north")]
	if t, ok := m.drainedAt[d]; ok && m.now.Sub(t) > drainBound {
		m.t.Fatalf("task %s started on %s, drained %s ago", o.Task, o.Worker, m.now.Sub(t))
	}
	if r := m.releases[placement.TaskAttempt{Task: o.Task, Attempt: o.Attempt}]; r != "" {
		m.t.Fatalf("task %s attempt %d started after its release as %s", o.Task, o.Attempt, r)
	}
	if m.finished[o.Task] > 0 {
		m.t.Fatalf("task %s started again after it had finished", o.Task)
	}
	if c := m.checkpoint[o.Task]; c != o.Checkpoint {
		m.t.Fatalf("task %s resumes from %q, its checkpoint is %q", o.Task, o.Checkpoint, c)
	}
}

func (m *model) stop(w *modelWorker, o placement.StopOrder) placement.TaskReport {
	t := placement.TaskAttempt{Task: o.Task, Attempt: o.Attempt}
	a := w.attempts[o.Task]
	if a != nil && a.order.Attempt > o.Attempt {
		return placement.TaskReport{TaskAttempt: t, State: placement.TaskStopped}
	}
	if !m.acceptFence(w, o.Fence) {
		return placement.TaskReport{TaskAttempt: t, State: placement.TaskRunning}
	}
	if a == nil || a.order.Attempt < o.Attempt {
		r := placement.TaskReport{TaskAttempt: t, State: placement.TaskRefused}
		w.attempts[o.Task] = &modelAttempt{order: placement.StartOrder{Task: o.Task, Attempt: o.Attempt}, report: r}
		return r
	}
	if a.report.State == placement.TaskRunning {
		m.finishAttempt(a, placement.TaskStopped)
	}
	return a.report
}

func (m *model) finishAttempt(a *modelAttempt, s placement.TaskState) {
	a.report.State = s
	if s == placement.TaskFinished {
		m.finished[a.order.Task]++
		return
	}
	a.report.Checkpoint = fmt.Sprintf("%d/%d", a.order.Attempt, a.done)
	m.checkpoint[a.order.Task] = a.report.Checkpoint
}

func (m *model) report(w *modelWorker, o placement.SyncOrder) placement.WorkerReport {
	f := m.acceptFence(w, o.Fence)
	r := placement.WorkerReport{Worker: o.Worker, Epoch: w.epoch}
	if !f {
		return r
	}
	for _, t := range o.Forget {
		if a := w.attempts[t.Task]; a != nil && a.order.Attempt == t.Attempt && a.report.State != placement.TaskRunning {
			delete(w.attempts, t.Task)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(w.attempts)) {
		a := w.attempts[n]
		if a.report.State == placement.TaskRunning && o.LeaseUntil.After(a.lease) {
			a.lease = o.LeaseUntil
		}
		r.Tasks = append(r.Tasks, a.report)
	}
	var d placement.Digest
	for _, a := range w.attempts {
		if a.report.State == placement.TaskRunning || a.ran && !a.reportedStop {
			d = d.Add(a.report.TaskAttempt)
		}
		a.reportedStop = a.report.State != placement.TaskRunning
	}
	if d == o.Running {
		r.SameRunning = true
		r.Tasks = slices.DeleteFunc(r.Tasks, func(t placement.TaskReport) bool { return t.State == placement.TaskRunning })
	}
	return r
}

// advanceTime advances the clock by one step and runs the attempts on the workers.
func (m *model) advanceTime() {
	m.now = m.now.Add(step)
	for _, n := range slices.Sorted(maps.Keys(m.workers)) {
		for _, k := range slices.Sorted(maps.Keys(m.workers[n].attempts)) {
			a := m.workers[n].attempts[k]
			if a.report.State != placement.TaskRunning {
				continue
			}
			a.remaining--
			a.done++
			switch {
			case m.now.After(a.lease):
				m.finishAttempt(a, placement.TaskStopped)
			case a.remaining <= 0:
				m.finishAttempt(a, placement.TaskFinished)
			}
		}
	}
}

// checkInvariants checks that no task runs on two workers or finishes twice, and that no worker runs more than its
// capacity.
func (m *model) checkInvariants() {
	running := make(map[string]string)
	for n, w := range m.workers {
		p := 0
		for k, a := range w.attempts {
			if a.report.State != placement.TaskRunning {
				continue
			}
			p += a.order.Size.Processors
			if o, ok := running[k]; ok {
				m.t.Fatalf("task %s runs on %s and %s", k, o, n)
			}
			running[k] = n
		}
		if p > 4 {
			m.t.Fatalf("worker %s runs %d processors of 4", n, p)
		}
	}
	for k, n := range m.finished {
		if n > 1 {
			m.t.Fatalf("task %s finished %d times", k, n)
		}
	}
}

func (m *model) claim(e *entryInstance) {
	if e.paused || m.logDown || e.readAt != m.now {
		return
	}
	_, x, _, _ := e.owner.Ownership()
	m.append(e, []record.Record{{Claim: &record.Claim{Owner: e.name, Previous: x}}})
}

// TestPlacementModel checks the invariants while instances, the log, the network and workers fail at random.
func TestPlacementModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		anyInstance := func() *entryInstance { return m.instances[rapid.IntRange(0, 2).Draw(t, "instance")] }
		anyWorker := func() *modelWorker {
			return m.workers[rapid.SampledFrom([]string{"north-1", "north-2", "south-1"}).Draw(t, "worker")]
		}
		runAll := func(*rapid.T) {
			m.advanceTime()
			for _, e := range m.instances {
				m.runCycle(e)
			}
			for range rapid.IntRange(0, 12).Draw(t, "deliveries") {
				m.deliver()
			}
			m.deliverDuplicate()
		}
		t.Repeat(map[string]func(*rapid.T){
			// The same action has three names, so that rapid chooses it more often than each fault.
			"process":  runAll,
			"process2": runAll,
			"process3": runAll,
			"wait": func(*rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "cycles") {
					runAll(t)
				}
			},
			"claim":          func(*rapid.T) { e := anyInstance(); m.runCycle(e); m.claim(e) },
			"pause":          func(*rapid.T) { anyInstance().paused = true },
			"block document": func(*rapid.T) { e := anyInstance(); e.documentDown = !e.documentDown },
			"resume":         func(*rapid.T) { anyInstance().paused = false },
			"log outage":     func(*rapid.T) { m.logDown = !m.logDown },
			"disconnect":     func(*rapid.T) { x := anyWorker(); x.unreachable = !x.unreachable },
			"edit": func(*rapid.T) {
				m.edit(rapid.Bool().Draw(t, "north"), rapid.Bool().Draw(t, "south"), rapid.Bool().Draw(t, "urgent"))
			},
			"": func(*rapid.T) { m.checkInvariants() },
		})
	})
}

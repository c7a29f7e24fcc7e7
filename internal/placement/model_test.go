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

// step is the time that passes with each event of the model.
const step = 100 * time.Millisecond

// drainBound is the promised time after which no task starts in a drained failure domain.
const drainBound = 3 * time.Second

const fleet = `
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

// modelAttempt is the truth about an attempt on a worker.
type modelAttempt struct {
	order  placement.StartOrder
	report placement.TaskReport
	lease  time.Time
	left   int
	done   int
	ran    bool
	told   bool
}

// modelWorker keeps the contract of docs/PLATFORM.md.
type modelWorker struct {
	epoch    uint64
	attempts map[string]*modelAttempt
	down     bool
}

// entry is one instance that may own the shard.
type entry struct {
	name   string
	owner  *placement.Owner
	read   int
	readAt time.Time
	viewAt time.Time
	paused bool
	// docDown tells that the entry can't read the document's stream.
	docDown bool
}

// message is a call on its way to a worker, or an answer on its way back.
type message struct {
	deliver func()
}

// model is the system around the core: a log, a network, workers and three entries.
type model struct {
	t       *rapid.T
	now     time.Time
	log     []*record.Envelope
	logDown bool
	entries []*entry
	workers map[string]*modelWorker
	store   *docstore.Store
	net     []message
	late    []message
	// drainedAt holds when each failure domain was last taken out.
	drainedAt  map[string]time.Time
	finished   map[string]int
	checkpoint map[string]string
	// truth is the state that the log has built, and ended the accepted reason of each attempt's release.
	truth *placement.Shard
	ended map[placement.TaskAttempt]record.ReleaseReason
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.Unix(1_800_000_000, 0), workers: make(map[string]*modelWorker), store: docstore.NewStore(),
		drainedAt: make(map[string]time.Time), finished: make(map[string]int), checkpoint: make(map[string]string),
		truth: placement.NewShard(), ended: make(map[placement.TaskAttempt]record.ReleaseReason),
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
		e := &entry{name: n, owner: placement.NewOwner(0, n, l, p)}
		e.owner.SetView(m.store.View(), m.now)
		e.owner.SetWorkers(m.workerList())
		e.viewAt = m.now
		m.entries = append(m.entries, e)
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
	e := record.SectionEdit{Section: "fleet", Base: v.Revisions["fleet"], Text: fmt.Appendf(nil, fleet, north, south, j)}
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

// checkRelease looks at whether a released attempt has really ended.
func (m *model) checkRelease(r *record.Release) {
	k := placement.TaskAttempt{Task: r.Task, Attempt: r.Attempt}
	m.ended[k] = r.Reason
	for n, w := range m.workers {
		if a := w.attempts[r.Task]; a != nil && a.order.Attempt == r.Attempt && a.report.State == placement.TaskRunning {
			m.t.Fatalf("%v released as %s while it runs on %s", k, r.Reason, n)
		}
	}
	if r.Reason == record.ReleaseLeaseEnded {
		// A worker that was silent beyond its lease ended the attempt unseen; the task goes on from what the log knows.
		delete(m.finished, r.Task)
		m.checkpoint[r.Task] = m.truth.Attempts[r.Task].Checkpoint
	}
}

// pump lets an entry read, plan, and send.
func (m *model) pump(e *entry) {
	if e.paused {
		return
	}
	if !m.logDown {
		for ; e.read < len(m.log); e.read++ {
			x := m.log[e.read]
			for i := range x.Records {
				_ = e.owner.Apply(uint64(e.read), x, &x.Records[i])
			}
		}
		e.readAt = m.now
	}
	if !m.logDown && !e.docDown {
		e.viewAt = m.now
		e.owner.SetView(m.store.View(), m.now)
	}
	c := placement.Clock{Now: m.now, ShardAt: e.readAt, LeaseAt: e.readAt, DocumentAt: e.viewAt}
	if rs := e.owner.Plan(c); len(rs) > 0 {
		m.append(e, rs)
	}
	o := e.owner.Orders(c)
	for _, s := range o.Starts {
		m.call(e, s.Worker, func(w *modelWorker) placement.TaskReport { return m.start(w, s) })
	}
	for _, s := range o.Stops {
		m.call(e, s.Worker, func(w *modelWorker) placement.TaskReport { return m.stop(w, s) })
	}
	for _, s := range o.Syncs {
		m.sync(e, s)
	}
}

func (m *model) append(e *entry, rs []record.Record) {
	if m.logDown {
		e.owner.OnUnknown(rs)
		return
	}
	m.accept(&record.Envelope{Writer: e.name, At: m.now, Records: rs})
	if rapid.IntRange(0, 9).Draw(m.t, "lost append reply") == 0 {
		// The writer appends again, or gives up and proposes anew.
		m.accept(m.log[len(m.log)-1])
		e.owner.OnUnknown(rs)
	}
}

// accept appends an envelope and follows what it changes.
func (m *model) accept(e *record.Envelope) {
	n := uint64(len(m.log))
	m.log = append(m.log, e)
	for i := range e.Records {
		err := m.truth.Apply(n, e, &e.Records[i])
		if r := e.Records[i].Release; r != nil && err == nil {
			m.checkRelease(r)
		}
	}
	m.checkCommitments()
}

// checkCommitments compares what is committed with the bound attempts and the capacity.
func (m *model) checkCommitments() {
	sum := make(map[string]int)
	for _, a := range m.truth.Attempts {
		if a.IsBound() {
			sum[a.Worker] += a.Size.Processors
		}
	}
	for w := range m.workers {
		if c := m.truth.Committed[w].Processors; c > 4 || c != sum[w] {
			m.t.Fatalf("worker %s has %d processors committed of 4, its attempts hold %d", w, c, sum[w])
		}
	}
}

// call sends an order whose request or answer may be late, lost or doubled.
func (m *model) call(e *entry, name string, do func(*modelWorker) placement.TaskReport) {
	w := m.workers[name]
	once := func() {
		if w.down {
			return
		}
		r := do(w)
		if rapid.IntRange(0, 4).Draw(m.t, "lost answer") > 0 {
			m.answer(e, func() { m.append(e, e.owner.OnTask(name, r, m.now)) })
		}
	}
	m.net = append(m.net, message{once})
	if rapid.IntRange(0, 9).Draw(m.t, "doubled order") == 0 {
		m.late = append(m.late, message{once})
	}
}

// deliverLate delivers a doubled order long after the first.
func (m *model) deliverLate() {
	if len(m.late) == 0 || rapid.IntRange(0, 7).Draw(m.t, "late") > 0 {
		return
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(m.t, "late message")
	x := m.late[i]
	m.late = slices.Delete(m.late, i, i+1)
	x.deliver()
}

func (m *model) answer(e *entry, do func()) {
	m.net = append(m.net, message{func() {
		if !e.paused {
			do()
		}
	}})
}

func (m *model) sync(e *entry, s placement.SyncOrder) {
	w := m.workers[s.Worker]
	sent := m.now
	m.net = append(m.net, message{func() {
		if w.down || rapid.IntRange(0, 4).Draw(m.t, "lost sync") == 0 {
			e.owner.OnSilence(s)
			return
		}
		r := m.report(w, s)
		m.answer(e, func() { m.append(e, e.owner.OnReport(s, r, sent, m.now)) })
	}})
}

// deliver delivers one message, not always the oldest.
func (m *model) deliver() {
	if len(m.net) == 0 {
		return
	}
	i := rapid.IntRange(0, min(len(m.net)-1, 5)).Draw(m.t, "message")
	x := m.net[i]
	m.net = slices.Delete(m.net, i, i+1)
	x.deliver()
}

func (m *model) fence(w *modelWorker, f placement.Fence) bool {
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
	a := &modelAttempt{order: o, lease: o.LeaseUntil, left: rapid.SampledFrom([]int{1, 2, 3, 10, 40}).Draw(m.t, "work")}
	a.report = placement.TaskReport{TaskAttempt: t, State: placement.TaskRefused}
	w.attempts[o.Task] = a
	if !m.fence(w, o.Fence) || !m.now.Before(o.StartBefore) {
		return a.report
	}
	a.report.State = placement.TaskRunning
	a.ran = true
	m.checkStart(o)
	return a.report
}

func (m *model) checkStart(o placement.StartOrder) {
	d := o.Worker[:len("north")]
	if t, ok := m.drainedAt[d]; ok && m.now.Sub(t) > drainBound {
		m.t.Fatalf("task %s started on %s, drained %s ago", o.Task, o.Worker, m.now.Sub(t))
	}
	if r := m.ended[placement.TaskAttempt{Task: o.Task, Attempt: o.Attempt}]; r != "" {
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
	if !m.fence(w, o.Fence) {
		return placement.TaskReport{TaskAttempt: t, State: placement.TaskRunning}
	}
	if a == nil || a.order.Attempt < o.Attempt {
		r := placement.TaskReport{TaskAttempt: t, State: placement.TaskRefused}
		w.attempts[o.Task] = &modelAttempt{order: placement.StartOrder{Task: o.Task, Attempt: o.Attempt}, report: r}
		return r
	}
	if a.report.State == placement.TaskRunning {
		m.end(a, placement.TaskStopped)
	}
	return a.report
}

func (m *model) end(a *modelAttempt, s placement.TaskState) {
	a.report.State = s
	if s == placement.TaskFinished {
		m.finished[a.order.Task]++
		return
	}
	a.report.Checkpoint = fmt.Sprintf("%d/%d", a.order.Attempt, a.done)
	m.checkpoint[a.order.Task] = a.report.Checkpoint
}

func (m *model) report(w *modelWorker, o placement.SyncOrder) placement.WorkerReport {
	f := m.fence(w, o.Fence)
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
		if a.report.State == placement.TaskRunning || a.ran && !a.told {
			d = d.Add(a.report.TaskAttempt)
		}
		a.told = a.report.State != placement.TaskRunning
	}
	if d == o.Running {
		r.SameRunning = true
		r.Tasks = slices.DeleteFunc(r.Tasks, func(t placement.TaskReport) bool { return t.State == placement.TaskRunning })
	}
	return r
}

// tick lets time pass at the workers.
func (m *model) tick() {
	m.now = m.now.Add(step)
	for _, n := range slices.Sorted(maps.Keys(m.workers)) {
		for _, k := range slices.Sorted(maps.Keys(m.workers[n].attempts)) {
			a := m.workers[n].attempts[k]
			if a.report.State != placement.TaskRunning {
				continue
			}
			a.left--
			a.done++
			switch {
			case m.now.After(a.lease):
				m.end(a, placement.TaskStopped)
			case a.left <= 0:
				m.end(a, placement.TaskFinished)
			}
		}
	}
}

// check looks at what must hold at all times.
func (m *model) check() {
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

func (m *model) claim(e *entry) {
	if e.paused || m.logDown || e.readAt != m.now {
		return
	}
	_, x, _, _ := e.owner.Ownership()
	m.append(e, []record.Record{{Claim: &record.Claim{Owner: e.name, Previous: x}}})
}

// TestPlacementModel lets owners, the log, the network and workers fail in any order.
func TestPlacementModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		any := func() *entry { return m.entries[rapid.IntRange(0, 2).Draw(t, "entry")] }
		w := func() *modelWorker {
			return m.workers[rapid.SampledFrom([]string{"north-1", "north-2", "south-1"}).Draw(t, "worker")]
		}
		pump := func(*rapid.T) {
			m.tick()
			for _, e := range m.entries {
				m.pump(e)
			}
			for range rapid.IntRange(0, 12).Draw(t, "deliveries") {
				m.deliver()
			}
			m.deliverLate()
		}
		t.Repeat(map[string]func(*rapid.T){
			"pump":  pump,
			"pump2": pump,
			"pump3": pump,
			"wait": func(*rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "ticks") {
					pump(t)
				}
			},
			"claim":  func(*rapid.T) { e := any(); m.pump(e); m.claim(e) },
			"pause":  func(*rapid.T) { any().paused = true },
			"blind":  func(*rapid.T) { e := any(); e.docDown = !e.docDown },
			"resume": func(*rapid.T) { any().paused = false },
			"outage": func(*rapid.T) { m.logDown = !m.logDown },
			"cut":    func(*rapid.T) { x := w(); x.down = !x.down },
			"edit": func(*rapid.T) {
				m.edit(rapid.Bool().Draw(t, "north"), rapid.Bool().Draw(t, "south"), rapid.Bool().Draw(t, "urgent"))
			},
			"": func(*rapid.T) { m.check() },
		})
	})
}

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	modelWorkers = 4
	modelJobs    = 4
	modelRoom    = 8000
)

// modelWorker is a worker with fence, lease, lives and ends.
type modelWorker struct {
	id      string
	life    int64
	fence   int64
	due     time.Time
	runs    map[jobs.Ref]int
	highest map[jobs.Ref]int
	ended   []FinishedAttempt
	number  int64
	dark    bool
}

// call is a call that may be carried out late.
type call struct {
	Order
	fence int64
	due   time.Time
	life  int64
}

// model drives owners, log and workers in any order and checks what workers see.
type model struct {
	t       *rapid.T
	now     time.Time
	p       *Planner
	fence   int64
	log     map[string][]byte
	specs   map[string]jobs.Spec
	cancels map[string]bool
	workers []*modelWorker
	late    []call
	// done holds what ended with success, and acked what was acknowledged besides.
	done   map[jobs.Ref]bool
	acked  map[jobs.Ref]bool
	failed map[jobs.Ref]int
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.Unix(1_700_000_000, 0), log: make(map[string][]byte), specs: make(map[string]jobs.Spec),
		cancels: make(map[string]bool), done: make(map[jobs.Ref]bool), acked: make(map[jobs.Ref]bool), failed: make(map[jobs.Ref]int),
	}
	for i := range modelWorkers {
		w := &modelWorker{id: fmt.Sprintf("i-%02d", i), life: 1}
		w.reset()
		m.workers = append(m.workers, w)
	}
	m.takeOver()
	return m
}

func (w *modelWorker) reset() {
	w.runs, w.highest = make(map[jobs.Ref]int), make(map[jobs.Ref]int)
	w.ended, w.number, w.fence, w.due = nil, 0, 0, time.Time{}
}

// takeOver replaces the owner by one that knows the log only.
func (m *model) takeOver() {
	m.fence++
	m.p = New(Config{Lease: testLease, StoreLossGrace: 0, Logger: zerolog.Nop()}, m.now)
	m.list()
	for id, s := range m.specs {
		m.p.AddJob(m.restore(id, s), m.now)
	}
	for id := range m.cancels {
		m.p.Cancel(id, m.now)
	}
}

func (m *model) restore(id string, s jobs.Spec) *jobs.Job {
	b, ok := m.log[id]
	if !ok {
		return jobs.New(s)
	}
	j, err := jobs.Restore(s, b)
	require.NoError(m.t, err)
	return j
}

func (m *model) list() {
	var l []WorkerInfo
	for _, w := range m.workers {
		l = append(l, WorkerInfo{
			ID: w.id, Address: w.id, Pool: "pool", FailureDomain: "domain",
			Capacity: jobs.Resources{MilliCPU: modelRoom, MemoryMB: 64000}, Incarnation: w.life,
		})
	}
	m.p.SetWorkers(l, m.now)
}

func (m *model) submit() {
	id := testID(rapid.IntRange(1, modelJobs).Draw(m.t, "job"))
	if _, ok := m.specs[id]; ok {
		return
	}
	second := plainStep(rapid.IntRange(1, 2).Draw(m.t, "second"))
	second.After = []int{0}
	first := plainStep(rapid.IntRange(1, 3).Draw(m.t, "first"))
	first.LongRunning = rapid.Bool().Draw(m.t, "long") && rapid.Bool().Draw(m.t, "long again")
	s := jobs.Spec{ID: id, Queue: testQueue(), Payload: "p", Steps: []jobs.Step{first, second}, SubmittedAt: m.now}
	m.specs[id] = s
	m.p.AddJob(jobs.New(s), m.now)
}

func (m *model) cancel() {
	id := testID(rapid.IntRange(1, modelJobs).Draw(m.t, "job"))
	if _, ok := m.specs[id]; ok {
		m.cancels[id] = true
		m.p.Cancel(id, m.now)
	}
}

// step plans and commits; the owner may be lost before its orders leave.
func (m *model) step() {
	m.p.Plan(m.now)
	changed, orders := m.p.TakeChanges()
	for _, j := range changed {
		b, err := j.EncodeProgress()
		require.NoError(m.t, err)
		m.log[j.ID] = b
	}
	if rapid.IntRange(0, 9).Draw(m.t, "owner lost") == 0 {
		m.takeOver()
		return
	}
	for _, o := range m.p.OrdersCommitted(orders, m.now) {
		m.carry(o)
	}
}

// carry sends an order, whose answer or whole effect may be lost or late.
func (m *model) carry(o Order) {
	w := m.worker(o.Worker)
	m.p.LeaseGranted(o.Worker, m.now)
	c := call{Order: o, fence: m.fence, due: m.now.Add(testLease), life: w.life}
	how := rapid.IntRange(0, 9).Draw(m.t, "call")
	switch {
	case w.dark || how == 0:
		m.answered(o, ResultUnknown)
	case how == 1:
		m.late = append(m.late, c)
		m.answered(o, ResultUnknown)
	case how == 2:
		m.apply(w, c)
		m.answered(o, ResultUnknown)
	default:
		m.answered(o, m.apply(w, c))
	}
}

func (m *model) answered(o Order, a OrderResult) {
	switch o.Kind {
	case OrderStart:
		m.p.HandleStartResult(o, a, m.now)
	case OrderStop:
		m.p.HandleStopResult(o, a, m.now)
	case OrderThrottle, OrderAdvise, OrderMaintain, OrderReport:
	}
}

func (m *model) worker(id string) *modelWorker {
	for _, w := range m.workers {
		if w.id == id {
			return w
		}
	}
	m.t.Fatalf("no worker %s", id)
	return nil
}

// apply carries an order out at a worker and checks the rules.
func (m *model) apply(w *modelWorker, c call) OrderResult {
	if c.fence < w.fence {
		return ResultRefused
	}
	w.fence = c.fence
	if c.Kind == OrderStop {
		m.stopAt(w, c)
		return ResultAccepted
	}
	if w.runs[c.Ref] == c.Run {
		return ResultAccepted
	}
	if c.Run <= w.highest[c.Ref] || w.runs[c.Ref] != 0 || !m.now.Before(c.due) {
		return ResultRefused
	}
	m.checkStart(w, c)
	w.runs[c.Ref] = c.Run
	w.due = later(w.due, c.due)
	return ResultAccepted
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *model) stopAt(w *modelWorker, c call) {
	w.highest[c.Ref] = max(w.highest[c.Ref], c.Run)
	if n := w.runs[c.Ref]; n != 0 && n <= c.Run {
		m.endAt(w, c.Ref, jobs.OutcomeStopped)
	}
}

// checkStart checks that the start breaks no rule.
func (m *model) checkStart(w *modelWorker, c call) {
	for _, o := range m.workers {
		require.Zero(m.t, o.runs[c.Ref], "%s run %d starts at %s while it runs at %s", c.Ref, c.Run, w.id, o.id)
	}
	require.False(m.t, m.acked[c.Ref], "%s starts after it was done", c.Ref)
	s := m.specs[c.Job]
	if !s.Steps[c.Step].LongRunning {
		require.Less(m.t, m.failed[c.Ref], s.Queue.MaxAttempts, "%s starts beyond its budget", c.Ref)
	}
	for _, a := range s.Steps[c.Step].After {
		for i := range s.Steps[a].Tasks {
			require.True(m.t, m.done[jobs.Ref{Job: c.Job, Step: a, Index: i}], "%s starts out of order", c.Ref)
		}
	}
	held := s.Steps[c.Step].Reserved().MilliCPU
	for r := range w.runs {
		held += m.specs[r.Job].Steps[r.Step].Reserved().MilliCPU
	}
	require.LessOrEqual(m.t, held, modelRoom, "%s is overcommitted", w.id)
}

func (m *model) endAt(w *modelWorker, r jobs.Ref, how jobs.AttemptOutcome) {
	w.number++
	m.done[r] = m.done[r] || how == jobs.OutcomeDone
	w.ended = append(w.ended, FinishedAttempt{Ref: r, Number: w.number, Run: w.runs[r], Outcome: how})
	w.highest[r] = max(w.highest[r], w.runs[r])
	delete(w.runs, r)
}

// report lets a worker answer, commits what follows, and acknowledges.
func (m *model) report() {
	w := m.workers[rapid.IntRange(0, modelWorkers-1).Draw(m.t, "worker")]
	if w.dark || m.fence < w.fence {
		m.p.SyncFailed(w.id)
		return
	}
	w.fence = m.fence
	if len(w.runs) > 0 && m.p.NeedsLease(w.id) {
		m.p.LeaseGranted(w.id, m.now)
		w.due = later(w.due, m.now.Add(testLease))
	}
	r := Report{Worker: w.id, Incarnation: w.life, RequestedAt: m.now, Finished: append([]FinishedAttempt(nil), w.ended...)}
	for ref, n := range w.runs {
		r.Running = append(r.Running, RunningAttempt{Ref: ref, Run: n, ProgressPercent: 50})
	}
	if rapid.IntRange(0, 9).Draw(m.t, "answer lost") == 0 {
		return
	}
	m.p.Report(r, m.now)
	m.step()
	life, n := m.p.Acknowledged(w.id)
	if life != w.life {
		return
	}
	for len(w.ended) > 0 && w.ended[0].Number <= n {
		m.acknowledge(w.ended[0])
		w.ended = w.ended[1:]
	}
}

func (m *model) acknowledge(e FinishedAttempt) {
	switch e.Outcome {
	case jobs.OutcomeDone:
		m.acked[e.Ref] = true
	case jobs.OutcomeFailed:
		m.failed[e.Ref]++
	case jobs.OutcomeStopped, jobs.OutcomeExpired, jobs.OutcomePeerLost, jobs.OutcomeIncomplete:
	}
}

func (m *model) finish() {
	w := m.workers[rapid.IntRange(0, modelWorkers-1).Draw(m.t, "worker")]
	for r := range w.runs {
		if m.specs[r.Job].Steps[r.Step].LongRunning {
			continue
		}
		how := jobs.OutcomeDone
		if rapid.IntRange(0, 4).Draw(m.t, "fails") == 0 {
			how = jobs.OutcomeFailed
		}
		m.endAt(w, r, how)
		return
	}
}

func (m *model) crash() {
	w := m.workers[rapid.IntRange(0, modelWorkers-1).Draw(m.t, "worker")]
	w.reset()
	w.life++
}

func (m *model) darken() {
	w := m.workers[rapid.IntRange(0, modelWorkers-1).Draw(m.t, "worker")]
	w.dark = !w.dark
}

func (m *model) carryLate() {
	if len(m.late) == 0 {
		return
	}
	c := m.late[0]
	m.late = m.late[1:]
	w := m.worker(c.Worker)
	// A worker with another life has another identity here, so that it refuses what was meant for the earlier one.
	if w.life == c.life {
		m.apply(w, c)
	}
}

func (m *model) pass() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(10, 2500).Draw(m.t, "ms")) * time.Millisecond)
	for _, w := range m.workers {
		if m.now.Before(w.due) {
			continue
		}
		for r := range w.runs {
			m.endAt(w, r, jobs.OutcomeExpired)
		}
	}
	m.list()
}

func TestDispatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) { m.submit() }, "cancel": func(*rapid.T) { m.cancel() }, "step": func(*rapid.T) { m.step() },
			"report": func(*rapid.T) { m.report() }, "report again": func(*rapid.T) { m.report() }, "finish": func(*rapid.T) { m.finish() },
			"crash": func(*rapid.T) { m.crash() }, "dark": func(*rapid.T) { m.darken() }, "late": func(*rapid.T) { m.carryLate() },
			"pass": func(*rapid.T) { m.pass() }, "take over": func(*rapid.T) { m.takeOver() },
		})
	})
}

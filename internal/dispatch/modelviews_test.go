package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantknot.dev/currantknot/internal/jobs"
)

// modelStartBounds bounds the ages of the views in the model.
var modelStartBounds = StartBounds{WorkerDrain: 2 * time.Second, DomainDrain: 5 * time.Second, Cancellation: 3 * time.Second, Configuration: 4 * time.Second}

// readStore lets the owner read what the store does not refuse to read.
func (m *model) readStore() {
	if !m.listAway {
		m.setWorkers()
	}
	if !m.operatorsAway {
		m.knownDrains, m.knownAccounts = m.drainedDomains(), m.accounts()
		m.views.Operators = m.now
	}
	m.p.SetDrainedDomains(m.knownDrains)
	m.p.SetAccounts(m.knownAccounts)
	if !m.cancelsAway {
		for _, id := range slices.Sorted(maps.Keys(m.cancels)) {
			m.p.Cancel(id, m.now)
		}
		m.views.Requests = m.now
	}
	m.p.SetViews(m.views, m.now)
}

func (m *model) drainedDomains() map[string]bool {
	l := make(map[string]bool)
	for d := range m.drains {
		l[d] = true
	}
	return l
}

var modelDomains = []string{"domain-0", "domain-1"}

// toggleDrainOfRandomWorker lets a worker publish that it drains, or that it no longer does.
func (m *model) toggleDrainOfRandomWorker() {
	w := m.randomWorker()
	if w.drainingSince.IsZero() {
		w.drainingSince = m.now
		return
	}
	w.drainingSince = time.Time{}
}

// toggleDrainOfRandomDomain lets operators drain a failure domain or take the request back.
func (m *model) toggleDrainOfRandomDomain() {
	d := rapid.SampledFrom(modelDomains).Draw(m.t, "domain")
	if _, ok := m.drains[d]; ok {
		delete(m.drains, d)
		return
	}
	m.drains[d] = m.now
}

// changeUnseen changes something that starts depend on while the store refuses to read it, and lets the owner go on for a while.
func (m *model) changeUnseen() {
	m.readStore()
	change := rapid.SampledFrom([]func(){m.toggleDrainOfRandomWorker, m.toggleDrainOfRandomDomain, m.cancelRandomJob, m.changeRandomCap}).Draw(m.t, "change")
	m.listAway, m.operatorsAway, m.cancelsAway = true, true, true
	change()
	for range rapid.IntRange(2, 8).Draw(m.t, "cycles") {
		m.submitRandomJob()
		for _, w := range m.workers {
			m.sync(w)
		}
		m.finishRandomTask()
		m.advanceTime()
		m.planAndCommit()
	}
	m.listAway, m.operatorsAway, m.cancelsAway = false, false, false
	m.readStore()
}

// toggleRandomView lets the store refuse to read one of the things that starts depend on, or serve it again.
func (m *model) toggleRandomView() {
	x := rapid.SampledFrom([]*bool{&m.listAway, &m.operatorsAway, &m.cancelsAway}).Draw(m.t, "view")
	*x = !*x
}

// checkViews checks that a start is not sent after the bounds from the drain of its worker or failure domain and from the
// cancellation of its job.
func (m *model) checkViews(w *modelWorker, o Order) {
	if o.Kind != OrderStart {
		return
	}
	check := func(since time.Time, ok bool, bound time.Duration, change string) {
		if ok {
			require.Less(m.t, m.now.Sub(since), bound, "%s starts at %s long after %s", o.Ref, w.id, change)
		}
	}
	check(w.drainingSince, !w.drainingSince.IsZero(), modelStartBounds.WorkerDrain, "the worker said that it drains")
	drainedAt, drained := m.drains[w.domain()]
	check(drainedAt, drained, modelStartBounds.DomainDrain, "its domain was drained")
	cancelledAt, cancelled := m.cancels[o.Job]
	check(cancelledAt, cancelled, modelStartBounds.Cancellation, "its job was cancelled")
}

func (m *model) setWorkers() {
	var l []WorkerInfo
	for _, w := range m.workers {
		if w.unlisted {
			continue
		}
		l = append(l, WorkerInfo{
			ID: w.id, Address: w.id, Pool: "pool", FailureDomain: w.domain(), Draining: !w.drainingSince.IsZero(),
			Capacity: jobs.Resources{MilliCPU: w.milliCPU(), MemoryMB: 64000}, Incarnation: w.incarnation,
		})
	}
	m.p.SetWorkers(l, m.now)
	m.views.Workers = m.now
}

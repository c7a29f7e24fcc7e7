package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// home is the relay that calls a worker.
type home struct {
	relay string
	// domain is the worker's failure domain.
	domain string
	// failed is the relay whose latest call to the worker had no answer, empty where there is none.
	failed string
}

// homes chooses a relay for each worker and keeps to it, since each change opens a connection.
type homes struct {
	byWorker map[string]home
}

func newHomes() *homes { return &homes{byWorker: make(map[string]home)} }

// of returns the relay for a worker, empty where there is none; an unknown failure domain leaves the known one.
func (h *homes) of(worker, domain string, relays map[string]Hello) string {
	x := h.byWorker[worker]
	if domain != "" {
		x.domain = domain
	}
	if _, ok := relays[x.relay]; !ok || x.relay == x.failed {
		x.relay = choose(worker, x.domain, x.failed, relays)
	}
	h.byWorker[worker] = x
	return x.relay
}

// fail makes the next call to a worker go through another relay.
func (h *homes) fail(worker, relay string) {
	if x, ok := h.byWorker[worker]; ok {
		x.failed = relay
		h.byWorker[worker] = x
	}
}

// succeed notes that a worker answered through its relay.
func (h *homes) succeed(worker string) {
	if x, ok := h.byWorker[worker]; ok && x.failed != "" {
		x.failed = ""
		h.byWorker[worker] = x
	}
}

func (h *homes) forget(worker string) { delete(h.byWorker, worker) }

// choose ranks the relays for a worker: those of its failure domain first, then by a hash that every owner computes alike,
// so that a new owner finds the connections of the former one.
func choose(worker, domain, failed string, relays map[string]Hello) string {
	type candidate struct {
		Hello
		hash uint64
	}
	l := make([]candidate, 0, len(relays))
	for _, r := range relays {
		if r.Name != failed || len(relays) == 1 {
			l = append(l, candidate{r, xxhash.Sum64String(worker + "|" + r.Name)})
		}
	}
	if len(l) == 0 {
		return ""
	}
	far := func(c candidate) int {
		if c.FailureDomain == domain {
			return 0
		}
		return 1
	}
	return slices.MinFunc(l, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(b.hash, a.hash), cmp.Compare(a.Name, b.Name))
	}).Name
}

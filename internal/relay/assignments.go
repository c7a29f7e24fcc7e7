package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// assignment names the relay that calls a worker.
type assignment struct {
	relay string
	// domain is the worker's failure domain.
	domain string
	// failedRelay is the relay whose sync with the worker failed last, empty if a call has succeeded since.
	failedRelay string
}

// assignments assigns a relay to each worker and keeps the relay while possible, since each change opens a connection.
type assignments struct {
	// byWorker holds the assignments by worker ID.
	byWorker map[string]assignment
}

func newAssignments() *assignments { return &assignments{byWorker: make(map[string]assignment)} }

// relayFor returns the name of the relay for a worker, empty if no relay is connected. If domain is empty, the failure domain
// that an earlier call recorded is used.
func (a *assignments) relayFor(worker, domain string, relays map[string]Hello) string {
	x := a.byWorker[worker]
	if domain != "" {
		x.domain = domain
	}
	if _, ok := relays[x.relay]; !ok || x.relay == x.failedRelay {
		x.relay = chooseRelay(worker, x.domain, x.failedRelay, relays)
	}
	a.byWorker[worker] = x
	return x.relay
}

// recordFailure makes the next call to a worker go through another relay if another is connected.
func (a *assignments) recordFailure(worker, relay string) {
	if x, ok := a.byWorker[worker]; ok {
		x.failedRelay = relay
		a.byWorker[worker] = x
	}
}

// recordSuccess clears the failed relay of a worker.
func (a *assignments) recordSuccess(worker string) {
	if x, ok := a.byWorker[worker]; ok && x.failedRelay != "" {
		x.failedRelay = ""
		a.byWorker[worker] = x
	}
}

func (a *assignments) forget(worker string) { delete(a.byWorker, worker) }

// chooseRelay picks a relay for a worker by rendezvous hashing; relays in the worker's failure domain come first, and the
// failed relay is picked only if it is the only one. All owners with the same relays make the same choice, so that the relays
// reuse their connections to workers after a change of owner.
func chooseRelay(worker, domain, failed string, relays map[string]Hello) string {
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
	distance := func(c candidate) int {
		if c.FailureDomain == domain {
			return 0
		}
		return 1
	}
	return slices.MinFunc(l, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(b.hash, a.hash), cmp.Compare(a.Name, b.Name))
	}).Name
}

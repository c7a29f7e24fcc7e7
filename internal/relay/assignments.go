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
	// unreaching is the relay whose sync failed last and has not succeeded since, to which an overloaded one does not hand the worker.
	unreaching string
	// knownTo is the relay through which the worker responded last, which knows its clock.
	knownTo string
}

// maxRelayLoad and relayLoadSlack bound the workers of a relay, as a multiple of the mean and in addition to that. Beyond it the
// relay hands workers to those that connected later.
const (
	maxRelayLoad   = 2
	relayLoadSlack = 4
)

// assignments assigns a relay to each worker and keeps the relay while possible, since each change opens a connection.
type assignments struct {
	// byWorker holds the assignments by worker ID, and workers the number of workers by relay.
	byWorker map[string]assignment
	workers  map[string]int
}

func newAssignments() *assignments {
	return &assignments{byWorker: make(map[string]assignment), workers: make(map[string]int)}
}

// relayFor returns the name of the relay for a worker, empty if no relay is connected. If domain is empty, the failure domain
// that an earlier call recorded is used, and the worker keeps a relay that has too many, as another may not know its clock.
func (a *assignments) relayFor(worker, domain string, relays map[string]Hello) string {
	x := a.byWorker[worker]
	before := x.relay
	if domain != "" {
		x.domain = domain
	}
	_, connected := relays[x.relay]
	switch {
	case !connected || x.relay == x.failedRelay:
		x.relay = chooseRelay(worker, x.domain, x.failedRelay, relays)
	case domain != "" && a.isOverloaded(x.relay, len(relays)):
		x.relay = chooseRelay(worker, x.domain, x.unreaching, relays)
	}
	a.count(before, -1)
	a.count(x.relay, 1)
	a.byWorker[worker] = x
	return x.relay
}

// count adds to the number of workers of a relay.
func (a *assignments) count(relay string, n int) {
	if relay == "" {
		return
	}
	a.workers[relay] += n
	if a.workers[relay] == 0 {
		delete(a.workers, relay)
	}
}

// isOverloaded reports whether a relay has far more workers than the mean of all.
func (a *assignments) isOverloaded(relay string, relays int) bool {
	return a.workers[relay] > maxRelayLoad*len(a.byWorker)/max(relays, 1)+relayLoadSlack
}

// isKnownTo reports whether the latest response of a worker came through a relay.
func (a *assignments) isKnownTo(worker, relay string) bool {
	return a.byWorker[worker].knownTo == relay
}

// recordFailure makes the next call to a worker go through another relay if another is connected.
func (a *assignments) recordFailure(worker, relay string) {
	if x, ok := a.byWorker[worker]; ok {
		x.failedRelay, x.unreaching = relay, relay
		a.byWorker[worker] = x
	}
}

// recordSuccess records that a worker responded through a relay, and clears its failed relay.
func (a *assignments) recordSuccess(worker, relay string) {
	x, ok := a.byWorker[worker]
	if !ok || x.failedRelay == "" && x.unreaching != relay && x.knownTo == relay {
		return
	}
	x.failedRelay, x.knownTo = "", relay
	if x.unreaching == relay {
		x.unreaching = ""
	}
	a.byWorker[worker] = x
}

func (a *assignments) forget(worker string) {
	a.count(a.byWorker[worker].relay, -1)
	delete(a.byWorker, worker)
}

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

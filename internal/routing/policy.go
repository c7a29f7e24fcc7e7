package routing

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Names of the routing policies.
const (
	PolicyRandom      = "random"
	PolicyRoundRobin  = "round-robin"
	PolicyLeastLoaded = "least-loaded"
	PolicyTwoChoices  = "two-choices"
	PolicySlots       = "slots"
)

// PolicyNames lists the routing policies.
func PolicyNames() []string {
	return []string{PolicyRandom, PolicyRoundRobin, PolicyLeastLoaded, PolicyTwoChoices, PolicySlots}
}

// PolicyError reports an unknown routing policy.
type PolicyError struct {
	Name string
}

// Error returns a message with the name of the policy.
func (e *PolicyError) Error() string { return fmt.Sprintf("unknown routing policy %q", e.Name) }

// policy chooses among the available upstreams of a service.
type policy interface {
	// queuesRequests reports whether requests wait in the router's queue until a slot is free.
	queuesRequests() bool
	// choose returns an upstream from the non-empty list, or nil if the request has to wait.
	choose(us []*upstream, now time.Time) *upstream
}

func newPolicy(name string, r *rand.Rand) (policy, error) {
	switch name {
	case PolicyRandom:
		return &randomPolicy{r: r}, nil
	case PolicyRoundRobin:
		return &roundRobinPolicy{}, nil
	case PolicyLeastLoaded:
		return &leastLoadedPolicy{r: r}, nil
	case PolicyTwoChoices:
		return &twoChoicesPolicy{r: r}, nil
	case PolicySlots:
		return &slotsPolicy{r: r}, nil
	}
	return nil, &PolicyError{Name: name}
}

// immediateBinding is embedded by policies that bind each request on arrival.
type immediateBinding struct{}

func (immediateBinding) queuesRequests() bool { return false }

type randomPolicy struct {
	immediateBinding

	r *rand.Rand
}

func (p *randomPolicy) choose(us []*upstream, _ time.Time) *upstream { return us[p.r.IntN(len(us))] }

type roundRobinPolicy struct {
	immediateBinding

	next int
}

func (p *roundRobinPolicy) choose(us []*upstream, _ time.Time) *upstream {
	p.next++
	return us[p.next%len(us)]
}

// leastLoadedPolicy picks the upstream with the fewest requests of this instance in flight.
type leastLoadedPolicy struct {
	immediateBinding

	r *rand.Rand
}

func (p *leastLoadedPolicy) choose(us []*upstream, _ time.Time) *upstream {
	o := p.r.IntN(len(us))
	b := us[o]
	for i := range us {
		if u := us[(o+i)%len(us)]; u.inFlight < b.inFlight {
			b = u
		}
	}
	return b
}

// twoChoicesPolicy picks, of two random upstreams, the one with fewer requests of all instances in flight.
type twoChoicesPolicy struct {
	immediateBinding

	r *rand.Rand
}

func (p *twoChoicesPolicy) choose(us []*upstream, _ time.Time) *upstream {
	a, b := us[p.r.IntN(len(us))], us[p.r.IntN(len(us))]
	if b.inFlight+b.peerInFlight < a.inFlight+a.peerInFlight {
		return b
	}
	return a
}

// slotsPolicy binds a request to the upstream with a free slot that has the lowest expectedCost.
type slotsPolicy struct {
	r *rand.Rand
}

func (p *slotsPolicy) queuesRequests() bool { return true }

func (p *slotsPolicy) choose(us []*upstream, now time.Time) *upstream {
	var b *upstream
	o := p.r.IntN(len(us))
	for i := range us {
		u := us[(o+i)%len(us)]
		if u.freeSlots(now) > 0 && (b == nil || expectedCost(u) < expectedCost(b)) {
			b = u
		}
	}
	return b
}

// expectedCost returns the average latency in seconds times the number of requests
// that this instance would have in flight at the upstream, including the new one.
//
// One request in flight doubles the cost of an idle upstream. Small differences
// between the latency averages thus do not send all requests to one upstream.
func expectedCost(u *upstream) float64 {
	return u.latencySeconds * float64(1+u.inFlight)
}

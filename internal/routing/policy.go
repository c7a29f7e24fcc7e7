package routing

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The names of the routing policies.
const (
	PolicyRandom     = "random"
	PolicyRoundRobin = "round-robin"
	PolicyLeast      = "least-loaded"
	PolicyTwoChoices = "two-choices"
	PolicySlots      = "slots"
)

// PolicyNames lists the routing policies.
func PolicyNames() []string {
	return []string{PolicyRandom, PolicyRoundRobin, PolicyLeast, PolicyTwoChoices, PolicySlots}
}

// PolicyError reports an unknown routing policy.
type PolicyError struct {
	Name string
}

// Error names the policy.
func (e *PolicyError) Error() string { return fmt.Sprintf("no routing policy %q", e.Name) }

// policy chooses among the open upstreams of a service.
type policy interface {
	// waits tells that requests wait in the entry until a slot is free.
	waits() bool
	// choose returns nil where the request has to wait; there is at least one upstream.
	choose(us []*upstream, now time.Time) *upstream
}

func newPolicy(name string, r *rand.Rand) (policy, error) {
	switch name {
	case PolicyRandom:
		return &randomPolicy{r: r}, nil
	case PolicyRoundRobin:
		return &roundRobinPolicy{}, nil
	case PolicyLeast:
		return &leastPolicy{r: r}, nil
	case PolicyTwoChoices:
		return &twoChoicesPolicy{r: r}, nil
	case PolicySlots:
		return &slotsPolicy{r: r}, nil
	}
	return nil, &PolicyError{Name: name}
}

// eager is embedded by policies that bind a request on arrival.
type eager struct{}

func (eager) waits() bool { return false }

type randomPolicy struct {
	eager

	r *rand.Rand
}

func (p *randomPolicy) choose(us []*upstream, _ time.Time) *upstream { return us[p.r.IntN(len(us))] }

type roundRobinPolicy struct {
	eager

	next int
}

func (p *roundRobinPolicy) choose(us []*upstream, _ time.Time) *upstream {
	p.next++
	return us[p.next%len(us)]
}

type leastPolicy struct {
	eager

	r *rand.Rand
}

func (p *leastPolicy) choose(us []*upstream, _ time.Time) *upstream {
	o := p.r.IntN(len(us))
	b := us[o]
	for i := range us {
		if u := us[(o+i)%len(us)]; u.inFlight < b.inFlight {
			b = u
		}
	}
	return b
}

type twoChoicesPolicy struct {
	eager

	r *rand.Rand
}

func (p *twoChoicesPolicy) choose(us []*upstream, _ time.Time) *upstream {
	a, b := us[p.r.IntN(len(us))], us[p.r.IntN(len(us))]
	if b.inFlight+b.remote < a.inFlight+a.remote {
		return b
	}
	return a
}

// slotsPolicy binds a request to the free slot with the lowest expected latency.
type slotsPolicy struct {
	r *rand.Rand
}

func (p *slotsPolicy) waits() bool { return true }

func (p *slotsPolicy) choose(us []*upstream, now time.Time) *upstream {
	var b *upstream
	o := p.r.IntN(len(us))
	for i := range us {
		u := us[(o+i)%len(us)]
		if u.free(now) > 0 && (b == nil || cost(u) < cost(b)) {
			b = u
		}
	}
	return b
}

// cost is the expected latency times the requests that this entry would have there.
//
// One request more weighs as much as twice the latency, so that the noise of the
// averages does not send all requests to one upstream.
func cost(u *upstream) float64 {
	return u.latency * float64(1+u.inFlight)
}

package storepath

import "time"

// Readiness is the judgement whether the load balancer should send callers to this instance.
//
// It changes only after the evidence has lasted, and not at all while the store is
// away for all instances, since no other instance would serve callers better.
type Readiness struct {
	// UnreadyAfter and ReadyAfter are how long the evidence must last.
	UnreadyAfter time.Duration
	ReadyAfter   time.Duration

	unready bool
	// contraryAt is since when the evidence has contradicted the judgement, zero if it does not.
	contraryAt time.Time
}

// Update judges anew, given the state of the path and the peers, and reports whether the instance is ready.
func (r *Readiness) Update(s State, l []Peer, now time.Time) bool {
	ready, known := isServing(s, l, now)
	if !known || ready == !r.unready {
		r.contraryAt = time.Time{}
		return !r.unready
	}
	if r.contraryAt.IsZero() || now.Before(r.contraryAt) {
		r.contraryAt = now
	}
	limit := r.UnreadyAfter
	if ready {
		limit = r.ReadyAfter
	}
	if now.Sub(r.contraryAt) >= limit {
		r.unready, r.contraryAt = !ready, time.Time{}
	}
	return !r.unready
}

// isServing reports whether this instance can serve callers, and whether that makes a difference to them.
func isServing(s State, l []Peer, now time.Time) (serving, known bool) {
	if d := Choose(s, l, now); d.Choice != Reject {
		return true, true
	}
	away := 0
	for _, p := range l {
		switch p.Reach {
		case ReachesStore:
			return false, true
		case ReachesNothing:
			away++
		case ReachUnknown:
		}
	}
	return false, away == 0
}

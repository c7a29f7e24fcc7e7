package storepath

import (
	"cmp"
	"slices"
	"time"
)

// Reach is whether a peer reaches the store, as it says itself; it is unknown for peers of earlier versions.
type Reach int

// The claims of peers; the values are part of the protocol between instances.
const (
	ReachUnknown Reach = iota
	ReachesStore
	ReachesNothing
)

// Peer is an instance to which records can be handed over.
type Peer struct {
	Name  string
	Reach Reach
	// AvoidUntil is the instant up to which the peer is not used, since an append through it has failed.
	AvoidUntil time.Time
	// Rank orders the peers for one instance, and differs between instances, so that these do not all choose the same peer.
	Rank uint64
}

// Choice is what becomes of a new record.
type Choice int

// The choices.
const (
	// Append appends the record to the store directly.
	Append Choice = iota
	// HandOver appends it through a peer, which does so directly.
	HandOver
	// Reject tells the caller that the record was not accepted and never will be.
	Reject
)

// Decision is a choice with its details.
type Decision struct {
	Choice Choice
	// Peer is the name of the peer to which the record is handed over.
	Peer string
	// Elsewhere means, for a rejection, that another instance may serve the caller.
	Elsewhere bool
}

// Choose chooses what becomes of a new record, given the state of this instance's path and its peers.
func Choose(s State, l []Peer, now time.Time) Decision {
	if s.IsUsable() {
		return Decision{Choice: Append}
	}
	elsewhere := false
	var usable []Peer
	for _, p := range l {
		if p.Reach != ReachesStore {
			continue
		}
		elsewhere = true
		if !now.Before(p.AvoidUntil) {
			usable = append(usable, p)
		}
	}
	if len(usable) == 0 {
		return Decision{Choice: Reject, Elsewhere: elsewhere}
	}
	p := slices.MinFunc(usable, func(a, b Peer) int { return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Name, b.Name)) })
	return Decision{Choice: HandOver, Peer: p.Name}
}

const (
	// retryElsewhere is the time after which a caller should retry if another instance can serve it.
	retryElsewhere = time.Second
	// maxRetrySeconds is the longest time in seconds after which a caller should retry while the store is away for all.
	maxRetrySeconds = 3
)

// RetryAfter returns the time after which a rejected caller should retry. The given random function returns a number from 0 up to,
// but not including, its argument; it spreads callers over 1 to 3 s while no instance reaches the store.
func RetryAfter(elsewhere bool, random func(int) int) time.Duration {
	if elsewhere {
		return retryElsewhere
	}
	return time.Duration(1+random(maxRetrySeconds)) * time.Second
}

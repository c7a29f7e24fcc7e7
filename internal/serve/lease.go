package serve

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/platform"
)

const (
	// outageAfter is the age of an instance's latest contact with the log from which on it counts as cut off.
	logOutageTimeout = 1500 * time.Millisecond
	// beatFresh is the age up to which another instance's heartbeat speaks for it.
	maxHeartbeatAge = 2 * time.Second
	// listFresh is the age up to which the platform's list tells that an instance is gone.
	maxListAge = 5 * time.Second
)

// leaseBasis returns an instant at which no other instance can have owned the shard.
//
// As a rule that is when the log last confirmed the epoch. During an outage of
// the log nobody can claim, so the basis moves on as long as every other
// instance that may own shards says that it is cut off from the log as well and
// owns no later epoch of the shard. A claim that was accepted at the beginning
// of the outage without its claimant knowing takes effect when the claimant
// reads it back, which is after it last said that it was cut off; it then waits
// for a whole lease from that instant.
func (i *Instance) leaseStart(shard int, epoch uint64, confirmed, now time.Time) time.Time {
	if now.Sub(confirmed) < logOutageTimeout {
		return confirmed
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	b := now
	for n, k := range i.knownInstances {
		if i.hasLeft(n, now) {
			continue
		}
		if now.Sub(k.lastSeenAt) > maxHeartbeatAge || k.At.Sub(k.LogConfirmedAt) < logOutageTimeout || k.Shards[shard] > epoch {
			return confirmed
		}
		if k.At.Before(b) {
			b = k.At
		}
	}
	if b.Before(confirmed) {
		return confirmed
	}
	return b
}

// isGone reports whether the platform's list tells that the instance has ended; the caller holds mu.
func (i *Instance) hasLeft(name string, now time.Time) bool {
	if len(i.listedInstances) == 0 || now.Sub(i.listedInstancesAt) > maxListAge {
		return false
	}
	return !slices.ContainsFunc(i.listedInstances, func(e platform.Entry) bool { return e.Name == name })
}

package serve

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/platform"
)

const (
	// logOutageTimeout is the time since the last confirmation after which an instance counts as cut off from the log. A
	// confirmation is a successful read up to the end of a stream; its time is the time at which the read began.
	logOutageTimeout = 1500 * time.Millisecond
	// maxHeartbeatAge is the maximum age of a heartbeat that counts as the current state of its sender.
	maxHeartbeatAge = 2 * time.Second
	// maxListAge is the maximum age of the platform's list of instances at which an instance that is missing from it
	// counts as stopped.
	maxListAge = 5 * time.Second
)

// leaseStart returns a time at which no other instance can have owned the
// shard. Leases start at this time.
//
// Normally this is the given time of the last confirmation of the shard's
// stream. No instance can claim a shard during an outage of the log. The
// returned time therefore advances during an outage if every other instance
// that may own shards has recently reported that it is cut off from the log as
// well and owns no later epoch of the shard. It is then the time of the oldest
// of these reports, or now if there are no such instances.
//
// A claim may have been accepted at the beginning of the outage without its
// claimant knowing. The claim takes effect when the claimant reads it back.
// This is after the last report that the claimant was cut off, and from then on
// the claimant waits for a whole lease.
func (i *Instance) leaseStart(shard int, epoch uint64, confirmed, now time.Time) time.Time {
	if now.Sub(confirmed) < logOutageTimeout {
		return confirmed
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	s := now
	for n, k := range i.knownInstances {
		if i.hasLeft(n, now) {
			continue
		}
		if now.Sub(k.lastSeenAt) > maxHeartbeatAge || k.At.Sub(k.LogConfirmedAt) < logOutageTimeout || k.Shards[shard] > epoch {
			return confirmed
		}
		if k.At.Before(s) {
			s = k.At
		}
	}
	if s.Before(confirmed) {
		return confirmed
	}
	return s
}

// hasLeft reports whether the platform's list of instances is recent and not empty, but lacks the instance. The caller
// holds mu.
func (i *Instance) hasLeft(name string, now time.Time) bool {
	if len(i.listedInstances) == 0 || now.Sub(i.listedInstancesAt) > maxListAge {
		return false
	}
	return !slices.ContainsFunc(i.listedInstances, func(x platform.Instance) bool { return x.Name == name })
}

package serve

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/platform"
)

const (
	// logOutageTimeout is the time since the last confirmation by the log after which an instance counts as cut off from
	// the log.
	logOutageTimeout = 1500 * time.Millisecond
	// maxHeartbeatAge is the maximum age of a heartbeat that counts as the current state of its sender.
	maxHeartbeatAge = 2 * time.Second
	// maxListAge is the maximum age of the platform's list. In an older list, a missing instance does not count as
	// stopped.
	maxListAge = 5 * time.Second
)

// leaseStart returns a time at which no other instance can have owned the shard. Leases start at this time.
//
// Normally that is when the log last confirmed the epoch. During an outage of
// the log no instance can claim a shard, so the time advances as long as every
// other instance that may own shards reports that it is cut off from the log as
// well and owns no later epoch of the shard. A claim may have been accepted at
// the beginning of the outage without its claimant knowing. It takes effect when
// the claimant reads it back, which is after the claimant last reported that it
// was cut off; the claimant then waits for a whole lease from that time.
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

// hasLeft reports whether the instance is missing from a recent list of the platform. The caller holds mu.
func (i *Instance) hasLeft(name string, now time.Time) bool {
	if len(i.listedInstances) == 0 || now.Sub(i.listedInstancesAt) > maxListAge {
		return false
	}
	return !slices.ContainsFunc(i.listedInstances, func(x platform.Instance) bool { return x.Name == name })
}

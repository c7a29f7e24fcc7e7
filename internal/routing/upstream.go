package routing

import (
	"time"
)

// Upstream holds the properties of an upstream that the router uses.
type Upstream struct {
	Name          string
	Service       string
	Address       string
	FailureDomain string
	// Draining means that the upstream takes no new requests: it is leaving, or its failure domain is out of service.
	Draining bool
}

const (
	// slotsPerUpstream is the number of requests that an upstream processes concurrently.
	slotsPerUpstream = 8
	// smoothingFactor is the weight of the newest sample in a moving average.
	smoothingFactor = 0.1
	// minEjectionSamples is the minimum number of samples since the last ejection before an upstream can be ejected.
	minEjectionSamples = 4
	// maxFailureRate is the failure rate above which an upstream is ejected.
	maxFailureRate = 0.5
	// maxLatencyRatio is the ratio of an upstream's latency to the service's mean above which the upstream is ejected.
	maxLatencyRatio = 4.0
	// minEjectionDuration and maxEjectionDuration bound the duration of an ejection, which doubles with each consecutive
	// ejection.
	minEjectionDuration = time.Second
	maxEjectionDuration = 30 * time.Second
	// slowStartInterval is the time after which slow start raises the concurrency limit of an upstream by one request.
	slowStartInterval = 250 * time.Millisecond
)

// upstream holds the router's state of one upstream.
type upstream struct {
	Upstream

	// grantedSlots is the number of slots that this instance holds at the upstream.
	grantedSlots int
	// inFlight is the number of requests of this instance in flight at the upstream.
	inFlight int
	// peerInFlight is the number of requests of the other instances in flight at the upstream, as last published.
	peerInFlight int
	// latencySeconds is a moving average of the latency of responses, 0 before the first sample.
	latencySeconds float64
	// failureRate is a moving average of failures (1) and responses (0). The weight of a sample is twice smoothingFactor.
	failureRate float64
	// sampleCount counts the samples since the last ejection.
	sampleCount int
	// consecutiveEjections counts the ejections since the last success.
	consecutiveEjections int
	ejectedUntil         time.Time
	// slowStartAt is the time at which slow start begins, zero if it does not apply.
	slowStartAt time.Time
}

func (u *upstream) isEjected(now time.Time) bool { return now.Before(u.ejectedUntil) }

// isAvailable reports whether the upstream takes new requests.
func (u *upstream) isAvailable(now time.Time) bool { return !u.Draining && !u.isEjected(now) }

// concurrencyLimit returns the number of requests that this instance may have in flight at the upstream. It finishes
// slow start once the limit of slow start reaches the granted slots.
func (u *upstream) concurrencyLimit(now time.Time) int {
	if u.slowStartAt.IsZero() {
		return u.grantedSlots
	}
	s := 1 + int(now.Sub(u.slowStartAt)/slowStartInterval)
	if s >= u.grantedSlots {
		u.slowStartAt = time.Time{}
		return u.grantedSlots
	}
	return s
}

func (u *upstream) freeSlots(now time.Time) int { return u.concurrencyLimit(now) - u.inFlight }

// recordResult updates the statistics with a response or a failure.
func (u *upstream) recordResult(failed bool, latency time.Duration) {
	u.sampleCount++
	f := 0.0
	if failed {
		f = 1
	} else {
		u.consecutiveEjections = 0
		u.latencySeconds = movingAverage(u.latencySeconds, latency.Seconds())
	}
	u.failureRate += smoothingFactor * 2 * (f - u.failureRate)
}

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + smoothingFactor*(sample-old)
}

// isOutlier reports whether the upstream has enough samples and exceeds maxFailureRate or maxLatencyRatio. The mean is
// the service's mean latency in seconds.
func (u *upstream) isOutlier(mean float64) bool {
	if u.sampleCount < minEjectionSamples {
		return false
	}
	return u.failureRate > maxFailureRate || mean > 0 && u.latencySeconds > maxLatencyRatio*mean
}

// eject excludes the upstream for a duration that doubles with each consecutive ejection.
func (u *upstream) eject(now time.Time) {
	u.ejectedUntil = now.Add(min(minEjectionDuration<<min(u.consecutiveEjections, 10), maxEjectionDuration))
	u.consecutiveEjections++
	u.slowStartAt = u.ejectedUntil
	u.sampleCount = 0
	u.failureRate = 0
	u.latencySeconds = 0
}

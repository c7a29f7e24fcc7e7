package routing

import (
	"time"
)

// Upstream describes one upstream to the router.
type Upstream struct {
	Name          string
	Service       string
	Address       string
	FailureDomain string
	// Closed tells that the upstream is leaving or that its failure domain is out of service.
	Closed bool
}

const (
	// slotsPerUpstream is the number of requests that an upstream works on at a time.
	slotsPerUpstream = 8
	// smoothing is the weight of the newest sample in a moving average.
	smoothing = 0.1
	// ejectAfter is the number of samples before an upstream can be ejected.
	ejectAfter = 4
	// ejectFailureRate is the failure rate beyond which an upstream is ejected.
	ejectFailureRate = 0.5
	// ejectSlowness is the ratio to the service's mean latency beyond which an upstream is ejected.
	ejectSlowness = 4.0
	// minEjection and maxEjection bound the time of an ejection, which doubles with each in a row.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// slowStartStep is the time after which a returned upstream may take another request at a time.
	slowStartStep = 250 * time.Millisecond
)

// upstream is the router's knowledge of one upstream.
type upstream struct {
	Upstream

	// granted is the number of slots that this entry holds.
	granted  int
	inFlight int
	// remote is the number of requests of other entries, as last published.
	remote int
	// latency is a moving average in seconds, 0 before the first sample.
	latency  float64
	failures float64
	samples  int
	// ejections counts the ejections without a success between them.
	ejections    int
	ejectedUntil time.Time
	// returnedAt is the time from which slow start counts, zero where it does not apply.
	returnedAt time.Time
}

func (u *upstream) isEjected(now time.Time) bool { return now.Before(u.ejectedUntil) }

// isOpen reports whether the upstream takes new requests.
func (u *upstream) isOpen(now time.Time) bool { return !u.Closed && !u.isEjected(now) }

// allowed is the number of requests that this entry may have at the upstream at a time.
func (u *upstream) allowed(now time.Time) int {
	if u.returnedAt.IsZero() {
		return u.granted
	}
	s := 1 + int(now.Sub(u.returnedAt)/slowStartStep)
	if s >= u.granted {
		u.returnedAt = time.Time{}
		return u.granted
	}
	return s
}

func (u *upstream) free(now time.Time) int { return u.allowed(now) - u.inFlight }

// onResult learns from an answer or failure.
func (u *upstream) onResult(failed bool, took time.Duration) {
	u.samples++
	f := 0.0
	if failed {
		f = 1
	} else {
		u.ejections = 0
		u.latency = average(u.latency, took.Seconds())
	}
	u.failures += smoothing * 2 * (f - u.failures)
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + smoothing*(sample-old)
}

// isOutlier reports whether the upstream fails or is far slower than the service's mean.
func (u *upstream) isOutlier(mean float64) bool {
	if u.samples < ejectAfter {
		return false
	}
	return u.failures > ejectFailureRate || mean > 0 && u.latency > ejectSlowness*mean
}

// eject takes the upstream out for a time that doubles with each ejection in a row.
func (u *upstream) eject(now time.Time) {
	u.ejectedUntil = now.Add(min(minEjection<<min(u.ejections, 10), maxEjection))
	u.ejections++
	u.returnedAt = u.ejectedUntil
	u.samples = 0
	u.failures = 0
	u.latency = 0
}

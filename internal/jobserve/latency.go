package jobserve

import (
	"sync"
	"time"
)

const (
	// latencySmoothing is the weight of the newest call in the exponential moving average of call durations.
	latencySmoothing = 0.3
	// minCallTimeout and maxCallTimeout bound the timeout of a call.
	minCallTimeout = 700 * time.Millisecond
	maxCallTimeout = 2500 * time.Millisecond
	// latencyTimeoutFactor is the multiple of the expected duration that is added to minCallTimeout for the timeout of a call.
	latencyTimeoutFactor = 4
)

// latencyEstimator derives call timeouts from the measured durations of store calls, so that a slow store is not mistaken for
// a lost response.
type latencyEstimator struct {
	mu       sync.Mutex
	expected time.Duration
}

// timeout returns the timeout of the next call.
func (l *latencyEstimator) timeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(minCallTimeout+latencyTimeoutFactor*l.expected, maxCallTimeout)
}

// observe adds the duration of a call; a call without a response counts with the time until its timeout.
func (l *latencyEstimator) observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected += time.Duration(latencySmoothing * float64(d-l.expected))
}

package jobserve

import (
	"sync"
	"time"
)

const (
	// latencyRate is the part of an error in the expected time of a call that one call corrects.
	latencyRate = 0.3
	// leastTimeout and mostTimeout bound the time that a call has for its answer.
	leastTimeout = 700 * time.Millisecond
	mostTimeout  = 2500 * time.Millisecond
	// timeoutFactor times the expected time, plus leastTimeout, is the time that a call has.
	timeoutFactor = 4
)

// latency follows how long calls to the store take, so that a slow store is told from a lost answer.
type latency struct {
	mu       sync.Mutex
	expected time.Duration
}

// timeout returns the time that the next call has for its answer.
func (l *latency) timeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(leastTimeout+timeoutFactor*l.expected, mostTimeout)
}

// observe takes in the time of a call, or how long one without an answer was waited for.
func (l *latency) observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected += time.Duration(latencyRate * float64(d-l.expected))
}

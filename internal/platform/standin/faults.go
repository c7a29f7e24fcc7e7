package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults selects the faults that the stand-in injects; the zero value injects none.
type Faults struct {
	// LogDown means that all calls to the log are rejected.
	LogDown bool
	// LogDelay delays each call to the log.
	LogDelay time.Duration
	// LoseAppendReplies is the fraction of appends whose response is lost after they took effect.
	LoseAppendReplies float64
	// LoseOrderReplies is the fraction of orders whose response is lost after they took effect.
	LoseOrderReplies float64
	// DelayOrders delays each order before it takes effect.
	DelayOrders time.Duration
	// WorkersDown lists workers that reject all orders; their tasks keep running until the leases expire.
	WorkersDown []string
	// WorkersFailing lists workers on which every batch task fails.
	WorkersFailing []string
	// WorkersLeaving lists workers that the platform's list shows as leaving.
	WorkersLeaving []string
	// ServiceDelay is added to the service time of each request at an upstream.
	ServiceDelay time.Duration
	// SlowUpstreams lists workers whose upstreams have ten times their usual service time.
	SlowUpstreams []string
	// FailingUpstreams lists workers whose upstreams immediately respond with status 500.
	FailingUpstreams []string
	// TruncatingUpstreams lists workers whose upstreams send half of each response body and then close the connection.
	TruncatingUpstreams []string
}

// faultInjector holds the current faults and the random source.
type faultInjector struct {
	// mu guards the fields below.
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
}

func newFaultInjector(seed uint64) *faultInjector {
	return &faultInjector{random: rand.New(rand.NewPCG(seed, seed))}
}

func (i *faultInjector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

func (i *faultInjector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

// chance returns true with the given probability.
func (i *faultInjector) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.random.Float64() < probability
}

// exponential returns a random duration from the exponential distribution with the given mean.
func (i *faultInjector) exponential(mean time.Duration) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Duration(i.random.ExpFloat64() * float64(mean))
}

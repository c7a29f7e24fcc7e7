package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults tells what the stand-in does wrong; the zero value is a sound platform.
type Faults struct {
	// LogDown refuses all calls to the log.
	LogDown bool
	// LogDelay is added to each call to the log.
	LogDelay time.Duration
	// LoseAppendReplies is the share of appends whose reply is lost after the effect.
	LoseAppendReplies float64
	// LoseOrderReplies is the share of orders whose reply is lost after the effect.
	LoseOrderReplies float64
	// DelayOrders is added to each order before its effect.
	DelayOrders time.Duration
	// WorkersDown lists workers that answer nothing; their tasks go on.
	WorkersDown []string
	// WorkersFailing lists workers that fail everything they start.
	WorkersFailing []string
	// WorkersLeaving lists workers that the list shows as leaving.
	WorkersLeaving []string
	// ServiceDelay is added to the service time of each request at an upstream.
	ServiceDelay time.Duration
	// SlowUpstreams lists workers whose upstreams are ten times slower.
	SlowUpstreams []string
	// FailingUpstreams lists workers whose upstreams answer status 500 at once.
	FailingUpstreams []string
	// TruncatingUpstreams lists workers whose upstreams cut their answers short.
	TruncatingUpstreams []string
}

// faultBox holds the current faults and the dice.
type faultBox struct {
	// mu guards the fields below.
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
}

func newFaultBox(seed uint64) *faultBox {
	return &faultBox{random: rand.New(rand.NewPCG(seed, seed))}
}

func (b *faultBox) get() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

func (b *faultBox) set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// roll reports whether an event of the given share happens.
func (b *faultBox) roll(share float64) bool {
	if share <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Float64() < share
}

func (b *faultBox) exponential(mean time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.random.ExpFloat64() * float64(mean))
}

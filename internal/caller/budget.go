package caller

import (
	"sync"
	"time"
)

const (
	// retriesPerRequest is the credit, in retries, that each request with a response adds to the budget.
	retriesPerRequest = 0.2
	// maxRetryCredit bounds the credit, and thereby the number of retries in a burst.
	maxRetryCredit = 50.0
	// initialRetryCredit is the credit, in retries, at the start, so that an instance can retry before it has served many
	// requests.
	initialRetryCredit = 10.0
	// retriesPerSecond is the credit, in retries, added per second, so that an instance with few requests can retry.
	retriesPerSecond = 5.0
)

// retryBudget limits the retries to a fraction of the requests plus a fixed rate.
type retryBudget struct {
	// mu guards the fields below.
	mu sync.Mutex
	// credit is the number of retries that are allowed now.
	credit float64
	// updatedAt is the time of the latest call of tryWithdraw.
	updatedAt time.Time
}

// deposit adds the credit of one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+retriesPerRequest, maxRetryCredit)
}

// tryWithdraw reports whether a retry is within the budget, and subtracts it from the credit if so.
func (b *retryBudget) tryWithdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.updatedAt.IsZero() {
		b.credit += initialRetryCredit
	} else {
		b.credit = min(b.credit+retriesPerSecond*now.Sub(b.updatedAt).Seconds(), maxRetryCredit)
	}
	b.updatedAt = now
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

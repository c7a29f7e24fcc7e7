package caller

import (
	"sync"
	"time"
)

const (
	// retryShare is the number of retries that each request earns.
	retryShare = 0.2
	// maxRetryCredit bounds the retries that may follow each other at once.
	maxRetryCredit = 50.0
	// startCredit lets an entry retry before it has served many requests.
	startCredit = 10.0
	// retriesPerSecond lets an idle entry retry.
	retriesPerSecond = 5.0
)

// retryBudget bounds the retries to a share of the requests.
type retryBudget struct {
	// mu guards the fields below.
	mu     sync.Mutex
	credit float64
	at     time.Time
}

// earn counts a request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+retryShare, maxRetryCredit)
}

// take reports whether a retry is within the budget, and counts it.
func (b *retryBudget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.at.IsZero() {
		b.credit += startCredit
	} else {
		b.credit = min(b.credit+retriesPerSecond*now.Sub(b.at).Seconds(), maxRetryCredit)
	}
	b.at = now
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

package jobserve

import (
	"context"
	"sync"
	"time"
)

// pendingRead is a read of the store that may wait for a response on a connection that is dead. It is abandoned when the store
// responds to another call of this instance and the response to the read is overdue, so that the reader can repeat it.
type pendingRead struct {
	mu sync.Mutex
	// dueAt is when a store without delay responds; cancel ends the read, nil if there is none.
	dueAt  time.Time
	cancel context.CancelFunc
}

// begin returns the context of a read that waits for new records until dueAt, and has the given time for the response after that.
// The caller calls the returned function when the read has ended.
func (p *pendingRead) begin(ctx context.Context, dueAt time.Time, timeout time.Duration) (context.Context, func()) {
	c, cancel := context.WithDeadline(ctx, dueAt.Add(timeout))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dueAt, p.cancel = dueAt, cancel
	return c, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.cancel = nil
		cancel()
	}
}

// abandonOverdue ends the read if its response is overdue, given the time in which the store responded to another call just now.
func (p *pendingRead) abandonOverdue(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil && time.Since(p.dueAt) > retryDelay+overdueLatencies*latency {
		p.cancel()
	}
}

// overdueLatencies is the multiple of the duration of another call that a response may take longer than retryDelay.
const overdueLatencies = 2

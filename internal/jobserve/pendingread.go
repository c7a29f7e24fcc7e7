package jobserve

import (
	"context"
	"sync"
	"time"
)

// overdueLatencies is the multiple of the usual duration that a response may take longer than retryDelay before it is overdue.
const overdueLatencies = 2

// pendingRead is a read of the store that may wait for a response on a connection that is dead. It is abandoned when the store
// responds to another call of this instance and the response to the read is overdue, so that the reader can repeat it.
//
// A read that is only slow, because of its size or of a busy instance, must not be
// abandoned each time: the patience grows with each abandoned read, and follows the
// duration of the latest one that succeeded.
type pendingRead struct {
	mu sync.Mutex
	// dueAt is when a store without delay responds; cancel ends the read, nil if there is none.
	dueAt  time.Time
	cancel context.CancelFunc
	// latency is how long after dueAt the latest read succeeded or was abandoned.
	latency time.Duration
}

// begin returns the context of a read that waits for new records until dueAt, and has the given time for the response after that.
// The caller calls the returned function with the result of the read.
func (p *pendingRead) begin(ctx context.Context, dueAt time.Time, timeout time.Duration) (context.Context, func(error)) {
	c, cancel := context.WithDeadline(ctx, dueAt.Add(timeout))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dueAt, p.cancel = dueAt, cancel
	return c, func(err error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.cancel = nil
		cancel()
		if err == nil {
			p.latency = max(0, time.Since(dueAt))
		}
	}
}

// abandonOverdue ends the read if its response is overdue, given the time in which the store responded to another call just now.
func (p *pendingRead) abandonOverdue(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel == nil {
		return
	}
	if d := time.Since(p.dueAt); d > retryDelay+overdueLatencies*max(latency, p.latency) {
		p.latency = d
		p.cancel()
	}
}

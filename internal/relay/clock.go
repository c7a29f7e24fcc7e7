package relay

import (
	"sync"
	"time"

	"currantknot.dev/currantknot/internal/bootclock"
)

// bestReadingFor is the time for which the best reading of an owner's clock is kept, since clocks drift.
const bestReadingFor = 4 * time.Second

// clock reads the owner's clock at a relay, never too late.
//
// The owner's time in the answer to a ping was read after the ping had left.
// So what the owner does at a later time happens no earlier than that much
// after the ping, and an instant that is counted from there is never too late.
type clock struct {
	mu sync.Mutex
	// sentAt is the relay's time of a ping, and ownerAt the owner's time in its answer.
	sentAt  time.Duration
	ownerAt time.Duration
	known   bool
}

// read takes in the answer to a ping.
func (c *clock) read(sentAt, ownerAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	better := sentAt-ownerAt >= c.sentAt-c.ownerAt
	if !c.known || better || sentAt-c.sentAt > bestReadingFor {
		c.sentAt, c.ownerAt, c.known = sentAt, ownerAt, true
	}
}

// isKnown tells whether a ping was answered.
func (c *clock) isKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

// bootTime returns the owner's instant on the relay's clock.
func (c *clock) bootTime(owner time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentAt + owner - c.ownerAt
}

// local returns the owner's instant as one of the relay's, the zero instant for 0.
func (c *clock) local(owner time.Duration) time.Time {
	if owner == 0 {
		return time.Time{}
	}
	return time.Now().Add(c.bootTime(owner) - bootclock.Now())
}

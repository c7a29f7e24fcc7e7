package relay

import (
	"sync"
	"time"

	"currantknot.dev/currantknot/internal/bootclock"
)

// maxReadingAge is the age at which a worse reading of the owner's clock replaces the best one, since clocks drift.
const maxReadingAge = 4 * time.Second

// clock converts instants of the owner's clock to the relay's clock; a result may be early but never late.
//
// The owner reads the time in its response after the relay has sent the ping.
// A conversion adds the time elapsed on the owner's clock since that reading to
// the send time of the ping; its result is therefore never later than the true
// instant.
type clock struct {
	mu sync.Mutex
	// sentAt is the time on the relay's boot clock when it sent the ping, and ownerAt the time on the owner's boot clock in the
	// response.
	sentAt  time.Duration
	ownerAt time.Duration
	known   bool
}

// observe records the response to a ping if it is the first one, if it is at least as good a reading as the present one, or if
// the present one is too old. The sooner after the ping the owner read its clock, the better is the reading.
func (c *clock) observe(sentAt, ownerAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	better := sentAt-ownerAt >= c.sentAt-c.ownerAt
	if !c.known || better || sentAt-c.sentAt > maxReadingAge {
		c.sentAt, c.ownerAt, c.known = sentAt, ownerAt, true
	}
}

// isKnown reports whether a ping got a response.
func (c *clock) isKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

// relayBootTime converts an instant of the owner's clock to the relay's boot clock.
func (c *clock) relayBootTime(owner time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentAt + owner - c.ownerAt
}

// relayTime converts an instant of the owner's clock to the relay's wall clock; 0 becomes the zero time.
func (c *clock) relayTime(owner time.Duration) time.Time {
	if owner == 0 {
		return time.Time{}
	}
	return time.Now().Add(c.relayBootTime(owner) - bootclock.Now())
}

package bootclock

import (
	"math"
	"time"
)

// Instant is a point in time whose age counts the time in which this instance was suspended.
type Instant struct {
	// at is a reading of the monotonic clock, and suspended the time of all suspensions before it.
	at        time.Time
	suspended time.Duration
}

// NowInstant returns the present instant.
func NowInstant() Instant { return Instant{time.Now(), Suspended()} }

// Age returns the time since the instant, and the longest duration for the zero Instant.
func (i Instant) Age() time.Duration {
	if i.at.IsZero() {
		return math.MaxInt64
	}
	return time.Since(i.at) + max(0, Suspended()-i.suspended)
}

// Time returns the instant as a reading of the monotonic clock.
func (i Instant) Time() time.Time { return i.at }

// Before reports whether the instant is before a time, without regard to suspensions.
func (i Instant) Before(t time.Time) bool { return i.at.Before(t) }

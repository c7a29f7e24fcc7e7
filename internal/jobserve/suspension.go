package jobserve

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspensionLimit is the time that has to be missing on the steady clock to count as a suspension.
const suspensionLimit = 400 * time.Millisecond

// suspensions notices that the instance was suspended, during which its steady clock stands still.
type suspensions struct {
	gap time.Duration
}

func newSuspensions() *suspensions { return &suspensions{gap: clockGap()} }

// passed tells whether the instance was suspended since the last call.
func (s *suspensions) passed() bool {
	g := clockGap()
	d := g - s.gap
	s.gap = g
	return d > suspensionLimit
}

// clockGap returns how far the clock that counts suspensions is ahead of the one that does not.
func clockGap() time.Duration {
	return clock(unix.CLOCK_BOOTTIME) - clock(unix.CLOCK_MONOTONIC)
}

func clock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance booted, including the time it was suspended.
func Now() time.Duration { return read(unix.CLOCK_BOOTTIME) }

// Suspended returns how long the instance was suspended since it booted.
func Suspended() time.Duration { return Now() - read(unix.CLOCK_MONOTONIC) }

// read returns the time of a clock, or 0 if the clock cannot be read.
func read(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

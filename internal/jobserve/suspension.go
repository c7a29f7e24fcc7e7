package jobserve

import (
	"time"

	"currantknot.dev/currantknot/internal/bootclock"
)

// minSuspension is the duration up to which a suspension of the instance is ignored.
const minSuspension = 400 * time.Millisecond

// suspensionDetector detects that the instance was suspended, during which the monotonic clock does not advance.
type suspensionDetector struct {
	// total is the time that the instance has been suspended since it booted.
	total time.Duration
}

func newSuspensionDetector() *suspensionDetector {
	return &suspensionDetector{total: bootclock.Suspended()}
}

// detect reports whether the instance was suspended since the last call.
func (s *suspensionDetector) detect() bool {
	t := bootclock.Suspended()
	d := t - s.total
	s.total = t
	return d > minSuspension
}

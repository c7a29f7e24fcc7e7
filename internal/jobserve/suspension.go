package jobserve

import (
	"time"

	"currantknot.dev/currantknot/internal/bootclock"
)

// suspensionLimit is the time that has to be missing on the steady clock to count as a suspension.
const suspensionLimit = 400 * time.Millisecond

// suspensions notices that the instance was suspended, during which its steady clock stands still.
type suspensions struct {
	gap time.Duration
}

func newSuspensions() *suspensions { return &suspensions{gap: bootclock.Suspended()} }

// passed tells whether the instance was suspended since the last call.
func (s *suspensions) passed() bool {
	g := bootclock.Suspended()
	d := g - s.gap
	s.gap = g
	return d > suspensionLimit
}

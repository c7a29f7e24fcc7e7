package locality

import (
	"math"
	"time"
)

const (
	// MaxWait is the most that the waits of a task may add up to. A job may have nothing running for 3 s while others have
	// capacity for it; the rest is a margin for plans that are late.
	MaxWait = 2 * time.Second
	// minGain is the least expected gain of a wait; a smaller one is within the error of the expected ends.
	minGain = 50 * time.Millisecond
	// tolerance is the time after the expected start in the rack for which a task still waits, as a fraction of the expected
	// wait, since half of the estimates are too short.
	tolerance = 0.5
	// minTolerance is the least such time.
	minTolerance = 50 * time.Millisecond
	// evidenceStep is the change of the expected start in the rack from which a deadline is decided again.
	evidenceStep = 100 * time.Millisecond
)

// Factor is the factor by which a task takes longer outside its rack.
type Factor float64

// IsKnown reports whether the factor can be used; a missing factor is 0.
func (f Factor) IsKnown() bool { return f >= 1 && !math.IsInf(float64(f), 1) }

// Loss returns how much longer than in the rack a task of the given run time takes elsewhere.
func (f Factor) Loss(took time.Duration) time.Duration {
	if !f.IsKnown() || took <= 0 {
		return 0
	}
	return time.Duration(min((float64(f)-1)*float64(took), float64(maxLoss)))
}

// maxLoss bounds the loss, so that it can be added to times.
const maxLoss = 1000 * time.Hour

// Wait is the wait of a task for a place in its rack; the zero Wait is none.
type Wait struct {
	// Since is when the task first waited, or when its job was submitted if that was under an earlier owner.
	Since time.Time
	// Deadline is when the task starts elsewhere.
	Deadline time.Time
	// PlaceAt is the expected start in the rack by which the deadline was decided.
	PlaceAt time.Time
	// EndInRack is the expected end after the wait, and EndElsewhere that of a start elsewhere when the wait began.
	EndInRack    time.Time
	EndElsewhere time.Time
}

// Evidence is what is known of a task that could start elsewhere now.
type Evidence struct {
	Now    time.Time
	Factor Factor
	// Took is the expected run time in the rack.
	Took time.Duration
	// Place is the expected place in the rack.
	Place Place
	// Slack is the time left until the job's objective beyond its remaining work, if the task runs in the rack.
	Slack time.Duration
	// From is the time from which a first wait counts.
	From time.Time
}

// Decide returns the wait of a task after w, and false if it should start elsewhere now.
//
// A wait that has begun is not given up only because the place is then expected after the latest deadline: what runs on for
// longer than its estimate seems to end in half a second at each plan, and mostly ends before.
func Decide(e Evidence, w Wait) (Wait, bool) {
	loss := e.Factor.Loss(e.Took)
	elsewhere := e.Now.Add(e.Took + loss)
	if e.Place.End.Add(minGain).After(elsewhere) {
		return w, false
	}
	if w.Since.IsZero() {
		w.Since, w.EndElsewhere = e.From, elsewhere
	}
	limit := w.limit(e, loss)
	if w.Deadline.IsZero() && !e.Place.At.Before(limit) {
		return w, false
	}
	if w.isOutdated(e.Place) {
		w.PlaceAt, w.Deadline = e.Place.At, e.deadline()
	}
	w.Deadline = earlierOf(w.Deadline, limit)
	w.EndInRack = e.Place.End
	return w, e.Now.Before(w.Deadline)
}

// limit returns the time until which the task may wait at most. If a start elsewhere meets the job's objective, it is the latest
// time at which it still does.
func (w *Wait) limit(e Evidence, loss time.Duration) time.Time {
	l := w.Since.Add(min(MaxWait, loss))
	if e.Slack >= loss {
		l = earlierOf(l, e.Now.Add(e.Slack-loss))
	}
	return l
}

// isOutdated reports whether the deadline was decided by another expected place.
func (w *Wait) isOutdated(p Place) bool {
	return w.Deadline.IsZero() || p.At.Sub(w.PlaceAt).Abs() >= evidenceStep
}

// deadline returns the expected start in the rack and the tolerance for a late one.
func (e *Evidence) deadline() time.Time {
	d := time.Duration(tolerance * float64(e.Place.At.Sub(e.Now)))
	return e.Place.At.Add(max(d, minTolerance))
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

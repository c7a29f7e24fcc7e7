package limits

import "time"

// ID identifies a connection in its ledger.
type ID uint64

// Phase is what a connection does.
type Phase string

// The phases of a connection.
const (
	// PhaseHead is from the opening of the connection, or the first byte of a further request, to the end of the head.
	PhaseHead Phase = "Head"
	// PhaseBody is while the process waits for bytes of a body, or of a frame of another instance.
	PhaseBody Phase = "Body"
	// PhaseServe is while the process works on the request, or the body waits for the process.
	PhaseServe Phase = "Serve"
	// PhaseEnd is from the answer to the end of the request: the client may have to read the answer, or to send the rest of the body.
	PhaseEnd Phase = "End"
	// PhaseIdle is between two requests.
	PhaseIdle Phase = "Idle"
)

// connection is an open connection.
type connection struct {
	id    ID
	phase Phase
	// since is the beginning of the phase, and progressAt that of the wait for the next byte.
	since      time.Time
	progressAt time.Time
	// received is the number of bytes of the head, or of the body, so far.
	received int
	// waited is how long the process has waited for the body before the present phase.
	waited time.Duration
	// held is the room that the request takes.
	held int
	// writingSince is the beginning of a write that has not returned, zero if there is none.
	writingSince time.Time
}

// enter begins a phase.
func (c *connection) enter(p Phase, now time.Time) {
	if c.phase == PhaseBody {
		c.waited += now.Sub(c.since)
	}
	if p == PhaseHead || p == PhaseIdle {
		c.received, c.waited = 0, 0
	}
	c.phase, c.since, c.progressAt = p, now, now
}

// waitedFor returns how long the process has waited for the head or the body.
func (c *connection) waitedFor(now time.Time) time.Duration { return c.waited + now.Sub(c.since) }

// isSlowerThan reports whether less than the given rate has come of the head or the body.
func (c *connection) isSlowerThan(bytesPerSecond int, now time.Time) bool {
	return float64(c.received) < float64(bytesPerSecond)*c.waitedFor(now).Seconds()
}

// due returns why a connection is to be closed whether there is room or not, empty if it is not.
func (c *connection) due(l *Limits, now time.Time) Reason {
	passed := func(since time.Time, d time.Duration) bool { return d > 0 && !since.IsZero() && now.Sub(since) >= d }
	if passed(c.writingSince, l.AnswerTimeout) {
		return ReasonUnreadAnswer
	}
	switch c.phase {
	case PhaseHead:
		if passed(c.since, l.HeadTimeout) {
			return ReasonSlowHead
		}
	case PhaseIdle:
		if passed(c.since, l.IdleTimeout) {
			return ReasonIdle
		}
	case PhaseBody:
		return c.bodyDue(l, now)
	case PhaseEnd:
		if passed(c.since, l.AnswerTimeout) {
			return ReasonUnreadAnswer
		}
	case PhaseServe:
	}
	return ""
}

// bodyDue returns why a connection of which a body is awaited is to be closed, empty if it is not.
func (c *connection) bodyDue(l *Limits, now time.Time) Reason {
	w := c.waitedFor(now)
	switch {
	case l.StallTimeout > 0 && now.Sub(c.progressAt) >= l.StallTimeout:
		return ReasonStalledBody
	case l.BodyTimeout > 0 && w >= l.BodyTimeout:
		return ReasonSlowBody
	case l.MinBytesPerSecond > 0 && w > l.StallTimeout && c.isSlowerThan(l.MinBytesPerSecond, now):
		return ReasonSlowBody
	}
	return ""
}

// isDisplaceable reports whether a connection may be closed for want of room: it is between two requests, or it has made no progress
// or too little for some time.
func (c *connection) isDisplaceable(l *Limits, now time.Time) bool {
	if !c.writingSince.IsZero() && now.Sub(c.writingSince) >= l.Patience {
		return true
	}
	switch c.phase {
	case PhaseIdle:
		return true
	case PhaseHead, PhaseBody:
		if now.Sub(c.progressAt) >= l.Patience {
			return true
		}
		return c.waitedFor(now) >= l.Patience && c.isSlowerThan(l.MinBytesPerSecond, now)
	case PhaseEnd:
		return now.Sub(c.since) >= l.Patience
	case PhaseServe:
	}
	return false
}

// isBefore reports whether c is closed before o for want of room: connections between two requests first, the longest idle one first,
// and then the one that has made the least progress for its time.
func (c *connection) isBefore(o *connection, now time.Time) bool {
	if a, b := c.phase == PhaseIdle, o.phase == PhaseIdle; a != b {
		return a
	} else if a {
		return c.since.Before(o.since)
	}
	a := float64(c.received) * o.waitedFor(now).Seconds()
	b := float64(o.received) * c.waitedFor(now).Seconds()
	if a != b {
		return a < b
	}
	return c.progressAt.Before(o.progressAt)
}

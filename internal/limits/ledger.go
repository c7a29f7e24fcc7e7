package limits

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// ErrClosed means that a connection is not open, or not any more.
var ErrClosed = errors.New("connection is closed")

// Ledger keeps what the open connections of one listener use. It is not safe for concurrent use.
type Ledger struct {
	Limits

	connections map[ID]*connection
	lastID      ID
	// held is the room that all requests take.
	held int
	// checkedAt is the time of the latest call of Due, zero before the first.
	checkedAt time.Time
}

const (
	// pausedAfter is the time between two calls of Due from which the process has been paused. What has arrived meanwhile has to be
	// read before a client can be late.
	pausedAfter = 2 * time.Second
	// readAheadBytes is how much of what follows a head may be read with its end.
	readAheadBytes = 4 << 10
)

// NewLedger returns a ledger without connections.
func NewLedger(l Limits) *Ledger {
	return &Ledger{Limits: l, connections: make(map[ID]*connection)}
}

// Connections returns the number of open connections.
func (l *Ledger) Connections() int { return len(l.connections) }

// Held returns the room that all requests in progress take, in bytes.
func (l *Ledger) Held() int { return l.held }

// Open admits a new connection in a phase, and returns the connection to close for it, if any. It returns a *RefusedError if there is
// no room and each connection makes progress.
func (l *Ledger) Open(p Phase, now time.Time) (ID, []Closing, error) {
	var closing []Closing
	if len(l.connections) >= l.Limits.Connections {
		v := l.displace(now, func(*connection) bool { return true })
		if v == nil {
			return 0, nil, &RefusedError{ReasonConnections}
		}
		closing = append(closing, *v)
	}
	l.lastID++
	l.connections[l.lastID] = &connection{id: l.lastID, phase: p, since: now, progressAt: now}
	return l.lastID, closing, nil
}

// Take reserves n bytes for a connection's request, and returns the connections to close for them. It returns a *RefusedError if there
// is no room and each other request makes progress, and ErrClosed for a connection that is not open; nothing is reserved then.
func (l *Ledger) Take(id ID, n int, now time.Time) ([]Closing, error) {
	c := l.connections[id]
	switch {
	case c == nil:
		return nil, ErrClosed
	case n > l.Bytes:
		return nil, &RefusedError{ReasonMemory}
	}
	var closing []Closing
	for l.held+n > l.Bytes {
		v := l.displace(now, func(o *connection) bool { return o != c && o.held > 0 })
		if v == nil {
			return closing, &RefusedError{ReasonMemory}
		}
		closing = append(closing, *v)
	}
	c.held += n
	l.held += n
	return closing, nil
}

// Give returns n bytes of what a connection's request has taken.
func (l *Ledger) Give(id ID, n int) {
	if c := l.connections[id]; c != nil {
		n = min(n, c.held)
		c.held -= n
		l.held -= n
	}
}

// Receive records n bytes from a client. The first byte after an idle time begins a head.
func (l *Ledger) Receive(id ID, n int, now time.Time) {
	c := l.connections[id]
	if c == nil {
		return
	}
	if c.phase == PhaseIdle {
		c.enter(PhaseHead, now)
	}
	c.received += n
	c.progressAt = now
}

// HeadTooLarge reports whether the head that a connection sends is larger than HeadBytes.
func (l *Ledger) HeadTooLarge(id ID) bool {
	c := l.connections[id]
	return c != nil && c.phase == PhaseHead && l.HeadBytes > 0 && c.received > l.HeadBytes+readAheadBytes
}

// Phase returns the phase of a connection, empty if it is closed.
func (l *Ledger) Phase(id ID) Phase {
	if c := l.connections[id]; c != nil {
		return c.phase
	}
	return ""
}

// Enter begins a phase of a connection. The room of its request is returned when it is idle.
func (l *Ledger) Enter(id ID, p Phase, now time.Time) {
	c := l.connections[id]
	if c == nil || c.phase == p {
		return
	}
	if p == PhaseIdle {
		l.Give(id, c.held)
	}
	if p == PhaseServe && c.phase == PhaseHead {
		// What was received of the head does not count as progress of the body.
		c.received, c.waited = 0, 0
	}
	c.enter(p, now)
}

// Write records the beginning of a write to a client, or its end.
func (l *Ledger) Write(id ID, begins bool, now time.Time) {
	c := l.connections[id]
	switch {
	case c == nil:
	case begins:
		c.writingSince = now
	default:
		c.writingSince = time.Time{}
	}
}

// Due removes the connections whose phase has lasted too long, and returns them; none at the first call after a pause.
func (l *Ledger) Due(now time.Time) []Closing {
	last := l.checkedAt
	l.checkedAt = now
	if !last.IsZero() && now.Sub(last) >= pausedAfter {
		return nil
	}
	var closing []Closing
	for _, c := range l.connections {
		if r := c.due(&l.Limits, now); r != "" {
			closing = append(closing, l.remove(c, r))
		}
	}
	slices.SortFunc(closing, func(a, b Closing) int { return cmp.Compare(a.ID, b.ID) })
	return closing
}

// Close removes a connection that is closed, and returns all its room.
func (l *Ledger) Close(id ID) {
	if c := l.connections[id]; c != nil {
		l.remove(c, "")
	}
}

// displace removes the connection that makes the least progress of those that may be closed for want of room, and returns it, nil if
// there is none.
func (l *Ledger) displace(now time.Time, may func(*connection) bool) *Closing {
	var v *connection
	for _, c := range l.connections {
		if may(c) && c.isDisplaceable(&l.Limits, now) && (v == nil || c.isBefore(v, now)) {
			v = c
		}
	}
	if v == nil {
		return nil
	}
	x := l.remove(v, ReasonDisplaced)
	return &x
}

// remove removes a connection and its room.
func (l *Ledger) remove(c *connection, r Reason) Closing {
	delete(l.connections, c.id)
	l.held -= c.held
	return Closing{c.id, r, c.phase, c.received, c.since}
}

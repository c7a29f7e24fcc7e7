package inbound

import (
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"currantknot.dev/currantknot/internal/limits"
)

// refusalTimeout bounds the write of the answer to a request whose head is refused.
const refusalTimeout = 100 * time.Millisecond

// Conn is a connection of a client within the limits of a guard.
type Conn struct {
	net.Conn

	guard *Guard
	id    limits.ID
}

// Read implements net.Conn. It fails if what was read of a head is refused.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if r := c.receive(b[:n]); r != "" {
		c.refuseHead(r)
		// net/http writes nothing after such an error.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: &limits.RefusedError{Reason: r}}
	}
	return n, err
}

// receive records received bytes, and takes room for those of a head. It returns why a head is refused, empty if it is not.
func (c *Conn) receive(b []byte) limits.Reason {
	g := c.guard
	g.mu.Lock()
	g.ledger.Receive(c.id, len(b), time.Now())
	isHead := g.ledger.Phase(c.id) == limits.PhaseHead
	tooLarge := g.ledger.HeadTooLarge(c.id)
	g.mu.Unlock()
	if tooLarge {
		return limits.ReasonLargeHead
	}
	if !isHead {
		return ""
	}
	var e *limits.RefusedError
	if errors.As(c.take(limits.HeadCost(b)), &e) {
		return e.Reason
	}
	return ""
}

// take reserves n bytes, and closes the connections that are displaced for them.
func (c *Conn) take(n int) error {
	now := time.Now()
	g := c.guard
	g.mu.Lock()
	l, err := g.ledger.Take(c.id, n, now)
	closing := g.detach(l)
	g.mu.Unlock()
	g.abort(closing, now)
	return err
}

// refuseHead answers a request whose head is refused, as far as the client reads.
func (c *Conn) refuseHead(r limits.Reason) {
	c.guard.refuse(r, c.RemoteAddr())
	status := "503 Service Unavailable\r\nRetry-After: " + strconv.Itoa(int(limits.RetryAfter.Seconds()))
	if r == limits.ReasonLargeHead {
		status = "431 Request Header Fields Too Large"
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mark(true)
	defer c.mark(false)
	return c.Conn.Write(b)
}

// mark records the beginning or the end of a write.
func (c *Conn) mark(begins bool) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.ledger.Write(c.id, begins, time.Now())
}

// Close implements net.Conn, and returns all that the connection holds.
func (c *Conn) Close() error {
	c.guard.mu.Lock()
	c.guard.ledger.Close(c.id)
	delete(c.guard.conns, c.id)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// discard closes the connection without sending what its client has not read.
func (c *Conn) discard() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// enter begins a phase of the connection.
func (c *Conn) enter(p limits.Phase) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.ledger.Enter(c.id, p, time.Now())
}

// Take reserves n bytes for the request in progress. It returns a *limits.RefusedError if there is no room.
func (c *Conn) Take(n int) error {
	err := c.take(n)
	var e *limits.RefusedError
	if errors.As(err, &e) {
		c.guard.refuse(e.Reason, c.RemoteAddr())
	}
	return err
}

// Give returns n bytes that Take has reserved.
func (c *Conn) Give(n int) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.ledger.Give(c.id, n)
}

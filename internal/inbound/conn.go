package inbound

import (
	"net"
	"time"

	"currantknot.dev/currantknot/internal/limits"
)

// Conn is a connection of a client within the limits of a guard.
type Conn struct {
	net.Conn

	guard *Guard
	id    limits.ID
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.receive(n)
	}
	return n, err
}

// receive records received bytes.
func (c *Conn) receive(n int) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.ledger.Receive(c.id, n, time.Now())
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

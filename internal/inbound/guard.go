package inbound

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"currantknot.dev/currantknot/internal/limits"
)

const (
	// sweepInterval is the time between two looks for connections whose phase has lasted too long.
	sweepInterval = 500 * time.Millisecond
	// logInterval and logBurst bound the lines about connections that a guard closes.
	logInterval = time.Second
	logBurst    = 3
	// acceptBackoff is the time after a failed accept, such as one without a free descriptor.
	acceptBackoff = 50 * time.Millisecond
)

// Observer counts what a guard refuses and closes.
type Observer interface {
	// Limited counts a connection or request of a listener that was closed or refused.
	Limited(listener string, r limits.Reason)
}

// Guard applies limits to the connections of one listener.
type Guard struct {
	// Name is the name of the listener in metrics and log lines.
	Name     string
	observer Observer
	logger   zerolog.Logger

	mu     sync.Mutex
	ledger *limits.Ledger
	conns  map[limits.ID]*Conn
}

// NewGuard returns a guard without a listener.
func NewGuard(name string, l limits.Limits, o Observer, g zerolog.Logger) *Guard {
	return &Guard{
		Name: name, observer: o, logger: g.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: logInterval}),
		ledger: limits.NewLedger(l), conns: make(map[limits.ID]*Conn),
	}
}

// Use returns the number of open connections and the memory that their requests take, in bytes.
func (g *Guard) Use() (connections, bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Connections(), g.ledger.Held()
}

// Update changes the limits that are in force.
func (g *Guard) Update(change func(*limits.Limits)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.ledger.Limits)
}

// Listen listens at an address for connections that begin in a phase.
func (g *Guard) Listen(ctx context.Context, address string, p limits.Phase) (net.Listener, error) {
	c := net.ListenConfig{Control: g.setOptions}
	l, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	return &listener{l, g, p}, nil
}

// setOptions bounds the buffers that the kernel has for each connection of a listener, and the time for which a client may leave
// what was sent to it unread.
func (g *Guard) setOptions(_, address string, c syscall.RawConn) error {
	g.mu.Lock()
	l := g.ledger.Limits
	g.mu.Unlock()
	var errs error
	err := c.Control(func(fd uintptr) {
		set := func(level, option, n int) {
			if n > 0 {
				errs = errors.Join(errs, unix.SetsockoptInt(int(fd), level, option, n))
			}
		}
		set(unix.SOL_SOCKET, unix.SO_RCVBUF, l.ReceiveBufferBytes)
		set(unix.SOL_SOCKET, unix.SO_SNDBUF, l.SendBufferBytes)
		set(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.AnswerTimeout/time.Millisecond))
	})
	if err = errors.Join(err, errs); err != nil {
		// The limits of the ledger hold all the same.
		g.logger.Warn().Err(err).Str("Listener", g.Name).Str("Address", address).Msg("connections have the options of the kernel")
	}
	return nil
}

// Run closes the connections of all guards whose phase has lasted too long, until the context ends.
func Run(ctx context.Context, guards ...*Guard) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, g := range guards {
				g.sweep(time.Now())
			}
		}
	}
}

// sweep closes the connections whose phase has lasted too long.
func (g *Guard) sweep(now time.Time) {
	g.mu.Lock()
	closing := g.detach(g.ledger.Due(now))
	g.mu.Unlock()
	g.abort(closing, now)
}

// detached is a connection that the ledger has removed.
type detached struct {
	limits.Closing

	conn *Conn
}

// detach returns the connections that the ledger has removed; g.mu is held.
func (g *Guard) detach(l []limits.Closing) []detached {
	var r []detached
	for _, x := range l {
		if c := g.conns[x.ID]; c != nil {
			delete(g.conns, x.ID)
			r = append(r, detached{x, c})
		}
	}
	return r
}

// abort closes connections that the ledger has removed. What the kernel holds for them is discarded, but for idle ones, whose end is
// ordinary.
func (g *Guard) abort(l []detached, now time.Time) {
	for _, x := range l {
		g.observer.Limited(g.Name, x.Reason)
		if x.Reason == limits.ReasonIdle {
			_ = x.conn.Conn.Close()
			continue
		}
		g.logger.Warn().Str("Listener", g.Name).Str("Reason", string(x.Reason)).Str("Phase", string(x.Phase)).Int("Received", x.Received).
			Dur("Age", now.Sub(x.Since)).Str("From", x.conn.RemoteAddr().String()).Str("Decision", "CloseConnection").Msg("connection of a client is closed")
		x.conn.discard()
	}
}

// refuse counts and logs a connection or a request that is refused.
func (g *Guard) refuse(r limits.Reason, from net.Addr) {
	g.observer.Limited(g.Name, r)
	g.logger.Warn().Str("Listener", g.Name).Str("Reason", string(r)).Str("From", from.String()).Str("Decision", "RefuseClient").Msg("client is refused")
}

// listener admits connections.
type listener struct {
	net.Listener

	guard *Guard
	phase limits.Phase
}

// Accept returns the next connection that the guard admits. It goes on after an error that may pass.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case err == nil:
			if x := l.guard.admit(c, l.phase); x != nil {
				return x, nil
			}
		case errors.Is(err, net.ErrClosed):
			return nil, err
		default:
			l.guard.logger.Warn().Err(err).Str("Listener", l.guard.Name).Str("Decision", "AcceptAgain").Msg("connection was not accepted")
			time.Sleep(acceptBackoff)
		}
	}
}

// admit returns the guarded connection, or closes it and returns nil.
func (g *Guard) admit(c net.Conn, p limits.Phase) net.Conn {
	now := time.Now()
	x := &Conn{Conn: c, guard: g}
	g.mu.Lock()
	id, l, err := g.ledger.Open(p, now)
	closing := g.detach(l)
	if err == nil {
		x.id = id
		g.conns[id] = x
	}
	g.mu.Unlock()
	g.abort(closing, now)
	if e := (*limits.RefusedError)(nil); errors.As(err, &e) {
		g.refuse(e.Reason, c.RemoteAddr())
		x.discard()
		return nil
	}
	return x
}

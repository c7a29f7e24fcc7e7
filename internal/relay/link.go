package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"currantknot.dev/currantknot/internal/frame"
	"currantknot.dev/currantknot/internal/storepath"
)

const (
	// pingInterval is the time between two pings of a relay.
	pingInterval = 250 * time.Millisecond
	// receiveTimeout is the time for the next frame to arrive, after which a connection is closed.
	receiveTimeout = 800 * time.Millisecond
	// writeTimeout bounds the write of a frame.
	writeTimeout = time.Second
	// maxQueuedCalls bounds the calls, or responses, queued for one connection.
	maxQueuedCalls = 1024
	// maxCallsPerFrame bounds the calls, or responses, in one frame.
	maxCallsPerFrame = 128
)

// link is the owner's side of the connection to one relay.
type link struct {
	*appendClient
	conn net.Conn
	// identity is the owner's identity.
	identity string
	// ownReach returns whether the owner's instance reaches the store; nil if that is not known. reach is what the relay said last.
	ownReach func() storepath.Reach
	reach    atomic.Int64
	// commits is what the owner's instance exchanges with relays about commits; nil if it exchanges nothing.
	commits  Commits
	calls    chan call
	appended chan appendResult
	pongs    chan time.Duration

	mu     sync.Mutex
	lastID uint64
	// pending holds, by call ID, the channel that gets the response.
	pending map[uint64]chan response
}

func newLink(c net.Conn, identity string) *link {
	return &link{
		appendClient: newAppendClient(), conn: c, identity: identity, calls: make(chan call, maxQueuedCalls), appended: make(chan appendResult, maxQueuedAppends), pongs: make(chan time.Duration, 1),
		pending: make(map[uint64]chan response),
	}
}

// LinkError reports a call for which no relay returned a result; the worker may have executed the call.
type LinkError struct {
	Relay  string
	Reason string
	// Lost means that the connection to the relay is lost.
	Lost bool
}

// Error names the relay and the reason.
func (e *LinkError) Error() string { return "relay " + e.Relay + ": " + e.Reason }

// call sends a call through the relay of the given name and waits for the response.
func (l *link) call(ctx context.Context, name string, c call) (response, error) {
	w := make(chan response, 1)
	l.mu.Lock()
	l.lastID++
	c.ID = l.lastID
	l.pending[c.ID] = w
	l.mu.Unlock()
	defer l.removePending(c.ID)
	select {
	case l.calls <- c:
	default:
		return response{}, &LinkError{Relay: name, Reason: "call queue is full"}
	}
	select {
	case r := <-w:
		return r, nil
	case <-l.closed:
		return response{}, &LinkError{Relay: name, Reason: "connection lost", Lost: true}
	case <-ctx.Done():
		return response{}, fmt.Errorf("relay %s: %w", name, ctx.Err())
	}
}

func (l *link) removePending(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// deliver passes responses to the calls that wait for them.
func (l *link) deliver(rs []response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range rs {
		if w := l.pending[r.ID]; w != nil {
			w <- r
			delete(l.pending, r.ID)
		}
	}
}

// readLoop reads the relay's frames until the connection is lost. It queues pongs, delivers responses, and then passes each
// frame to handle.
func (l *link) readLoop(handle func(*toOwner)) error {
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(receiveTimeout)); err != nil {
			return fmt.Errorf("set read deadline: %w", err)
		}
		var m toOwner
		if _, err := frame.Read(l.conn, &m); err != nil {
			return err
		}
		if m.Ping != 0 {
			l.reach.Store(int64(m.Reach))
			learnCommit(l.commits, m.Commit)
			select {
			case l.pongs <- m.Ping:
			default:
			}
		}
		l.deliver(m.responses())
		l.deliverAppended(m.Appended)
		handle(&m)
	}
}

// writeLoop sends pongs and calls, batching queued calls, until the connection is closed or a write fails.
func (l *link) writeLoop() error {
	identity := l.identity
	for {
		var m toRelay
		select {
		case <-l.closed:
			return nil
		case m.Echo = <-l.pongs:
			m.OwnerTime = bootTime(time.Now())
			m.Commit = sendCommit(l.commits)
			m.Owner, identity = identity, ""
			if l.ownReach != nil {
				m.Reach = l.ownReach()
			}
		case c := <-l.calls:
			m.Calls = collectBatch(l.calls, c)
		case x := <-l.appends:
			m.Appends = collectBatch(l.appends, x)
		case r := <-l.appended:
			m.Appended = collectBatch(l.appended, r)
		}
		if err := writeFrame(l.conn, &m); err != nil {
			return err
		}
	}
}

// collectBatch returns the first message and further queued ones, at most maxCallsPerFrame in all.
func collectBatch[T any](c <-chan T, first T) []T {
	l := []T{first}
	for len(l) < maxCallsPerFrame {
		select {
		case x := <-c:
			l = append(l, x)
		default:
			return l
		}
	}
	return l
}

func writeFrame(c net.Conn, m any) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	_, err := frame.Write(c, m)
	return err
}

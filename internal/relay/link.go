package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"currantknot.dev/currantknot/internal/frame"
)

const (
	// pingEvery is the time between two pings of a relay.
	pingEvery = 250 * time.Millisecond
	// silenceLimit is the time without a frame after which a connection is given up.
	silenceLimit = 800 * time.Millisecond
	// writeTimeout bounds the time to write a frame.
	writeTimeout = time.Second
	// queuedCalls is the number of calls, or answers, that wait for a connection.
	queuedCalls = 1024
	// frameCalls bounds the calls, or answers, of one frame.
	frameCalls = 128
)

// link is the owner's end of the connection to one relay.
type link struct {
	conn   net.Conn
	calls  chan call
	pongs  chan time.Duration
	closed chan struct{}

	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan answer
}

func newLink(c net.Conn) *link {
	return &link{
		conn: c, calls: make(chan call, queuedCalls), pongs: make(chan time.Duration, 1), closed: make(chan struct{}),
		waiting: make(map[uint64]chan answer),
	}
}

// LinkError reports a call whose relay gave no answer; it may have been carried out.
type LinkError struct {
	Relay  string
	Reason string
	// Lost tells that the connection to the relay is lost.
	Lost bool
}

// Error names the relay and the reason.
func (e *LinkError) Error() string { return "relay " + e.Relay + ": " + e.Reason }

// call sends a call and waits for its answer.
func (l *link) call(ctx context.Context, name string, c call) (answer, error) {
	w := make(chan answer, 1)
	l.mu.Lock()
	l.lastID++
	c.ID = l.lastID
	l.waiting[c.ID] = w
	l.mu.Unlock()
	defer l.drop(c.ID)
	select {
	case l.calls <- c:
	default:
		return answer{}, &LinkError{Relay: name, Reason: "too many calls wait"}
	}
	select {
	case a := <-w:
		return a, nil
	case <-l.closed:
		return answer{}, &LinkError{Relay: name, Reason: "connection lost", Lost: true}
	case <-ctx.Done():
		return answer{}, fmt.Errorf("relay %s: %w", name, ctx.Err())
	}
}

func (l *link) drop(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// settle hands answers to the calls that wait for them.
func (l *link) settle(as []answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range as {
		if w := l.waiting[a.ID]; w != nil {
			w <- a
			delete(l.waiting, a.ID)
		}
	}
}

// read passes the relay's frames on until the connection ends.
func (l *link) read(took func(*toOwner)) error {
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(silenceLimit)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		var m toOwner
		if _, err := frame.Read(l.conn, &m); err != nil {
			return err
		}
		if m.Ping != 0 {
			select {
			case l.pongs <- m.Ping:
			default:
			}
		}
		l.settle(m.Answers)
		took(&m)
	}
}

// write sends calls, as many at once as wait, until the connection ends.
func (l *link) write() error {
	for {
		var m toRelay
		select {
		case <-l.closed:
			return nil
		case m.Echo = <-l.pongs:
			m.At = bootTime(time.Now())
		case c := <-l.calls:
			m.Calls = gather(l.calls, c)
		}
		if err := writeFrame(l.conn, &m); err != nil {
			return err
		}
	}
}

// gather returns the first message and those that wait behind it.
func gather[T any](c <-chan T, first T) []T {
	l := []T{first}
	for len(l) < frameCalls {
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
		return fmt.Errorf("set deadline: %w", err)
	}
	_, err := frame.Write(c, m)
	return err
}

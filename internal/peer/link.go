package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout is the maximum time to connect to another instance.
	dialTimeout = time.Second
	// writeTimeout is the maximum time to write a frame.
	writeTimeout = 2 * time.Second
	// linkQueueSize is the maximum number of frames that wait to be written to a connection.
	linkQueueSize = 256
	// redialDelay is the time from the end of a connection, or from a failed dial, to the next dial.
	redialDelay = 300 * time.Millisecond
)

// link keeps a connection to one other instance. When the connection breaks, it connects again.
type link struct {
	mesh     *Mesh
	address  string
	cancel   context.CancelFunc
	outgoing chan *Message

	// mu guards the fields below.
	mu     sync.Mutex
	lastID uint64
	// pending holds the channels of calls that wait for their response, by message ID.
	pending map[uint64]chan *Message
	// sentDemands holds the demands as last sent, by service.
	sentDemands map[string]float32
	// heartbeatCount is the number of heartbeats since the connection was established.
	heartbeatCount int
}

func newLink(ctx context.Context, m *Mesh, address string) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{
		mesh: m, address: address, cancel: cancel,
		outgoing: make(chan *Message, linkQueueSize), pending: make(map[uint64]chan *Message), sentDemands: make(map[string]float32),
	}
	go l.run(ctx)
	return l
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.runConnection(ctx); err != nil && ctx.Err() == nil {
			l.mesh.Logger.Debug().Err(err).Str("Address", l.address).Msg("connection to peer failed")
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// runConnection dials, and then exchanges frames until the connection breaks.
func (l *link) runConnection(ctx context.Context) error {
	c, err := l.dial(ctx)
	if err != nil {
		return fmt.Errorf("dial peer %s: %w", l.address, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = c.Close() })
	l.reset()
	go func() {
		defer cancel()
		l.readLoop(c)
	}()
	for {
		select {
		case <-ctx.Done():
			l.failPending()
			return ctx.Err()
		case f := <-l.outgoing:
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			n, err := WriteFrame(c, f)
			l.mesh.Counters.SentBytes.Add(int64(n))
			if err != nil {
				l.failPending()
				return err
			}
		}
	}
}

func (l *link) dial(ctx context.Context) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	if l.mesh.TLS == nil {
		return d.DialContext(ctx, "tcp", l.address)
	}
	return (&tls.Dialer{NetDialer: d, Config: l.mesh.TLS}).DialContext(ctx, "tcp", l.address)
}

func (l *link) readLoop(c net.Conn) {
	for {
		m, n, err := ReadFrame(c)
		l.mesh.Counters.ReceivedBytes.Add(int64(n))
		if err != nil {
			l.mesh.countBadFrame(err, l.address)
			return
		}
		l.mu.Lock()
		p := l.pending[m.ID]
		delete(l.pending, m.ID)
		l.mu.Unlock()
		if p != nil {
			p <- m
		}
	}
}

// failPending fails all calls that wait for a response on a broken connection.
func (l *link) failPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, c := range l.pending {
		close(c)
		delete(l.pending, id)
	}
}

// reset prepares the link for a new connection. It fails all pending calls, drops the frames that were queued for the
// broken connection, and lets the next heartbeat hold all demands.
func (l *link) reset() {
	l.failPending()
	for {
		select {
		case <-l.outgoing:
			continue
		default:
		}
		break
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heartbeatCount = 0
}

// sendHeartbeat queues a heartbeat. The first heartbeat on a connection, and every fullHeartbeatInterval-th after it,
// holds all positive demands. Any other heartbeat holds only the demands that changed by more than minDemandChange
// since they were last sent.
func (l *link) sendHeartbeat(h Heartbeat) {
	l.mu.Lock()
	if l.heartbeatCount%fullHeartbeatInterval == 0 {
		h.AllDemands = true
		clear(l.sentDemands)
	}
	l.heartbeatCount++
	d := make(map[string]float32)
	for k, v := range h.Demands {
		o := l.sentDemands[k]
		if h.AllDemands && v > 0 || math.Abs(float64(v-o)) > minDemandChange*float64(max(o, 1)) {
			d[k], l.sentDemands[k] = v, v
		}
	}
	h.Demands = d
	l.mu.Unlock()
	l.enqueue(&Message{Heartbeat: &h})
}

// enqueue queues a frame and reports whether there was space in the queue.
func (l *link) enqueue(m *Message) bool {
	select {
	case l.outgoing <- m:
		return true
	default:
		return false
	}
}

// call sends a request and waits for its response. It returns an *UnreachableError if the queue is full or the
// connection breaks.
func (l *link) call(ctx context.Context, m *Message) (*Message, error) {
	c := make(chan *Message, 1)
	q := *m
	l.mu.Lock()
	l.lastID++
	q.ID = l.lastID
	l.pending[q.ID] = c
	l.mu.Unlock()
	if !l.enqueue(&q) {
		l.removePending(q.ID)
		return nil, &UnreachableError{Name: l.address}
	}
	select {
	case r, ok := <-c:
		if !ok {
			return nil, &UnreachableError{Name: l.address}
		}
		return r, nil
	case <-ctx.Done():
		l.removePending(q.ID)
		return nil, fmt.Errorf("call peer %s: %w", l.address, ctx.Err())
	}
}

func (l *link) removePending(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

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
	// dialTimeout bounds the time to connect to another instance.
	dialTimeout = time.Second
	// writeTimeout bounds the time to write a frame.
	writeTimeout = 2 * time.Second
	// linkQueue is the number of frames that wait for a connection.
	linkQueue = 256
	// redialDelay is the time between two attempts to connect.
	redialDelay = 300 * time.Millisecond
)

// link is the connection to one other instance, remade when it breaks.
type link struct {
	mesh    *Mesh
	address string
	close   context.CancelFunc
	frames  chan *Message

	// mu guards the fields below.
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan *Message
	told    map[string]float32
	beats   int
}

func newLink(ctx context.Context, m *Mesh, address string) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{
		mesh: m, address: address, close: cancel,
		frames: make(chan *Message, linkQueue), waiting: make(map[uint64]chan *Message), told: make(map[string]float32),
	}
	go l.run(ctx)
	return l
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.connect(ctx); err != nil && ctx.Err() == nil {
			l.mesh.Logger.Debug().Err(err).Str("Address", l.address).Msg("peer link broken")
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// connect dials and exchanges frames until the connection breaks.
func (l *link) connect(ctx context.Context) error {
	c, err := l.dial(ctx)
	if err != nil {
		return fmt.Errorf("dial peer %s: %w", l.address, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = c.Close() })
	l.renew()
	go func() {
		defer cancel()
		l.read(c)
	}()
	for {
		select {
		case <-ctx.Done():
			l.failWaiting()
			return ctx.Err()
		case f := <-l.frames:
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			n, err := WriteFrame(c, f)
			l.mesh.Counts.SentBytes.Add(int64(n))
			if err != nil {
				l.failWaiting()
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

func (l *link) read(c net.Conn) {
	for {
		m, n, err := ReadFrame(c)
		l.mesh.Counts.ReceivedBytes.Add(int64(n))
		if err != nil {
			l.mesh.countBad(err, l.address)
			return
		}
		l.mu.Lock()
		w := l.waiting[m.ID]
		delete(l.waiting, m.ID)
		l.mu.Unlock()
		if w != nil {
			w <- m
		}
	}
}

// failWaiting ends all calls on a broken connection.
func (l *link) failWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, w := range l.waiting {
		close(w)
		delete(l.waiting, id)
	}
}

// renew drops what was queued for a broken connection and makes the next heartbeat hold all demands.
func (l *link) renew() {
	l.failWaiting()
	for {
		select {
		case <-l.frames:
			continue
		default:
		}
		break
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beats = 0
}

// beat queues a heartbeat with the demands that have changed since the last one.
func (l *link) beat(h Heartbeat) {
	l.mu.Lock()
	if l.beats%fullEvery == 0 {
		h.Full = true
		clear(l.told)
	}
	l.beats++
	d := make(map[string]float32)
	for k, v := range h.Demands {
		o := l.told[k]
		if h.Full && v > 0 || math.Abs(float64(v-o)) > demandStep*float64(max(o, 1)) {
			d[k], l.told[k] = v, v
		}
	}
	h.Demands = d
	l.mu.Unlock()
	l.send(&Message{Heartbeat: &h})
}

// send queues a frame, unless too many wait already.
func (l *link) send(m *Message) bool {
	select {
	case l.frames <- m:
		return true
	default:
		return false
	}
}

func (l *link) call(ctx context.Context, m *Message) (*Message, error) {
	w := make(chan *Message, 1)
	q := *m
	l.mu.Lock()
	l.lastID++
	q.ID = l.lastID
	l.waiting[q.ID] = w
	l.mu.Unlock()
	if !l.send(&q) {
		l.drop(q.ID)
		return nil, &UnreachableError{Name: l.address}
	}
	select {
	case a, ok := <-w:
		if !ok {
			return nil, &UnreachableError{Name: l.address}
		}
		return a, nil
	case <-ctx.Done():
		l.drop(q.ID)
		return nil, fmt.Errorf("call peer %s: %w", l.address, ctx.Err())
	}
}

func (l *link) drop(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

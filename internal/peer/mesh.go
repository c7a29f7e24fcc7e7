package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"currantknot.dev/currantknot/internal/frame"
)

const (
	// deadAfter is the time without a heartbeat after which a member counts as dead.
	deadAfter = 2 * time.Second
	// forgetAfter is the time after which a dead member is dropped.
	forgetAfter = time.Minute
	// fullEvery is the number of heartbeats between two that hold all demands.
	fullEvery = 20
	// demandStep is the relative change of a demand that is worth telling.
	demandStep = 0.15
)

// Handler answers requests of other instances.
type Handler interface {
	// Handle returns the answer to a request, nil where there is none.
	Handle(ctx context.Context, m *Message) *Message
	// Beat returns the heartbeat to send now, with all demands.
	Beat(now time.Time) Heartbeat
	// OnMembers tells that a heartbeat has come or a member has gone.
	OnMembers(now time.Time)
}

// Config holds the settings of a mesh.
type Config struct {
	Name        string
	Incarnation int64
	// Advertise is the address under which the others reach this instance.
	Advertise string
	BeatEvery time.Duration
	// TLS protects all connections with certificates of both sides, nil for none.
	TLS    *tls.Config
	Logger zerolog.Logger
}

// Member is what is known of another instance.
type Member struct {
	Heartbeat

	SeenAt time.Time
}

// Counts holds the mesh's use of the network.
type Counts struct {
	SentBytes     atomic.Int64
	ReceivedBytes atomic.Int64
	BadFrames     atomic.Int64
}

// Mesh connects an instance with all others.
type Mesh struct {
	Config

	Counts  Counts
	handler Handler

	// mu guards the fields below.
	mu      sync.Mutex
	members map[string]*Member
	links   map[string]*link
	wanted  map[string]bool
}

// NewMesh returns a mesh that is not connected yet.
func NewMesh(c Config, h Handler) *Mesh {
	return &Mesh{
		Config: c, handler: h,
		members: make(map[string]*Member), links: make(map[string]*link), wanted: make(map[string]bool),
	}
}

// SetAddresses replaces the addresses to connect to, besides those that heartbeats tell.
func (m *Mesh) SetAddresses(as []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.wanted)
	for _, a := range as {
		m.wanted[a] = true
	}
}

// Live returns the members with a recent heartbeat in the order of their names.
func (m *Mesh) Live(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var a []Member
	for _, x := range m.members {
		if now.Sub(x.SeenAt) < deadAfter {
			c := *x
			c.Demands = maps.Clone(x.Demands)
			a = append(a, c)
		}
	}
	slices.SortFunc(a, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	return a
}

// Run serves other instances on the listener and sends heartbeats until the context ends.
func (m *Mesh) Run(ctx context.Context, l net.Listener) error {
	if m.TLS != nil {
		l = tls.NewListener(l, m.TLS)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.accept(ctx, l) })
	g.Go(func() error { return m.beat(ctx) })
	context.AfterFunc(ctx, func() { _ = l.Close() })
	err := g.Wait()
	m.closeLinks()
	return err
}

func (m *Mesh) accept(ctx context.Context, l net.Listener) error {
	var w sync.WaitGroup
	defer w.Wait()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("accept peer: %w", err)
		}
		w.Go(func() { m.serve(ctx, c) })
	}
}

// serve answers the frames of one incoming connection.
func (m *Mesh) serve(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = c.Close() })
	var w sync.WaitGroup
	defer w.Wait()
	var mu sync.Mutex
	for {
		q, n, err := ReadFrame(c)
		m.Counts.ReceivedBytes.Add(int64(n))
		if err != nil {
			m.countBad(err, c.RemoteAddr().String())
			cancel()
			return
		}
		if q.Heartbeat != nil {
			m.onHeartbeat(q.Heartbeat, time.Now())
			continue
		}
		w.Go(func() { m.answer(ctx, c, &mu, q) })
	}
}

func (m *Mesh) countBad(err error, from string) {
	var f *frame.Error
	if errors.As(err, &f) {
		m.Counts.BadFrames.Add(1)
		m.Logger.Warn().Err(err).Str("From", from).Msg("peer connection closed")
	}
}

func (m *Mesh) answer(ctx context.Context, c net.Conn, mu *sync.Mutex, q *Message) {
	a := m.handler.Handle(ctx, q)
	if a == nil {
		return
	}
	a.ID = q.ID
	mu.Lock()
	defer mu.Unlock()
	n, _ := WriteFrame(c, a)
	m.Counts.SentBytes.Add(int64(n))
}

func (m *Mesh) onHeartbeat(h *Heartbeat, now time.Time) {
	if h.Name == m.Name {
		return
	}
	m.mu.Lock()
	x := m.members[h.Name]
	if x != nil && h.Incarnation < x.Incarnation {
		m.mu.Unlock()
		return
	}
	d := make(map[string]float32)
	if x != nil && !h.Full && x.Incarnation == h.Incarnation {
		d = x.Demands
	}
	if d == nil {
		d = make(map[string]float32)
	}
	maps.Copy(d, h.Demands)
	n := &Member{Heartbeat: *h, SeenAt: now}
	n.Demands = d
	m.members[h.Name] = n
	m.mu.Unlock()
	m.handler.OnMembers(now)
}

func (m *Mesh) beat(ctx context.Context) error {
	t := time.NewTicker(m.BeatEvery)
	defer t.Stop()
	for {
		m.beatOnce(ctx, time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (m *Mesh) beatOnce(ctx context.Context, now time.Time) {
	h := m.handler.Beat(now)
	h.Name, h.Incarnation, h.Address = m.Name, m.Incarnation, m.Advertise
	for _, l := range m.currentLinks(ctx, now) {
		l.beat(h)
	}
	m.handler.OnMembers(now)
}

// currentLinks returns a link to each wanted address and each live member, and closes all others.
func (m *Mesh) currentLinks(ctx context.Context, now time.Time) []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := maps.Clone(m.wanted)
	for n, x := range m.members {
		switch {
		case now.Sub(x.SeenAt) > forgetAfter:
			delete(m.members, n)
		case now.Sub(x.SeenAt) < deadAfter:
			w[x.Address] = true
		}
	}
	delete(w, m.Advertise)
	for a, l := range m.links {
		if !w[a] {
			l.close()
			delete(m.links, a)
		}
	}
	var ls []*link
	for a := range w {
		if m.links[a] == nil {
			m.links[a] = newLink(ctx, m, a)
		}
		ls = append(ls, m.links[a])
	}
	return ls
}

func (m *Mesh) closeLinks() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.close()
	}
}

// UnreachableError reports an instance without a connection.
type UnreachableError struct {
	Name string
}

// Error names the instance.
func (e *UnreachableError) Error() string { return "no connection to instance " + e.Name }

// Call sends a request to the named instance and returns its answer.
func (m *Mesh) Call(ctx context.Context, name string, q *Message) (*Message, error) {
	m.mu.Lock()
	var l *link
	if x := m.members[name]; x != nil {
		l = m.links[x.Address]
	}
	m.mu.Unlock()
	if l == nil {
		return nil, &UnreachableError{Name: name}
	}
	return l.call(ctx, q)
}

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
	// memberTimeout is the time without a heartbeat after which a member is considered dead.
	memberTimeout = 2 * time.Second
	// memberRetention is the time without a heartbeat after which a member is removed.
	memberRetention = time.Minute
	// fullHeartbeatInterval is the number of heartbeats of which one holds all demands.
	fullHeartbeatInterval = 20
	// minDemandChange is the change of a demand above which the demand is sent again, as a fraction of the last sent
	// demand. Last sent demands below 1 count as 1.
	minDemandChange = 0.15
)

// Handler handles the requests of other instances and provides the content of heartbeats.
type Handler interface {
	// Handle returns the response to a request, or nil if there is none.
	Handle(ctx context.Context, m *Message) *Message
	// Heartbeat returns the heartbeat to send now, with all demands. The mesh sets Name, Incarnation and Address.
	Heartbeat(now time.Time) Heartbeat
	// OnMembersUpdate is called after each received heartbeat, and at each heartbeat interval because members can time
	// out.
	OnMembersUpdate(now time.Time)
}

// Config holds the settings of a mesh.
type Config struct {
	Name string
	// Incarnation tells apart successive processes with the same name: a later one has a higher value.
	Incarnation int64
	// Advertise is the address at which the other instances reach this one.
	Advertise         string
	HeartbeatInterval time.Duration
	// TLS is the configuration of all connections, with certificates on both sides. If nil, connections are not
	// encrypted.
	TLS    *tls.Config
	Logger zerolog.Logger
}

// Member is another instance, with its latest heartbeat.
type Member struct {
	Heartbeat

	// LastSeenAt is the time at which the heartbeat arrived.
	LastSeenAt time.Time
}

// Counters counts the bytes that a mesh exchanged and the frames that did not decode.
type Counters struct {
	SentBytes     atomic.Int64
	ReceivedBytes atomic.Int64
	BadFrames     atomic.Int64
}

// Mesh connects an instance to all others.
type Mesh struct {
	Config

	Counters Counters
	handler  Handler

	// mu guards the fields below.
	mu sync.Mutex
	// members holds the members by name.
	members map[string]*Member
	// links holds the links by address.
	links map[string]*link
	// configuredAddresses holds the addresses given to SetAddresses.
	configuredAddresses map[string]bool
}

// NewMesh returns a mesh that is not connected yet.
func NewMesh(c Config, h Handler) *Mesh {
	return &Mesh{
		Config: c, handler: h,
		members: make(map[string]*Member), links: make(map[string]*link), configuredAddresses: make(map[string]bool),
	}
}

// SetAddresses replaces the configured addresses. The mesh connects to these and to the addresses in heartbeats.
func (m *Mesh) SetAddresses(as []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.configuredAddresses)
	for _, a := range as {
		m.configuredAddresses[a] = true
	}
}

// LiveMembers returns the members with a recent heartbeat, sorted by name.
func (m *Mesh) LiveMembers(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var a []Member
	for _, x := range m.members {
		if now.Sub(x.LastSeenAt) < memberTimeout {
			c := *x
			c.Demands = maps.Clone(x.Demands)
			a = append(a, c)
		}
	}
	slices.SortFunc(a, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	return a
}

// Run serves other instances on the listener and sends heartbeats until the context is done.
func (m *Mesh) Run(ctx context.Context, l net.Listener) error {
	if m.TLS != nil {
		l = tls.NewListener(l, m.TLS)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.acceptLoop(ctx, l) })
	g.Go(func() error { return m.heartbeatLoop(ctx) })
	context.AfterFunc(ctx, func() { _ = l.Close() })
	err := g.Wait()
	m.closeLinks()
	return err
}

func (m *Mesh) acceptLoop(ctx context.Context, l net.Listener) error {
	var w sync.WaitGroup
	defer w.Wait()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("accept peer connection: %w", err)
		}
		w.Go(func() { m.serveConnection(ctx, c) })
	}
}

// serveConnection handles the frames of one incoming connection.
func (m *Mesh) serveConnection(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = c.Close() })
	var w sync.WaitGroup
	defer w.Wait()
	var mu sync.Mutex
	for {
		q, n, err := ReadFrame(c)
		m.Counters.ReceivedBytes.Add(int64(n))
		if err != nil {
			m.countBadFrame(err, c.RemoteAddr().String())
			cancel()
			return
		}
		if q.Heartbeat != nil {
			m.handleHeartbeat(q.Heartbeat, time.Now())
			continue
		}
		w.Go(func() { m.handleRequest(ctx, c, &mu, q) })
	}
}

// countBadFrame counts and logs an error of ReadFrame if a bad frame caused it.
func (m *Mesh) countBadFrame(err error, from string) {
	var f *frame.Error
	if errors.As(err, &f) {
		m.Counters.BadFrames.Add(1)
		m.Logger.Warn().Err(err).Str("From", from).Msg("peer connection closed after a bad frame")
	}
}

// handleRequest handles a request and writes the response. mu serializes writes to the connection.
func (m *Mesh) handleRequest(ctx context.Context, c net.Conn, mu *sync.Mutex, q *Message) {
	r := m.handler.Handle(ctx, q)
	if r == nil {
		return
	}
	r.ID = q.ID
	mu.Lock()
	defer mu.Unlock()
	n, _ := WriteFrame(c, r)
	m.Counters.SentBytes.Add(int64(n))
}

// handleHeartbeat updates the member that sent the heartbeat. If the heartbeat holds only changed demands, these are
// merged into the earlier demands of the same incarnation. A heartbeat of an earlier incarnation is dropped.
func (m *Mesh) handleHeartbeat(h *Heartbeat, now time.Time) {
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
	if x != nil && !h.AllDemands && x.Incarnation == h.Incarnation {
		d = x.Demands
	}
	if d == nil {
		d = make(map[string]float32)
	}
	maps.Copy(d, h.Demands)
	n := &Member{Heartbeat: *h, LastSeenAt: now}
	n.Demands = d
	m.members[h.Name] = n
	m.mu.Unlock()
	m.handler.OnMembersUpdate(now)
}

func (m *Mesh) heartbeatLoop(ctx context.Context) error {
	t := time.NewTicker(m.HeartbeatInterval)
	defer t.Stop()
	for {
		m.sendHeartbeats(ctx, time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (m *Mesh) sendHeartbeats(ctx context.Context, now time.Time) {
	h := m.handler.Heartbeat(now)
	h.Name, h.Incarnation, h.Address = m.Name, m.Incarnation, m.Advertise
	for _, l := range m.updateLinks(ctx, now) {
		l.sendHeartbeat(h)
	}
	m.handler.OnMembersUpdate(now)
}

// updateLinks returns the links to all configured addresses and live members. It creates missing links, closes all
// others, and removes the members whose last heartbeat is older than memberRetention.
func (m *Mesh) updateLinks(ctx context.Context, now time.Time) []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	as := maps.Clone(m.configuredAddresses)
	for n, x := range m.members {
		switch {
		case now.Sub(x.LastSeenAt) > memberRetention:
			delete(m.members, n)
		case now.Sub(x.LastSeenAt) < memberTimeout:
			as[x.Address] = true
		}
	}
	delete(as, m.Advertise)
	for a, l := range m.links {
		if !as[a] {
			l.cancel()
			delete(m.links, a)
		}
	}
	var ls []*link
	for a := range as {
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
		l.cancel()
	}
}

// UnreachableError reports that there is no working connection to an instance, or that the queue of the connection is
// full. Name is the name or the address of the instance.
type UnreachableError struct {
	Name string
}

// Error names the instance by name or address.
func (e *UnreachableError) Error() string { return "no connection to instance " + e.Name }

// Call sends a request to the named instance and returns its response.
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

package peer_test

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/peer"
)

// echo is a Handler that returns the subject of Explain requests. Its heartbeats hold demands.
type echo struct {
	mu      sync.Mutex
	demands map[string]float32
}

func (e *echo) Handle(_ context.Context, m *peer.Message) *peer.Message {
	return &peer.Message{Explain: m.Explain}
}

func (e *echo) Heartbeat(time.Time) peer.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	return peer.Heartbeat{Demands: e.demands}
}

func (e *echo) OnMembersUpdate(time.Time) {}

func (e *echo) setDemands(d map[string]float32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.demands = d
}

func start(t *testing.T, name string, h peer.Handler, peers ...string) (*peer.Mesh, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := peer.NewMesh(peer.Config{
		Name: name, Incarnation: 1, Advertise: l.Addr().String(), HeartbeatInterval: 20 * time.Millisecond, Logger: zerolog.Nop(),
	}, h)
	m.SetAddresses(peers)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx, l) }()
	t.Cleanup(func() { cancel(); <-done })
	return m, l.Addr().String()
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, 20*time.Second, 5*time.Millisecond)
}

func TestInstancesDiscoverEachOtherAndCall(t *testing.T) {
	h := &echo{}
	a, addr := start(t, "a", h)
	b, _ := start(t, "b", &echo{}, addr)
	eventually(t, func() bool { return len(a.LiveMembers(time.Now())) == 1 && len(b.LiveMembers(time.Now())) == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	m, err := a.Call(ctx, "b", &peer.Message{Explain: &peer.Explain{Subject: "x"}})
	require.NoError(t, err)
	require.Equal(t, "x", m.Explain.Subject)
	_, err = a.Call(ctx, "nobody", &peer.Message{})
	var u *peer.UnreachableError
	require.ErrorAs(t, err, &u)
}

func TestDemandsAndTheirChangesAreReplicated(t *testing.T) {
	h := &echo{demands: map[string]float32{"s": 3, "t": 1}}
	a, addr := start(t, "a", &echo{})
	start(t, "b", h, addr)
	demand := func(s string) float32 {
		for _, m := range a.LiveMembers(time.Now()) {
			return m.Demands[s]
		}
		return -1
	}
	eventually(t, func() bool { return demand("s") == 3 && demand("t") == 1 })
	h.setDemands(map[string]float32{"s": 9, "t": 1})
	eventually(t, func() bool { return demand("s") == 9 && demand("t") == 1 })
	h.setDemands(map[string]float32{"s": 0, "t": 1})
	eventually(t, func() bool { return demand("s") == 0 && demand("t") == 1 })
}

func TestHeartbeatOfAnEarlierIncarnationIsDropped(t *testing.T) {
	a, addr := start(t, "a", &echo{})
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	for _, h := range []peer.Heartbeat{
		{Name: "b", Incarnation: 5, Domain: "new"},
		{Name: "b", Incarnation: 4, Domain: "old"},
		{Name: "c", Incarnation: 1},
	} {
		_, err := peer.WriteFrame(c, &peer.Message{Heartbeat: &h})
		require.NoError(t, err)
	}
	eventually(t, func() bool { return len(a.LiveMembers(time.Now())) == 2 })
	require.Equal(t, "new", a.LiveMembers(time.Now())[0].Domain)
}

func TestFrameThatDoesNotDecodeClosesTheConnection(t *testing.T) {
	a, addr := start(t, "a", &echo{})
	for _, b := range [][]byte{{0, 0, 0, 3, 0xc1, 0xc1, 0xc1}, {0xff, 0xff, 0xff, 0xff}} {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, err = c.Write(b)
		require.NoError(t, err)
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		_, err = c.Read(make([]byte, 1))
		require.Error(t, err)
		var n net.Error
		require.False(t, asNetError(err, &n) && n.Timeout(), "the connection must be closed")
		c.Close()
	}
	require.EqualValues(t, 2, a.Counters.BadFrames.Load())
}

func asNetError(err error, n *net.Error) bool {
	x, ok := err.(net.Error) //nolint:errorlint // the error of a read is not wrapped
	*n = x
	return ok
}

func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	_, err := peer.WriteFrame(&b, &peer.Message{ID: 1, Key: &peer.Key{Verb: peer.KeyBegin, Key: "k"}})
	require.NoError(f, err)
	f.Add(b.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		m, n, err := peer.ReadFrame(bytes.NewReader(data))
		require.LessOrEqual(t, n, len(data))
		if err != nil {
			return
		}
		_, err = peer.WriteFrame(&bytes.Buffer{}, m)
		require.NoError(t, err)
	})
}

package inbound_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/inbound"
	"currantknot.dev/currantknot/internal/limits"
)

// The body is refused when its bytes have no room, and the connection ends although the rest of the body never comes.
func TestBodyWithoutRoomIsRefusedAtOnce(t *testing.T) {
	l := testLimits()
	l.StallTimeout, l.Patience = time.Hour, time.Hour
	s := newServer(t, l, collect)
	holder := s.send(post + "Content-Length: 20000\r\n\r\n" + strings.Repeat("a", 19000))
	s.eventually("the body is held", func() bool {
		_, n := s.guard.Use()
		return n >= 38000
	})
	c := s.send(post + "Content-Length: 40000\r\n\r\n" + strings.Repeat("a", 20000))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	require.True(t, isClosed(c))
	require.Equal(t, 1, s.counter.count(limits.ReasonMemory))
	s.requireServes()
	require.NoError(t, holder.Close())
	s.eventually("all room is returned", func() bool {
		_, n := s.guard.Use()
		return n == 0
	})
}

// An ordinary request is served while bodies that stopped hold all the room: the one without progress is displaced.
func TestStoppedBodyIsDisplacedByARequest(t *testing.T) {
	l := testLimits()
	l.StallTimeout = time.Hour
	s := newServer(t, l, collect)
	for range 3 {
		s.send(post + "Content-Length: 60000\r\n\r\n" + strings.Repeat("a", 10000))
	}
	c := s.send(post + "Content-Length: 20000\r\n\r\n" + strings.Repeat("b", 19000))
	s.requireServes()
	require.NoError(t, c.Close())
	require.Positive(t, s.counter.count(limits.ReasonDisplaced))
}

// The frame of another instance takes room as it arrives.
func TestConnTakesRoomForFrames(t *testing.T) {
	g := inbound.NewGuard("frames", testLimits(), &counter{counts: make(map[limits.Reason]int)}, zerolog.Nop())
	l, err := g.Listen(context.Background(), "127.0.0.1:0", limits.PhaseBody)
	require.NoError(t, err)
	defer l.Close()
	d, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer d.Close()
	a, err := l.Accept()
	require.NoError(t, err)
	c := a.(*inbound.Conn)
	require.NoError(t, c.Take(60<<10))
	require.True(t, inbound.IsRefused(c.Take(5<<10)))
	c.Give(2 << 10)
	require.NoError(t, c.Take(5<<10))
	require.NoError(t, c.Close())
	_, n := g.Use()
	require.Zero(t, n)
	require.ErrorIs(t, c.Take(1), limits.ErrClosed)
}

package inbound_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/inbound"
	"currantknot.dev/currantknot/internal/limits"
)

// waitTimeout bounds the wait for an expected event; it is not a latency requirement.
const waitTimeout = 20 * time.Second

// counter counts what a guard refuses and closes.
type counter struct {
	mu     sync.Mutex
	counts map[limits.Reason]int
}

// Limited implements inbound.Observer.
func (c *counter) Limited(_ string, r limits.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[r]++
}

func (c *counter) count(r limits.Reason) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[r]
}

// server is an HTTP server behind a guard.
type server struct {
	*testing.T
	guard   *inbound.Guard
	counter *counter
	address string
}

// testLimits allow four connections with short timeouts.
func testLimits() limits.Limits {
	return limits.Limits{
		Connections: 4, Bytes: 64 << 10, HeadBytes: 8 << 10, HeadTimeout: 600 * time.Millisecond, IdleTimeout: time.Minute,
		StallTimeout: 600 * time.Millisecond, MinBytesPerSecond: 10, BodyTimeout: time.Minute, AnswerTimeout: 600 * time.Millisecond,
		Patience: 100 * time.Millisecond, ReceiveBufferBytes: 16 << 10, SendBufferBytes: 16 << 10,
	}
}

// newServer serves a handler that collects bodies and answers with their length.
func newServer(t *testing.T, l limits.Limits, h http.HandlerFunc) *server {
	t.Helper()
	s := &server{T: t, counter: &counter{counts: make(map[limits.Reason]int)}}
	s.guard = inbound.NewGuard("test", l, s.counter, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	x, err := s.guard.Listen(ctx, "127.0.0.1:0", limits.PhaseHead)
	require.NoError(t, err)
	s.address = x.Addr().String()
	hs := s.guard.Server(h, true)
	var w sync.WaitGroup
	w.Go(func() { _ = hs.Serve(x) })
	w.Go(func() { inbound.Run(ctx, s.guard) })
	t.Cleanup(func() {
		cancel()
		_ = hs.Close()
		w.Wait()
	})
	return s
}

// collect answers with the length of the body, or with the status for a body that is refused or cannot be read.
func collect(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	switch {
	case inbound.IsRefused(err):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		_, _ = fmt.Fprint(w, len(b))
	}
}

// send opens a connection and sends the given text.
func (s *server) send(text string) net.Conn {
	s.Helper()
	c, err := net.Dial("tcp", s.address)
	require.NoError(s, err)
	s.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(s, err)
	return c
}

// eventually waits until a condition holds.
func (s *server) eventually(what string, ok func() bool) {
	s.Helper()
	require.Eventually(s, ok, waitTimeout, 10*time.Millisecond, what)
}

// requireServes sends a request until it is answered.
func (s *server) requireServes() {
	s.Helper()
	s.eventually("a request is answered", func() bool {
		r, err := http.Post("http://"+s.address, "text/plain", strings.NewReader("abc"))
		if err != nil {
			return false
		}
		defer r.Body.Close()
		b, err := io.ReadAll(r.Body)
		return err == nil && string(b) == "3"
	})
}

// isClosed waits until the server has closed a connection, and reports whether it has.
func isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	_, err := io.Copy(io.Discard, c)
	var e net.Error
	return !errors.As(err, &e) || !e.Timeout()
}

const post = "POST / HTTP/1.1\r\nHost: a\r\n"

// Connections of clients that stopped were kept for ever, and their bodies with them.
func TestConnectionsOfClientsThatStopAreClosed(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		reason limits.Reason
	}{
		"nothing":         {"", limits.ReasonSlowHead},
		"head":            {post + "X-Field: a", limits.ReasonSlowHead},
		"body":            {post + "Content-Length: 100\r\n\r\nabc", limits.ReasonStalledBody},
		"chunks":          {post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", limits.ReasonStalledBody},
		"second body":     {post + "Content-Length: 3\r\n\r\nabc" + post + "Content-Length: 9\r\n\r\n", limits.ReasonStalledBody},
		"body not wanted": {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc", limits.ReasonUnreadAnswer},
	} {
		s := newServer(t, testLimits(), func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				collect(w, r)
			}
		})
		require.True(t, isClosed(s.send(c.text)), name)
		require.Equal(t, 1, s.counter.count(c.reason), name)
		s.requireServes()
	}
}

// A client that reads no answer kept its connection and what was to be sent on it.
func TestConnectionsOfClientsThatDoNotReadAreClosed(t *testing.T) {
	s := newServer(t, testLimits(), func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = w.Write(make([]byte, 16<<20))
			return
		}
		collect(w, r)
	})
	s.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	s.eventually("the connection is closed", func() bool {
		n, _ := s.guard.Use()
		return s.counter.count(limits.ReasonUnreadAnswer) > 0 && n == 0
	})
	s.requireServes()
}

func TestNumberOfConnectionsIsBounded(t *testing.T) {
	s := newServer(t, testLimits(), collect)
	for range 20 {
		if c, err := net.Dial("tcp", s.address); err == nil {
			defer c.Close()
		}
		n, _ := s.guard.Use()
		require.LessOrEqual(t, n, 4)
	}
	s.requireServes()
	require.Positive(t, s.counter.count(limits.ReasonConnections)+s.counter.count(limits.ReasonDisplaced))
}

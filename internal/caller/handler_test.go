package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/kit/metrics/discard"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/caller"
	"currantknot.dev/currantknot/internal/decision"
	"currantknot.dev/currantknot/internal/routing"
	"currantknot.dev/currantknot/internal/upstream"
	"currantknot.dev/currantknot/pkg/document"
	"currantknot.dev/currantknot/pkg/outcome"
)

// bound is the latency bound of the service in the tests.
const bound = 300 * time.Millisecond

// newServer starts a server that forwards requests for the path /s to the upstreams with the given addresses.
func newServer(t *testing.T, upstreams ...string) *httptest.Server {
	t.Helper()
	return newServerFor(t, upstreams...)
}

// newServerFor is newServer for tests and benchmarks.
func newServerFor(t testing.TB, upstreams ...string) *httptest.Server {
	t.Helper()
	r, err := routing.NewRouter("a", routing.PolicySlots, rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	ss := []document.Service{{Name: "s", PathPrefix: "/s", Bound: bound, IdempotentMethods: []string{http.MethodGet, http.MethodHead}}}
	r.SetServices(ss)
	var us []routing.Upstream
	for i, a := range upstreams {
		us = append(us, routing.Upstream{Name: fmt.Sprintf("u%d", i), Service: "s", Address: a})
	}
	r.SetUpstreams(us, time.Now())
	c := upstream.NewClient()
	t.Cleanup(c.Close)
	n := discard.NewCounter()
	h := &caller.Handler{
		Router: r, Sender: c, Decisions: decision.NewRing("a", 10, zerolog.Nop()), RequestIDPrefix: "a",
		Services: func() []document.Service { return ss },
		Metrics: caller.Metrics{
			Requests: n, Responses: n, NotRun: n, Unknown: n, Retries: n, Aborted: n, LatencySeconds: discard.NewHistogram(),
		},
	}
	s := httptest.NewServer(h.HTTPHandler())
	t.Cleanup(s.Close)
	return s
}

func newUpstream(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// rawUpstream starts a server that responds to the first request on each connection with the text and closes the
// connection. It returns the server's address.
func rawUpstream(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, text)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// unreachableAddress returns an address that refuses connections.
func unreachableAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// send sends a request and returns the response and its body. The header holds names and values in turn.
func send(t *testing.T, method, url string, body io.Reader, header ...string) (*http.Response, string, error) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), method, url, body)
	require.NoError(t, err)
	for i := 0; i < len(header); i += 2 {
		q.Header.Add(header[i], header[i+1])
	}
	s, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, "", err
	}
	defer s.Body.Close()
	b, err := io.ReadAll(s.Body)
	return s, string(b), err
}

// parseFailure decodes the body of a response that reports a failure.
func parseFailure(t *testing.T, s *http.Response, body string) outcome.Failure {
	t.Helper()
	var f outcome.Failure
	require.NoError(t, json.Unmarshal([]byte(body), &f), body)
	require.Equal(t, string(f.Outcome), s.Header.Get(outcome.Header))
	require.NotEmpty(t, f.Request)
	return f
}

func TestResponseIsCopiedCompletely(t *testing.T) {
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("Trailer", "Sum")
		w.Header().Add("Set-Cookie", "a=1")
		w.Header().Add("Set-Cookie", "b=2")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(b)
		w.Header().Set("Sum", fmt.Sprint(len(b)))
	})
	srv := newServer(t, u)
	big := strings.Repeat("judgment ", 300_000)
	s, b, err := send(t, http.MethodPost, srv.URL+"/s/x", strings.NewReader(big))
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, s.StatusCode)
	require.Equal(t, big, b)
	require.Equal(t, []string{"a=1", "b=2"}, s.Header.Values("Set-Cookie"))
	require.Equal(t, fmt.Sprint(len(big)), s.Trailer.Get("Sum"))
	require.NotEmpty(t, s.Header.Get(outcome.RequestIDHeader))
}

func TestHeadAndStreamedResponsesAreCopied(t *testing.T) {
	resume := make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodHead {
			w.Header().Set("Content-Length", "77")
			return
		}
		_, _ = io.WriteString(w, "first")
		w.(http.Flusher).Flush()
		<-resume
		_, _ = io.WriteString(w, "second")
	})
	srv := newServer(t, u)
	s, _, err := send(t, http.MethodHead, srv.URL+"/s", nil)
	require.NoError(t, err)
	require.EqualValues(t, 77, s.ContentLength)
	s, err = http.Get(srv.URL + "/s") //nolint:noctx // a test
	require.NoError(t, err)
	defer s.Body.Close()
	b := make([]byte, 5)
	_, err = io.ReadFull(s.Body, b)
	require.NoError(t, err, "the first part arrives while the upstream is still writing")
	// The latency bound limits the wait for the response header, not the transfer of the body.
	time.Sleep(bound + 50*time.Millisecond)
	close(resume)
	r, err := io.ReadAll(s.Body)
	require.NoError(t, err)
	require.Equal(t, "second", string(r))
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	got := make(chan http.Header, 1)
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header
		w.Header().Set("Connection", "X-Back")
		w.Header().Set("X-Back", "1")
		w.Header().Set("Keep-Alive", "timeout=9")
	})
	srv := newServer(t, u)
	s, _, err := send(t, http.MethodGet, srv.URL+"/s", nil, "Connection", "X-Hop", "X-Hop", "1", "Te", "trailers", "X-End", "1", "Proxy-Authorization", "secret")
	require.NoError(t, err)
	h := <-got
	require.Empty(t, h.Get("X-Hop"))
	require.Empty(t, h.Get("Te"))
	require.Empty(t, h.Get("Proxy-Authorization"))
	require.Equal(t, "1", h.Get("X-End"))
	require.NotEmpty(t, h.Get(outcome.DeadlineHeader))
	require.Empty(t, s.Header.Get("X-Back"))
	require.Empty(t, s.Header.Get("Keep-Alive"))
}

func TestTruncatedResponseIsReported(t *testing.T) {
	for n, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(n, func(t *testing.T) {
			srv := newServer(t, rawUpstream(t, text))
			_, b, err := send(t, http.MethodGet, srv.URL+"/s", nil)
			require.Error(t, err, "body %q was accepted as complete", b)
		})
	}
}

func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	var n atomic.Int64
	hang := make(chan struct{})
	defer close(hang)
	h := func(http.ResponseWriter, *http.Request) {
		n.Add(1)
		<-hang
	}
	srv := newServer(t, newUpstream(t, h), newUpstream(t, h))
	s, b, err := send(t, http.MethodPost, srv.URL+"/s", strings.NewReader("award"))
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, s.StatusCode)
	require.Equal(t, outcome.Unknown, parseFailure(t, s, b).Outcome)
	require.EqualValues(t, 1, n.Load())
}

func TestResetIsUnknownForAWriteAndRetriedForARead(t *testing.T) {
	ok := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	srv := newServer(t, rawUpstream(t, ""))
	s, b, err := send(t, http.MethodPost, srv.URL+"/s", strings.NewReader("award"))
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, s.StatusCode)
	require.Equal(t, outcome.Unknown, parseFailure(t, s, b).Outcome)
	srv = newServer(t, rawUpstream(t, ""), ok)
	for range 4 {
		_, b, err = send(t, http.MethodGet, srv.URL+"/s", nil)
		require.NoError(t, err)
		require.Equal(t, "ok", b)
	}
}

func TestUnreachableUpstreamIsNotRunAndAnotherIsTried(t *testing.T) {
	srv := newServer(t, unreachableAddress(t))
	s, b, err := send(t, http.MethodPost, srv.URL+"/s", strings.NewReader("award"))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, s.StatusCode)
	x := parseFailure(t, s, b)
	require.Equal(t, outcome.NotRun, x.Outcome)
	require.False(t, x.RetryAt.IsZero())
	require.NotEmpty(t, s.Header.Get("Retry-After"))
	ok := newUpstream(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	srv = newServer(t, unreachableAddress(t), ok)
	for range 4 {
		_, b, err = send(t, http.MethodPost, srv.URL+"/s", strings.NewReader("award"))
		require.NoError(t, err)
		require.Equal(t, "award", b)
	}
}

func TestEarlierCallerDeadlineIsUsed(t *testing.T) {
	hang := make(chan struct{})
	defer close(hang)
	srv := newServer(t, newUpstream(t, func(http.ResponseWriter, *http.Request) { <-hang }))
	a := time.Now()
	d := a.Add(40 * time.Millisecond)
	s, b, err := send(t, http.MethodGet, srv.URL+"/s", nil, outcome.DeadlineHeader, d.Format(time.RFC3339Nano))
	require.NoError(t, err)
	require.Equal(t, outcome.Unknown, parseFailure(t, s, b).Outcome)
	require.Less(t, time.Since(a), bound, "the response does not wait for the service's latency bound")
}

func TestWaitingRequestIsRefusedAsNotRun(t *testing.T) {
	hang := make(chan struct{})
	var n atomic.Int64
	srv := newServer(t, newUpstream(t, func(http.ResponseWriter, *http.Request) {
		n.Add(1)
		<-hang
	}))
	defer close(hang)
	const slots, all = 8, 12
	outcomes := make(chan outcome.Outcome, all)
	for range all {
		go func() {
			s, b, err := send(t, http.MethodPost, srv.URL+"/s", strings.NewReader("award"))
			if err != nil {
				outcomes <- outcome.Outcome(err.Error())
				return
			}
			outcomes <- parseFailure(t, s, b).Outcome
		}()
	}
	c := make(map[outcome.Outcome]int)
	for range all {
		c[<-outcomes]++
	}
	require.EqualValues(t, slots, n.Load(), "requests that reach the upstream, at most one per slot")
	require.Equal(t, map[outcome.Outcome]int{outcome.Unknown: slots, outcome.NotRun: all - slots}, c)
}

func TestCancelledRequestFreesItsSlot(t *testing.T) {
	var n atomic.Int64
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) <= 8 {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, "ok")
	})
	srv := newServer(t, u)
	ctx, cancel := context.WithCancel(t.Context())
	for range 8 {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL+"/s", nil)
		require.NoError(t, err)
		go func() {
			if s, err := http.DefaultClient.Do(q); err == nil {
				s.Body.Close()
			}
		}()
	}
	require.Eventually(t, func() bool { return n.Load() == 8 }, 20*time.Second, time.Millisecond)
	cancel()
	require.Eventually(t, func() bool {
		_, b, err := send(t, http.MethodGet, srv.URL+"/s", nil)
		return err == nil && b == "ok"
	}, 20*time.Second, time.Millisecond)
}

func TestUnknownPathAndMethodsAreRefused(t *testing.T) {
	srv := newServer(t, unreachableAddress(t))
	s, b, err := send(t, http.MethodGet, srv.URL+"/other", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, s.StatusCode)
	require.Equal(t, outcome.NotRun, parseFailure(t, s, b).Outcome)
	s, b, err = send(t, http.MethodTrace, srv.URL+"/s", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusMethodNotAllowed, s.StatusCode)
	require.Equal(t, outcome.NotRun, parseFailure(t, s, b).Outcome)
}

// TestSmuggledRequestsAreRefused sends malformed requests that two servers might parse differently.
func TestSmuggledRequestsAreRefused(t *testing.T) {
	var n atomic.Int64
	srv := newServer(t, newUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		n.Add(1)
	}))
	for _, text := range []string{
		"POST /s HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"POST /s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"POST /s HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc",
		"GET /s HTTP/1.1\r\nHost: x\r\nBad Name: 1\r\n\r\n",
		"GET /s HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
	} {
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(c, text)
		require.NoError(t, err)
		s, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.GreaterOrEqual(t, s.StatusCode, 400, text)
		s.Body.Close()
		c.Close()
	}
	require.Zero(t, n.Load())
}

package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/upstream"
)

// staleServer starts a server that responds to the first request on each connection, and closes the connection when the
// second request arrives. It returns the server's address and the number of requests received so far.
func staleServer(t *testing.T) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for n := range 2 {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, q.Body)
					requests.Add(1)
					if n == 0 {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					}
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

type requestSender interface {
	send(*http.Request) (*http.Response, error)
}

type transportSender struct{ t http.Transport }

func (p *transportSender) send(r *http.Request) (*http.Response, error) { return p.t.RoundTrip(r) }

type clientSender struct{ *upstream.Client }

func (o clientSender) send(r *http.Request) (*http.Response, error) { return o.Send(r.Context(), r) }

// sendTwice sends the request that build returns, reads the response, and sends the request again on the same
// connection. It returns the error of the second request.
func sendTwice(t *testing.T, s requestSender, build func() *http.Request) error {
	t.Helper()
	a, err := s.send(build())
	require.NoError(t, err)
	_, err = io.ReadAll(a.Body)
	require.NoError(t, err)
	a.Body.Close()
	a, err = s.send(build())
	if err == nil {
		a.Body.Close()
	}
	return err
}

// TestRequestIsNeverReplayed checks for several kinds of requests whether a plain http.Transport replays them, and that
// Client does not.
func TestRequestIsNeverReplayed(t *testing.T) {
	for n, x := range map[string]struct {
		method, body, key string
		replayed          bool
	}{
		"get":              {http.MethodGet, "", "", true},
		"options":          {http.MethodOptions, "", "", true},
		"post with key":    {http.MethodPost, "", "k", true},
		"delete with key":  {http.MethodDelete, "", "k", true},
		"post":             {http.MethodPost, "", "", false},
		"post with body":   {http.MethodPost, "award", "", false},
		"post, body + key": {http.MethodPost, "award", "k", true},
	} {
		t.Run(n, func(t *testing.T) {
			build := func(address string) func() *http.Request {
				return func() *http.Request {
					var b io.Reader
					if x.body != "" {
						b = strings.NewReader(x.body)
					}
					q, err := http.NewRequestWithContext(t.Context(), x.method, "http://"+address+"/", b)
					require.NoError(t, err)
					if x.key != "" {
						q.Header.Set("Idempotency-Key", x.key)
					}
					return q
				}
			}
			address, requests := staleServer(t)
			err := sendTwice(t, &transportSender{}, build(address))
			require.Equal(t, x.replayed, err == nil, "replay by http.Transport")
			if x.replayed {
				require.EqualValues(t, 3, requests.Load())
			}
			address, requests = staleServer(t)
			c := upstream.NewClient()
			defer c.Close()
			err = sendTwice(t, clientSender{c}, build(address))
			var e *upstream.SendError
			require.ErrorAs(t, err, &e)
			require.False(t, e.NotRun, "the request was written")
			require.EqualValues(t, 2, requests.Load())
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l.Close()
	c := upstream.NewClient()
	defer c.Close()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String()+"/", strings.NewReader("x"))
	require.NoError(t, err)
	_, err = c.Send(t.Context(), q)
	var e *upstream.SendError
	require.ErrorAs(t, err, &e)
	require.True(t, e.NotRun)
}

// TestLowercaseKeyReachesTheUpstream checks that an upstream reads the lower-case key as the same header.
func TestLowercaseKeyReachesTheUpstream(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	got := make(chan http.Header, 1)
	s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.Header })}
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	c := upstream.NewClient()
	defer c.Close()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String()+"/", nil)
	require.NoError(t, err)
	q.Header.Set("Idempotency-Key", "k")
	a, err := c.Send(t.Context(), q)
	require.NoError(t, errors.Join(err))
	a.Body.Close()
	require.Equal(t, "k", (<-got).Get("Idempotency-Key"))
}

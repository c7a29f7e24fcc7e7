package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds the time to connect to an upstream.
	dialTimeout = time.Second
	// idleConnsPerUpstream is the most that an entry can use at once. Nine entries share that
	// many slots, so that together they stay far below an upstream's limit of 64 connections.
	idleConnsPerUpstream = 9
	// idleTimeout ends idle connections before a usual upstream does.
	idleTimeout = 20 * time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 1 << 20
)

// SendError reports a request that got no answer.
type SendError struct {
	Address string
	// NotRun tells that no byte of the request was handed to a connection.
	NotRun bool
	Cause  error
}

// Error names the address and the cause.
func (e *SendError) Error() string {
	return fmt.Sprintf("send to upstream %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Client sends requests to upstreams.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client with connections of its own.
func NewClient() *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnsPerUpstream,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send sends the request once and returns the answer's header with its body still to be read, or a *SendError.
func (c *Client) Send(ctx context.Context, r *http.Request) (*http.Response, error) {
	w := &writeWatch{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
	s, err := c.transport.RoundTrip(once(r.WithContext(ctx)))
	if err != nil {
		return nil, &SendError{Address: r.URL.Host, NotRun: !w.hasWritten(), Cause: err}
	}
	return s, nil
}

// once returns the request in a form that http.Transport never replays.
//
// The transport replays a request on another connection if it has no body and an
// idempotent method or an Idempotency-Key. A body that is set, though empty, and
// that can't be had again rules this out, but makes the transport send methods
// other than GET and HEAD in chunks. For those, a key in lower case is the same
// on the wire and unknown to the transport.
func once(r *http.Request) *http.Request {
	q := r.Clone(r.Context())
	q.GetBody = nil
	if q.Body != nil && q.Body != http.NoBody {
		return q
	}
	switch q.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		q.Body = emptyBody{}
		q.ContentLength = 0
	default:
		lowerKeys(q.Header)
	}
	return q
}

func lowerKeys(h http.Header) {
	for k, l := range map[string]string{"Idempotency-Key": "idempotency-key", "X-Idempotency-Key": "x-idempotency-key"} {
		if v, ok := h[k]; ok {
			delete(h, k)
			h[l] = v
		}
	}
}

// emptyBody is a body without bytes that is not http.NoBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

func (emptyBody) Close() error { return nil }

// countingConn counts the bytes that were handed to the connection.
type countingConn struct {
	net.Conn

	written atomic.Int64
}

// Write counts before it writes, so that a count that has not moved proves that nothing was sent.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// writeWatch tells whether bytes were handed to the connection after a request had got it.
type writeWatch struct {
	conn  atomic.Pointer[countingConn]
	start atomic.Int64
	other atomic.Bool
}

func (w *writeWatch) gotConn(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*countingConn)
	if !ok {
		w.other.Store(true)
		return
	}
	w.start.Store(c.written.Load())
	if w.conn.Swap(c) != nil {
		w.other.Store(true)
	}
}

func (w *writeWatch) hasWritten() bool {
	c := w.conn.Load()
	return w.other.Load() || c != nil && c.written.Load() > w.start.Load()
}

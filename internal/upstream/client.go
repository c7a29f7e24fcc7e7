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
	// idleConnsPerUpstream is the maximum number of idle connections that an instance keeps to one upstream. Under the
	// slots policy, the router grants an instance at most 9 slots at an upstream, so that each connection in use can be
	// kept. Nine instances share these 9 slots, so that together they stay far below an upstream's limit of 64
	// connections. The client itself does not limit the connections in use.
	idleConnsPerUpstream = 9
	// idleConnTimeout is the time after which an idle connection is closed. A typical upstream keeps it open for longer.
	idleConnTimeout = 20 * time.Second
	// maxResponseHeaderBytes bounds the size of a response's header.
	maxResponseHeaderBytes = 1 << 20
)

// SendError reports a request that got no response from the upstream at Address.
type SendError struct {
	Address string
	// NotRun means that certainly no byte of the request was written to a connection.
	NotRun bool
	Cause  error
}

// Error returns a message with the address and the cause.
func (e *SendError) Error() string {
	return fmt.Sprintf("send to upstream %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Client sends requests to upstreams.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client with its own connection pool.
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
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send sends the request once. It returns the response with its body still to be read, or a *SendError.
func (c *Client) Send(ctx context.Context, r *http.Request) (*http.Response, error) {
	t := &writeTracker{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
	s, err := c.transport.RoundTrip(withoutReplay(r.WithContext(ctx)))
	if err != nil {
		return nil, &SendError{Address: r.URL.Host, NotRun: !t.hasWritten(), Cause: err}
	}
	return s, nil
}

// withoutReplay returns a copy of the request that http.Transport does not write to a second connection, except with
// the method TRACE, which package caller refuses.
//
// The transport replays a request whose body is absent or can be read again with
// GetBody, if the method is GET, HEAD, OPTIONS or TRACE, or if the request has the
// header Idempotency-Key or X-Idempotency-Key. The copy has no GetBody, so a
// request with a body is not replayed.
//
// To prevent the replay, a GET, HEAD or OPTIONS request without a body gets an
// empty body other than http.NoBody. A request with another method and without a
// body cannot get one, as the transport may send such a body in chunks. Its key
// headers are changed to lower case instead: they mean the same to the upstream,
// as header names are case-insensitive, but the transport does not recognize them.
func withoutReplay(r *http.Request) *http.Request {
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
		lowercaseKeyHeaders(q.Header)
	}
	return q
}

// lowercaseKeyHeaders changes the names of the idempotency key headers to lower case.
func lowercaseKeyHeaders(h http.Header) {
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

// countingConn counts the bytes that were passed to the connection's Write.
type countingConn struct {
	net.Conn

	written atomic.Int64
}

// Write counts the bytes before it writes them, so that an unchanged count proves that nothing was sent.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// writeTracker detects whether bytes were written to a connection since a request obtained it.
type writeTracker struct {
	conn atomic.Pointer[countingConn]
	// bytesBefore is the byte count of conn when the request obtained it.
	bytesBefore atomic.Int64
	// uncertain means that bytesBefore is not enough to tell, because the request obtained more than one connection or one
	// without a byte count. The request then counts as written.
	uncertain atomic.Bool
}

func (t *writeTracker) gotConn(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*countingConn)
	if !ok {
		t.uncertain.Store(true)
		return
	}
	t.bytesBefore.Store(c.written.Load())
	if t.conn.Swap(c) != nil {
		t.uncertain.Store(true)
	}
}

func (t *writeTracker) hasWritten() bool {
	c := t.conn.Load()
	return t.uncertain.Load() || c != nil && c.written.Load() > t.bytesBefore.Load()
}

package inbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"currantknot.dev/currantknot/internal/limits"
)

const (
	// serverHeadTimeout and serverHeadBytes are above what guards allow, so that guards decide.
	serverHeadTimeout = time.Minute
	serverHeadBytes   = 1 << 20
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// Server returns an HTTP server for the listener of the guard.
func (g *Guard) Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: &handler{h}, ReadHeaderTimeout: serverHeadTimeout, MaxHeaderBytes: serverHeadBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState:   trackState,
	}
}

// trackState tells the ledger when the head of a request is complete, and when the request has ended.
func trackState(c net.Conn, s http.ConnState) {
	x, ok := c.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		x.enter(limits.PhaseServe)
	case http.StateIdle:
		x.enter(limits.PhaseIdle)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// handler tells the ledger when a handler waits for a body, and when it has answered.
type handler struct {
	http.Handler
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		h.Handler.ServeHTTP(w, r)
		return
	}
	// net/http reports no new request if all of its head came with the one before.
	c.enter(limits.PhaseServe)
	defer c.enter(limits.PhaseEnd)
	if r.Body != http.NoBody {
		r.Body = &body{r.Body, c}
	}
	h.Handler.ServeHTTP(w, r)
}

// body is the body of a request.
type body struct {
	io.ReadCloser

	conn *Conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.conn.enter(limits.PhaseBody)
	defer b.conn.enter(limits.PhaseServe)
	return b.ReadCloser.Read(p)
}

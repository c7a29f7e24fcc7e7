package inbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"currantknot.dev/currantknot/internal/limits"
)

const (
	// serverHeadTimeout and serverHeadBytes are above what guards allow, so that guards decide.
	serverHeadTimeout = 24 * time.Hour
	serverHeadBytes   = 1 << 30
	// bodyCopies is how often a body is in memory while a handler collects it: a buffer grows by copies.
	bodyCopies = 2
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// Budget is the room that a request in progress may take.
type Budget interface {
	// Take reserves n bytes until the request ends. It returns a *limits.RefusedError if there is no room.
	Take(n int) error
}

// unbounded is the budget of a request without a guarded connection.
type unbounded struct{}

// Take implements Budget.
func (unbounded) Take(int) error { return nil }

// BudgetOf returns the budget of the request of a context.
func BudgetOf(ctx context.Context) Budget {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return c
	}
	return unbounded{}
}

// Server returns an HTTP server for the listener of the guard. If the handler collects bodies, room is taken for their bytes before
// they are read; otherwise it passes them on as they arrive.
func (g *Guard) Server(h http.Handler, collects bool) *http.Server {
	copies := 0
	if collects {
		copies = bodyCopies
	}
	return &http.Server{
		Handler: &handler{h, copies}, ReadHeaderTimeout: serverHeadTimeout, MaxHeaderBytes: serverHeadBytes,
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

	copies int
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
		r.Body = &body{r.Body, c, h.copies, w.Header()}
	}
	h.Handler.ServeHTTP(w, r)
}

// body is the body of a request.
type body struct {
	io.ReadCloser

	conn   *Conn
	copies int
	header http.Header
}

// Read implements io.Reader. It returns a *limits.RefusedError if there is no room for the bytes; the connection ends with the answer
// then, since the rest of the body is not read.
func (b *body) Read(p []byte) (int, error) {
	taken := b.copies * len(p)
	if taken > 0 {
		if err := b.conn.Take(taken); err != nil {
			b.header.Set("Connection", "close")
			return 0, err
		}
	}
	b.conn.enter(limits.PhaseBody)
	n, err := b.ReadCloser.Read(p)
	b.conn.enter(limits.PhaseServe)
	b.conn.Give(taken - b.copies*n)
	return n, err
}

// IsRefused reports whether an error is that there is no room for a request.
func IsRefused(err error) bool {
	var e *limits.RefusedError
	return errors.As(err, &e)
}

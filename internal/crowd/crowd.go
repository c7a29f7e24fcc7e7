package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// sendTimeout bounds the time in which one client sends, after which it only keeps its connection open.
	sendTimeout = 15 * time.Second
	// dialTimeout bounds one connection attempt.
	dialTimeout = 5 * time.Second
	// maxConnections is the number of connections that a client opens one after the other if each is closed.
	maxConnections = 3
)

// Shape sends what one client of a crowd sends on a connection, and returns the first error.
type Shape func(w io.Writer, client int) error

// Crowd is a number of clients that all do the same to one address.
type Crowd struct {
	Address string
	Clients int
	Send    Shape
	// Deaf clients read no response.
	Deaf bool
}

// Run opens the connections of all clients at once, and returns when each client has sent all that it could. The connections stay
// open until the returned function is called; a client whose connection is closed opens another, two more at most.
func (c *Crowd) Run(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var sent, done sync.WaitGroup
	for n := range c.Clients {
		sent.Add(1)
		done.Go(func() { c.client(ctx, n, sent.Done) })
	}
	sent.Wait()
	return func() {
		cancel()
		done.Wait()
	}
}

// client plays one client until the context ends or its last connection is closed. It calls sent after its first connection.
func (c *Crowd) client(ctx context.Context, n int, sent func()) {
	once := sync.OnceFunc(sent)
	defer once()
	for range maxConnections {
		if ctx.Err() != nil {
			return
		}
		c.connect(ctx, n, once)
	}
}

// connect plays one connection of a client until either side closes it.
func (c *Crowd) connect(ctx context.Context, n int, sent func()) {
	defer sent()
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	closed := make(chan struct{})
	if !c.Deaf {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if err := c.Send(conn, n); err != nil && !isTimeout(err) {
		return
	}
	sent()
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error) //nolint:errorlint // shapes return the errors of connections as they are
	return ok && e.Timeout()
}

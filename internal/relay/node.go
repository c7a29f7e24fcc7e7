package relay

import (
	"context"
	"fmt"
	"net"
	"sync"

	"currantknot.dev/currantknot/internal/limits"
)

// Node combines both roles of an instance: it calls workers through relays and is a relay for other instances.
type Node struct {
	*Pool
	*Agent
	// Listen is the address to which relays connect, empty where none may.
	Listen string
	// Listener opens the listener for relays.
	Listener Listener
	avoided  avoided
}

// Listener listens for the connections of other instances, which send the first frame.
type Listener interface {
	Listen(ctx context.Context, address string, p limits.Phase) (net.Listener, error)
}

// Run serves both roles until the context is cancelled.
func (n *Node) Run(ctx context.Context) error {
	var w sync.WaitGroup
	defer w.Wait()
	w.Go(func() { n.Agent.Run(ctx) })
	if n.Listen == "" {
		return nil
	}
	l, err := n.Listener.Listen(ctx, n.Listen, limits.PhaseBody)
	if err != nil {
		return fmt.Errorf("listen for relays at %s: %w", n.Listen, err)
	}
	return n.Pool.Run(ctx, l)
}

package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Node is both ends of one instance: the relays that make calls for it, and its calls for others.
type Node struct {
	*Pool
	*Agent
	// Listen is the address for relays, empty where none may connect.
	Listen string
}

// Run serves both ends until the context ends.
func (n *Node) Run(ctx context.Context) error {
	var w sync.WaitGroup
	defer w.Wait()
	w.Go(func() { n.Agent.Run(ctx) })
	if n.Listen == "" {
		return nil
	}
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.Listen)
	if err != nil {
		return fmt.Errorf("listen for relays at %s: %w", n.Listen, err)
	}
	return n.Pool.Run(ctx, l)
}

package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Node combines both roles of an instance: it calls workers through relays and is a relay for other instances.
type Node struct {
	*Pool
	*Agent
	// Listen is the address to which relays connect, empty where none may.
	Listen  string
	avoided avoided
}

// Run serves both roles until the context is cancelled.
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

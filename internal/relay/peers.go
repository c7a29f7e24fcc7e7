package relay

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantknot.dev/currantknot/internal/jobserve"
	"currantknot.dev/currantknot/internal/storepath"
)

const (
	// avoidPeriod is the time after a failed append through an instance in which no records are handed over to it.
	avoidPeriod = 2 * time.Second
	// identitySeparator ends the name of the instance in the identity of a process.
	identitySeparator = "|"
)

// avoided holds, by peer, the instant up to which no records are handed over to it.
type avoided struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// add makes a peer avoided for avoidPeriod.
func (v *avoided) add(peer string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(v.until, func(_ string, t time.Time) bool { return !now.Before(t) })
	if v.until == nil {
		v.until = make(map[string]time.Time)
	}
	v.until[peer] = now.Add(avoidPeriod)
}

func (v *avoided) get(peer string) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.until[peer]
}

// instanceName returns the name of the instance of a process.
func instanceName(identity string) string {
	n, _, _ := strings.Cut(identity, identitySeparator)
	return n
}

// Peers implements jobserve.Peers. The peers are the instances at the other ends of all connections in either direction, by name of
// the instance.
func (n *Node) Peers() []storepath.Peer {
	reach := n.Agent.reachByName()
	for name, r := range n.Pool.reachByName() {
		if reach[name] == storepath.ReachUnknown {
			reach[name] = r
		}
	}
	delete(reach, n.Name)
	l := make([]storepath.Peer, 0, len(reach))
	for name, r := range reach {
		l = append(l, storepath.Peer{Name: name, Reach: r, AvoidUntil: n.avoided.get(name), Rank: xxhash.Sum64String(n.Name + identitySeparator + name)})
	}
	return l
}

// HandOver implements jobserve.Peers.
func (n *Node) HandOver(ctx context.Context, peer string, l []jobserve.Record) (bool, error) {
	c := n.Agent.clientOf(peer)
	if c == nil {
		c = n.Pool.clientOf(peer)
	}
	sent := false
	var err error
	if c != nil && len(l) <= maxForwardedRecords {
		sent, err = c.forward(ctx, l)
	}
	if !sent || err != nil {
		n.avoided.add(peer)
	}
	return sent, err
}

// reachByName returns what the instances to which this one is connected say about their paths to the store.
func (a *Agent) reachByName() map[string]storepath.Reach {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := make(map[string]storepath.Reach, len(a.sessions))
	for _, s := range a.sessions {
		m[instanceName(s.owner)] = s.reach
	}
	return m
}

// reachByName returns what the connected relays say about their paths to the store.
func (p *Pool) reachByName() map[string]storepath.Reach {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := make(map[string]storepath.Reach, len(p.links))
	for name, l := range p.links {
		m[name] = storepath.Reach(l.reach.Load())
	}
	return m
}

// clientOf returns the connection to an instance that says that it reaches the store, nil if there is none.
func (a *Agent) clientOf(name string) *appendClient {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.sessions {
		if instanceName(s.owner) == name && s.reach == storepath.ReachesStore {
			return s.appendClient
		}
	}
	return nil
}

// clientOf returns the connection of a relay that says that it reaches the store, nil if there is none.
func (p *Pool) clientOf(name string) *appendClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[name]
	if l == nil || storepath.Reach(l.reach.Load()) != storepath.ReachesStore {
		return nil
	}
	return l.appendClient
}

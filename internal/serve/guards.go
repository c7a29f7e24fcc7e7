package serve

import (
	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/inbound"
	"currantknot.dev/currantknot/internal/limits"
)

// callersListener is the name of the listener for callers in metrics.
const callersListener = "callers"

// guards bounds what the clients of each listener of an instance may use.
type guards struct {
	callers   *inbound.Guard
	operators *inbound.Guard
	peers     *inbound.Guard
}

func newGuards(p limits.Plan, o inbound.Observer, l zerolog.Logger) guards {
	return guards{
		callers:   inbound.NewGuard(callersListener, p.Callers, o, l),
		operators: inbound.NewGuard("operators", p.Operators, o, l),
		peers:     inbound.NewGuard("peers", p.Instances, o, l),
	}
}

// all returns the guards of all listeners.
func (g *guards) all() []*inbound.Guard { return []*inbound.Guard{g.callers, g.operators, g.peers} }

// connections returns the number of open connections by listener.
func (g *guards) connections() map[string]int {
	m := make(map[string]int)
	for _, x := range g.all() {
		m[x.Name], _ = x.Use()
	}
	return m
}

// requestMemory returns the memory that the requests in progress take by listener, in bytes.
func (g *guards) requestMemory() map[string]int {
	m := make(map[string]int)
	for _, x := range g.all() {
		_, m[x.Name] = x.Use()
	}
	return m
}

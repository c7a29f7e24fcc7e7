package jobserve

import (
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/inbound"
	"currantknot.dev/currantknot/internal/limits"
)

// headBytesPerConfigured is how many bytes of a head may stand for one that the configuration counts, which are those of names and
// values: a field of one byte takes four.
const headBytesPerConfigured = 4

// callersListener is the name of the listener for callers in metrics.
const callersListener = "callers"

// Guards bounds what the clients of each listener of an instance may use.
type Guards struct {
	Callers   *inbound.Guard
	Readiness *inbound.Guard
	Metrics   *inbound.Guard
	// Relays is for the connections of other instances.
	Relays *inbound.Guard
	plan   limits.Plan
}

// NewGuards returns the guards for the limits of a plan.
func NewGuards(p limits.Plan, m *Metrics, l zerolog.Logger) Guards {
	return Guards{
		Callers:   inbound.NewGuard(callersListener, p.Callers, m, l),
		Readiness: inbound.NewGuard("readiness", p.Operators, m, l),
		Metrics:   inbound.NewGuard("metrics", p.Operators, m, l),
		Relays:    inbound.NewGuard("relays", p.Instances, m, l),
		plan:      p,
	}
}

// all returns the guards of all listeners.
func (g *Guards) all() []*inbound.Guard {
	return []*inbound.Guard{g.Callers, g.Readiness, g.Metrics, g.Relays}
}

// registerGauges registers the gauges of what is in use.
func (g *Guards) registerGauges(m *Metrics) {
	for _, x := range g.all() {
		l := label("listener", x.Name)
		m.Gauge(series(metricConnections, l), func() float64 { n, _ := x.Use(); return float64(n) })
		m.Gauge(series(metricRequestMemory, l), func() float64 { _, n := x.Use(); return float64(n) })
	}
}

// configure applies the limits of a configuration to callers; those that it does not have are as in the plan.
func (g *Guards) configure(c *Configuration) {
	if c == nil {
		return
	}
	g.Callers.Update(func(l *limits.Limits) {
		l.HeadBytes = max(g.plan.Callers.HeadBytes, headBytesPerConfigured*c.HeaderBytes)
		l.HeadTimeout = configured(c.HeaderTimeout, g.plan.Callers.HeadTimeout)
		l.IdleTimeout = configured(c.IdleTimeout, g.plan.Callers.IdleTimeout)
	})
}

// configured returns a timeout of the configuration, or the default if it has none.
func configured(d, standard time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return standard
}

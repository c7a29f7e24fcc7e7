package jobserve

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/inbound"
	"currantknot.dev/currantknot/internal/limits"
)

// inForce returns the limits that a guard applies.
func inForce(g *inbound.Guard) limits.Limits {
	var x limits.Limits
	g.Update(func(l *limits.Limits) { x = *l })
	return x
}

// The limits of the configuration were decoded and used nowhere.
func TestLimitsOfTheConfigurationAreInForce(t *testing.T) {
	p := limits.NewPlan(limits.Machine{})
	g := NewGuards(p, NewMetrics(), zerolog.Nop())
	g.configure(nil)
	require.Equal(t, p.Callers, inForce(g.Callers))
	g.configure(&Configuration{Limits: Limits{HeaderBytes: 1 << 20, HeaderTimeout: 7 * time.Second, IdleTimeout: 15 * time.Second}})
	l := inForce(g.Callers)
	require.Equal(t, 4<<20, l.HeadBytes)
	require.Equal(t, 7*time.Second, l.HeadTimeout)
	require.Equal(t, 15*time.Second, l.IdleTimeout)
	g.configure(&Configuration{Limits: Limits{HeaderBytes: 100}})
	require.Equal(t, p.Callers, inForce(g.Callers), "a small limit is checked when the head is complete")
	require.Equal(t, p.Operators, inForce(g.Metrics))
}

func TestLimitedClientsAreCountedByReason(t *testing.T) {
	m := NewMetrics()
	m.Limited("callers", limits.ReasonStalledBody)
	m.Limited("callers", limits.ReasonStalledBody)
	require.Equal(t, "2", m.counters.Get(`currantknot_limited_total{listener="callers",reason="stalled_body"}`).String())
}

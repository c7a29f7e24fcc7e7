package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// A snapshot with an entry for each pair of images outgrew the records of the store, so that the owner could commit nothing (review,
// case 7).
func TestSnapshotIsBoundedWhateverTheNumberOfImages(t *testing.T) {
	const images = 300
	now := time.Now()
	p := New(Config{Logger: zerolog.Nop()}, now)
	for n := range images {
		s := p.interference.sensitivityOf(fmt.Sprintf("service-image-%03d", n))
		s.samples, s.minTail = 50, 0.2
		for f := range images {
			e := s.pair(fmt.Sprintf("best-effort-image-%03d", f))
			if (n+f)%2 == 0 {
				e.Mean, e.Variance = 0.5, minVariance+float64(n)/images
			}
		}
	}
	b, err := p.PrepareSnapshot(now)
	require.NoError(t, err)
	require.LessOrEqual(t, len(b), maxStoredEstimateBytes+1<<10)

	o := New(Config{Logger: zerolog.Nop()}, now)
	require.NoError(t, o.RestoreSnapshot(b))
	require.InDelta(t, 0.5, o.interference.sensitivityOf("service-image-000").pair("best-effort-image-000").Mean, 1e-9, "what is most certain is kept")
	require.NotContains(t, o.interference.sensitivityOf("service-image-000").pairs, "best-effort-image-001", "a pair that was never observed has no entry")
}

// The instances of all waves since the first were in each snapshot.
func TestSnapshotForgetsTheEarliestWaves(t *testing.T) {
	now := time.Now()
	p := New(Config{Logger: zerolog.Nop()}, now)
	p.SetWaves([]Wave{{Number: 1, Instances: []string{"m-1-0"}}})
	for n := 1; n <= 100; n++ {
		for i := range 100 {
			p.maintained[n] = append(p.maintained[n], fmt.Sprintf("m-%d-%d", n, i))
		}
	}
	m := p.maintainedRecord()
	require.Contains(t, m, 1, "the wave is requested")
	require.Contains(t, m, 100)
	require.NotContains(t, m, 50)
	require.LessOrEqual(t, len(m), maxStoredMaintained/100+1)
}

// A snapshot that the store refuses has no learned estimates the next time, and still has what the next owner depends on.
func TestReducedSnapshotKeepsWhatTheNextOwnerDependsOn(t *testing.T) {
	now := time.Now()
	p := New(Config{Logger: zerolog.Nop()}, now)
	p.interference.sensitivityOf("service").samples = 50
	p.maintained[3] = []string{"m-3"}
	p.WorkersRestart = true
	p.ReduceSnapshots()
	require.True(t, p.HasMaintenanceChanged(), "a snapshot is due at once")
	b, err := p.PrepareSnapshot(now)
	require.NoError(t, err)
	o := New(Config{Logger: zerolog.Nop()}, now)
	require.NoError(t, o.RestoreSnapshot(b))
	require.Empty(t, o.interference.sensitivities)
	require.True(t, o.WorkersRestart)
	require.Equal(t, []string{"m-3"}, o.maintained[3])
}

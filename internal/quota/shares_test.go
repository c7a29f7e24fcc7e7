package quota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/account"
	"currantknot.dev/currantknot/internal/jobs"
)

var testCapacity = map[string]jobs.Resources{"pool": {MilliCPU: 100_000, MemoryMB: 1000, Accelerators: 10}}

func sharesWith(a ...account.Account) *Shares {
	s := NewShares()
	s.SetWeights(NewWeights(a))
	return s
}

// Guards against an account that takes most of one resource and counts by another.
func TestShareIsThatOfTheDominantResource(t *testing.T) {
	for _, r := range []jobs.Resources{{MilliCPU: 51_000, MemoryMB: 1}, {MilliCPU: 1, MemoryMB: 510}, {MilliCPU: 1, MemoryMB: 1, Accelerators: 6}} {
		s := sharesWith(account.Account{Name: "a", Weight: 5}, account.Account{Name: "b", Weight: 5})
		s.Add("pool", "a", r)
		s.Begin(testCapacity)
		require.False(t, s.IsOver("pool", "a"), "alone it may use all")
		s.Wait("pool", "b", cpu(1))
		s.Wait("pool", "b", cpu(1))
		require.True(t, s.IsOver("pool", "a"), "%+v", r)
		require.False(t, s.IsOver("pool", "b"))
		s.Add("pool", "b", jobs.Resources{MilliCPU: 1})
		s.Begin(testCapacity)
		require.True(t, s.IsOver("pool", "a"), "%+v: the other runs and no longer waits", r)
		s.Remove("pool", "b", jobs.Resources{MilliCPU: 1})
		s.Begin(testCapacity)
		require.False(t, s.IsOver("pool", "a"))
	}
}

func TestSharesFollowWeights(t *testing.T) {
	s := sharesWith(account.Account{Name: "a", Weight: 3}, account.Account{Name: "b", Weight: 1})
	s.Add("pool", "a", jobs.Resources{MilliCPU: 74_000})
	s.Add("pool", "b", jobs.Resources{MilliCPU: 26_000})
	s.Begin(testCapacity)
	require.False(t, s.IsOver("pool", "a"))
	require.True(t, s.IsOver("pool", "b"))
	require.InDelta(t, 0.74, s.Dominant("a"), 1e-9)
}

// Guards against use in one pool that counts in another.
func TestSharesOfPoolsAreIndependent(t *testing.T) {
	s := sharesWith(account.Account{Name: "a", Weight: 1}, account.Account{Name: "b", Weight: 1})
	s.Add("other", "a", jobs.Resources{MilliCPU: 90_000})
	s.Begin(map[string]jobs.Resources{"pool": testCapacity["pool"], "other": {MilliCPU: 100_000}})
	s.Wait("pool", "a", cpu(1))
	s.Wait("pool", "b", cpu(1))
	require.False(t, s.IsOver("pool", "a"))
	s.Wait("other", "b", cpu(1))
	require.True(t, s.IsOver("other", "a"))
}

func TestNoAccountIsOverItsShareWithoutAConfiguration(t *testing.T) {
	s := sharesWith()
	s.Add("pool", "a", jobs.Resources{MilliCPU: 90_000})
	s.Begin(testCapacity)
	s.Wait("pool", "b", cpu(1))
	require.False(t, s.IsOver("pool", "a"))
	require.False(t, s.IsOver("pool", ""))
}

// Guards against memory for accounts and pools without work.
func TestSharesAreEmptyOnceNothingRunsOrWaits(t *testing.T) {
	s := sharesWith(account.Account{Name: "a", Weight: 1})
	s.Add("pool", "a", jobs.Resources{MilliCPU: 1})
	s.Begin(nil)
	s.Remove("pool", "a", jobs.Resources{MilliCPU: 1})
	s.Begin(nil)
	require.Empty(t, s.pools)
}

// Guards against an account whose use is over its share only by chance and that waits with one that has far more work than others.
func TestLevelTellsABurstFromABacklog(t *testing.T) {
	s := sharesWith(account.Account{Name: "a", Weight: 1}, account.Account{Name: "b", Weight: 1})
	level := func(used, waiting int) Level {
		s.Add("pool", "a", cpu(used))
		s.Begin(testCapacity)
		s.Wait("pool", "a", cpu(waiting))
		s.Wait("pool", "b", cpu(1))
		x := s.Level("pool", "a")
		s.Remove("pool", "a", cpu(used))
		return x
	}
	require.Equal(t, Under, s.Level("pool", "a"))
	require.Equal(t, Within, s.Level("pool", ""))
	require.Equal(t, Within, level(50_000, 900_000))
	require.Equal(t, Over, level(51_000, 70_000))
	require.Equal(t, FarOver, level(51_000, 80_000))
}

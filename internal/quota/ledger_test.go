package quota

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/account"
	"currantknot.dev/currantknot/internal/jobs"
)

func ledgerWith(a ...account.Account) *Ledger {
	l := NewLedger()
	l.SetCaps(a)
	return l
}

func cpu(n int) jobs.Resources { return jobs.Resources{MilliCPU: n, MemoryMB: 1} }

// Guards against a task that starts although its account then uses more of one resource than its cap.
func TestTaskFitsUpToTheCapOfEachResource(t *testing.T) {
	c := jobs.Resources{MilliCPU: 1000, MemoryMB: 200, Accelerators: 2}
	l := ledgerWith(account.Account{Name: "a", Cap: c})
	require.True(t, l.Fits("a", c))
	for _, r := range []jobs.Resources{{MilliCPU: 1001}, {MemoryMB: 201}, {Accelerators: 3}} {
		require.False(t, l.Fits("a", r), "%+v", r)
	}
	l.Add("a", jobs.Resources{MilliCPU: 600, MemoryMB: 100})
	require.True(t, l.Fits("a", jobs.Resources{MilliCPU: 400, MemoryMB: 100, Accelerators: 2}))
	require.False(t, l.Fits("a", jobs.Resources{MilliCPU: 401}))
	l.Remove("a", jobs.Resources{MilliCPU: 600, MemoryMB: 100})
	require.True(t, l.Fits("a", c))
}

// Guards against starts above a cap that was lowered below what runs, including those that need nothing of that resource.
func TestNothingFitsWhileUseIsAboveALoweredCap(t *testing.T) {
	l := ledgerWith(account.Account{Name: "a", Cap: jobs.Resources{MilliCPU: 1000}})
	l.Add("a", cpu(900))
	l.SetCaps([]account.Account{{Name: "a", Cap: jobs.Resources{MilliCPU: 500}}})
	require.False(t, l.Fits("a", jobs.Resources{}))
	require.False(t, l.Fits("a", jobs.Resources{MemoryMB: 1}))
	l.Remove("a", cpu(400))
	require.True(t, l.Fits("a", jobs.Resources{MemoryMB: 1}))
	require.False(t, l.Fits("a", jobs.Resources{MilliCPU: 1}))
}

// Guards against a cap that operators got wrong being read as no cap.
func TestNegativeCapFitsNothing(t *testing.T) {
	for _, c := range []jobs.Resources{{MilliCPU: -1}, {MilliCPU: 1000, MemoryMB: -5}, {Accelerators: -1}} {
		require.False(t, ledgerWith(account.Account{Name: "a", Cap: c}).Fits("a", jobs.Resources{}), "%+v", c)
	}
}

// Guards against a limit for jobs without an account and for accounts that left the configuration or have no cap.
func TestAccountsWithoutCapAlwaysFit(t *testing.T) {
	l := ledgerWith(account.Account{Name: "free"}, account.Account{Cap: jobs.Resources{MilliCPU: 1}})
	for _, n := range []string{"", "free", "gone"} {
		l.Add(n, cpu(1<<40))
		require.True(t, l.Fits(n, cpu(1<<40)), n)
	}
	require.Zero(t, l.Used(""))
}

// Guards against starts without a cap by an owner that has not read a configuration.
func TestNothingOfAnAccountFitsBeforeTheCapsAreKnown(t *testing.T) {
	l := NewLedger()
	require.False(t, l.Fits("a", jobs.Resources{}))
	require.True(t, l.Fits("", cpu(1)))
}

func TestSmallestCapHoldsForAccountsOfOneName(t *testing.T) {
	l := ledgerWith(
		account.Account{Name: "a", Cap: jobs.Resources{MilliCPU: 1000, MemoryMB: 0}},
		account.Account{Name: "a", Cap: jobs.Resources{MilliCPU: 2000, MemoryMB: 50}},
	)
	require.Equal(t, jobs.Resources{MilliCPU: 1000, MemoryMB: 50}, l.Cap("a"))
}

// Guards against sums that drift, and against entries that stay for accounts without attempts.
func TestLedgerIsEmptyOnceAllAttemptsAreRemoved(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	l := ledgerWith()
	var added []jobs.Resources
	for range 1000 {
		x := jobs.Resources{MilliCPU: r.IntN(9000), MemoryMB: r.IntN(5000), Accelerators: r.IntN(2)}
		l.Add("a", x)
		added = append(added, x)
	}
	r.Shuffle(len(added), func(i, j int) { added[i], added[j] = added[j], added[i] })
	for _, x := range added {
		l.Remove("a", x)
	}
	require.Empty(t, l.used)
}

package jobserve

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/dispatch"
)

// Guards against series of accounts that no longer have work, also at an instance that is no longer the owner.
func TestSeriesOfAccountsAreReplaced(t *testing.T) {
	m := NewMetrics()
	text := func() string {
		var b strings.Builder
		m.write(&b)
		return b.String()
	}
	m.setAccountMetrics([]dispatch.AccountUsage{{Account: "a", RunningMilliCPU: 2500, WaitingTasks: 3, DominantShare: 0.25, AtCap: 1}, {Account: restLabel}})
	require.Contains(t, text(), "currantknot_account_running_cores{account=\"a\"} 2.5\n")
	require.Contains(t, text(), "currantknot_account_at_cap{account=\"a\"} 1\n")
	m.setAccountMetrics(nil)
	require.Contains(t, text(), "account=\"a\"")
	m.setAccountMetrics([]dispatch.AccountUsage{{Account: "b"}})
	require.NotContains(t, text(), "account=\"a\"")
	m.setAccountMetrics([]dispatch.AccountUsage{})
	require.NotContains(t, text(), "account=")
}

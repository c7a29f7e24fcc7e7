package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/account"
	"currantknot.dev/currantknot/internal/jobs"
)

// Guards against a series for each of very many accounts.
func TestUsagesAreThoseOfTheLargestAccountsAndTheRest(t *testing.T) {
	s := newSimulation(t, 4)
	var l []account.Account
	for n := range 30 {
		l = append(l, account.Account{Name: fmt.Sprintf("account-%02d", n), Weight: 100, Cap: jobs.Resources{MilliCPU: 2000 * (1 + n%2)}})
	}
	s.p.SetAccounts(l)
	for n, a := range l {
		s.p.AddJob(jobs.New(jobs.Spec{ID: testID(n), Account: a.Name, Queue: testQueue(), Steps: []jobs.Step{plainStep(3)}, SubmittedAt: s.now}), s.now)
	}
	s.plan()
	x, rest := s.p.AccountUsages(20)
	require.Len(t, x, 20)
	require.Equal(t, AccountUsage{Account: "account-01", RunningMilliCPU: 4000, WaitingTasks: 1, DominantShare: 4. / 128, AtCap: 1}, x[0])
	require.Equal(t, AccountUsage{RunningMilliCPU: 20000, WaitingTasks: 20, DominantShare: 20. / 128, AtCap: 10}, rest)
}

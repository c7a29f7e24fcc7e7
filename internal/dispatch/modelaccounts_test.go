package dispatch

import (
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantknot.dev/currantknot/internal/account"
	"currantknot.dev/currantknot/internal/jobs"
)

// modelAccounts names the accounts of the model.
var modelAccounts = []string{"account-0", "account-1"}

// modelCap is a cap that an account has had since a time; 0 is no cap.
type modelCap struct {
	since    time.Time
	milliCPU int
}

// accounts returns the present configuration.
func (m *model) accounts() []account.Account {
	var l []account.Account
	for _, n := range modelAccounts {
		c := m.caps[n]
		l = append(l, account.Account{Name: n, Weight: 1, Cap: jobs.Resources{MilliCPU: c[len(c)-1].milliCPU}})
	}
	return l
}

// changeRandomCap lets operators change the cap of an account, also to less than what it has running.
func (m *model) changeRandomCap() {
	n := rapid.SampledFrom(modelAccounts).Draw(m.t, "account")
	m.caps[n] = append(m.caps[n], modelCap{m.now, rapid.IntRange(0, 5).Draw(m.t, "half tasks in the cap") * 1000})
}

// highestCap returns the highest cap that the account had after the given time, 0 if it had none for a while.
func (m *model) highestCap(account string, after time.Time) int {
	l := m.caps[account]
	n := l[len(l)-1].milliCPU
	for i := len(l) - 1; i > 0 && l[i].since.After(after); i-- {
		if n == 0 || l[i-1].milliCPU == 0 {
			return 0
		}
		n = max(n, l[i-1].milliCPU)
	}
	return n
}

// checkCap checks that what the account of a start has running on all workers is within the highest cap that was in force while
// the start may rest on it.
func (m *model) checkCap(c call) {
	name := m.specs[c.Job].Account
	if name == "" {
		return
	}
	limit := m.highestCap(name, c.sentAt.Add(-modelStartBounds.Configuration))
	sum := m.specs[c.Job].Steps[c.Step].Size.MilliCPU
	for _, w := range m.workers {
		for r := range w.runs {
			if m.specs[r.Job].Account == name {
				sum += m.specs[r.Job].Steps[r.Step].Size.MilliCPU
			}
		}
	}
	if limit > 0 {
		require.LessOrEqual(m.t, sum, limit, "%s starts above the cap of %s", c.Ref, name)
	}
}

// checkLedger checks that the sums by account are those of all attempts and orphans.
func (m *model) checkLedger() { requireExactSums(m.t, m.p) }

// requireExactSums checks that the sums by account are those of all attempts and orphans.
func requireExactSums(t require.TestingT, p *Planner) {
	sums := make(map[string]jobs.Resources)
	for _, w := range p.workerList {
		for _, a := range w.attemptList {
			sums[a.job.Account] = sums[a.job.Account].Plus(a.task.Spec.Size)
		}
		for _, o := range w.orphans {
			sums[o.job.Account] = sums[o.job.Account].Plus(o.step.Size)
		}
	}
	for _, j := range p.jobs {
		if j.Account != "" {
			require.Equal(t, sums[j.Account], p.accounts.ledger.Used(j.Account), j.Account)
		}
	}
}

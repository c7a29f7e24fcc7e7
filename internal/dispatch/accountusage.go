package dispatch

import (
	"cmp"
	"slices"

	"currantknot.dev/currantknot/internal/jobs"
)

// AccountUsage is what an account uses and waits for after the latest plan.
type AccountUsage struct {
	// Account is the name, empty for several accounts together.
	Account         string
	RunningMilliCPU int
	WaitingTasks    int
	DominantShare   float64
	// AtCap counts the accounts of which the latest plan passed over a step since they were at their caps.
	AtCap int
}

// plus returns the usage of both together.
func (u AccountUsage) plus(o AccountUsage) AccountUsage {
	u.RunningMilliCPU += o.RunningMilliCPU
	u.WaitingTasks += o.WaitingTasks
	u.DominantShare += o.DominantShare
	u.AtCap += o.AtCap
	return u
}

// recordWaiting records the tasks of each account that the plan left waiting.
func (a *accounts) recordWaiting(l []candidateStep) {
	clear(a.waiting)
	for i := range l {
		if l[i].job.Account != "" {
			a.waiting[l[i].job.Account] += countWaiting(l[i : i+1])
		}
	}
}

// AccountUsages returns the usage of the accounts with the most running CPU, at most n, and that of the others together. It looks at
// all accounts with work.
func (p *Planner) AccountUsages(n int) (largest []AccountUsage, rest AccountUsage) {
	a := p.accounts
	add := func(name string) {
		u := AccountUsage{
			Account: name, RunningMilliCPU: a.ledger.Used(name).MilliCPU, WaitingTasks: a.waiting[name], DominantShare: a.shares.Dominant(name),
		}
		if a.capped[name] {
			u.AtCap = 1
		}
		largest = append(largest, u)
	}
	a.ledger.ForEach(func(name string, _ jobs.Resources) { add(name) })
	for name := range a.waiting {
		if a.ledger.Used(name) == (jobs.Resources{}) {
			add(name)
		}
	}
	slices.SortFunc(largest, func(x, y AccountUsage) int {
		return cmp.Or(cmp.Compare(y.RunningMilliCPU, x.RunningMilliCPU), cmp.Compare(y.WaitingTasks, x.WaitingTasks), cmp.Compare(x.Account, y.Account))
	})
	for _, u := range largest[min(n, len(largest)):] {
		rest = rest.plus(u)
	}
	return largest[:min(n, len(largest))], rest
}

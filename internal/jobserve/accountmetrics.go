package jobserve

import (
	"time"

	"currantknot.dev/currantknot/internal/dispatch"
)

const (
	// maxAccountSeries is the number of accounts with series of their own.
	maxAccountSeries = 20
	// accountMetricsInterval is the time between two updates of the metrics by account, which look at all accounts with work.
	accountMetricsInterval = time.Second
	// restLabel is the account in the series of all other accounts together.
	restLabel = "(rest)"
)

// accountUsages returns the usage of the accounts if the metrics by account are due, and of the others together; o.mu is held.
func (o *Owner) accountUsages(now time.Time) []dispatch.AccountUsage {
	if now.Sub(o.accountMetricsAt) < accountMetricsInterval {
		return nil
	}
	o.accountMetricsAt = now
	l, rest := o.planner.AccountUsages(maxAccountSeries)
	if rest != (dispatch.AccountUsage{}) {
		rest.Account = restLabel
		l = append(l, rest)
	}
	// An empty list must replace the series of the previous one, and so is not nil.
	return append([]dispatch.AccountUsage{}, l...)
}

// setAccountMetrics replaces the metrics by account, unless the list is nil.
func (m *Metrics) setAccountMetrics(l []dispatch.AccountUsage) {
	if l == nil {
		return
	}
	set := func(name string, value func(dispatch.AccountUsage) float64) {
		v := make(map[string]float64, len(l))
		for _, u := range l {
			v[label("account", u.Account)] = value(u)
		}
		m.SetSeries(name, v)
	}
	set(metricAccountCPU, func(u dispatch.AccountUsage) float64 { return float64(u.RunningMilliCPU) / 1000 })
	set(metricAccountWaiting, func(u dispatch.AccountUsage) float64 { return float64(u.WaitingTasks) })
	set(metricAccountShare, func(u dispatch.AccountUsage) float64 { return u.DominantShare })
	set(metricAccountAtCap, func(u dispatch.AccountUsage) float64 { return float64(u.AtCap) })
}

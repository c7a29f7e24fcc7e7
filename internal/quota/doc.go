// Package quota decides by client account: whether a task fits the cap of its
// account, which accounts use more than their share of full workers, and which
// jobs were submitted beyond the rate of their account.
//
// It does no I/O and knows no workers. The planner (package dispatch) reports
// each attempt that it adds or removes, so that no plan sums over all workers.
// An account costs memory here only while it has attempts or jobs, apart from
// its cap and weight.
package quota

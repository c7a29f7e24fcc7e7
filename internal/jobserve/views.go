package jobserve

import (
	"time"

	"currantknot.dev/currantknot/internal/dispatch"
)

// refreshViews passes the latest requests of operators and the present ages of all views to the planner; o.mu is held.
func (o *Owner) refreshViews(now time.Time) {
	// The times are read first, so that they are not later than what they are the times of.
	v := o.views(now)
	if c := o.State.Configuration(); c != nil {
		o.planner.SetAccounts(c.Accounts)
	}
	o.planner.SetDrainedDomains(o.State.DrainedDomains())
	o.planner.SetViews(v, now)
}

// views returns as of when this owner knows what starts depend on; o.mu is held.
func (o *Owner) views(now time.Time) dispatch.Views {
	return dispatch.Views{
		Workers:   now.Add(-o.workersAt.Age()),
		Operators: now.Add(-o.State.CurrentAt().Age()),
		Requests:  now.Add(-o.Replica.RequestsCurrentAt().Age()),
	}
}

// abandonOverdueReads ends the reads that the views wait for if their responses are overdue, given the time in which the store
// responded to a commit just now. After an outage, starts wait for these reads.
func (o *Owner) abandonOverdueReads(latency time.Duration) {
	o.listRead.abandonOverdue(latency)
	o.State.read.abandonOverdue(latency)
	o.Replica.AbandonOverdueRead(latency)
}

// workersAge returns the age of the list of workers.
func (o *Owner) workersAge() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.workersAt.Age()
}

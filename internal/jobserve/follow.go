package jobserve

import (
	"context"
	"time"
)

// followRequests passes new submissions and cancellations to the planner until the context ends.
func (o *Owner) followRequests(ctx context.Context) {
	for ctx.Err() == nil {
		o.applyRequests()
		o.confirmContested(ctx)
		u := time.Now().Add(requestsPollTimeout)
		c, cancel := context.WithDeadline(ctx, u.Add(pollResponseTimeout))
		err := o.Replica.Follow(c, PartitionRequests, time.Now(), u)
		cancel()
		if err != nil && ctx.Err() == nil {
			o.Logger.Warn().Err(err).Msg("submissions and cancellations were not read")
			sleep(ctx, storeBackoff)
		}
	}
}

// applyRequests adds new jobs to the planner and applies all known cancellations.
func (o *Owner) applyRequests() {
	ids, cancelled := o.Replica.IDs(), o.Replica.Cancelled()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	n := 0
	for _, id := range ids {
		if o.planner.Job(id) != nil {
			continue
		}
		if j := o.Replica.Job(id); j != nil {
			o.planner.AddJob(j, now)
			n++
		}
	}
	for _, id := range cancelled {
		o.planner.Cancel(id, now)
	}
	if n > 0 || len(cancelled) > 0 {
		o.requestPlan()
	}
}

// pollWorkers reads the worker list at intervals, and after a failed read soon again, until the context ends.
func (o *Owner) pollWorkers(ctx context.Context) {
	var l latencyEstimator
	wait := workerListInterval
	for ctx.Err() == nil {
		sleep(ctx, wait)
		start := time.Now()
		if o.readWorkers(ctx, &l) {
			wait = workerListInterval - time.Since(start)
		} else {
			wait = storeBackoff
		}
	}
}

// readWorkers reads the worker list, passes it to the planner, and reports whether it was read. The time limit follows the
// latency of the reads, so that a slow store is waited for.
func (o *Owner) readWorkers(ctx context.Context, latency *latencyEstimator) bool {
	start := time.Now()
	c, end := o.listRead.begin(ctx, start, latency.timeout())
	l, err := o.Directory.ListWorkers(c)
	end(err)
	if !isNotApplied(err) {
		latency.observe(time.Since(start))
	}
	if err != nil {
		if ctx.Err() == nil {
			o.Logger.Warn().Err(err).Dur("ListAge", o.workersAge()).Str("Decision", "ListUnread").Msg("worker list was not read")
		}
		return false
	}
	o.mu.Lock()
	o.workersAt = l.CurrentAt
	o.planner.SetWorkers(l.Workers, time.Now())
	o.mu.Unlock()
	o.Metrics.Set(series(metricMalformed, label("kind", "Worker")), l.Malformed)
	o.requestPlan()
	return true
}

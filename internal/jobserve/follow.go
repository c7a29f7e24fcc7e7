package jobserve

import (
	"context"
	"time"
)

// followRequests takes in submissions and cancellations.
func (o *Owner) followRequests(ctx context.Context) {
	for ctx.Err() == nil {
		o.takeRequests()
		u := time.Now().Add(followFor)
		c, cancel := context.WithDeadline(ctx, u.Add(followTimeout))
		err := o.Replica.Follow(c, PartitionRequests, time.Now(), u)
		cancel()
		if err != nil && ctx.Err() == nil {
			o.Logger.Warn().Err(err).Msg("requests are not followed")
			pause(ctx, failurePause)
		}
	}
}

// takeRequests hands to the planner what the replica knows and it does not.
func (o *Owner) takeRequests() {
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
		o.notify()
	}
}

// followMembers reads the list of workers.
func (o *Owner) followMembers(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, listEvery)
		c, cancel := context.WithTimeout(ctx, joinTimeout)
		l, err := o.Directory.ListWorkers(c)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				o.Logger.Warn().Err(err).Msg("workers are not listed")
			}
			continue
		}
		o.mu.Lock()
		o.planner.SetWorkers(l, time.Now())
		o.mu.Unlock()
		o.notify()
	}
}

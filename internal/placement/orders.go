package placement

import (
	"maps"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/record"
)

// Orders holds the orders to send to workers now.
type Orders struct {
	Starts []StartOrder
	Stops  []StopOrder
	Syncs  []SyncOrder
}

// Orders returns the orders that are due. A start or stop order counts as in flight until its response arrives or
// Limits.OrderTimeout has passed. Until then, the task gets no other start or stop order.
func (o *Owner) Orders(c Clock) Orders {
	o.mu.Lock()
	defer o.mu.Unlock()
	var r Orders
	if !o.isOwner() || o.epoch != o.shard.Epoch {
		return r
	}
	for _, n := range slices.Sorted(maps.Keys(o.needsOrder)) {
		t := o.needsOrder[n]
		if t.running && t.stopReason == "" {
			delete(o.needsOrder, n)
			continue
		}
		o.addTaskOrder(&r, c, o.workers[t.worker], t)
	}
	for _, n := range slices.Sorted(maps.Keys(o.workers)) {
		o.addSyncOrder(&r, c, o.workers[n])
	}
	return r
}

func (o *Owner) fence() Fence { return Fence{Shard: o.Number, Epoch: o.shard.Epoch} }

func (o *Owner) isInFlight(sentAt, now time.Time) bool {
	return !sentAt.IsZero() && now.Sub(sentAt) < o.Limits.OrderTimeout
}

// addTaskOrder adds the start or stop order that the task needs, unless an order is in flight or a record that releases
// or finishes the attempt is proposed. An attempt that is not known to run gets a stop order if its worker is
// unschedulable.
func (o *Owner) addTaskOrder(r *Orders, c Clock, w *worker, t *task) {
	a := o.shard.Attempts[t.name]
	if o.isInFlight(t.sentAt, c.Now) || t.proposedAttempt == a.Attempt {
		return
	}
	if t.stopReason == "" && !t.running && o.isUnschedulable(w) {
		t.stopReason = record.ReleaseNotStarted
	}
	if t.stopReason != "" {
		t.sentAt = c.Now
		r.Stops = append(r.Stops, StopOrder{o.fence(), w.name, t.name, a.Attempt})
		return
	}
	if t.running || !o.isFresh(c) || !c.Now.Before(a.StartBefore) {
		return
	}
	t.sentAt = c.Now
	r.Starts = append(r.Starts, StartOrder{
		Fence: o.fence(), Worker: w.name, Task: t.name, Attempt: a.Attempt,
		Service: t.spec.Service, ClientAccount: t.spec.ClientAccount, Size: a.Size, RunTime: t.spec.RunTime,
		Checkpoint: a.Checkpoint, StartBefore: a.StartBefore, LeaseUntil: o.extendLease(w, c),
	})
}

// extendLease returns the expiry of the lease that an order to the worker grants.
//
// The lease of an unresponsive worker is not extended, so that the latest
// instant at which its tasks can run is known.
func (o *Owner) extendLease(w *worker, c Clock) time.Time {
	u := c.LeaseAt.Add(o.Limits.Lease)
	if !w.unresponsive && u.After(w.leaseUntil) {
		w.leaseUntil = u
	}
	return w.leaseUntil
}

func (o *Owner) addSyncOrder(r *Orders, c Clock, w *worker) {
	if c.Now.Before(w.syncAt) {
		return
	}
	// The previous sync order has not got a response yet.
	if !w.sentAt.IsZero() {
		w.unresponsive = true
	}
	w.syncAt = c.Now.Add(o.Limits.SyncInterval)
	w.sentAt = c.Now
	r.Syncs = append(r.Syncs, SyncOrder{
		Fence: o.fence(), Worker: w.name, LeaseUntil: o.extendLease(w, c), Forget: w.takeForgettable(c.Now),
		Running: o.runningDigest(w), Throttle: w.throttledTasks(),
	})
}

// runningDigest returns the digest of the attempts that are known to run on the worker.
func (o *Owner) runningDigest(w *worker) Digest {
	var d Digest
	for n, t := range w.tasks {
		if t.running {
			d = d.Add(TaskAttempt{n, o.shard.Attempts[n].Attempt})
		}
	}
	return d
}

// takeForgettable removes and returns the finished attempts that the worker may forget now.
func (w *worker) takeForgettable(now time.Time) []TaskAttempt {
	var f []TaskAttempt
	for t, after := range w.forgettable {
		if now.After(after) {
			f = append(f, t)
			delete(w.forgettable, t)
		}
	}
	return f
}

// OnSyncFailure records that the worker did not respond to a sync order. The next sync order repeats the order's Forget
// list.
func (o *Owner) OnSyncFailure(s SyncOrder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.workers[s.Worker]
	if w == nil {
		return
	}
	w.unresponsive = true
	w.sentAt = time.Time{}
	for _, t := range s.Forget {
		w.allowForget(t, time.Time{})
	}
}

package placement

import (
	"maps"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/record"
)

// Orders is what the owner wants sent to workers now.
type Orders struct {
	Starts []StartOrder
	Stops  []StopOrder
	Syncs  []SyncOrder
}

// Orders returns the orders that are due; each counts as under way until it is answered or times out.
func (o *Owner) Orders(c Clock) Orders {
	o.mu.Lock()
	defer o.mu.Unlock()
	var r Orders
	if !o.isOwner() || o.epoch != o.shard.Epoch {
		return r
	}
	for _, n := range slices.Sorted(maps.Keys(o.active)) {
		t := o.active[n]
		if t.running && t.stop == "" {
			delete(o.active, n)
			continue
		}
		o.orderTask(&r, c, o.workers[t.worker], t)
	}
	for _, n := range slices.Sorted(maps.Keys(o.workers)) {
		o.orderSync(&r, c, o.workers[n])
	}
	return r
}

func (o *Owner) fence() Fence { return Fence{Shard: o.Number, Epoch: o.shard.Epoch} }

func (o *Owner) isUnderWay(sentAt, now time.Time) bool {
	return !sentAt.IsZero() && now.Sub(sentAt) < o.Limits.OrderTimeout
}

func (o *Owner) orderTask(r *Orders, c Clock, w *worker, t *task) {
	a := o.shard.Attempts[t.name]
	if o.isUnderWay(t.sentAt, c.Now) || t.proposed == a.Attempt {
		return
	}
	if t.stop == "" && !t.running && o.isClosed(w) {
		t.stop = record.ReleaseNotStarted
	}
	if t.stop != "" {
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
		Checkpoint: a.Checkpoint, StartBefore: a.StartBefore, LeaseUntil: o.grant(w, c),
	})
}

// grant returns the end of the lease that an order to the worker carries.
//
// A worker that does not answer gets no longer lease, so that its end is known.
func (o *Owner) grant(w *worker, c Clock) time.Time {
	u := c.LeaseAt.Add(o.Limits.Lease)
	if !w.silent && u.After(w.leaseUntil) {
		w.leaseUntil = u
	}
	return w.leaseUntil
}

func (o *Owner) orderSync(r *Orders, c Clock, w *worker) {
	if c.Now.Before(w.syncAt) {
		return
	}
	if !w.sentAt.IsZero() {
		w.silent = true
	}
	w.syncAt = c.Now.Add(o.Limits.SyncEvery)
	w.sentAt = c.Now
	r.Syncs = append(r.Syncs, SyncOrder{
		Fence: o.fence(), Worker: w.name, LeaseUntil: o.grant(w, c), Forget: w.takeForgettable(c.Now),
		Running: o.runningOn(w), Throttle: w.throttledTasks(),
	})
}

// runningOn returns the digest of the attempts that are known to run on the worker.
func (o *Owner) runningOn(w *worker) Digest {
	var d Digest
	for n, t := range w.bound {
		if t.running {
			d = d.Add(TaskAttempt{n, o.shard.Attempts[n].Attempt})
		}
	}
	return d
}

// takeForgettable removes and returns the ended attempts that the worker may forget.
func (w *worker) takeForgettable(now time.Time) []TaskAttempt {
	var f []TaskAttempt
	for t, after := range w.ended {
		if now.After(after) {
			f = append(f, t)
			delete(w.ended, t)
		}
	}
	return f
}

// OnSilence notes that a sync was not answered.
func (o *Owner) OnSilence(s SyncOrder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.workers[s.Worker]
	if w == nil {
		return
	}
	w.silent = true
	w.sentAt = time.Time{}
	for _, t := range s.Forget {
		w.mayForget(t, time.Time{})
	}
}

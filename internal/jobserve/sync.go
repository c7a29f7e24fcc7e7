package jobserve

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/lease"
)

const (
	// syncTimeout is the time for the response to a sync call, in addition to the long poll that the call requests.
	syncTimeout = 700 * time.Millisecond
	// orderTimeout bounds the call that executes an order at a worker.
	orderTimeout = 800 * time.Millisecond
	// freshSamplesPollTimeout is the duration of the long poll for finished attempts at a worker whose samples must be fresh.
	freshSamplesPollTimeout = 450 * time.Millisecond
	// duePollTimeout is the duration of the long poll at a worker of which a report is due now.
	duePollTimeout = 100 * time.Millisecond
	// busyPollTimeout is the duration of the long poll at any other worker that needs a lease.
	busyPollTimeout = 1200 * time.Millisecond
	// idlePollTimeout is the duration of the long poll at a worker that needs no lease: it has no attempts, or its lease is
	// withheld.
	idlePollTimeout = 1900 * time.Millisecond
	// commitWaitTimeout is the longest wait for the commit of finished attempts before the next call to the worker.
	commitWaitTimeout = 400 * time.Millisecond
	// syncBackoff is the delay after a failed sync call.
	syncBackoff = 250 * time.Millisecond
	// maxSyncFailures is the number of consecutive failed sync calls from which on further failures are not logged.
	maxSyncFailures = 2
)

// syncLoop is a running sync loop: the address that it calls, and the function that stops it.
type syncLoop struct {
	address string
	cancel  context.CancelFunc
}

// startSyncLoops starts a sync loop for each worker in l that has none at its address, and stops all other loops.
func (o *Owner) startSyncLoops(ctx context.Context, l []dispatch.WorkerInfo) {
	o.Workers.SetWorkerCount(len(l))
	seen := make(map[string]bool, len(l))
	for _, w := range l {
		seen[w.ID] = true
		x, ok := o.syncLoops[w.ID]
		if ok && x.address == w.Address {
			continue
		}
		if ok {
			x.cancel()
		}
		c, cancel := context.WithCancel(ctx)
		o.syncLoops[w.ID] = syncLoop{w.Address, cancel}
		o.spawn(func() { o.runSyncLoop(c, w) })
	}
	for id, x := range o.syncLoops {
		if !seen[id] {
			x.cancel()
			delete(o.syncLoops, id)
			o.Workers.Forget(id)
		}
	}
}

// runSyncLoop requests reports from a worker and renews its lease until the context ends.
func (o *Owner) runSyncLoop(ctx context.Context, w dispatch.WorkerInfo) {
	failures := 0
	first := true
	// confirmed is what the worker knows to be acknowledged.
	var confirmed acknowledgement
	for ctx.Err() == nil {
		s := o.nextSync(w, failures, first)
		if confirmed == (acknowledgement{s.Incarnation, s.Acknowledged}) {
			s.Acknowledged = 0
		}
		deadline := s.LongPollUntil.Add(syncTimeout)
		r, err := o.sync(ctx, s, deadline)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrFenced) && s.Fence < o.fenceOf(w.ID):
			// The worker has seen a higher token of this owner; the next call carries it.
		case errors.Is(err, ErrFenced):
			o.Logger.Warn().Str("Worker", w.ID).Int64("Epoch", o.epoch).Str("Decision", "FencedAtWorker").Msg("worker has seen a newer owner and rejected the call")
			sleep(ctx, memberLease)
		case err != nil:
			failures++
			o.recordSyncFailure(w, failures, time.Now().Before(deadline), err)
			sleep(ctx, syncBackoff)
		default:
			failures, first = 0, false
			if s.Acknowledged > 0 && hasForgotten(r, s.Acknowledged) {
				confirmed = acknowledgement{s.Incarnation, s.Acknowledged}
			}
		}
	}
}

// StaleReportError reports that a worker responded with an incarnation that may have come before its present one.
type StaleReportError struct {
	Worker      string
	Incarnation int64
}

// Error names the worker and the incarnation in its response.
func (e *StaleReportError) Error() string {
	return fmt.Sprintf("worker %s responded as incarnation %d, which may have come before the present one", e.Worker, e.Incarnation)
}

// sync makes one sync call and handles its report. A report that the planner ignores is an error, so that the worker is
// granted no further lease and its attempts are released.
func (o *Owner) sync(ctx context.Context, s Sync, deadline time.Time) (dispatch.Report, error) {
	c, cancel := context.WithDeadline(ctx, deadline)
	r, err := o.Workers.Sync(c, s)
	cancel()
	if err != nil || ctx.Err() != nil {
		return r, err
	}
	r.RequestedAt, r.Fence, r.LeaseCall = s.PreparedAt, s.Fence, s.LeaseCall
	if !o.handleReport(ctx, r) {
		return r, &StaleReportError{s.Worker, r.Incarnation}
	}
	return r, nil
}

// hasForgotten reports whether a report names no finished attempt up to a number.
func hasForgotten(r dispatch.Report, number int64) bool {
	return !slices.ContainsFunc(r.Finished, func(e dispatch.FinishedAttempt) bool { return e.Number <= number })
}

// nextSync returns the next sync request to a worker. The request renews the lease of a worker that needs one. It grants no
// lease if it is the first request of the loop, if the latest call failed, since the worker may have started again with a clock of
// its own, or if the latest commit was too long ago.
func (o *Owner) nextSync(w dispatch.WorkerInfo, failures int, first bool) Sync {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	a := o.acknowledged[w.ID]
	if i, _ := o.planner.AckNumber(w.ID); a.incarnation != i {
		// The number was that of an earlier incarnation, which a relay may not know yet.
		a = acknowledgement{incarnation: i}
	}
	s := Sync{PreparedAt: now, Worker: w.ID, Address: w.Address, FailureDomain: w.FailureDomain, Incarnation: a.incarnation, Fence: o.planner.Fence(w.ID), Acknowledged: a.number, LongPollUntil: now}
	if failures == 0 && !first {
		s.LongPollUntil = o.longPollUntil(w.ID, now)
	}
	if !first && failures == 0 && o.planner.NeedsLease(w.ID) && o.mayGrantLeases() {
		s.LeaseUntil = now.Add(o.Lease)
		s.LeaseCall = o.planner.GrantLease(w.ID, lease.ReasonSync, s.Incarnation, now)
	}
	return s
}

// longPollUntil returns until when a worker may hold the next request, at most until a report is due; o.mu is held.
func (o *Owner) longPollUntil(id string, now time.Time) time.Time {
	t := now.Add(o.longPollTimeout(id))
	due := o.planner.ReportDueAt(id)
	if due.IsZero() || due.After(t) || !t.After(now) {
		return t
	}
	if soonest := now.Add(duePollTimeout); due.Before(soonest) {
		return soonest
	}
	return due
}

// longPollTimeout returns how long a worker may hold the next request; o.mu is held.
func (o *Owner) longPollTimeout(id string) time.Duration {
	switch {
	case o.planner.IsLeaseInherited(id), o.planner.HasMoreFinished(id):
		return 0
	case o.planner.NeedsFreshSamples(id):
		return freshSamplesPollTimeout
	case o.planner.NeedsLease(id):
		return busyPollTimeout
	}
	return idlePollTimeout
}

// recordSyncFailure reports a failed sync call to the planner, and logs at most maxSyncFailures consecutive failures; broken
// means that the call failed before its deadline.
func (o *Owner) recordSyncFailure(w dispatch.WorkerInfo, failures int, broken bool, err error) {
	o.mu.Lock()
	o.planner.SyncFailed(w.ID, broken, time.Now())
	o.mu.Unlock()
	if failures <= maxSyncFailures {
		o.Logger.Warn().Err(err).Str("Worker", w.ID).Int("Failures", failures).Str("Decision", "WorkerSilent").Msg("sync call to the worker failed")
	}
}

// handleReport passes a report to the planner, and waits at most commitWaitTimeout for the commit of its finished attempts and
// for that after which the worker may be granted leases. It returns false if the planner ignores the report.
func (o *Owner) handleReport(ctx context.Context, r dispatch.Report) bool {
	o.mu.Lock()
	ok := o.planner.HandleReport(r, time.Now())
	o.mu.Unlock()
	if !ok {
		return false
	}
	o.requestPlan()
	d := time.Now().Add(commitWaitTimeout)
	for !o.isCommitted(r) && time.Now().Before(d) && ctx.Err() == nil {
		sleep(ctx, batchDuration)
	}
	return true
}

// isCommitted reports whether the finished attempts of a report are committed, and whether a commit has stored that its worker has
// responded to this owner.
func (o *Owner) isCommitted(r dispatch.Report) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.planner.IsLeaseInherited(r.Worker) {
		return false
	}
	if len(r.Finished) == 0 {
		return true
	}
	a := o.acknowledged[r.Worker]
	return a.incarnation == r.Incarnation && a.number >= r.Finished[len(r.Finished)-1].Number
}

// execute executes an order and reports its result to the planner.
func (o *Owner) execute(ctx context.Context, x dispatch.Order) {
	switch x.Kind {
	case dispatch.OrderAdvise:
		o.requestPermits(ctx, x)
	case dispatch.OrderMaintain:
		o.orderMaintenance(ctx, x)
	case dispatch.OrderReport:
		o.reportWave(ctx, x)
	case dispatch.OrderStart, dispatch.OrderStop, dispatch.OrderThrottle:
		o.executeAtWorker(ctx, x)
	}
}

// executeAtWorker calls the worker that an order names. An order that starts an attempt also grants a lease; it is refused if
// the owner may grant the worker none, or if what the start rests on is too old.
func (o *Owner) executeAtWorker(ctx context.Context, x dispatch.Order) {
	f := FencedOrder{Order: x, Fence: o.fenceOf(x.Worker)}
	now := time.Now()
	var leaseCall uint64
	if x.Kind == dispatch.OrderStart {
		var reason string
		f.LeaseUntil = now.Add(o.Lease)
		if leaseCall, reason = o.prepareStart(x, now); reason != "" {
			o.Logger.Warn().Str("Task", x.String()).Int("Run", x.Run).Str("Worker", x.Worker).Str("Reason", reason).Str("Decision", "StartWithheld").Msg("start was not sent")
			o.handleOrderResult(x, dispatch.ResultNotSent)
			return
		}
	}
	c, cancel := context.WithDeadline(ctx, orderDeadline(x, now))
	r, err := o.Workers.Execute(c, f)
	cancel()
	if ctx.Err() != nil {
		return
	}
	switch {
	case errors.Is(err, ErrFenced) && f.Fence < o.fenceOf(x.Worker):
		// The worker has done nothing, and is ready for a call with the present token.
		r = dispatch.ResultNotSent
	case err != nil:
		r = dispatch.ResultUnknown
	}
	if err != nil || r != dispatch.ResultAccepted {
		o.Logger.Warn().Err(err).Str("Task", x.String()).Int("Run", x.Run).Str("Worker", x.Worker).Str("Order", string(x.Kind)).Str("Answer", r.String()).Dur("Took", time.Since(now)).Msg("order was not confirmed")
	}
	if r != dispatch.ResultUnknown {
		o.mu.Lock()
		o.planner.LeaseCallAnswered(x.Worker, leaseCall, time.Now())
		o.mu.Unlock()
	}
	o.handleOrderResult(x, r)
}

// fenceOf returns the fencing token of the next call to a worker.
func (o *Owner) fenceOf(worker string) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.planner.Fence(worker)
}

// orderDeadline returns the deadline of the call that executes an order.
func orderDeadline(x dispatch.Order, now time.Time) time.Time {
	d := now.Add(orderTimeout)
	if !x.SendBefore.IsZero() && x.SendBefore.Before(d) {
		return x.SendBefore
	}
	return d
}

// prepareStart records the lease that a start is about to grant, and returns the ID of the call, or why the start must not be sent.
func (o *Owner) prepareStart(x dispatch.Order, now time.Time) (leaseCall uint64, reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case x.IsTooLate(now):
		return 0, "lists are too old"
	case !o.mayGrantLeases():
		return 0, "latest commit is too long ago"
	case o.planner.IsLeaseWithheld(x.Worker):
		return 0, "lease is withheld"
	}
	return o.planner.GrantLease(x.Worker, lease.ReasonStart, x.Incarnation, now), ""
}

// handleOrderResult passes a worker's result for an order to the planner.
func (o *Owner) handleOrderResult(x dispatch.Order, r dispatch.OrderResult) {
	o.mu.Lock()
	now := time.Now()
	switch x.Kind {
	case dispatch.OrderStart:
		o.planner.HandleStartResult(x, r, now)
	case dispatch.OrderStop:
		o.planner.HandleStopResult(x, r, now)
	case dispatch.OrderThrottle:
		o.planner.HandleThrottleResult(x, r)
	case dispatch.OrderAdvise, dispatch.OrderMaintain, dispatch.OrderReport:
	}
	o.mu.Unlock()
	if x.Kind != dispatch.OrderThrottle && r != dispatch.ResultAccepted {
		o.requestPlan()
	}
}

package jobserve

import (
	"context"
	"errors"
	"time"

	"currantknot.dev/currantknot/internal/dispatch"
)

const (
	// syncTimeout is the time that a worker has for an answer, beyond a wait that was asked for.
	syncTimeout = 700 * time.Millisecond
	// orderTimeout bounds a call that carries out an order.
	orderTimeout = 800 * time.Millisecond
	// figuresEvery is the wait for ends at a worker whose figures must be fresh.
	figuresEvery = 450 * time.Millisecond
	// busyWait is the wait for ends at a worker with attempts.
	busyWait = 1200 * time.Millisecond
	// idleWait is the wait at a worker without attempts.
	idleWait = 1900 * time.Millisecond
	// commitWait is the longest wait for the commit of ends before the worker is asked again.
	commitWait = 400 * time.Millisecond
	// silentPause is the pause after a call without an answer.
	silentPause = 250 * time.Millisecond
	// failuresBeforeSilence is the number of calls without an answer after which no lease is granted any more.
	failuresBeforeSilence = 2
)

// keepContacts keeps one conversation with each worker.
func (o *Owner) keepContacts(ctx context.Context, l []dispatch.WorkerInfo) {
	o.Workers.SetWorkerCount(len(l))
	seen := make(map[string]bool, len(l))
	for _, m := range l {
		seen[m.ID] = true
		if o.contacts[m.ID] != nil {
			continue
		}
		c, cancel := context.WithCancel(ctx)
		o.contacts[m.ID] = cancel
		o.spawn(func() { o.converse(c, m) })
	}
	for id, cancel := range o.contacts {
		if !seen[id] {
			cancel()
			delete(o.contacts, id)
			o.Workers.Forget(id)
		}
	}
}

// converse asks a worker for reports and renews its lease until the context ends.
func (o *Owner) converse(ctx context.Context, m dispatch.WorkerInfo) {
	failures := 0
	first := true
	for ctx.Err() == nil {
		s := o.sync(m, failures, first)
		c, cancel := context.WithDeadline(ctx, s.LongPollUntil.Add(syncTimeout))
		r, err := o.Workers.Sync(c, s)
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrFenced):
			o.Logger.Warn().Str("Worker", m.ID).Int64("Epoch", o.epoch).Str("Decision", "FencedAtWorker").Msg("the worker follows a newer owner")
			pause(ctx, memberLease)
		case err != nil:
			failures++
			o.unreachable(m, failures, err)
			pause(ctx, silentPause)
		default:
			failures, first = 0, false
			o.report(ctx, r)
		}
	}
}

// sync returns the next question to a worker.
func (o *Owner) sync(m dispatch.WorkerInfo, failures int, first bool) Sync {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	a := o.acknowledged[m.ID]
	s := Sync{Worker: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, Incarnation: a.life, Fence: o.epoch, Acknowledged: a.number, LongPollUntil: now}
	if failures == 0 && !first {
		s.LongPollUntil = now.Add(o.wait(m.ID))
	}
	if !first && failures < failuresBeforeSilence && o.planner.NeedsLease(m.ID) && now.Sub(o.RenewedAt()) < o.StoreLossGrace {
		s.LeaseUntil = now.Add(o.Lease)
		o.planner.LeaseGranted(m.ID, now)
	}
	return s
}

func (o *Owner) wait(id string) time.Duration {
	switch {
	case o.planner.NeedsFreshSamples(id):
		return figuresEvery
	case o.planner.NeedsLease(id):
		return busyWait
	}
	return idleWait
}

func (o *Owner) unreachable(m dispatch.WorkerInfo, failures int, err error) {
	o.mu.Lock()
	o.planner.SyncFailed(m.ID)
	o.mu.Unlock()
	if failures <= failuresBeforeSilence {
		o.Logger.Warn().Err(err).Str("Worker", m.ID).Int("Failures", failures).Str("Decision", "WorkerSilent").Msg("worker does not answer")
	}
}

// report hands a report to the planner and waits for the commit of its ends.
func (o *Owner) report(ctx context.Context, r dispatch.Report) {
	o.mu.Lock()
	o.planner.Report(r, time.Now())
	o.mu.Unlock()
	o.notify()
	if len(r.Finished) == 0 {
		return
	}
	last := r.Finished[len(r.Finished)-1].Number
	d := time.Now().Add(commitWait)
	for time.Now().Before(d) && ctx.Err() == nil {
		pause(ctx, gatherFor)
		o.mu.Lock()
		a := o.acknowledged[r.Worker]
		o.mu.Unlock()
		if a.life == r.Incarnation && a.number >= last {
			return
		}
	}
}

// carry carries an order out and reports its outcome.
func (o *Owner) carry(ctx context.Context, x dispatch.Order) {
	switch x.Kind {
	case dispatch.OrderAdvise:
		o.advise(ctx, x)
	case dispatch.OrderMaintain:
		o.maintain(ctx, x)
	case dispatch.OrderReport:
		o.reportWave(ctx, x)
	case dispatch.OrderStart, dispatch.OrderStop, dispatch.OrderThrottle:
		o.carryToWorker(ctx, x)
	}
}

func (o *Owner) carryToWorker(ctx context.Context, x dispatch.Order) {
	s := FencedOrder{Order: x, Fence: o.epoch}
	now := time.Now()
	if x.Kind == dispatch.OrderStart {
		s.LeaseUntil = now.Add(o.Lease)
		o.mu.Lock()
		o.planner.LeaseGranted(x.Worker, now)
		o.mu.Unlock()
	}
	c, cancel := context.WithTimeout(ctx, orderTimeout)
	a, err := o.Workers.Execute(c, s)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		a = dispatch.ResultUnknown
	}
	if err != nil || a != dispatch.ResultAccepted {
		o.Logger.Warn().Err(err).Str("Task", x.String()).Int("Run", x.Run).Str("Worker", x.Worker).Str("Order", string(x.Kind)).Str("Answer", a.String()).Dur("Took", time.Since(now)).Msg("order was not carried out")
	}
	o.answered(x, a)
}

func (o *Owner) answered(x dispatch.Order, a dispatch.OrderResult) {
	o.mu.Lock()
	now := time.Now()
	switch x.Kind {
	case dispatch.OrderStart:
		o.planner.HandleStartResult(x, a, now)
	case dispatch.OrderStop:
		o.planner.HandleStopResult(x, a, now)
	case dispatch.OrderThrottle:
		o.planner.HandleThrottleResult(x, a)
	case dispatch.OrderAdvise, dispatch.OrderMaintain, dispatch.OrderReport:
	}
	o.mu.Unlock()
	if x.Kind != dispatch.OrderThrottle && a != dispatch.ResultAccepted {
		o.notify()
	}
}

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/lease"
)

// overlongRecord is the encoded lease of a worker that may last for longer than the owner granted it. The records follow the
// exclusionRecords, where versions that don't know them ignore them.
type overlongRecord struct {
	Worker string
	// Millis is the time in milliseconds until the lease has certainly expired. The next owner counts it from Config.LastCommitAt, which
	// is later than the snapshot.
	Millis int64
}

// GrantLease records that a call is about to be sent to a worker that grants it a lease, dated by the clock of an incarnation. It returns
// the ID of the call, for LeaseCallAnswered or Report.LeaseCall.
func (p *Planner) GrantLease(worker string, r lease.Reason, incarnation int64, now time.Time) uint64 {
	p.LeaseGranted(worker, now)
	w := p.workers[worker]
	if w == nil {
		return 0
	}
	return w.calls.Add(lease.Call{Reason: r, Incarnation: incarnation, Fence: p.Fence(worker), SentAt: now, EndsAt: now.Add(lease.MaxLateness)})
}

// LeaseCallAnswered records that a call that grants a lease got a response.
func (p *Planner) LeaseCallAnswered(worker string, id uint64, now time.Time) {
	if w := p.workers[worker]; w != nil {
		w.calls.Answered(id, now)
	}
}

// inheritCalls records that earlier owners may have sent calls that are dated by the clock of the incarnation for which an attempt was
// planned. What the latest owner knew of another incarnation is in its snapshot.
func (p *Planner) inheritCalls(w *worker, incarnation int64) {
	if w.calls.Contains(lease.ReasonEarlierOwner, incarnation) {
		return
	}
	at := p.lastGrantAt()
	w.calls.Add(lease.Call{Reason: lease.ReasonEarlierOwner, Incarnation: incarnation, Fence: lease.EarlierFence, SentAt: at, EndsAt: at.Add(lease.MaxLateness)})
}

// settleCalls applies what a report tells about the calls to its worker.
func (p *Planner) settleCalls(w *worker, r Report, now time.Time) {
	l := w.calls.Respond(lease.Response{Incarnation: w.Incarnation, Fence: r.Fence, RequestedAt: r.RequestedAt, Call: r.LeaseCall, At: now})
	p.extendLease(w, l, now)
	w.calls.Forget(p.maxLeaseExpiry(now).Sub(now), now)
}

// extendLease counts the leases of calls that the present incarnation of a worker may have executed although they are dated by the clock
// of another one: it may hold them for as long as it accepts any. A snapshot is due then, so that the next owner counts them as well.
func (p *Planner) extendLease(w *worker, l []lease.Call, now time.Time) {
	for _, x := range l {
		until := p.maxLeaseExpiry(x.ExecutedBy(now))
		if !until.After(w.leaseUntil) {
			continue
		}
		p.Logger.Info().Str("Worker", w.ID).Int64("Life", w.Incarnation).Str("Call", string(x.Reason)).Int64("DatedBy", x.Incarnation).Dur("SentAgo", now.Sub(x.SentAt)).Dur("Over", max(0, now.Sub(x.EndsAt))).
			Dur("LeaseLeft", max(0, w.leaseUntil.Sub(now))).Dur("MayLast", until.Sub(now)).Str("Decision", "LeaseOverlong").Msg("a call that an earlier incarnation's clock dates may have reached the present one, whose lease may last longer")
		w.leaseUntil = until
		if until.After(p.leaseExpiry(now)) {
			w.overlongUntil = until
			p.overlongChanged = true
		}
	}
}

// HasOverlongChanged reports whether a lease has become overlong since the latest snapshot was prepared.
func (p *Planner) HasOverlongChanged() bool { return p.overlongChanged }

// overlongRecords returns the records of the overlong leases that have not expired.
func (p *Planner) overlongRecords(now time.Time) []overlongRecord {
	var l []overlongRecord
	for _, w := range p.workerList {
		if left := w.overlongUntil.Sub(now); left > 0 {
			l = append(l, overlongRecord{w.ID, left.Milliseconds() + 1})
		}
	}
	slices.SortFunc(l, func(a, b overlongRecord) int { return cmp.Compare(a.Worker, b.Worker) })
	return l
}

// restoreOverlong restores the overlong leases that the snapshot of an earlier owner names.
func (p *Planner) restoreOverlong(l []overlongRecord) {
	longest := p.maxLeaseExpiry(p.LastCommitAt).Sub(p.LastCommitAt).Milliseconds()
	for _, x := range l {
		w := p.worker(x.Worker)
		w.overlongUntil = p.LastCommitAt.Add(time.Duration(min(max(x.Millis, 0), longest)) * time.Millisecond)
		w.leaseUntil = laterOf(w.leaseUntil, w.overlongUntil)
	}
}

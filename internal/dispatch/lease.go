package dispatch

import (
	"slices"
	"time"
)

// LeaseGranted records that a lease was sent to a worker.
func (p *Planner) LeaseGranted(id string, now time.Time) {
	w := p.workers[id]
	if w == nil {
		return
	}
	if u := p.leaseExpiry(now); u.After(w.leaseUntil) {
		w.leaseUntil = u
	}
}

// lastGrantAt returns the time by which earlier owners had granted their last leases.
func (p *Planner) lastGrantAt() time.Time {
	t := p.LastCommitAt.Add(p.StoreLossGrace)
	if p.GrantsEndedAt.IsZero() {
		return t
	}
	return earlier(t, p.GrantsEndedAt)
}

// leaseExpiry returns the time by which every lease that was granted up to now has certainly expired.
func (p *Planner) leaseExpiry(now time.Time) time.Time { return expiryOf(p.Lease, now) }

// maxLeaseExpiry returns the time by which every lease that was granted up to now has certainly expired, by whatever clock it was dated.
func (p *Planner) maxLeaseExpiry(now time.Time) time.Time {
	return expiryOf(max(p.MaxLease, p.Lease), now)
}

// expiryOf returns the time by which a lease of a duration that was granted by now has certainly expired.
func expiryOf(lease time.Duration, now time.Time) time.Time {
	return now.Add(time.Duration(float64(lease)*ClockDriftFactor) + leaseMargin)
}

// recordUnresolved records that the outcomes of the attempts at a worker are not known, which is about to lose them: it may list them
// once it responds again.
func (p *Planner) recordUnresolved(w *worker) {
	for _, a := range w.attemptList {
		if a.phase != phasePlanned {
			a.job.RecordUnresolved(a.task)
		}
	}
}

// ExpireLeases releases the attempts of unreachable workers whose leases have expired, except planned attempts, whose
// starts are not sent yet. It drops those of these workers that are unlisted and hold no attempts.
func (p *Planner) ExpireLeases(now time.Time) {
	for _, w := range p.workerList {
		if w.isReachable(now) || now.Before(w.leaseUntil) {
			continue
		}
		if slices.ContainsFunc(w.attemptList, func(a *attempt) bool { return a.phase != phasePlanned }) {
			p.recordLoss(w, lossLeaseExpired, now)
		}
		p.recordUnresolved(w)
		p.releaseLost(w, "worker lease expired", now)
		w.synced = w.isResponding(now)
		if w.isRemovable() {
			delete(p.workers, w.ID)
		}
	}
	p.workerList = slices.DeleteFunc(p.workerList, func(w *worker) bool { return p.workers[w.ID] != w })
}

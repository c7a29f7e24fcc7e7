package dispatch

import (
	"cmp"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/incarnation"
	"currantknot.dev/currantknot/internal/jobs"
)

// unnumberedEntryWait is the time after the beginning of a new incarnation from which on an entry that doesn't contain an incarnation
// counts as its own. The list is read twice in that time.
const unnumberedEntryWait = time.Second

// worker returns the worker with the given ID, and adds the worker if the planner does not hold it.
func (p *Planner) worker(id string) *worker {
	w := p.workers[id]
	if w == nil {
		w = &worker{WorkerInfo: WorkerInfo{ID: id}, attempts: make(map[jobs.Ref]*attempt), headroom: make(map[string]float64), accounts: p.accounts}
		w.fence = p.highestFence
		w.leaseUntil = p.leaseExpiry(p.lastGrantAt())
		p.workers[id] = w
		n, _ := slices.BinarySearchFunc(p.workerList, id, func(o *worker, id string) int { return cmp.Compare(o.ID, id) })
		p.workerList = slices.Insert(p.workerList, n, w)
	}
	return w
}

// SetWorkers applies the platform's list of workers.
func (p *Planner) SetWorkers(l []WorkerInfo, now time.Time) {
	seen := make(map[string]bool, len(l))
	for _, info := range l {
		seen[info.ID] = true
		p.setWorker(info, now)
	}
	for _, w := range p.workerList {
		if seen[w.ID] || !w.listed {
			continue
		}
		w.listed = false
		p.Logger.Info().Str("Worker", w.ID).Str("Decision", "WorkerUnlisted").Int("Attempts", len(w.attempts)).Msg("worker removed from the list")
	}
}

// setWorker applies an entry of the list. It ignores an entry of an earlier incarnation, which may have another address and
// more capacity than the present one.
func (p *Planner) setWorker(info WorkerInfo, now time.Time) {
	w := p.worker(info.ID)
	if info.Incarnation != 0 {
		switch w.present.OfEntry(info.Incarnation, w.mayHaveEnded(now)) {
		case incarnation.Earlier:
			return
		case incarnation.Later:
			p.startIncarnation(w, info.Incarnation, now)
		case incarnation.Same:
		}
	}
	if !w.listed || w.Draining != info.Draining {
		p.Logger.Info().Str("Worker", info.ID).Str("Decision", "WorkerListed").Bool("Draining", info.Draining).Str("FailureDomain", info.FailureDomain).Int64("Life", w.present.Number).Msg("worker added to the list or its draining state changed")
	}
	w.WorkerInfo, w.entryIncarnation = info, info.Incarnation
	w.Incarnation = w.present.Number
	w.listed = true
}

// mayHaveEnded reports whether the present incarnation of the worker may have ended and holds nothing that it could still run.
func (w *worker) mayHaveEnded(now time.Time) bool {
	return len(w.attempts) == 0 && !w.isResponding(now) && !now.Before(w.leaseUntil)
}

// startIncarnation makes an incarnation the present one, and ends what is known of an earlier one. It releases the attempts that
// the earlier one reported. It stops the other attempts that were planned for an earlier incarnation, because their start calls may
// have reached, or may still reach, the new incarnation, which has the same worker ID.
func (p *Planner) startIncarnation(w *worker, number int64, now time.Time) {
	former := w.Incarnation
	w.present = w.present.Next(number, now)
	if former == 0 {
		w.Incarnation = number
		return
	}
	p.Logger.Info().Str("Worker", w.ID).Int64("Life", number).Int64("FormerLife", former).Str("Decision", "WorkerReborn").Int("Attempts", len(w.attempts)).Msg("worker started a new incarnation")
	p.recordLoss(w, lossNewIncarnation, now)
	p.recordRestart(w)
	w.Incarnation, w.entryValidFrom = number, now.Add(unnumberedEntryWait)
	w.synced, w.fenced, w.takenDown, w.answersNoOrder = false, false, false, false
	w.ackNumber, w.moreFinished = 0, false
	// What the former incarnation held is over; what the new one may hold is in the calls that were sent before.
	w.overlongUntil = time.Time{}
	p.extendLease(w, w.calls.Misdated(number), now)
	p.raiseFence(w)
	w.clearOrphans()
	for _, a := range slices.Clone(w.attemptList) {
		if a.incarnation == number {
			continue
		}
		w.endIsolation(a)
		if a.reported {
			p.release(w, a, "worker started a new incarnation", now)
			p.finalizeJob(a.job, now)
			continue
		}
		// The new incarnation knows nothing of a stop that an earlier one accepted.
		a.stopping, a.stopAcceptedAt = false, time.Time{}
		p.stop(w, a, "start was meant for an earlier incarnation", now)
	}
}

// SyncTargets returns the workers that need a sync loop: those with a known address that are listed or hold attempts.
func (p *Planner) SyncTargets() []WorkerInfo {
	l := make([]WorkerInfo, 0, len(p.workers))
	for _, w := range p.workerList {
		if w.Address != "" && (w.listed || len(w.attempts) > 0) {
			l = append(l, w.WorkerInfo)
		}
	}
	return l
}

// AckNumber returns the incarnation of a worker, and the highest sequence number of the finished attempts of that
// incarnation that were handled.
func (p *Planner) AckNumber(id string) (incarnation, number int64) {
	w := p.workers[id]
	if w == nil {
		return 0, 0
	}
	return w.Incarnation, w.ackNumber
}

// NeedsLease reports whether a worker holds attempts and may be granted a lease.
func (p *Planner) NeedsLease(id string) bool {
	w := p.workers[id]
	return w != nil && len(w.attempts) > 0 && !w.leaseWithheld && !w.leaseInherited
}

// IsLeaseWithheld reports whether a snapshot names a worker as unresponsive, or a commit says that it has been granted no lease, so
// that it may be granted none.
func (p *Planner) IsLeaseWithheld(id string) bool {
	w := p.workers[id]
	return w != nil && (w.leaseWithheld || w.leaseInherited)
}

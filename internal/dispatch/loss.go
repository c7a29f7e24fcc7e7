package dispatch

import (
	"slices"
	"time"
)

// lossCause is how the planner knows that what ran on a worker is gone.
type lossCause string

const (
	// lossNewIncarnation means that the worker responded as a later incarnation.
	lossNewIncarnation lossCause = "NewIncarnation"
	// lossReplaced means that the worker did not respond, and that a later worker responded at its address.
	lossReplaced lossCause = "Replaced"
	// lossLeaseExpired means that the worker did not respond until its lease had certainly expired. It may have crashed, or may
	// be cut off.
	lossLeaseExpired lossCause = "LeaseExpired"
)

const (
	// lossWindow is the time between two losses up to which one cause may have led to both, such as a failed rack.
	lossWindow = time.Second
	// minSharedLoss is the number of workers lost together from which on a cause outside of them is likely, such as a failed rack.
	minSharedLoss = 3
	// brokenWindow is the time after the first call without a response up to which another one that broke tells when the worker
	// ended.
	brokenWindow = 100 * time.Millisecond
	// lossRetention is the time for which the loss of a worker is remembered.
	lossRetention = 30 * time.Second
)

// Counts are numbers of events since the counts were last taken.
type Counts struct {
	// LostWorkers counts, by cause, the workers that were lost with attempts, and LostAttempts these attempts.
	LostWorkers  map[string]int
	LostAttempts int
	// RackWaits counts the waits for a rack that began, RackWaitsPaid those after which the task ends earlier than if it had started
	// elsewhere at once, and RackWaitsUnpaid the others that ended with a start.
	RackWaits       int
	RackWaitsPaid   int
	RackWaitsUnpaid int
}

// TakeCounts returns the counts and resets them.
func (p *Planner) TakeCounts() Counts {
	c := p.counts
	p.counts = Counts{}
	return c
}

// recordFailedCall records that a call to the worker got no response; broken means that the connection broke.
func (w *worker) recordFailedCall(broken bool, now time.Time) {
	if w.failedCalls == 0 {
		w.silentSince = now
	}
	if broken && now.Sub(w.silentSince) < brokenWindow && !w.brokenAt.After(w.lastResponseAt) {
		w.brokenAt = now
	}
	w.failedCalls++
}

// loss is the time at which a worker was lost, when that was known, and whether it isolated a task then.
type loss struct {
	at        time.Time
	countedAt time.Time
	isolating bool
}

// recordLoss records and logs that all attempts of a worker are gone.
func (p *Planner) recordLoss(w *worker, c lossCause, now time.Time) {
	if len(w.attempts) == 0 {
		return
	}
	at := w.lostAt(now)
	for id, l := range p.recentLosses {
		if now.Sub(l.at) > lossRetention {
			delete(p.recentLosses, id)
		}
	}
	p.recentLosses[w.ID] = loss{at, now, w.isolated > 0}
	if p.counts.LostWorkers == nil {
		p.counts.LostWorkers = make(map[string]int)
	}
	p.counts.LostWorkers[string(c)]++
	p.counts.LostAttempts += len(w.attempts)
	together := p.lostTogether(w, at)
	p.Logger.Warn().Str("Worker", w.ID).Str("Address", w.Address).Int64("Life", w.Incarnation).Str("Cause", string(c)).Int("Attempts", len(w.attempts)).Bool("Draining", w.Draining).
		Dur("SilentFor", now.Sub(at)).Int("LostTogether", together).Str("Decision", "WorkerLost").Msg("the attempts of a worker are gone")
	if c == lossLeaseExpired && w.isResponding(now) {
		// The worker lives; its lease was withheld, since a snapshot names the worker as unresponsive.
		return
	}
	p.blame(w, c != lossLeaseExpired, together >= minSharedLoss, now)
}

// lostAt returns when the worker was first found not to respond, or now if it responds.
func (w *worker) lostAt(now time.Time) time.Time {
	if w.failedCalls == 0 || w.silentSince.IsZero() {
		return now
	}
	return w.silentSince
}

// lostTogether returns the number of workers, the given one included, that were lost or fell silent within lossWindow of a loss.
// It leaves out others that isolated a task, which explains their loss.
func (p *Planner) lostTogether(w *worker, at time.Time) int {
	n := 1
	for id, l := range p.recentLosses {
		if id != w.ID && !l.isolating && l.at.Sub(at).Abs() <= lossWindow {
			n++
		}
	}
	for _, o := range p.workerList {
		if _, known := p.recentLosses[o.ID]; o != w && !known && o.isolated == 0 && o.failedCalls > 0 && o.silentSince.Sub(at).Abs() <= lossWindow {
			n++
		}
	}
	return n
}

// isReplaced reports whether another worker responds at the address of a worker that does not, to a call that was sent after the worker
// was last known to be there: both can't run there, so that the worker has ended.
func (p *Planner) isReplaced(w *worker, now time.Time) bool {
	return w.Address != "" && slices.ContainsFunc(p.workerList, func(o *worker) bool {
		return o != w && o.Address == w.Address && o.lastRequestedAt.After(laterOf(w.lastResponseAt, w.present.KnownSince)) && o.isResponding(now)
	})
}

// releaseLost releases the attempts of a worker on which nothing runs any more, except planned attempts, whose starts are not
// sent yet.
func (p *Planner) releaseLost(w *worker, reason string, now time.Time) {
	w.clearOrphans()
	w.moreFinished = false
	for _, a := range slices.Clone(w.attemptList) {
		if a.phase != phasePlanned {
			p.release(w, a, reason, now)
			p.finalizeJob(a.job, now)
		}
	}
}

// provenRun returns for how long an attempt certainly ran: from its confirmation to the last sign of its worker.
func (w *worker) provenRun(a *attempt) time.Duration {
	if a.confirmedAt.IsZero() {
		return 0
	}
	return max(0, w.lastSignAt().Sub(a.confirmedAt))
}

// lastSignAt returns when the worker last responded or, if a connection to it broke afterwards, when that was.
func (w *worker) lastSignAt() time.Time { return laterOf(w.lastResponseAt, w.brokenAt) }

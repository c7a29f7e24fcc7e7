package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// exclusionBound is the time from which on a worker that gets no tasks is reported.
	exclusionBound = 8 * time.Second
	// exclusionCheckInterval is the time between two searches for workers that get no tasks.
	exclusionCheckInterval = 500 * time.Millisecond
	// exclusionLogInterval is the least time between two log messages about the same worker.
	exclusionLogInterval = 5 * time.Second
	// maxExclusionLines bounds the log messages of one search; the workers that were excluded first come first.
	maxExclusionLines = 8
)

// exclusionEvents holds, by exclusion of a worker from all tasks, the event that ends it. Those without an event end at a time
// that is known when they begin.
var exclusionEvents = map[exclusion]string{
	excludedOldView:       "ViewsRead",
	excludedUnlisted:      "Listed",
	excludedDraining:      "Removed",
	excludedCordoned:      "Maintained",
	excludedDomain:        "DrainRevoked",
	excludedEntry:         "EntryRead",
	excludedStale:         "Response",
	excludedSilent:        "Response",
	excludedPartialReport: "CompleteReport",
	excludedIsolating:     "TaskCleared",
}

// workerExclusion is the time in which a worker gets no tasks.
type workerExclusion struct {
	reason exclusion
	// since is when the worker was first found excluded, and reasonSince when it was first found excluded for this reason.
	since       time.Time
	reasonSince time.Time
	loggedAt    time.Time
}

// exclusionWatch holds the listed workers that get no tasks, by ID.
//
// A reason that ends by itself within seconds is no concern. One whose ending
// event can't come any more keeps a worker, and the tasks that only it can
// run, from running for good, and looks the same in any single plan.
type exclusionWatch struct {
	byWorker  map[string]*workerExclusion
	checkedAt time.Time
	// restored holds, by worker ID, the exclusions that an earlier owner saw, which count until restoredUntil.
	restored      map[string]workerExclusion
	restoredUntil time.Time
}

func newExclusionWatch() exclusionWatch {
	return exclusionWatch{byWorker: make(map[string]*workerExclusion)}
}

// LongestExclusions returns, by reason, the longest time for which a listed worker has been excluded from all tasks for it.
func (p *Planner) LongestExclusions(now time.Time) map[string]time.Duration {
	m := make(map[string]time.Duration)
	for _, x := range p.exclusions.byWorker {
		r := x.reason.String()
		m[r] = max(m[r], now.Sub(x.reasonSince))
	}
	return m
}

// observeExclusions searches for listed workers that get no tasks, at most once per exclusionCheckInterval, and logs those beyond
// exclusionBound.
func (p *Planner) observeExclusions(now time.Time) {
	x := &p.exclusions
	if now.Sub(x.checkedAt) < exclusionCheckInterval {
		return
	}
	x.checkedAt = now
	for _, w := range p.workerList {
		e := p.workerExclusion(w, now)
		if !w.listed || e == notExcluded {
			p.endExclusion(w.ID, now)
			continue
		}
		x.record(w.ID, e, now)
	}
	for id := range x.byWorker {
		if p.workers[id] == nil {
			delete(x.byWorker, id)
		}
	}
	p.logExclusions(now)
}

// record records that a worker gets no tasks, and why.
func (x *exclusionWatch) record(worker string, e exclusion, now time.Time) {
	o := x.byWorker[worker]
	if o != nil && o.reason == e {
		return
	}
	if r := x.takeRestored(worker, e, now); r != nil {
		x.byWorker[worker] = r
		return
	}
	if o == nil {
		x.byWorker[worker] = &workerExclusion{reason: e, since: now, reasonSince: now}
		return
	}
	o.reason, o.reasonSince = e, now
}

// endExclusion forgets that a worker got no tasks, and logs it if it was logged before.
func (p *Planner) endExclusion(id string, now time.Time) {
	delete(p.exclusions.restored, id)
	x := p.exclusions.byWorker[id]
	if x == nil {
		return
	}
	delete(p.exclusions.byWorker, id)
	if !x.loggedAt.IsZero() {
		p.Logger.Warn().Str("Worker", id).Str("LastReason", x.reason.String()).Dur("ExcludedFor", now.Sub(x.since)).Str("Decision", "ExclusionOver").Msg("worker may get tasks again, or has left")
	}
}

// logExclusions logs the workers beyond exclusionBound, each at most once per exclusionLogInterval.
func (p *Planner) logExclusions(now time.Time) {
	var l []string
	for id, x := range p.exclusions.byWorker {
		if x.isReported() && now.Sub(x.since) >= exclusionBound && now.Sub(x.loggedAt) >= exclusionLogInterval {
			l = append(l, id)
		}
	}
	slices.SortFunc(l, func(a, b string) int {
		return cmp.Or(p.exclusions.byWorker[a].since.Compare(p.exclusions.byWorker[b].since), cmp.Compare(a, b))
	})
	for _, id := range l[:min(len(l), maxExclusionLines)] {
		p.logExclusion(p.workers[id], now)
	}
}

// isReported reports whether an exclusion is one of the owner. What the platform and operators decide has lines of its own.
func (x *workerExclusion) isReported() bool {
	return x.reason != excludedDraining && x.reason != excludedDomain && x.reason != excludedUnlisted
}

// logExclusion logs for how long and why a worker gets no tasks, and what ends that. It is a warning, like the line of a task without
// a run.
func (p *Planner) logExclusion(w *worker, now time.Time) {
	x := p.exclusions.byWorker[w.ID]
	x.loggedAt = now
	e := p.Logger.Warn().Str("Worker", w.ID).Str("Reason", x.reason.String()).Time("Since", x.reasonSince).Dur("ExcludedFor", now.Sub(x.since)).
		Int64("Life", w.Incarnation).Int("Attempts", len(w.attempts)).Int("FailedCalls", w.failedCalls).Bool("LeaseWithheld", w.leaseWithheld)
	if x.reason == excludedEntry {
		e.Int64("EntryLife", w.entryIncarnation)
	}
	if x.reason == excludedStale {
		e.Int64("ResponseLife", w.staleIncarnation)
	}
	if m := p.cordons[w.ID]; m != nil {
		e.Str("WorkerInstance", m.instance).Int("Wave", m.wave).Bool("Ordered", m.mayBeExecuted()).Bool("Accepted", m.accepted)
	}
	if until := w.excludedUntil(x.reason); !until.IsZero() {
		e.Dur("EndsIn", max(0, until.Sub(now)))
	}
	if v := exclusionEvents[x.reason]; v != "" {
		e.Str("EndsWith", v)
	}
	e.Str("Decision", "Excluded").Msg("worker gets no tasks")
}

// excludedUntil returns the time at which an exclusion of the worker ends, zero if an event ends it.
func (w *worker) excludedUntil(e exclusion) time.Time {
	if e == excludedEntry && w.entryIncarnation == 0 {
		return w.entryValidFrom
	}
	if e == excludedBackoff {
		return w.backoffUntil
	}
	if e == excludedAvoided {
		return w.avoidUntil
	}
	return time.Time{}
}

package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxStoredExclusions bounds the exclusions in a snapshot; the longest ones are stored.
	maxStoredExclusions = 64
	// maxRestoredExclusion bounds the time that a snapshot says a worker has been excluded.
	maxRestoredExclusion = 24 * time.Hour
)

// exclusionRecord is the encoded time in which a worker has got no tasks. The records follow the lateStartRecords, where versions that
// don't know them ignore them.
type exclusionRecord struct {
	Worker string
	Reason string
	// Millis is for how long the worker has been excluded, in milliseconds. The next owner counts it on from Config.LastCommitAt.
	Millis int64
}

// exclusionRecords returns the records of the longest exclusions that are logged.
func (x *exclusionWatch) exclusionRecords(now time.Time) []exclusionRecord {
	var l []exclusionRecord
	for id, e := range x.byWorker {
		if d := now.Sub(e.since); e.isReported() && d >= exclusionCheckInterval {
			l = append(l, exclusionRecord{id, e.reason.String(), d.Milliseconds()})
		}
	}
	slices.SortFunc(l, func(a, b exclusionRecord) int {
		return cmp.Or(cmp.Compare(b.Millis, a.Millis), cmp.Compare(a.Worker, b.Worker))
	})
	return l[:min(len(l), maxStoredExclusions)]
}

// restore restores the exclusions that an earlier owner saw, as of the given time. Each goes on if the worker is found excluded for the
// same reason by the given end: at first, all workers are silent to a new owner.
func (x *exclusionWatch) restore(l []exclusionRecord, at, end time.Time) {
	x.restored, x.restoredUntil = make(map[string]workerExclusion, len(l)), end
	for _, r := range l {
		since := at.Add(-time.Duration(min(max(0, r.Millis), maxRestoredExclusion.Milliseconds())) * time.Millisecond)
		reason := max(0, slices.Index(exclusionNames[:], r.Reason))
		x.restored[r.Worker] = workerExclusion{reason: exclusion(reason), since: since, reasonSince: since} //nolint:gosec // the index of a name
	}
}

// takeRestored returns the exclusion of a worker that an earlier owner saw for the same reason, nil if there is none.
func (x *exclusionWatch) takeRestored(worker string, e exclusion, now time.Time) *workerExclusion {
	r, ok := x.restored[worker]
	if !ok || r.reason != e || now.After(x.restoredUntil) {
		return nil
	}
	delete(x.restored, worker)
	return &r
}

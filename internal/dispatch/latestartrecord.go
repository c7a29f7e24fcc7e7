package dispatch

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

// maxStoredLateStarts bounds the starts in a snapshot that may be executed late; those that are over first are stored.
const maxStoredLateStarts = 512

// lateStartRecord is the encoded start of an attempt that may still be executed late. The records follow the maintenanceRecords, where
// versions that don't know them ignore them.
type lateStartRecord struct {
	Task string
	// Run is the number of the attempt.
	Run int
	// Millis is the time in milliseconds until no incarnation of the worker executes the start. The next owner counts it from
	// Config.LastCommitAt, which is later than the snapshot.
	Millis int64
}

// lateStart is the time from which no incarnation of its worker executes the start of an attempt of an earlier owner.
type lateStart struct {
	run   int
	endAt time.Time
}

// lateStartRecords returns the records of the starts without a response whose calls have ended, also of those that are over: the next
// owner would wait for them anew.
func (p *Planner) lateStartRecords(now time.Time) []lateStartRecord {
	var l []*attempt
	for _, w := range p.workerList {
		for _, a := range w.attemptList {
			if p.waitsForLateStart(a) {
				l = append(l, a)
			}
		}
	}
	slices.SortStableFunc(l, func(a, b *attempt) int { return p.lateStartEnd(a).Compare(p.lateStartEnd(b)) })
	r := make([]lateStartRecord, 0, min(len(l), maxStoredLateStarts))
	for _, a := range l[:cap(r)] {
		left := max(0, p.lateStartEnd(a).Sub(now)+time.Millisecond)
		r = append(r, lateStartRecord{a.task.String(), a.run, left.Milliseconds()})
	}
	return r
}

// waitsForLateStart reports whether a later owner waits for the start of an attempt, which may be executed late. Others are refused by
// the token of that owner.
func (p *Planner) waitsForLateStart(a *attempt) bool {
	return a.phase == phaseUncertain && (p.WorkersRestart || a.task.Spec.Gang) && !a.job.IsTerminal()
}

// restoreLateStarts restores until when starts of earlier owners may be executed. An owner that is lost early would let the next one
// wait anew.
func (p *Planner) restoreLateStarts(l []lateStartRecord) {
	for _, x := range l {
		if r, ok := jobs.ParseRef(x.Task); ok && x.Millis >= 0 {
			d := time.Duration(min(x.Millis, maxLateStartWait.Milliseconds())) * time.Millisecond
			p.lateStarts[r] = lateStart{x.Run, p.LastCommitAt.Add(d)}
		}
	}
}

// maxLateStartWait is more than any owner waits for a start to be executed late.
const maxLateStartWait = time.Minute

// HasLateStarts reports whether starts may still be executed late, of which a newer snapshot tells the next owner for how long.
func (p *Planner) HasLateStarts(now time.Time) bool {
	for _, w := range p.workerList {
		if slices.ContainsFunc(w.attemptList, func(a *attempt) bool { return p.waitsForLateStart(a) && p.mayStartLate(a, now) }) {
			return true
		}
	}
	return false
}

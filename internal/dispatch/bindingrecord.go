package dispatch

import (
	"cmp"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/lease"
)

// maxStoredBindings bounds the bindings in a snapshot; those that last longest are stored.
const maxStoredBindings = 512

// bindingRecord is an encoded binding. The records follow the overlongRecords, where versions that don't know them ignore them.
type bindingRecord struct {
	Task        string
	Worker      string
	Incarnation int64
	// Millis is the time in milliseconds until no incarnation of the worker executes the start. The next owner counts it from
	// Config.LastCommitAt, which is later than the snapshot.
	Millis int64
}

// bindingRecords returns the records of the bindings that are not over.
func (p *Planner) bindingRecords(now time.Time) []bindingRecord {
	var l []bindingRecord
	for r, b := range p.bindings {
		if left := b.until.Sub(now); left > 0 {
			l = append(l, bindingRecord{r.String(), b.worker, b.incarnation, left.Milliseconds() + 1})
		}
	}
	slices.SortFunc(l, func(a, b bindingRecord) int {
		return cmp.Or(cmp.Compare(b.Millis, a.Millis), cmp.Compare(a.Task, b.Task))
	})
	return l[:min(len(l), maxStoredBindings)]
}

// restoreBindings restores the bindings of an earlier owner: a late start would run beside the run that this owner starts elsewhere.
func (p *Planner) restoreBindings(l []bindingRecord) {
	for _, x := range l {
		if r, ok := jobs.ParseRef(x.Task); ok && x.Millis > 0 {
			d := time.Duration(min(x.Millis, lease.MaxLateness.Milliseconds())) * time.Millisecond
			p.bindings[r] = binding{worker: x.Worker, incarnation: x.Incarnation, since: p.takeoverAt, until: p.LastCommitAt.Add(d)}
		}
	}
}

// HasBindings reports whether tasks are bound to workers, of which a newer snapshot tells the next owner.
func (p *Planner) HasBindings() bool { return len(p.bindings) > 0 }

package dispatch

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxInheritedLeases and maxInheritedIDBytes bound the workers that a commit names and the size of their IDs, so that its size is
	// bounded. A planner with more names anyWorker alone.
	maxInheritedLeases  = 2048
	maxInheritedIDBytes = 64 << 10
	// anyWorker stands for all workers in a commit, with the longest of their leases. It is the ID of none, so that versions that don't
	// know it ignore it.
	anyWorker = ""
)

// InheritedLeases returns, by worker ID, the milliseconds until the leases of earlier owners have expired, for the workers that
// hold attempts and have not responded to this owner, which has granted them none. The caller stores them at the end of each
// commit, and calls InheritedLeasesCommitted once the commit is stored.
//
// The next owner relies on these times if the commit is the latest one: owners that are
// lost soon after they took over make no snapshot that names a listed worker. A worker
// that a commit names is therefore granted no lease until one that does not name it is
// stored.
func (p *Planner) InheritedLeases(now time.Time) map[string]int64 {
	m := make(map[string]int64)
	size := 0
	for _, w := range p.workerList {
		if w.hasInheritedLease() {
			m[w.ID] = max(0, w.leaseUntil.Sub(now).Milliseconds()+1)
			size += len(w.ID)
		}
	}
	if len(m) > maxInheritedLeases || size > maxInheritedIDBytes {
		m = map[string]int64{anyWorker: slices.Max(slices.Collect(maps.Values(m)))}
	}
	for id := range m {
		if w := p.workers[id]; w != nil {
			w.leaseInherited = true
		}
	}
	p.inherited = m
	return m
}

// InheritedLeasesCommitted records that a commit with the latest InheritedLeases is stored.
func (p *Planner) InheritedLeasesCommitted() {
	for _, w := range p.workerList {
		_, w.leaseInherited = p.inherited[w.ID]
	}
}

// HasOutdatedInheritedLeases reports whether the latest commit names workers that have responded since, so that a further commit
// is due.
func (p *Planner) HasOutdatedInheritedLeases() bool {
	for _, w := range p.workerList {
		if w.leaseInherited && !w.hasInheritedLease() {
			return true
		}
	}
	return false
}

// IsLeaseInherited reports whether a commit names a worker, so that it may be granted no lease yet.
func (p *Planner) IsLeaseInherited(id string) bool {
	w := p.workers[id]
	return w != nil && w.leaseInherited
}

// RestoreInheritedLeases restores the leases that the latest commit of an earlier owner names, after the jobs were added. Owners
// before that one may have granted them, which GrantsEndedAt does not tell.
func (p *Planner) RestoreInheritedLeases(m map[string]int64) {
	all := p.maxLeaseExpiry(p.LastCommitAt.Add(p.StoreLossGrace))
	expiry := func(ms int64) time.Time {
		return p.LastCommitAt.Add(min(max(0, time.Duration(ms)*time.Millisecond), all.Sub(p.LastCommitAt)))
	}
	unnamed, stored := m[anyWorker]
	var longest time.Duration
	n := 0
	for _, w := range p.workerList {
		ms, named := m[w.ID]
		switch {
		case named:
			w.leaseUntil = expiry(ms)
		case stored:
			// The latest owner may have granted the worker a lease as well.
			w.leaseUntil = laterOf(w.leaseUntil, expiry(unnamed))
		default:
			continue
		}
		n++
		longest = max(longest, w.leaseUntil.Sub(p.LastCommitAt))
	}
	if n > 0 {
		p.Logger.Info().Int("Workers", n).Dur("Longest", longest).Bool("Unnamed", stored).Str("Decision", "InheritLeases").Msg("the latest owner had no response from workers, and granted them no lease; if they are unnamed, which ones is not known")
	}
}

// hasInheritedLease reports whether the worker holds attempts and has not responded to this owner, so that only earlier owners
// may have granted it a lease.
func (w *worker) hasInheritedLease() bool { return len(w.attempts) > 0 && w.lastResponseAt.IsZero() }

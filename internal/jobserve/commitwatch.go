package jobserve

import (
	"context"
	"sync"
	"time"
)

const (
	// commitWatchInterval is the time between two reads of the end of the progress partition by a possible next owner.
	commitWatchInterval = 500 * time.Millisecond
	// afterAllProgress is a key after the keys of all progress records.
	afterAllProgress = "~"
)

// commitWatch observes the commits of another owner by the end of the progress partition.
//
// An owner grants leases only for StoreLossGrace after it began its latest commit.
// If a new owner has seen the present end of the partition before, no commit has
// succeeded since, so that the former owner's leases end earlier than if it had
// committed until the takeover.
type commitWatch struct {
	mu  sync.Mutex
	end int64
	// since is when the end was first known to be there.
	since time.Time
}

// observe records that the partition ended at an offset, by a read that had returned by the given time.
func (w *commitWatch) observe(end int64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since.IsZero() || end != w.end {
		w.end, w.since = end, now
	}
}

// unchangedSince returns the time since which the partition is known to end at an offset, and whether it is known.
func (w *commitWatch) unchangedSince(end int64) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.since, !w.since.IsZero() && w.end == end
}

// watchCommits observes the commits of the owner when this instance starts, and then while it may become the next owner,
// until the context ends.
func (i *Instance) watchCommits(ctx context.Context) {
	observed := false
	for ctx.Err() == nil {
		if !observed || i.member.MayBecomeOwner() {
			observed = i.observeCommits(ctx) || observed
		}
		sleep(ctx, commitWatchInterval)
	}
}

// observeCommits reads the end of the progress partition, and reports whether it succeeded.
func (i *Instance) observeCommits(ctx context.Context) bool {
	c, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	p, err := i.Store.NewestByKey(c, PartitionProgress, afterAllProgress)
	if err != nil {
		if ctx.Err() == nil {
			i.Logger.Warn().Err(err).Str("Decision", "CommitsUnseen").Msg("end of the progress partition was not read")
		}
		return false
	}
	i.commits.observe(p.EndOffset, time.Now())
	return true
}

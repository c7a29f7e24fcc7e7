package jobserve

import (
	"context"
	"sync"
	"time"

	"currantknot.dev/currantknot/internal/dispatch"
)

const (
	// commitWatchInterval is the time between two reads of the end of the progress partition by a possible next owner.
	commitWatchInterval = 500 * time.Millisecond
	// outsideWatchInterval is that time for an instance outside the group. All members may be lost together, and one earlier
	// commit of an owner tells when its later ones were sent.
	outsideWatchInterval = 2 * time.Second
)

// commitSource tells how it is known by when a commit was sent.
type commitSource string

const (
	// sourceNone means that it is not known.
	sourceNone commitSource = "None"
	// sourceEnd means that the partition was seen to end with the commit.
	sourceEnd commitSource = "End"
	// sourceSent means that the commit tells when it was sent, and that this process knows by when an earlier one of the same
	// owner was sent.
	sourceSent commitSource = "Sent"
	// sourceOwn means that this process made the commit.
	sourceOwn commitSource = "Own"
)

// lastCommit is the time by which the latest commit was certainly sent.
type lastCommit struct {
	at     time.Time
	source commitSource
}

// CommitWatch knows by when the latest commit of any owner was sent, from the end of the progress partition and the commit record
// there.
//
// An owner grants leases only for StoreLossGrace after it first sent its latest
// commit. If a new owner has seen the present end of the partition before, no commit
// has succeeded since, so that the former owner's leases end earlier than if it had
// committed until the takeover. The same holds if this process made the latest commit
// itself: owners that committed nothing since have granted nothing.
//
// A commit may be stored long after it was first sent. It was sent later than an
// earlier commit of the same owner by the difference that their records tell, on the
// owner's clock, which counts the time in which the owner was suspended. If the clock
// of this instance stands still meanwhile, the commit counts as later than it was.
// Instances tell one another which commits they have seen, since one that has just
// started has seen none.
type CommitWatch struct {
	mu   sync.Mutex
	end  int64
	last lastCommit
	// reference is of the newest owner of which commits are known.
	reference reference
}

// observe records that the partition ended at an offset, with the given commit record, by a read that had returned by the given
// time.
func (w *CommitWatch) observe(end int64, c commitRecord, now time.Time) {
	w.record(end, c, lastCommit{now, sourceEnd})
}

// observeOwn records that the partition ended at an offset after a commit of this process that was first sent at the given time.
func (w *CommitWatch) observeOwn(end int64, c commitRecord, sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end, w.last = end, lastCommit{sentAt, sourceOwn}
	w.reference = reference{c.Epoch, c.SentAt, sentAt}
}

// atTakeover returns by when the commit before the end of the partition was sent, given the commit record there and the time of
// the takeover.
func (w *CommitWatch) atTakeover(end int64, c commitRecord, now time.Time) lastCommit {
	w.record(end, c, lastCommit{now, sourceNone})
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

// record records by when the commit before an end was sent, unless an earlier time is known.
func (w *CommitWatch) record(end int64, c commitRecord, x lastCommit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refer(c, x.at)
	if t, ok := w.sentBy(c); ok && t.Before(x.at) {
		x = lastCommit{t, sourceSent}
	}
	if w.last.at.IsZero() || end != w.end || x.at.Before(w.last.at) {
		w.end, w.last = end, x
	}
}

// refer makes a commit that was sent by the given time the reference, unless the present one tells at least as much; w.mu is held.
func (w *CommitWatch) refer(c commitRecord, at time.Time) {
	x := reference{c.Epoch, c.SentAt, at}
	if c.isKnown() && !w.reference.isBetterThan(x) {
		w.reference = x
	}
}

// sentBy returns the time by which a commit was sent according to the reference, and whether that is of the same owner; w.mu is
// held.
func (w *CommitWatch) sentBy(c commitRecord) (time.Time, bool) {
	return w.reference.boundAt(c.SentAt), c.isKnown() && c.Epoch == w.reference.epoch
}

// SeenCommit says that a commit of the owner with an epoch was sent, at SentAt by the owner's boot clock, Age ago or before. It is
// zero if no commit is known.
type SeenCommit struct {
	Epoch  int64
	SentAt time.Duration
	Age    time.Duration
}

// SeenCommit returns what this instance knows of the newest owner, for other instances.
func (w *CommitWatch) SeenCommit() SeenCommit {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.reference
	if r.epoch == 0 {
		return SeenCommit{}
	}
	return SeenCommit{r.epoch, r.sentAt, time.Since(r.at)}
}

// Learn records what another instance knows, when it has arrived. The time that it took to arrive adds to the age, and the other
// instance's clock may be fast, or may have stood still, so that the commit counts as later than it was.
func (w *CommitWatch) Learn(x SeenCommit) {
	age := time.Duration(float64(max(0, x.Age)) / dispatch.ClockDriftFactor)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refer(commitRecord{Epoch: x.Epoch, SentAt: x.SentAt}, time.Now().Add(-age))
}

// reference is a commit of the owner with an epoch that was sent at sentAt by the owner's boot clock, and by at on the clock of this
// instance; it is zero if no commit is known.
type reference struct {
	epoch  int64
	sentAt time.Duration
	at     time.Time
}

// boundAt returns the time by which a commit of the same owner that was sent at the given time was sent.
func (r reference) boundAt(sentAt time.Duration) time.Time {
	later := max(0, sentAt-r.sentAt)
	return r.at.Add(time.Duration(float64(later) * dispatch.ClockDriftFactor))
}

// isBetterThan reports whether the reference is of a later owner than another one, or gives lower bounds for further commits of the
// same owner.
func (r reference) isBetterThan(x reference) bool {
	if r.epoch != x.epoch {
		return r.epoch > x.epoch
	}
	sentAt := max(r.sentAt, x.sentAt)
	return r.boundAt(sentAt).Before(x.boundAt(sentAt))
}

// watchCommits observes the commits of the owner while this instance does not run it, until the context ends.
func (i *Instance) watchCommits(ctx context.Context) {
	var observedAt time.Time
	for ctx.Err() == nil {
		if i.isObservationDue(observedAt) && i.observeCommits(ctx) {
			observedAt = time.Now()
		}
		sleep(ctx, commitWatchInterval)
	}
}

// isObservationDue reports whether commits are to be observed, given when they were last.
func (i *Instance) isObservationDue(observedAt time.Time) bool {
	if i.member.IsOwner() {
		return false
	}
	return i.member.MayBecomeOwner() || time.Since(observedAt) >= outsideWatchInterval
}

// observeCommits reads the end of the progress partition, and reports whether it succeeded.
func (i *Instance) observeCommits(ctx context.Context) bool {
	c, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	p, err := i.Store.NewestByKey(c, PartitionProgress, beforeCommitKey)
	if err != nil {
		if ctx.Err() == nil {
			i.Logger.Warn().Err(err).Str("Decision", "CommitsUnseen").Msg("end of the progress partition was not read")
		}
		return false
	}
	i.Commits.observe(p.EndOffset, lastCommitRecord(p.Records, p.EndOffset), time.Now())
	return true
}

package jobserve

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"currantknot.dev/currantknot/internal/bootclock"
)

const (
	// loadPageTimeout bounds a call for a page of the newest records, which is large.
	loadPageTimeout = 3 * time.Second
	// maxTimeoutDoublings bounds how often the time for a call is doubled after calls that timed out: a page may take longer on a
	// slow link, but a connection that has gone silent must not be waited for much longer.
	maxTimeoutDoublings = 1
)

// partitionState is how far the replica has read a partition.
type partitionState struct {
	// loaded means that the newest record of each key has been read, up to the key afterKey until then.
	loaded   bool
	afterKey string
	// nextOffset is the offset of the next read; it is noOffset until the first page of the load.
	nextOffset int64
	// readAt is the start of the latest read of new records, or of the load.
	readAt time.Time
	// currentAt is the start of the latest read that reached the end.
	currentAt bootclock.Instant
	// polling means that a long poll waits for the next record, so that the replica is current without another read.
	polling bool
	// loadStart is the start of the load's first page, and loadedKeys the number of keys that the load has read.
	loadStart  time.Time
	loadedKeys int
	// seen holds the IDs of the jobs whose submissions exist, during a load of the requests that follows another one; it is nil
	// otherwise.
	seen map[string]bool
	// timeouts is the number of calls that timed out since the latest one that did not, up to maxTimeoutDoublings.
	timeouts int
	// latency gives the time for reads that do not wait for new records.
	latency latencyEstimator
	// run is the read in progress, nil if there is none, and page its call for new records.
	run  *readRun
	page pendingRead
}

// noOffset means that no offset is known yet.
const noOffset = -1

func newPartitionState() *partitionState { return &partitionState{nextOffset: noOffset} }

// readRun is a read of a partition to its end, for which any number of callers wait.
type readRun struct {
	done chan struct{}
	// err is the error that ended the read, and timedOut means that a call to the store got no response in time. Both are set when
	// done is closed.
	err      error
	timedOut bool
}

// errDropped means that the records of a partition were dropped during a read.
var errDropped = errors.New("records were dropped")

// Follow reads a partition to its end, unless a completed read began after since. If there is no new record, Follow waits for
// one until the given time.
//
// One read runs at a time, and goes on when the callers that wait for it have
// left: what a caller's deadline cut would have to begin again, and a load that
// takes longer than callers wait would never end. A call without a response is
// repeated for as long as a caller waits, since only its connection may be dead.
func (r *Replica) Follow(ctx context.Context, p Partition, since, until time.Time) error {
	for {
		x := r.startRead(ctx, p, since, until)
		if x == nil {
			return nil
		}
		select {
		case <-x.done:
			if x.err != nil && !x.timedOut {
				return x.err
			}
		case <-ctx.Done():
			return fmt.Errorf("wait for records of jobs: %w", ctx.Err())
		}
	}
}

// startRead returns the read in progress or starts one; it returns nil if a completed read began after since.
func (r *Replica) startRead(ctx context.Context, p Partition, since, until time.Time) *readRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.partitions[p]
	if s.loaded && !s.currentAt.Before(since) {
		return nil
	}
	if s.run == nil {
		x := &readRun{done: make(chan struct{})}
		s.run = x
		go func() {
			x.err = r.readToEnd(context.WithoutCancel(ctx), p, s, until)
			r.mu.Lock()
			s.run = nil
			x.timedOut = x.err != nil && s.timeouts > 0
			r.mu.Unlock()
			close(x.done)
		}()
	}
	return s.run
}

// readToEnd loads a partition if needed, and then reads to its end.
func (r *Replica) readToEnd(ctx context.Context, p Partition, s *partitionState, until time.Time) error {
	for {
		if !r.isLoaded(s) {
			// Callers that need no new record wait for the load too.
			until = time.Time{}
			if err := r.load(ctx, p, s); err != nil {
				return err
			}
		}
		if end, err := r.readNew(ctx, p, s, until); end || err != nil {
			return err
		}
	}
}

// readNew reads and applies a page of new records, waits for one until the given time, and reports whether the page reached the
// end. If the store has dropped records that were not read, the load begins again.
func (r *Replica) readNew(ctx context.Context, p Partition, s *partitionState, until time.Time) (bool, error) {
	start := bootclock.NowInstant()
	g, err := r.readPage(ctx, p, s, until)
	if errors.Is(err, ErrTruncated) {
		r.logger.Warn().Err(err).Int("Partition", int(p)).Str("Decision", "LoadAgain").Msg("records were truncated in the store; partition is reloaded")
		r.restartLoad(p, s)
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("follow jobs: %w", err)
	}
	return r.applyPage(p, s, g, start)
}

func (r *Replica) isLoaded(s *partitionState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.loaded
}

// load reads the newest record of each key of a partition; it resumes after the last key that was read before.
//
// Keys may change between two pages and between two attempts. Reading on from
// the end offset of the first page covers that. A long load does so between two
// pages, since the store drops records after a while.
func (r *Replica) load(ctx context.Context, p Partition, s *partitionState) error {
	for {
		if err := r.catchUp(ctx, p, s); err != nil {
			return err
		}
		start := time.Now()
		n, err := r.loadPage(ctx, p, s)
		if err != nil {
			return fmt.Errorf("load jobs: %w", err)
		}
		r.mu.Lock()
		if r.partitions[p] != s {
			r.mu.Unlock()
			return errDropped
		}
		r.applyRecords(p, n.Records)
		s.noteSubmissions(n.Records)
		if s.nextOffset == noOffset {
			s.nextOffset, s.readAt, s.loadStart, s.loadedKeys = n.EndOffset, start, start, 0
		}
		s.afterKey, s.loaded = n.After, n.After == ""
		s.loadedKeys += len(n.Records)
		loaded := s.loaded
		if loaded {
			r.finishLoad(p, s)
		}
		r.mu.Unlock()
		if loaded {
			return nil
		}
	}
}

// finishLoad removes the jobs that a load after another one did not find; r.mu is held.
func (r *Replica) finishLoad(p Partition, s *partitionState) {
	if s.seen != nil {
		r.removeUnseen(s.seen)
	}
	r.logger.Info().Int("Partition", int(p)).Int("Keys", s.loadedKeys).Dur("Took", time.Since(s.loadStart)).Str("Decision", "Loaded").Msg("the newest records of a partition were loaded")
	s.seen = nil
}

// catchUp reads a page of new records if catchUpInterval has passed since the latest one.
func (r *Replica) catchUp(ctx context.Context, p Partition, s *partitionState) error {
	r.mu.Lock()
	due := s.nextOffset != noOffset && time.Since(s.readAt) >= r.catchUpInterval
	r.mu.Unlock()
	if !due {
		return nil
	}
	_, err := r.readNew(ctx, p, s, time.Time{})
	return err
}

// loadPage reads the next page of the newest records.
func (r *Replica) loadPage(ctx context.Context, p Partition, s *partitionState) (NewestByKeyPage, error) {
	r.mu.Lock()
	after, d := s.afterKey, loadPageTimeout<<s.timeouts
	r.mu.Unlock()
	c, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	n, err := r.store.NewestByKey(c, p, after)
	r.countTimeout(s, c.Err() != nil && err != nil)
	return n, err
}

// readPage reads records from the next offset on, and waits for one until the given time.
func (r *Replica) readPage(ctx context.Context, p Partition, s *partitionState, until time.Time) (Page, error) {
	start := time.Now()
	dueAt := start
	r.mu.Lock()
	next, d := s.nextOffset, s.latency.timeout()
	if until.After(start) {
		s.polling, dueAt, d = true, until, pollResponseTimeout<<s.timeouts
	}
	r.mu.Unlock()
	c, end := s.page.begin(ctx, dueAt, d)
	g, err := r.store.Read(c, p, next, until)
	timedOut := c.Err() != nil && err != nil
	end(err)
	r.countTimeout(s, timedOut)
	if dueAt.Equal(start) {
		s.latency.observe(time.Since(start))
	}
	return g, err
}

// AbandonOverdueRead ends the call for new requests if its response is overdue, given the time in which the store responded to
// another call just now. Whoever waits for the read begins it again.
func (r *Replica) AbandonOverdueRead(latency time.Duration) {
	r.mu.Lock()
	s := r.partitions[PartitionRequests]
	r.mu.Unlock()
	s.page.abandonOverdue(latency)
}

// countTimeout records whether a call timed out, and that no long poll waits any more.
func (r *Replica) countTimeout(s *partitionState, timedOut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.polling = false
	if timedOut {
		s.timeouts = min(s.timeouts+1, maxTimeoutDoublings)
		return
	}
	s.timeouts = 0
}

// restartLoad makes the next read load the partition from the first key on. Jobs stay known until the load shows which of them
// were removed; progress is dropped, since it is read only by an owner that has to load all of it.
func (r *Replica) restartLoad(p Partition, s *partitionState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.loaded, s.afterKey, s.nextOffset = false, "", noOffset
	switch {
	case p == PartitionRequests:
		s.seen = make(map[string]bool)
	case p == PartitionProgress && r.partitions[p] == s:
		clear(r.progress)
	}
}

// noteSubmissions records which submissions exist, if they are needed at the end of the load; the mutex of the replica is held.
func (s *partitionState) noteSubmissions(l []Record) {
	if s.seen == nil {
		return
	}
	for _, x := range l {
		id, ok := strings.CutPrefix(x.Key, submissionPrefix)
		switch {
		case ok && len(x.Value) == 0:
			delete(s.seen, id)
		case ok:
			s.seen[id] = true
		}
	}
}

// removeUnseen removes the jobs whose submissions a load did not find; r.mu is held.
func (r *Replica) removeUnseen(seen map[string]bool) {
	for id := range r.specs {
		if !seen[id] {
			r.applySubmission(id, nil)
		}
	}
}

// applyPage applies a page and reports whether it reached the end of the partition.
func (r *Replica) applyPage(p Partition, s *partitionState, g Page, start bootclock.Instant) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitions[p] != s {
		return false, errDropped
	}
	r.applyUnread(p, s, g, start)
	if s.nextOffset < g.EndOffset {
		return false, nil
	}
	s.currentAt = start
	if p == PartitionRequests {
		r.dropAccepted(start.Time())
	}
	return true, nil
}

// applyUnread applies the records of a page that no other read has applied; r.mu is held. A confirmation may read the same records as
// the read that it goes on beside.
func (r *Replica) applyUnread(p Partition, s *partitionState, g Page, start bootclock.Instant) {
	l := slices.DeleteFunc(g.Records, func(x Record) bool { return x.Offset < s.nextOffset })
	r.applyRecords(p, l)
	s.noteSubmissions(l)
	s.nextOffset, s.readAt = max(s.nextOffset, g.NextOffset), start.Time()
}

package jobserve

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"currantknot.dev/currantknot/internal/jobs"
)

// The prefixes of keys in the requests partition.
const (
	submissionPrefix = "s/"
	cancelPrefix     = "c/"
	statePrefix      = "t/"
	// ownerKey is the key of the claims in PartitionOwners.
	ownerKey = "owner"
)

// Replica is a local copy of the store's records of all jobs; only an owner reads the progress partition.
type Replica struct {
	store  Store
	logger zerolog.Logger

	// readLocks serialize the reads of each partition.
	readLocks [partitions]sync.Mutex

	mu sync.Mutex
	// specs holds the encoded submissions, and cancelled the jobs with a cancellation record, both by job ID.
	specs     map[string][]byte
	cancelled map[string]bool
	// claim is the newest claim, without its EndOffset.
	claim Claim
	// progress holds, by key, the newest progress record.
	progress map[string]Record
	// states holds the published states of jobs, committed the states that this instance has committed as the owner, and
	// queues the decoded queue names, each by job ID.
	states    map[string]jobs.State
	committed map[string]jobs.State
	queues    map[string]string
	// nextOffset is, by partition, the offset of the next read, and loaded means that the partition has been loaded.
	nextOffset [partitions]int64
	loaded     [partitions]bool
	// freshAt is, by partition, the start of the latest read that reached the end.
	freshAt [partitions]time.Time
	// polling means, by partition, that a long poll waits for the next record, so that the replica is current without another
	// read.
	polling [partitions]bool
}

// NewReplica returns an empty replica, which loads its records on the first read.
func NewReplica(s Store, l zerolog.Logger) *Replica {
	return &Replica{
		store: s, logger: l,
		specs: make(map[string][]byte), cancelled: make(map[string]bool), progress: make(map[string]Record),
		states: make(map[string]jobs.State), committed: make(map[string]jobs.State), queues: make(map[string]string),
	}
}

// Refresh reads new requests and states, unless the replica is current or a completed read began after since.
func (r *Replica) Refresh(ctx context.Context, since time.Time) error {
	if r.isCurrent() {
		return nil
	}
	return r.Follow(ctx, PartitionRequests, since, time.Time{})
}

// isCurrent reports whether a long poll keeps the requests and states up to date.
func (r *Replica) isCurrent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded[PartitionRequests] && r.polling[PartitionRequests]
}

// LoadAll reads the requests to their end and reloads all progress, as a new owner requires.
func (r *Replica) LoadAll(ctx context.Context) error {
	since := time.Now()
	r.mu.Lock()
	clear(r.progress)
	r.loaded[PartitionProgress] = false
	r.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	for _, p := range []Partition{PartitionRequests, PartitionProgress} {
		g.Go(func() error { return r.Follow(ctx, p, since, time.Time{}) })
	}
	return g.Wait()
}

// RefreshClaim reads and returns the newest claim.
func (r *Replica) RefreshClaim(ctx context.Context) (Claim, error) {
	if err := r.Follow(ctx, PartitionOwners, time.Now(), time.Time{}); err != nil {
		return Claim{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.claim
	c.EndOffset = r.nextOffset[PartitionOwners]
	return c, nil
}

// requestsEnd reads the requests to their end and returns the offset after them.
func (r *Replica) requestsEnd(ctx context.Context) (int64, error) {
	if err := r.Follow(ctx, PartitionRequests, time.Now(), time.Time{}); err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextOffset[PartitionRequests], nil
}

// DropProgress drops all progress records when this instance no longer owns the jobs.
func (r *Replica) DropProgress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.progress)
	r.loaded[PartitionProgress] = false
}

func (r *Replica) setPolling(p Partition, polling bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polling[p] = polling
}

// Follow reads a partition to its end, unless a completed read began after since. If there is no new record, Follow waits for
// one until the given time.
func (r *Replica) Follow(ctx context.Context, p Partition, since, until time.Time) error {
	r.readLocks[p].Lock()
	defer r.readLocks[p].Unlock()
	for {
		r.mu.Lock()
		loaded, next, fresh := r.loaded[p], r.nextOffset[p], r.freshAt[p]
		r.mu.Unlock()
		if loaded && fresh.After(since) {
			return nil
		}
		start := time.Now()
		if !loaded {
			if err := r.load(ctx, p); err != nil {
				return err
			}
			continue
		}
		r.setPolling(p, time.Until(until) > 0)
		g, err := r.store.Read(ctx, p, next, until)
		r.setPolling(p, false)
		if errors.Is(err, ErrTruncated) {
			r.logger.Warn().Int("Partition", int(p)).Int64("Offset", next).Str("Decision", "LoadAgain").Msg("records were truncated in the store; partition is reloaded")
			r.mu.Lock()
			r.loaded[p] = false
			r.mu.Unlock()
			continue
		}
		if err != nil {
			return fmt.Errorf("follow jobs: %w", err)
		}
		if r.applyPage(p, g, start) {
			return nil
		}
	}
}

// load reads the newest record of each key of a partition.
func (r *Replica) load(ctx context.Context, p Partition) error {
	endOffset := int64(-1)
	after := ""
	for {
		n, err := r.store.NewestByKey(ctx, p, after)
		if err != nil {
			return fmt.Errorf("load jobs: %w", err)
		}
		if endOffset < 0 {
			endOffset = n.EndOffset
		}
		r.mu.Lock()
		r.applyRecords(p, n.Records)
		r.mu.Unlock()
		if n.After == "" {
			break
		}
		after = n.After
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded[p] = true
	r.nextOffset[p] = max(endOffset, r.nextOffset[p])
	return nil
}

// applyPage applies a page and reports whether it reached the end of the partition.
func (r *Replica) applyPage(p Partition, g Page, start time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyRecords(p, g.Records)
	r.nextOffset[p] = max(r.nextOffset[p], g.NextOffset)
	if r.nextOffset[p] < g.EndOffset {
		return false
	}
	r.freshAt[p] = start
	return true
}

// applyRecords applies records of a partition; r.mu is held.
func (r *Replica) applyRecords(p Partition, l []Record) {
	for _, x := range l {
		switch p {
		case PartitionProgress:
			r.applyProgress(x)
		case PartitionOwners:
			r.applyClaim(x)
		case PartitionRequests:
			r.applyRequest(x)
		}
	}
}

// applyClaim applies a claim unless a newer one is known; r.mu is held.
func (r *Replica) applyClaim(x Record) {
	if c, ok := parseClaim(x.Value); ok && c.Epoch > r.claim.Epoch {
		r.claim = c
	}
}

// applyRequest applies a submission, a cancellation or a published state; r.mu is held.
func (r *Replica) applyRequest(x Record) {
	if id, ok := strings.CutPrefix(x.Key, submissionPrefix); ok {
		r.applySubmission(id, x.Value)
		return
	}
	if len(x.Value) == 0 {
		return
	}
	if id, ok := strings.CutPrefix(x.Key, cancelPrefix); ok {
		r.cancelled[id] = true
		return
	}
	if id, ok := strings.CutPrefix(x.Key, statePrefix); ok {
		r.states[id] = r.states[id].Later(jobs.State(x.Value))
	}
}

// applySubmission adds a job, or deletes it if the value is empty; r.mu is held.
func (r *Replica) applySubmission(id string, v []byte) {
	if len(v) == 0 {
		delete(r.specs, id)
		delete(r.cancelled, id)
		delete(r.states, id)
		delete(r.committed, id)
		delete(r.queues, id)
		return
	}
	if _, ok := r.specs[id]; !ok {
		r.specs[id] = v
	}
}

// applyProgress applies a progress record unless a newer one is known; r.mu is held.
func (r *Replica) applyProgress(x Record) {
	if o, ok := r.progress[x.Key]; ok && o.Offset > x.Offset {
		return
	}
	if len(x.Value) == 0 {
		delete(r.progress, x.Key)
		return
	}
	r.progress[x.Key] = x
}

// ApplyCommitted applies progress records that the owner appended, the first of them at the given offset.
func (r *Replica) ApplyCommitted(l []Record, first int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range l {
		l[i].Offset = first + int64(i)
		r.applyProgress(l[i])
	}
}

// Contains reports whether the replica holds the submission of a job.
func (r *Replica) Contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.specs[id]
	return ok
}

// State returns the state of a job as callers see it, and whether the job is known.
func (r *Replica) State(id string) (jobs.State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(id)
}

// state implements State; r.mu is held.
func (r *Replica) state(id string) (jobs.State, bool) {
	if _, ok := r.specs[id]; !ok {
		return "", false
	}
	s := jobs.StatePending.Later(r.states[id]).Later(r.committed[id])
	if r.cancelled[id] {
		s = s.Later(jobs.StateCancelled)
	}
	return s, true
}

// RecordCommittedState records a state that this instance has committed as the owner, and reports whether that state is still
// unpublished.
func (r *Replica) RecordCommittedState(id string, s jobs.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.committed[id] = r.committed[id].Later(s)
	o := r.states[id]
	return o.Later(s) != o
}

// PendingCount returns the number of accepted jobs of a queue of which no task has started.
func (r *Replica) PendingCount(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for id := range r.specs {
		if s, _ := r.state(id); s == jobs.StatePending && r.queue(id) == queue {
			n++
		}
	}
	return n
}

// queue returns the queue name of a job, empty if its submission cannot be decoded; r.mu is held.
func (r *Replica) queue(id string) string {
	if q, ok := r.queues[id]; ok {
		return q
	}
	s, err := jobs.DecodeSpec(r.specs[id])
	if err != nil {
		r.logger.Error().Err(err).Str("Job", id).Msg("submission cannot be decoded")
	}
	r.queues[id] = s.Queue.Name
	return s.Queue.Name
}

// Jobs decodes all jobs; it logs and skips records that cannot be decoded.
func (r *Replica) Jobs() []*jobs.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := make([]*jobs.Job, 0, len(r.specs))
	for id := range r.specs {
		if j := r.job(id); j != nil {
			l = append(l, j)
		}
	}
	return l
}

// Job decodes one job; it returns nil if the job is unknown or cannot be decoded.
func (r *Replica) Job(id string) *jobs.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.job(id)
}

// job implements Job; r.mu is held.
func (r *Replica) job(id string) *jobs.Job {
	b, ok := r.specs[id]
	if !ok {
		return nil
	}
	s, err := jobs.DecodeSpec(b)
	if err != nil {
		r.logger.Error().Err(err).Str("Job", id).Msg("submission cannot be decoded")
		return nil
	}
	x, ok := r.progress[id]
	if !ok {
		return jobs.New(s)
	}
	j, err := jobs.Restore(s, x.Value)
	if err != nil {
		r.logger.Error().Err(err).Str("Job", id).Int64("Offset", x.Offset).Msg("progress record cannot be decoded")
		return nil
	}
	return j
}

// Progress returns the value of the newest progress record of a key, or nil if there is none.
func (r *Replica) Progress(key string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress[key].Value
}

// Cancelled returns the IDs of the jobs with a cancellation record.
func (r *Replica) Cancelled() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := make([]string, 0, len(r.cancelled))
	for id := range r.cancelled {
		l = append(l, id)
	}
	return l
}

// IDs returns the IDs of all accepted jobs.
func (r *Replica) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := make([]string, 0, len(r.specs))
	for id := range r.specs {
		l = append(l, id)
	}
	return l
}

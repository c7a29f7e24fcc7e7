package jobserve

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"currantknot.dev/currantknot/internal/bootclock"
	"currantknot.dev/currantknot/internal/jobs"
)

// The prefixes of keys in the requests partition, each of which ends with keySeparator.
const (
	keySeparator     = "/"
	submissionPrefix = "s/"
	cancelPrefix     = "c/"
	statePrefix      = "t/"
	// reasonPrefix is the prefix of the keys of the reasons for which jobs failed.
	reasonPrefix = "r/"
	// ownerKey is the key of the claims in PartitionOwners.
	ownerKey = "owner"
)

// maxReasonBytes is the maximum size of the reason why a job failed.
const maxReasonBytes = 4 << 10

// suspicionPrefix is the prefix of the keys of suspicions in the progress partition; a key with it is not a valid job ID.
const suspicionPrefix = "suspicion/"

// Replica is a local copy of the store's records of all jobs; only an owner reads the progress partition.
type Replica struct {
	store  Store
	logger zerolog.Logger
	// catchUpInterval is the time after which a load reads new records between two pages.
	catchUpInterval time.Duration

	mu sync.Mutex
	// specs holds the encoded submissions, and cancelled the jobs with a cancellation record, both by job ID.
	specs     map[string][]byte
	cancelled map[string]bool
	// accepted holds, by job ID, the jobs that this instance has accepted and not read yet.
	accepted map[string]acceptedJob
	// claim is the newest claim, without its EndOffset.
	claim Claim
	// progress holds, by key, the newest progress record.
	progress map[string]Record
	// states holds the published states of jobs, reasons why jobs failed, committed the states that this instance has committed
	// as the owner, and queues and accounts the decoded names of queues and client accounts, each by job ID.
	states    map[string]jobs.State
	reasons   map[string]string
	committed map[string]jobs.State
	queues    map[string]string
	accounts  map[string]string
	// contested holds the jobs whose ID another account submitted too, or whose submission was replaced by a malformed one, until the
	// first submission is confirmed.
	contested map[string]bool
	// malformed holds the jobs whose submissions were found to be malformed, and malformedAt, by key, the offset of the latest
	// progress record that was.
	malformed   map[string]bool
	malformedAt map[string]int64
	// memory is the memory of the jobs.
	memory jobMemory
	// partitions holds the state of the reads of each partition.
	partitions [partitions]*partitionState
	// confirmation is the confirmation in progress, nil if there is none, confirmAt the earliest beginning of the next one, and
	// confirmedAt the beginning of the latest one that reached the end.
	confirmation *confirmation
	confirmAt    time.Time
	confirmedAt  time.Time
}

// NewReplica returns an empty replica, which loads its records on the first read.
func NewReplica(s Store, l zerolog.Logger) *Replica {
	return &Replica{
		store: s, logger: l, catchUpInterval: replicaRefreshInterval,
		specs: make(map[string][]byte), cancelled: make(map[string]bool), accepted: make(map[string]acceptedJob), progress: make(map[string]Record),
		states: make(map[string]jobs.State), reasons: make(map[string]string), committed: make(map[string]jobs.State), queues: make(map[string]string), accounts: make(map[string]string), contested: make(map[string]bool), malformed: make(map[string]bool), malformedAt: make(map[string]int64), memory: newJobMemory(),
		partitions: [partitions]*partitionState{newPartitionState(), newPartitionState(), newPartitionState()},
	}
}

// Refresh reads new requests and states, unless the replica is current or a completed read began after since.
func (r *Replica) Refresh(ctx context.Context, since time.Time) error {
	if r.isCurrent(since) {
		return nil
	}
	return r.Follow(ctx, PartitionRequests, since, time.Time{})
}

// maxPolledAge is the age from which a replica with a waiting poll is not current, because the poll may never get a response. It
// is the longest time of a poll that gets one.
const maxPolledAge = requestsPollTimeout + pollResponseTimeout

// isCurrent reports whether a long poll keeps the requests and states up to date, or a completed confirmation began after since.
func (r *Replica) isCurrent(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.partitions[PartitionRequests]
	return s.loaded && (s.polling && s.currentAt.Age() < maxPolledAge || r.isConfirmed(since))
}

// RequestsCurrentAt returns the beginning of the latest read of requests that reached the end of what the store held.
func (r *Replica) RequestsCurrentAt() bootclock.Instant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partitions[PartitionRequests].currentAt
}

// IsLoaded reports whether the requests and states have been loaded.
func (r *Replica) IsLoaded() bool { return r.isLoaded(r.partitions[PartitionRequests]) }

// LoadAll reads the requests and the progress to their end, as a new owner requires. If it fails, the next call resumes the load;
// the owner must have called DropProgress before the first one.
func (r *Replica) LoadAll(ctx context.Context) error {
	since := time.Now()
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
	c.EndOffset = r.partitions[PartitionOwners].nextOffset
	return c, nil
}

// requestsOffset returns the offset up to which the requests have been read.
func (r *Replica) requestsOffset() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partitions[PartitionRequests].nextOffset
}

// DropProgress drops all progress records, which this instance does not read on while it does not own the jobs.
func (r *Replica) DropProgress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.progress)
	r.partitions[PartitionProgress] = newPartitionState()
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
	if c, ok := parseClaim(x); ok && c.Epoch > r.claim.Epoch {
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
	prefix, id, _ := strings.Cut(x.Key, keySeparator)
	if !jobs.IsID(id) {
		return
	}
	switch prefix + keySeparator {
	case cancelPrefix:
		r.cancelled[id] = true
	case reasonPrefix:
		if len(x.Value) <= maxReasonBytes {
			r.reasons[id] = string(x.Value)
		}
	case statePrefix:
		if s := r.states[id].Later(jobs.State(x.Value)); s != "" {
			r.states[id] = s
		}
	}
}

// applySubmission adds a job, or deletes it if the value is empty; r.mu is held.
func (r *Replica) applySubmission(id string, v []byte) {
	delete(r.accepted, id)
	if len(v) == 0 {
		delete(r.specs, id)
		delete(r.cancelled, id)
		delete(r.states, id)
		delete(r.reasons, id)
		delete(r.committed, id)
		delete(r.queues, id)
		delete(r.accounts, id)
		delete(r.contested, id)
		delete(r.malformed, id)
		r.memory.forget(id)
		return
	}
	if _, ok := r.specs[id]; ok {
		r.applyRepeat(id, v)
		return
	}
	r.specs[id] = v
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

// Contains reports whether the replica holds the submission of a job that is not malformed.
func (r *Replica) Contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.account(id)
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

// FailureReason returns why a job failed, empty if it has not or the reason is not known.
func (r *Replica) FailureReason(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reasons[id]
}

// RecordCommittedState records a state that this instance has committed as the owner, with the reason of a failure, and reports
// whether that state is still unpublished.
func (r *Replica) RecordCommittedState(id string, s jobs.State, reason string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.committed[id] = r.committed[id].Later(s)
	if reason != "" {
		r.reasons[id] = reason
	}
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
	s, ok := r.spec(id)
	if !ok {
		return ""
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
	s, ok := r.spec(id)
	if !ok {
		return nil
	}
	x, ok := r.progress[id]
	if !ok {
		return jobs.New(s)
	}
	j, err := jobs.Restore(s, r.joined(id))
	if err != nil {
		r.reportMalformed(x, err)
		return nil
	}
	r.restoreSuspicions(j)
	return j
}

// Joined returns the newest value of a key of the progress partition, joined from its parts, or nil if there is none.
func (r *Replica) Joined(key string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.joined(key)
}

// joined implements Joined; r.mu is held.
func (r *Replica) joined(key string) []byte {
	b := r.progress[key].Value
	for n := 1; ; n++ {
		x, ok := r.progress[partKey(key, n)]
		if !ok {
			return b
		}
		b = slices.Concat(b, x.Value)
	}
}

// restoreSuspicions applies the suspicions of a job, if there are any; a job without them is scheduled as if no worker had been
// lost under it. r.mu is held.
func (r *Replica) restoreSuspicions(j *jobs.Job) {
	x, ok := r.progress[suspicionPrefix+j.ID]
	if !ok {
		return
	}
	if err := j.RestoreSuspicions(r.joined(x.Key)); err != nil {
		r.reportMalformed(x, err)
	}
}

// staleProgressKeys returns the keys, other than the IDs of jobs, of the records of jobs whose submissions are gone.
func (r *Replica) staleProgressKeys() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []string
	for k := range r.progress {
		if id := jobOfKey(k); id != k && id != snapshotKey && r.specs[id] == nil {
			l = append(l, k)
		}
	}
	return l
}

// Progress returns the value of the newest progress record of a key, without further parts, or nil if there is none.
func (r *Replica) Progress(key string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress[key].Value
}

// ProgressRecords returns the newest progress records of the given keys, as far as there are any.
func (r *Replica) ProgressRecords(keys ...string) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []Record
	for _, k := range keys {
		if x, ok := r.progress[k]; ok {
			l = append(l, x)
		}
	}
	return l
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

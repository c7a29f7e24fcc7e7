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

// The prefixes of keys in the partition of requests.
const (
	submissionPrefix = "s/"
	cancelPrefix     = "c/"
	statePrefix      = "t/"
	// ownerKey is the key of the record that names the owner.
	ownerKey = "owner"
)

// Replica is a copy of the store's records of all jobs; only an owner reads those of progress.
type Replica struct {
	store  Store
	logger zerolog.Logger

	// reading is held while a partition is read.
	reading [2]sync.Mutex

	mu        sync.Mutex
	specs     map[string][]byte
	cancelled map[string]bool
	// owner is the newest record that names an owner.
	owner    Record
	progress map[string]Record
	// states holds what owners told of jobs, reached what this instance committed as an owner, and queues the queue of each
	// job that was asked for.
	states  map[string]jobs.State
	reached map[string]jobs.State
	queues  map[string]string
	next    [2]int64
	loaded  [2]bool
	freshAt [2]time.Time
	// watched tells that a read waits for the next record, so that what is known is new without another read.
	watched [2]bool
}

// NewReplica returns an empty replica of the store.
func NewReplica(s Store, l zerolog.Logger) *Replica {
	return &Replica{
		store: s, logger: l,
		specs: make(map[string][]byte), cancelled: make(map[string]bool), progress: make(map[string]Record),
		states: make(map[string]jobs.State), reached: make(map[string]jobs.State), queues: make(map[string]string),
	}
}

// Refresh reads the requests and states unless what is known of them is younger than the given instant.
func (r *Replica) Refresh(ctx context.Context, since time.Time) error {
	if r.isCurrent() {
		return nil
	}
	return r.Follow(ctx, PartitionRequests, since, time.Time{})
}

// isCurrent tells whether requests and states are known to their end without a read.
func (r *Replica) isCurrent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded[PartitionRequests] && r.watched[PartitionRequests]
}

// LoadAll reads all records anew, progress included, as a new owner needs them.
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

// Owner returns the identity of the process that took the jobs over last, empty where there was none.
func (r *Replica) Owner() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return string(r.owner.Value)
}

// DropProgress forgets the progress of jobs, which another instance owns from now on.
func (r *Replica) DropProgress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.progress)
	r.loaded[PartitionProgress] = false
}

func (r *Replica) setWatched(p Partition, watched bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watched[p] = watched
}

// Follow reads a partition to its end, unless that was begun after the given instant, and waits for a record until another.
func (r *Replica) Follow(ctx context.Context, p Partition, since, until time.Time) error {
	r.reading[p].Lock()
	defer r.reading[p].Unlock()
	for {
		r.mu.Lock()
		loaded, next, fresh := r.loaded[p], r.next[p], r.freshAt[p]
		r.mu.Unlock()
		if loaded && fresh.After(since) {
			return nil
		}
		begun := time.Now()
		if !loaded {
			if err := r.load(ctx, p); err != nil {
				return err
			}
			continue
		}
		r.setWatched(p, time.Until(until) > 0)
		g, err := r.store.Read(ctx, p, next, until)
		r.setWatched(p, false)
		if errors.Is(err, ErrTruncated) {
			r.logger.Warn().Int("Partition", int(p)).Int64("Offset", next).Str("Decision", "LoadAgain").Msg("records are no longer in the store")
			r.mu.Lock()
			r.loaded[p] = false
			r.mu.Unlock()
			continue
		}
		if err != nil {
			return fmt.Errorf("follow jobs: %w", err)
		}
		if r.apply(p, g, begun) {
			return nil
		}
	}
}

// load reads the newest record of each key.
func (r *Replica) load(ctx context.Context, p Partition) error {
	first := int64(-1)
	after := ""
	for {
		n, err := r.store.Newest(ctx, p, after)
		if err != nil {
			return fmt.Errorf("load jobs: %w", err)
		}
		if first < 0 {
			first = n.EndOffset
		}
		r.mu.Lock()
		r.put(p, n.Records)
		r.mu.Unlock()
		if n.After == "" {
			break
		}
		after = n.After
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded[p] = true
	r.next[p] = max(first, r.next[p])
	return nil
}

// apply takes in a page and tells whether it reached the end of the partition.
func (r *Replica) apply(p Partition, g Page, begun time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(p, g.Records)
	r.next[p] = max(r.next[p], g.Next)
	if r.next[p] < g.EndOffset {
		return false
	}
	r.freshAt[p] = begun
	return true
}

// put stores records; r.mu is held.
func (r *Replica) put(p Partition, l []Record) {
	for _, x := range l {
		if p == PartitionProgress {
			r.putProgress(x)
			continue
		}
		r.putRequest(x)
	}
}

// putRequest stores a submission, a cancellation or a state; r.mu is held.
func (r *Replica) putRequest(x Record) {
	if id, ok := strings.CutPrefix(x.Key, submissionPrefix); ok {
		r.putSpec(id, x.Value)
		return
	}
	if len(x.Value) == 0 {
		return
	}
	if x.Key == ownerKey {
		if x.Offset >= r.owner.Offset {
			r.owner = x
		}
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

func (r *Replica) putSpec(id string, v []byte) {
	if len(v) == 0 {
		delete(r.specs, id)
		delete(r.cancelled, id)
		delete(r.states, id)
		delete(r.reached, id)
		delete(r.queues, id)
		return
	}
	if _, ok := r.specs[id]; !ok {
		r.specs[id] = v
	}
}

func (r *Replica) putProgress(x Record) {
	if o, ok := r.progress[x.Key]; ok && o.Offset > x.Offset {
		return
	}
	if len(x.Value) == 0 {
		delete(r.progress, x.Key)
		return
	}
	r.progress[x.Key] = x
}

// ApplyCommitted takes in records that the owner appended at an offset.
func (r *Replica) ApplyCommitted(l []Record, first int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range l {
		l[i].Offset = first + int64(i)
		r.putProgress(l[i])
	}
}

// Contains tells whether a job was accepted, as far as the replica has read.
func (r *Replica) Contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.specs[id]
	return ok
}

// State returns what callers are told of a job, and whether it is known.
func (r *Replica) State(id string) (jobs.State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(id)
}

// state returns what callers are told of a job; r.mu is held.
func (r *Replica) state(id string) (jobs.State, bool) {
	if _, ok := r.specs[id]; !ok {
		return "", false
	}
	s := jobs.StatePending.Later(r.states[id]).Later(r.reached[id])
	if r.cancelled[id] {
		s = s.Later(jobs.StateCancelled)
	}
	return s, true
}

// Advance notes a state that this instance, as the owner, has committed, and tells whether the store does not hold it yet.
func (r *Replica) Advance(id string, s jobs.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached[id] = r.reached[id].Later(s)
	o := r.states[id]
	return o.Later(s) != o
}

// Waiting returns the number of a queue's accepted jobs of which no task has started.
func (r *Replica) Waiting(queue string) int {
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

// queue returns the queue of a job, empty where its submission cannot be read; r.mu is held.
func (r *Replica) queue(id string) string {
	if q, ok := r.queues[id]; ok {
		return q
	}
	s, err := jobs.DecodeSpec(r.specs[id])
	if err != nil {
		r.logger.Error().Err(err).Str("Job", id).Msg("submission cannot be read")
	}
	r.queues[id] = s.Queue.Name
	return s.Queue.Name
}

// Jobs decodes all jobs; records that cannot be read are logged and left out.
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

// Job decodes one job, nil where it is not known or cannot be read.
func (r *Replica) Job(id string) *jobs.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.job(id)
}

// job decodes one job; r.mu is held.
func (r *Replica) job(id string) *jobs.Job {
	b, ok := r.specs[id]
	if !ok {
		return nil
	}
	s, err := jobs.DecodeSpec(b)
	if err != nil {
		r.logger.Error().Err(err).Str("Job", id).Msg("submission cannot be read")
		return nil
	}
	x, ok := r.progress[id]
	if !ok {
		return jobs.New(s)
	}
	j, err := jobs.Restore(s, x.Value)
	if err != nil {
		r.logger.Error().Err(err).Str("Job", id).Int64("Offset", x.Offset).Msg("progress cannot be read")
		return nil
	}
	return j
}

// Progress returns the newest record of progress under a key, nil where there is none.
func (r *Replica) Progress(key string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress[key].Value
}

// Cancelled lists the jobs whose cancellation is known.
func (r *Replica) Cancelled() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := make([]string, 0, len(r.cancelled))
	for id := range r.cancelled {
		l = append(l, id)
	}
	return l
}

// IDs lists the accepted jobs.
func (r *Replica) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := make([]string, 0, len(r.specs))
	for id := range r.specs {
		l = append(l, id)
	}
	return l
}

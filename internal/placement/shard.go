package placement

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"currantknot.dev/currantknot/internal/msgpackcheck"
	"currantknot.dev/currantknot/internal/record"
	"currantknot.dev/currantknot/pkg/document"
)

// RefusedError reports a record that the shard's state does not permit.
type RefusedError struct {
	// Record is the kind of the record, such as Bind.
	Record string
	// Task is the name of the task, empty if the record concerns no single task.
	Task   string
	Reason string
}

// Error returns a message with the record, the task and the reason.
func (e *RefusedError) Error() string {
	if e.Task == "" {
		return fmt.Sprintf("%s refused: %s", e.Record, e.Reason)
	}
	return fmt.Sprintf("%s of task %s refused: %s", e.Record, e.Task, e.Reason)
}

// LoggedTask is the logged state of a task that has been committed at least once and is not finished.
type LoggedTask struct {
	// Attempt is the number of the latest attempt, 1 for the first.
	Attempt int
	// Worker is empty while the task waits in the queue.
	Worker      string
	Size        document.Size
	StartBefore time.Time
	// BindOffset is the offset of the latest Bind record.
	BindOffset uint64 `msgpack:"BoundAt"`
	Checkpoint string
	Failures   int
	Evictions  int
}

// IsBound reports whether the latest attempt is committed to a worker.
func (t *LoggedTask) IsBound() bool { return t.Worker != "" }

// Shard is the state that the records of one shard's stream determine.
type Shard struct {
	// Epoch is the offset of the latest accepted Claim record plus one, 0 before the first.
	Epoch    uint64
	Owner    string
	Resigned bool
	// LastRecordAt is the time of the latest record of the current epoch by the writer's clock. A record counts even if it
	// is refused for a reason other than its epoch.
	LastRecordAt time.Time `msgpack:"ActiveAt"`
	// Attempts holds the state of each unfinished task by name.
	Attempts map[string]*LoggedTask
	// Committed holds the total size of the attempts committed to each worker.
	Committed map[string]document.Size
	// Finished holds the indexes of finished tasks by group.
	Finished map[string]*indexSet
}

// NewShard returns the state of an empty stream.
func NewShard() *Shard {
	return &Shard{
		Attempts:  make(map[string]*LoggedTask),
		Committed: make(map[string]document.Size),
		Finished:  make(map[string]*indexSet),
	}
}

// Apply applies one record to the state, or returns a *RefusedError.
func (s *Shard) Apply(offset uint64, e *record.Envelope, r *record.Record) error {
	switch {
	case r.Claim != nil:
		return s.claim(offset, e, r.Claim)
	case r.Renew != nil:
		return s.renew(e, r.Renew)
	case r.Bind != nil:
		return s.bind(offset, e, r.Bind)
	case r.Release != nil:
		return s.release(e, r.Release)
	case r.Finish != nil:
		return s.finish(e, r.Finish)
	case r.Forget != nil:
		return s.forget(e, r.Forget)
	}
	return nil
}

func (s *Shard) claim(offset uint64, e *record.Envelope, c *record.Claim) error {
	if c.Previous != s.Epoch {
		return &RefusedError{"Claim", "", fmt.Sprintf("epoch is %d, the claim supersedes %d", s.Epoch, c.Previous)}
	}
	s.Epoch = offset + 1
	s.Owner = c.Owner
	s.Resigned = false
	s.LastRecordAt = e.At
	return nil
}

// checkEpoch refuses a record of a superseded epoch. For a record of the current epoch, it updates LastRecordAt.
func (s *Shard) checkEpoch(name, task string, epoch uint64, e *record.Envelope) error {
	if epoch != s.Epoch {
		return &RefusedError{name, task, fmt.Sprintf("epoch %d is superseded by %d", epoch, s.Epoch)}
	}
	s.LastRecordAt = e.At
	return nil
}

func (s *Shard) renew(e *record.Envelope, r *record.Renew) error {
	if err := s.checkEpoch("Renew", "", r.Epoch, e); err != nil {
		return err
	}
	s.Resigned = r.Resigned
	return nil
}

func (s *Shard) bind(offset uint64, e *record.Envelope, b *record.Bind) error {
	if err := s.checkEpoch("Bind", b.Task, b.Epoch, e); err != nil {
		return err
	}
	a := s.Attempts[b.Task]
	if a == nil {
		a = &LoggedTask{}
	}
	if a.IsBound() || a.Attempt+1 != b.Attempt || s.IsFinished(b.Task) {
		return &RefusedError{"Bind", b.Task, fmt.Sprintf("attempt %d does not follow attempt %d on %q", b.Attempt, a.Attempt, a.Worker)}
	}
	n := s.Committed[b.Worker].Add(b.Size.DocumentSize())
	if !n.Fits(b.Capacity.DocumentSize()) {
		return &RefusedError{"Bind", b.Task, fmt.Sprintf("worker %s would hold %+v of %+v", b.Worker, n, b.Capacity.DocumentSize())}
	}
	s.Committed[b.Worker] = n
	a.Attempt = b.Attempt
	a.Worker = b.Worker
	a.Size = b.Size.DocumentSize()
	a.StartBefore = b.StartBefore
	a.BindOffset = offset
	s.Attempts[b.Task] = a
	return nil
}

// committedAttempt returns the state of the task, or a *RefusedError unless the task's latest attempt has the given number and
// is committed.
func (s *Shard) committedAttempt(name, task string, attempt int) (*LoggedTask, error) {
	a := s.Attempts[task]
	if a == nil || a.Attempt != attempt || !a.IsBound() {
		return nil, &RefusedError{name, task, fmt.Sprintf("attempt %d is not committed", attempt)}
	}
	return a, nil
}

// removeCommitment subtracts the attempt's size from its worker's committed size, and clears the attempt's worker.
func (s *Shard) removeCommitment(a *LoggedTask) {
	n := s.Committed[a.Worker].Sub(a.Size)
	if n == (document.Size{}) {
		delete(s.Committed, a.Worker)
	} else {
		s.Committed[a.Worker] = n
	}
	a.Worker = ""
}

func (s *Shard) release(e *record.Envelope, r *record.Release) error {
	if err := s.checkEpoch("Release", r.Task, r.Epoch, e); err != nil {
		return err
	}
	a, err := s.committedAttempt("Release", r.Task, r.Attempt)
	if err != nil {
		return err
	}
	s.removeCommitment(a)
	if r.Checkpoint != "" {
		a.Checkpoint = r.Checkpoint
	}
	switch r.Reason {
	case record.ReleaseFailed:
		a.Failures++
	case record.ReleaseEvicted, record.ReleaseLeaseExpired:
		a.Evictions++
	case record.ReleaseNotStarted, record.ReleaseCancelled:
	}
	return nil
}

func (s *Shard) finish(e *record.Envelope, r *record.Finish) error {
	if err := s.checkEpoch("Finish", r.Task, r.Epoch, e); err != nil {
		return err
	}
	a, err := s.committedAttempt("Finish", r.Task, r.Attempt)
	if err != nil {
		return err
	}
	s.removeCommitment(a)
	delete(s.Attempts, r.Task)
	g, i := SplitTask(r.Task)
	if s.Finished[g] == nil {
		s.Finished[g] = &indexSet{}
	}
	s.Finished[g].add(i)
	return nil
}

func (s *Shard) forget(e *record.Envelope, r *record.Forget) error {
	if err := s.checkEpoch("Forget", "", r.Epoch, e); err != nil {
		return err
	}
	delete(s.Finished, r.Group)
	for _, t := range slices.Sorted(maps.Keys(s.Attempts)) {
		if g, _ := SplitTask(t); g == r.Group && !s.Attempts[t].IsBound() {
			delete(s.Attempts, t)
		}
	}
	return nil
}

// IsFinished reports whether the task has finished.
func (s *Shard) IsFinished(task string) bool {
	g, i := SplitTask(task)
	f := s.Finished[g]
	return f != nil && f.has(i)
}

// Snapshot returns the encoded state.
func (s *Shard) Snapshot() ([]byte, error) {
	b, err := msgpack.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode shard: %w", err)
	}
	return b, nil
}

// Restore replaces the state with one that Snapshot returned.
func (s *Shard) Restore(state []byte) error {
	n := NewShard()
	if err := msgpackcheck.Unmarshal(state, n); err != nil {
		return fmt.Errorf("decode shard: %w", err)
	}
	*s = *n
	return nil
}

// Group returns the name of the group of a service or job, which consists of the name and the generation: the revision
// of the document at which the service or job was added.
func Group(name string, generation uint64) string {
	return name + "@" + strconv.FormatUint(generation, 36)
}

// TaskName returns the name of one task of a group.
func TaskName(group string, index int) string {
	return group + "/" + strconv.Itoa(index)
}

// SplitTask returns the group and the index of the named task.
func SplitTask(task string) (group string, index int) {
	g, t, _ := strings.Cut(task, "/")
	i, err := strconv.Atoi(t)
	if err != nil {
		return g, 0
	}
	return g, i
}

// indexSet is a bit set of task indexes.
type indexSet struct {
	Bits  []uint64
	Count int
}

const wordBits = 64

func (x *indexSet) add(i int) {
	if x.has(i) {
		return
	}
	for len(x.Bits) <= i/wordBits {
		x.Bits = append(x.Bits, 0)
	}
	x.Bits[i/wordBits] |= 1 << (i % wordBits)
	x.Count++
}

func (x *indexSet) has(i int) bool {
	return i/wordBits < len(x.Bits) && x.Bits[i/wordBits]&(1<<(i%wordBits)) != 0
}

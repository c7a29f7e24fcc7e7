package jobserve

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/limits"
)

const (
	// measuredAtOnce is the number of jobs that are measured while the replica is locked.
	measuredAtOnce = 64
	// smallJobParts is the part of the limit up to which a job is small. Small jobs may take half as much again as the limit, so that
	// large ones do not keep ordinary ones out.
	smallJobParts = 256
)

// jobMemory is the memory that jobs take at their owner; an instance may become the owner of all jobs at any time.
type jobMemory struct {
	// byID holds the memory of each job in bytes, and held is the sum.
	byID map[string]int
	held int
}

func newJobMemory() jobMemory { return jobMemory{byID: make(map[string]int)} }

// set sets the memory of a job.
func (m *jobMemory) set(id string, n int) {
	m.held += n - m.byID[id]
	m.byID[id] = n
}

// forget removes a job.
func (m *jobMemory) forget(id string) {
	m.held -= m.byID[id]
	delete(m.byID, id)
}

// JobMemory returns the memory that the jobs of the replica take at their owner, in bytes.
func (r *Replica) JobMemory() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.memory.held
}

// recordMemory records the memory of a job that this instance has accepted.
func (r *Replica) recordMemory(id string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.set(id, n)
}

// measureJobs measures the jobs that other instances have accepted, and those that are finished, of which little is kept.
func (r *Replica) measureJobs() {
	r.mu.Lock()
	ids := slices.Collect(maps.Keys(r.specs))
	r.mu.Unlock()
	for b := range slices.Chunk(ids, measuredAtOnce) {
		r.mu.Lock()
		for _, id := range b {
			r.measureJob(id)
		}
		r.mu.Unlock()
	}
}

// measureJob measures a job unless that is done; r.mu is held.
func (r *Replica) measureJob(id string) {
	b, ok := r.specs[id]
	if !ok {
		return
	}
	if s, ok := r.state(id); ok && s.IsTerminal() {
		r.memory.set(id, len(b))
		return
	}
	if _, ok := r.memory.byID[id]; ok {
		return
	}
	n := len(b)
	if s, ok := r.spec(id); ok {
		n = s.MemoryBytes()
	}
	r.memory.set(id, n)
}

// FullError reports that the jobs that are not finished leave no room for another. It is an ErrNotAccepted.
type FullError struct {
	// NeededBytes is the memory of the job, and HeldBytes that of the others.
	NeededBytes int
	HeldBytes   int
}

// Error says how much memory is missing.
func (e *FullError) Error() string {
	return fmt.Sprintf("no room for a job of %d bytes beside those of %d bytes", e.NeededBytes, e.HeldBytes)
}

// Is reports whether the target is ErrNotAccepted.
func (e *FullError) Is(target error) bool { return target == ErrNotAccepted }

// LimitObserver counts requests that are refused for a limit.
type LimitObserver interface {
	// Limited counts a request of a listener.
	Limited(listener string, r limits.Reason)
}

// jobRoom bounds the memory of the jobs that are accepted.
type jobRoom struct {
	// limit is in bytes, 0 if there is none.
	limit    int
	observer LimitObserver
	// storing is the memory of the jobs that are being stored, in bytes.
	storing atomic.Int64
}

// SetJobLimit bounds the memory that all jobs may take at their owner, in bytes; it is called before any request.
func (s *Service) SetJobLimit(bytes int, o LimitObserver) { s.room.limit, s.room.observer = bytes, o }

// reserve takes room for a job that is about to be stored, and returns a function that returns it, or a *FullError.
func (s *Service) reserve(p *jobs.Spec) (release func(), err error) {
	n := p.MemoryBytes()
	limit := s.room.limit
	if n <= limit/smallJobParts {
		limit += limit / 2
	}
	held := s.replica.JobMemory() + int(s.room.storing.Add(int64(n))) - n
	release = func() { s.room.storing.Add(-int64(n)) }
	if s.room.limit > 0 && held+n > limit {
		release()
		s.room.observer.Limited(callersListener, limits.ReasonJobs)
		return nil, &FullError{n, held}
	}
	return release, nil
}

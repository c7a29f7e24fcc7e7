package jobs

import (
	"cmp"
	"slices"
	"time"
)

const (
	// probableCauseWorkers is the number of distinct workers that must have been lost under a task, so that it and not a worker is
	// the probable cause.
	probableCauseWorkers = 3
	// A task under which so many workers were lost is the probable cause if probableCauseCrashes of them certainly crashed and one of
	// them had isolated the task, if probableCauseLosses of them certainly crashed, or if of probableCauseLosses of them
	// minIsolatedLosses had isolated the task.
	probableCauseCrashes = 3
	probableCauseLosses  = 5
	minIsolatedLosses    = 3
	// maxStoredLosses bounds the losses that are stored for a task, the latest ones.
	maxStoredLosses = 16
	// SuspectLosses is the number of lost workers from which on a task is a suspect.
	SuspectLosses = 2
	// suspectStepLosses is the number of workers lost right after starts of tasks of a step from which on the whole step is
	// suspected.
	suspectStepLosses = 3
	// minClearRun is the least time that an attempt has to run until its task is cleared.
	minClearRun = time.Second
	// MaxSuspectRun is the run time after which an attempt always clears its task: what has run for so long is no suspect when
	// its worker is lost.
	MaxSuspectRun = time.Minute
)

// Suspicion is what counts against a task since it was last cleared: the workers that were lost under it.
type Suspicion struct {
	// Losses counts the workers that were lost under the task and for which it may be the cause. Of these, Crashes counts those
	// that certainly crashed, other than by coincidence, Isolated those that had isolated the task, and AtStart those that were
	// lost right after its start.
	Losses   int
	Crashes  int
	Isolated int
	AtStart  int
	// LongestRun is the longest time that the task had run when its worker was lost.
	LongestRun time.Duration
	// Workers lists the IDs of the latest of these workers, at most maxStoredLosses.
	Workers []string
	// Each holds the latest of the losses that are counted above, at most maxStoredLosses. The earliest versions do not store it.
	Each []Loss `msgpack:",omitempty"`
	// RetryAtUnixMilli is the time before which the task does not run again, in milliseconds since 1970, 0 if there is none.
	RetryAtUnixMilli int64 `msgpack:",omitempty"`
}

// Loss is the loss of a worker under an attempt of a task for which the task may be the cause. It is stored with the job, by field
// names.
type Loss struct {
	Worker string
	// Address is the address of the worker, at which a later worker may respond; it is empty if it is not known.
	Address string `msgpack:",omitempty"`
	// Incarnation is the incarnation of the worker in which the attempt was to run, 0 if it is not known.
	Incarnation int64 `msgpack:",omitempty"`
	// Crashed means that the worker certainly crashed, other than by coincidence with further losses. Isolated means that it had
	// isolated the task, and AtStart that the attempt had just started.
	Crashed  bool `msgpack:",omitempty"`
	Isolated bool `msgpack:",omitempty"`
	AtStart  bool `msgpack:",omitempty"`
	// RanFor is for how long the attempt had certainly run.
	RanFor time.Duration `msgpack:",omitempty"`
}

// add adds a loss.
func (s *Suspicion) add(l Loss) {
	s.Losses++
	s.Workers = append(s.Workers, l.Worker)
	s.Each = append(s.Each, l)
	s.LongestRun = max(s.LongestRun, l.RanFor)
	if l.Crashed {
		s.Crashes++
	}
	if l.Isolated {
		s.Isolated++
	}
	if l.AtStart {
		s.AtStart++
	}
	s.Workers = latest(s.Workers)
	s.Each = latest(s.Each)
}

// latest returns the last maxStoredLosses elements of a list that grows as long as its task runs.
func latest[T any](l []T) []T { return l[max(0, len(l)-maxStoredLosses):] }

// remove takes back the loss with the given index in Each.
func (s *Suspicion) remove(n int) {
	l := s.Each[n]
	s.Each = slices.Delete(s.Each, n, n+1)
	s.Losses--
	if i := slices.Index(s.Workers, l.Worker); i >= 0 {
		s.Workers = slices.Delete(s.Workers, i, i+1)
	}
	if l.Crashed {
		s.Crashes--
	}
	if l.Isolated {
		s.Isolated--
	}
	if l.AtStart {
		s.AtStart--
	}
	if len(s.Each) < s.Losses {
		return
	}
	s.LongestRun = 0
	for _, o := range s.Each {
		s.LongestRun = max(s.LongestRun, o.RanFor)
	}
}

// index returns the index in Each of the loss of the same incarnation of a worker, -1 if there is none.
func (s *Suspicion) index(l Loss) int {
	return slices.IndexFunc(s.Each, func(o Loss) bool { return o.Worker == l.Worker && o.Incarnation == l.Incarnation && l.Incarnation != 0 })
}

// with returns the loss together with what was known of it before.
func (l Loss) with(o Loss) Loss {
	l.Crashed, l.Isolated, l.AtStart = l.Crashed || o.Crashed, l.Isolated || o.Isolated, l.AtStart || o.AtStart
	l.Address, l.RanFor = cmp.Or(l.Address, o.Address), max(l.RanFor, o.RanFor)
	return l
}

// IsSuspect reports whether so many workers were lost under the task that it is to run isolated.
func (s *Suspicion) IsSuspect() bool { return s.Losses >= SuspectLosses }

// WasLostIsolatedAtStart reports whether a worker that had isolated the task was lost right after its start.
func (s *Suspicion) WasLostIsolatedAtStart() bool {
	return slices.ContainsFunc(s.Each, func(l Loss) bool { return l.Isolated && l.AtStart })
}

// DistinctWorkers returns the number of different workers that were lost. Workers at one address count once, since a worker that
// crashes by itself returns there under another ID.
func (s *Suspicion) DistinctWorkers() int {
	addresses, listed := make(map[string]bool), make(map[string]bool)
	for _, l := range s.Each {
		listed[l.Worker] = true
		addresses[cmp.Or(l.Address, l.Worker)] = true
	}
	for _, w := range s.Workers {
		if !listed[w] {
			addresses[w] = true
		}
	}
	return len(addresses)
}

// WasLostAt reports whether a worker with the given ID or address was lost under the task.
func (s *Suspicion) WasLostAt(worker, address string) bool {
	return slices.Contains(s.Workers, worker) || address != "" && slices.ContainsFunc(s.Each, func(l Loss) bool { return l.Address == address })
}

// IsProbableCause reports whether the task probably is what the lost workers crashed by, so that it runs only isolated.
func (s *Suspicion) IsProbableCause() bool {
	if s.Losses < probableCauseCrashes || s.DistinctWorkers() < probableCauseWorkers {
		return false
	}
	return s.Crashes >= probableCauseCrashes && s.Isolated > 0 || s.Crashes >= probableCauseLosses || s.Losses >= probableCauseLosses && s.Isolated >= minIsolatedLosses
}

// compareWeight returns a number that is negative if less counts against the task than by another suspicion, and positive if more.
func (s *Suspicion) compareWeight(o *Suspicion) int {
	weigh := func(x *Suspicion) int {
		if x.IsProbableCause() {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(weigh(s), weigh(o)), cmp.Compare(s.Losses, o.Losses))
}

// IsClearedBy reports whether an attempt that has run for the given time clears the task: it has run for twice as long as any
// that was lost.
func (s *Suspicion) IsClearedBy(ranFor time.Duration) bool {
	return ranFor >= min(max(2*s.LongestRun, minClearRun), MaxSuspectRun)
}

// RecordLoss records that a worker was lost under a task. It never fails the job: a lost worker is no failed attempt.
func (j *Job) RecordLoss(t *Task, l Loss) {
	if t.Suspicion.Losses == 0 {
		j.suspicions++
	}
	// Each owner that inherits the attempt finds the loss of its worker again.
	if i := t.Suspicion.index(l); i >= 0 {
		l = l.with(t.Suspicion.Each[i])
		t.Suspicion.remove(i)
	}
	t.Suspicion.add(l)
	j.suspicionsChanged = true
}

// SetRetryAt records the time before which a task under which workers were lost does not run again; the zero time removes it.
func (j *Job) SetRetryAt(t *Task, at time.Time) {
	ms := int64(0)
	if !at.IsZero() {
		ms = at.UnixMilli()
	}
	if t.Suspicion.RetryAtUnixMilli == ms {
		return
	}
	t.Suspicion.RetryAtUnixMilli = ms
	j.suspicionsChanged = true
}

// ClearSuspicion records that a task has run without harm, and reports whether anything counted against it.
func (j *Job) ClearSuspicion(t *Task) bool {
	if t.Suspicion.Losses == 0 {
		return false
	}
	t.Suspicion = Suspicion{}
	j.suspicions--
	j.suspicionsChanged = true
	return true
}

// WithdrawLosses takes back what counts against a task for an incarnation of a worker that has not crashed, and returns how many
// losses that were.
func (j *Job) WithdrawLosses(t *Task, worker string, incarnation int64) int {
	s := &t.Suspicion
	n := 0
	for i := len(s.Each) - 1; i >= 0; i-- {
		if l := s.Each[i]; l.Worker == worker && l.Incarnation == incarnation && incarnation != 0 {
			s.remove(i)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	j.suspicionsChanged = true
	if s.Losses == 0 {
		t.Suspicion = Suspicion{}
		j.suspicions--
	}
	return n
}

// ForEachSuspicion calls f for each task under which workers were lost since it was last cleared.
func (j *Job) ForEachSuspicion(f func(*Task)) {
	if !j.HasSuspicions() {
		return
	}
	for _, k := range j.Tasks {
		for _, s := range k {
			for _, t := range s {
				if t.Suspicion.Losses > 0 {
					f(t)
				}
			}
		}
	}
}

// HasSuspicions reports whether workers were lost under any task of the job since it was last cleared.
func (j *Job) HasSuspicions() bool { return j.suspicions > 0 }

// IsStepSuspect reports whether so many workers were lost right after starts of tasks of a step that its tasks may run only one
// at a time and isolated.
func (j *Job) IsStepSuspect(k, step int) bool {
	lost := make(map[string]bool)
	for _, t := range j.Tasks[k][step] {
		if t.Suspicion.AtStart == 0 {
			continue
		}
		for _, l := range t.Suspicion.Each {
			if l.AtStart {
				lost[cmp.Or(l.Address, l.Worker)] = true
			}
		}
	}
	return len(lost) >= suspectStepLosses
}

package jobs

import (
	"slices"
	"time"
)

// Job is a job with the state of its tasks.
type Job struct {
	Spec
	// Tasks holds the tasks by occurrence, step and index; it is nil once the job has ended and no attempt is out.
	Tasks     [][][]*Task
	Cancelled bool
	Failed    bool
	Started   bool
	done      int
	assigned  int
	// completed is set for a job whose tasks were dropped after its last end.
	completed bool
}

// New returns a job without any attempts.
func New(s Spec) *Job {
	j := &Job{Spec: s}
	j.Tasks = make([][][]*Task, max(s.Times, 1))
	for k := range j.Tasks {
		j.Tasks[k] = make([][]*Task, len(j.Steps))
		for i := range j.Steps {
			j.Tasks[k][i] = newStep(s.ID, k, i, &j.Steps[i])
		}
	}
	return j
}

func newStep(id string, k, i int, s *Step) []*Task {
	a := make([]*Task, s.Tasks)
	for n := range a {
		a[n] = &Task{Ref: Ref{id, k, i, n}, Spec: s}
	}
	return a
}

// State returns what callers are told.
func (j *Job) State() State {
	switch {
	case j.Cancelled:
		return StateCancelled
	case j.Failed:
		return StateFailed
	case j.completed, j.done == j.size():
		return StateCompleted
	case j.Started:
		return StateRunning
	}
	return StatePending
}

// IsTerminal tells whether no task of the job may start any more.
func (j *Job) IsTerminal() bool { return j.State().IsTerminal() }

// Assigned returns the number of attempts that are out.
func (j *Job) Assigned() int { return j.assigned }

// size returns the number of tasks of all occurrences.
func (j *Job) size() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Tasks
	}
	return n * max(j.Times, 1)
}

// EarliestStart returns the instant before which no task of the occurrence starts.
func (j *Job) EarliestStart(k int) time.Time {
	if j.Times == 0 {
		return time.Time{}
	}
	return j.StartAt.Add(time.Duration(k) * j.Period)
}

// Task returns the named task, nil where there is none.
func (j *Job) Task(r Ref) *Task {
	if r.Occurrence >= len(j.Tasks) || r.Step >= len(j.Steps) || r.Index >= j.Steps[r.Step].Tasks {
		return nil
	}
	return j.Tasks[r.Occurrence][r.Step][r.Index]
}

// Ready returns the waiting tasks of a step whose turn has come.
func (j *Job) Ready(k, step int, now time.Time) []*Task {
	if j.IsTerminal() || now.Before(j.EarliestStart(k)) {
		return nil
	}
	for _, a := range j.Steps[step].After {
		if !j.stepDone(k, a) {
			return nil
		}
	}
	var r []*Task
	for _, t := range j.Tasks[k][step] {
		if t.State == TaskWaiting {
			r = append(r, t)
		}
	}
	if j.Steps[step].Gang && len(r) < j.Steps[step].Tasks {
		return nil
	}
	return r
}

func (j *Job) stepDone(k, step int) bool {
	return !slices.ContainsFunc(j.Tasks[k][step], func(t *Task) bool { return t.State != TaskDone })
}

// RemainingCriticalPath returns the longest chain of estimated work that is still to be done in the occurrence.
func (j *Job) RemainingCriticalPath(k int, estimate func(*Step) time.Duration) time.Duration {
	return chain(j.Steps, func(i int) time.Duration {
		if j.stepDone(k, i) {
			return 0
		}
		return estimate(&j.Steps[i])
	})
}

// RemainingFraction returns the part of the occurrence's work, from 0 to 1, that is still to be done.
func (j *Job) RemainingFraction(k int, estimate func(*Step) time.Duration) float64 {
	var left, whole float64
	for i := range j.Steps {
		s := &j.Steps[i]
		w := float64(estimate(s)) * float64(max(s.Size.MilliCPU, 1))
		for _, t := range j.Tasks[k][i] {
			whole += w
			if t.State != TaskDone {
				left += w
			}
		}
	}
	if whole == 0 {
		return 1
	}
	return left / whole
}

// CriticalPath returns the longest chain of estimated work of the steps.
func CriticalPath(s []Step, estimate func(*Step) time.Duration) time.Duration {
	return chain(s, func(i int) time.Duration { return estimate(&s[i]) })
}

func chain(s []Step, length func(int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(s))
	var longest time.Duration
	for i := range s {
		for _, a := range s[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += length(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// Assign begins a new attempt of a waiting task at a worker, and tells whether the rules allow it.
func (j *Job) Assign(t *Task, worker string, life int64, now time.Time) bool {
	if t.State != TaskWaiting || j.IsTerminal() || now.Before(j.EarliestStart(t.Occurrence)) {
		return false
	}
	for _, a := range t.Spec.After {
		if !j.stepDone(t.Occurrence, a) {
			return false
		}
	}
	t.State = TaskAssigned
	t.Run++
	t.Worker, t.Incarnation = worker, life
	j.assigned++
	return true
}

// Confirm notes that a worker has started a task, and tells whether that is the first of the job.
func (j *Job) Confirm() bool {
	first := !j.Started
	j.Started = true
	return first
}

// AssignGang begins one attempt of all tasks of a gang; workers and lives are in the order of the tasks.
func (j *Job) AssignGang(a []*Task, workers []string, lives []int64, now time.Time) bool {
	run := 0
	for _, t := range a {
		if t.State != TaskWaiting {
			return false
		}
		run = max(run, t.Run)
	}
	for i, t := range a {
		t.Run = run
		if !j.Assign(t, workers[i], lives[i], now) {
			return false
		}
	}
	return true
}

// Release takes back an attempt that surely does not run and never will.
func (j *Job) Release(t *Task) {
	if t.State != TaskAssigned {
		return
	}
	t.State = TaskWaiting
	t.Worker, t.Incarnation = "", 0
	j.assigned--
}

// FinishAttempt notes the end of an attempt and tells whether it was the current one.
func (j *Job) FinishAttempt(t *Task, run int, how AttemptOutcome, saved string) bool {
	if t.State != TaskAssigned || t.Run != run {
		return false
	}
	j.Started = true
	if saved != "" {
		j.save(t, saved)
	}
	w := t.Worker
	j.Release(t)
	switch {
	case how == OutcomeDone && !t.Spec.LongRunning:
		j.finish(t)
	case how == OutcomeFailed:
		j.fail(t, w)
	}
	return true
}

// save notes a checkpoint; the checkpoint of one member holds for its whole gang.
func (j *Job) save(t *Task, saved string) {
	if !t.Spec.Gang {
		t.Checkpoint = saved
		return
	}
	for _, o := range j.Tasks[t.Occurrence][t.Step] {
		o.Checkpoint = saved
	}
}

// finish notes success; that of one member holds for its whole gang.
func (j *Job) finish(t *Task) {
	a := []*Task{t}
	if t.Spec.Gang {
		a = j.Tasks[t.Occurrence][t.Step]
	}
	for _, o := range a {
		if o.State == TaskDone {
			continue
		}
		j.Release(o)
		o.State = TaskDone
		o.Checkpoint = ""
		j.done++
	}
}

// fail notes a failed attempt and gives the job up once the budget is spent.
func (j *Job) fail(t *Task, worker string) {
	t.FailedAt = append(t.FailedAt, worker)
	t.Failures++
	n := t.Failures
	if t.Spec.Gang {
		n = 0
		for _, o := range j.Tasks[t.Occurrence][t.Step] {
			n += o.Failures
		}
	}
	if !t.Spec.LongRunning && n >= j.Queue.MaxAttempts && j.Queue.MaxAttempts > 0 {
		j.Failed = true
	}
}

// Cancel ends the job for its caller; attempts that are out remain until they have ended.
func (j *Job) Cancel() {
	if !j.IsTerminal() {
		j.Cancelled = true
	}
}

// Compact drops the tasks of a job that is over and has no attempt out.
func (j *Job) Compact() {
	if !j.IsTerminal() || j.assigned > 0 {
		return
	}
	j.completed = j.State() == StateCompleted
	j.Tasks = nil
}

// ForEachAssigned calls f for each attempt that is out.
func (j *Job) ForEachAssigned(f func(*Task)) {
	for _, k := range j.Tasks {
		for _, s := range k {
			for _, t := range s {
				if t.State == TaskAssigned {
					f(t)
				}
			}
		}
	}
}

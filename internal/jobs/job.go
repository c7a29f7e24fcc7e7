package jobs

import (
	"fmt"
	"slices"
	"time"
)

// Job is a submitted job together with the state of its tasks.
type Job struct {
	Spec
	// Tasks holds the tasks by occurrence, step and index; it is nil once the job is terminal and no attempt is assigned.
	Tasks     [][][]*Task
	Cancelled bool
	Failed    bool
	// FailureReason says why the job failed, empty if it has not or if an earlier version failed it.
	FailureReason string
	// Started means that a worker has started a task of the job.
	Started bool
	// doneTasks and assigned count the tasks that are done and those with an assigned attempt.
	doneTasks int
	assigned  int
	// completed means that all tasks were done before Compact dropped them.
	completed bool
	// suspicions counts the tasks under which workers were lost since they were last cleared.
	suspicions int
	// failedGangRuns holds the number of the latest run of each gang in which a member failed.
	failedGangRuns map[gang]int
	// unresolved counts the unresolved attempts of the tasks.
	unresolved int
	// suspicionsChanged means that FailureReason, failedGangRuns, or the suspicion or the unresolved attempts of a task changed since
	// the latest EncodeSuspicions.
	suspicionsChanged bool
}

// New returns a job with the tasks of the spec, none of which has had an attempt.
func New(s Spec) *Job {
	j := &Job{Spec: s}
	j.Tasks = make([][][]*Task, max(s.Times, 1))
	for k := range j.Tasks {
		j.Tasks[k] = make([][]*Task, len(j.Steps))
		for i := range j.Steps {
			j.Tasks[k][i] = newTasks(s.ID, k, i, &j.Steps[i])
		}
	}
	return j
}

func newTasks(id string, k, i int, s *Step) []*Task {
	a := make([]*Task, s.Tasks)
	for n := range a {
		a[n] = &Task{Ref: Ref{id, k, i, n}, Spec: s}
	}
	return a
}

// State returns the state that callers see.
func (j *Job) State() State {
	switch {
	case j.Cancelled:
		return StateCancelled
	case j.Failed:
		return StateFailed
	case j.completed, j.doneTasks == j.taskCount():
		return StateCompleted
	case j.Started:
		return StateRunning
	}
	return StatePending
}

// IsTerminal reports whether the job is completed, failed or cancelled, so that none of its tasks may start.
func (j *Job) IsTerminal() bool { return j.State().IsTerminal() }

// Assigned returns the number of assigned attempts.
func (j *Job) Assigned() int { return j.assigned }

// taskCount returns the number of tasks in all occurrences.
func (j *Job) taskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Tasks
	}
	return n * max(j.Times, 1)
}

// EarliestStart returns the time before which no task of occurrence k may start, the zero time for a job that runs once.
func (j *Job) EarliestStart(k int) time.Time {
	if j.Times == 0 {
		return time.Time{}
	}
	return j.StartAt.Add(time.Duration(k) * j.Period)
}

// Task returns the task that a reference names, or nil if there is none.
func (j *Job) Task(r Ref) *Task {
	if min(r.Occurrence, r.Step, r.Index) < 0 || r.Occurrence >= len(j.Tasks) || r.Step >= len(j.Steps) || r.Index >= j.Steps[r.Step].Tasks {
		return nil
	}
	return j.Tasks[r.Occurrence][r.Step][r.Index]
}

// Ready returns the waiting tasks of a step that may start now. It returns a gang only if all tasks of the gang wait.
func (j *Job) Ready(k, step int, now time.Time) []*Task {
	if j.IsTerminal() || now.Before(j.EarliestStart(k)) || !j.HasPredecessorsDone(k, step) {
		return nil
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

// HasPredecessorsDone reports whether all tasks of the steps before a step are done.
func (j *Job) HasPredecessorsDone(k, step int) bool {
	return !slices.ContainsFunc(j.Steps[step].After, func(a int) bool { return !j.isStepDone(k, a) })
}

func (j *Job) isStepDone(k, step int) bool {
	return !slices.ContainsFunc(j.Tasks[k][step], func(t *Task) bool { return t.State != TaskDone })
}

// RemainingCriticalPath returns the estimated duration of the longest chain of dependent unfinished steps in the occurrence.
func (j *Job) RemainingCriticalPath(k int, estimate func(*Step) time.Duration) time.Duration {
	return longestChain(j.Steps, func(i int) time.Duration {
		if j.isStepDone(k, i) {
			return 0
		}
		return estimate(&j.Steps[i])
	})
}

// RemainingFraction returns the unfinished fraction of the occurrence's estimated CPU work, from 0 to 1.
func (j *Job) RemainingFraction(k int, estimate func(*Step) time.Duration) float64 {
	var remaining, total float64
	for i := range j.Steps {
		s := &j.Steps[i]
		w := float64(estimate(s)) * float64(max(s.Size.MilliCPU, 1))
		for _, t := range j.Tasks[k][i] {
			total += w
			if t.State != TaskDone {
				remaining += w
			}
		}
	}
	if total == 0 {
		return 1
	}
	return remaining / total
}

// CriticalPath returns the estimated duration of the longest chain of dependent steps.
func CriticalPath(s []Step, estimate func(*Step) time.Duration) time.Duration {
	return longestChain(s, func(i int) time.Duration { return estimate(&s[i]) })
}

func longestChain(s []Step, length func(int) time.Duration) time.Duration {
	finishAt := make([]time.Duration, len(s))
	var longest time.Duration
	for i := range s {
		for _, a := range s[i].After {
			finishAt[i] = max(finishAt[i], finishAt[a])
		}
		finishAt[i] += length(i)
		longest = max(longest, finishAt[i])
	}
	return longest
}

// Assign starts a new attempt of a waiting task on a worker, and reports whether the task was allowed to start.
func (j *Job) Assign(t *Task, worker string, incarnation int64, now time.Time) bool {
	if t.State != TaskWaiting || j.IsTerminal() || now.Before(j.EarliestStart(t.Occurrence)) {
		return false
	}
	for _, a := range t.Spec.After {
		if !j.isStepDone(t.Occurrence, a) {
			return false
		}
	}
	t.State = TaskAssigned
	t.Run++
	t.Worker, t.Incarnation = worker, incarnation
	j.assigned++
	return true
}

// RecordStart records that a worker has started a task of the job, and reports whether no task had started before.
func (j *Job) RecordStart() bool {
	first := !j.Started
	j.Started = true
	return first
}

// AssignGang starts attempts with the same number for all tasks of a gang, and reports whether all tasks were allowed to
// start. workers and incarnations are in the order of the tasks.
func (j *Job) AssignGang(a []*Task, workers []string, incarnations []int64, now time.Time) bool {
	run := 0
	for _, t := range a {
		if t.State != TaskWaiting {
			return false
		}
		run = max(run, t.Run)
	}
	shareCheckpoint(a)
	for i, t := range a {
		t.Run = run
		if !j.Assign(t, workers[i], incarnations[i], now) {
			return false
		}
	}
	return true
}

// shareCheckpoint gives all tasks of a gang the checkpoint of one of them: all members of a run have to resume from the same one, and
// earlier versions stored one for each.
func shareCheckpoint(gang []*Task) {
	i := slices.IndexFunc(gang, func(t *Task) bool { return t.Checkpoint != "" })
	if i < 0 {
		return
	}
	for _, t := range gang {
		t.Checkpoint = gang[i].Checkpoint
	}
}

// Release returns a task to the waiting state; the assigned attempt must be known neither to run nor to start later.
func (j *Job) Release(t *Task) {
	if t.State != TaskAssigned {
		return
	}
	t.State = TaskWaiting
	t.Worker, t.Incarnation = "", 0
	j.assigned--
}

// FinishAttempt records the outcome of an attempt and reports whether it was the current attempt of the task.
func (j *Job) FinishAttempt(t *Task, run int, outcome AttemptOutcome, checkpoint string) bool {
	if t.State != TaskAssigned || t.Run != run {
		return false
	}
	j.Started = true
	if checkpoint != "" {
		j.RecordCheckpoint(t, checkpoint)
	}
	w := t.Worker
	j.Release(t)
	switch {
	case outcome == OutcomeDone && !t.Spec.LongRunning:
		j.completeTask(t)
	case outcome == OutcomeFailed:
		j.recordFailure(t, run, w)
	}
	return true
}

// RecordCheckpoint records a checkpoint of a task; the checkpoint of a gang member applies to the whole gang.
func (j *Job) RecordCheckpoint(t *Task, checkpoint string) {
	if !t.Spec.Gang {
		t.Checkpoint = checkpoint
		return
	}
	for _, o := range j.Tasks[t.Occurrence][t.Step] {
		o.Checkpoint = checkpoint
	}
}

// completeTask marks a task as done; the success of a gang member completes the whole gang.
func (j *Job) completeTask(t *Task) {
	for _, o := range j.Members(t) {
		if o.State == TaskDone {
			continue
		}
		j.Release(o)
		o.State = TaskDone
		o.Checkpoint = ""
		j.ClearSuspicion(o)
		j.doneTasks++
	}
	j.forgetFailedGangRuns(t)
}

// recordFailure records a failed attempt. It fails the job once MaxAttempts attempts of the task, or as many runs of its gang, have
// failed, unless the task is long-running or MaxAttempts is 0.
func (j *Job) recordFailure(t *Task, run int, worker string) {
	t.FailedAt = latest(append(t.FailedAt, worker))
	if t.Spec.Gang && !j.recordFailedGangRun(t, run) {
		return
	}
	t.Failures++
	n := j.failures(t)
	if !t.Spec.LongRunning && n >= j.Queue.MaxAttempts && j.Queue.MaxAttempts > 0 {
		j.fail(fmt.Sprintf("task %d.%d.%d: %d attempts failed, the latest at %s", t.Occurrence, t.Step, t.Index, n, worker))
	}
}

// fail fails the job for a reason that its caller is told.
func (j *Job) fail(reason string) {
	j.Failed, j.FailureReason = true, reason
	j.suspicionsChanged = true
}

// Cancel marks the job as cancelled unless it is terminal; assigned attempts stay assigned until they finish or are
// released.
func (j *Job) Cancel() {
	if !j.IsTerminal() {
		j.Cancelled = true
	}
}

// Compact drops the tasks of a terminal job that has no assigned attempt.
func (j *Job) Compact() {
	if !j.IsTerminal() || j.assigned > 0 {
		return
	}
	j.completed = j.State() == StateCompleted
	j.Tasks = nil
	j.unresolved = 0
	j.failedGangRuns = nil
}

// ForEachAssigned calls f for each task with an assigned attempt.
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

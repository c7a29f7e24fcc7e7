package jobs

import "slices"

const (
	// maxUnresolved bounds the unresolved attempts of a task, and maxStoredUnresolved the tasks with any in the record of a job.
	maxUnresolved       = 4
	maxStoredUnresolved = 1024
)

// UnresolvedAttempt is an attempt that was released when the lease of its worker had expired, and whose outcome is not known. It ends
// with the report of its outcome or with its task. It is stored with the job, by field names.
type UnresolvedAttempt struct {
	Run    int
	Worker string
}

// taskUnresolved is the stored form of the unresolved attempts of a task.
type taskUnresolved struct {
	Occurrence int
	Step       int
	Index      int
	Attempts   []UnresolvedAttempt
}

// RecordUnresolved records that the assigned attempt of a task is about to be released before its outcome is known. The failures of a
// long-running task are not limited, so that nothing is recorded of it.
func (j *Job) RecordUnresolved(t *Task) {
	if t.State != TaskAssigned || t.Spec.LongRunning || j.IsTerminal() {
		return
	}
	j.setUnresolved(t, append(t.Unresolved, UnresolvedAttempt{t.Run, t.Worker}))
}

// Resolve records that the outcome of an attempt has become known, and reports whether it was unresolved. A failure counts like one that
// is reported while its attempt is assigned.
func (j *Job) Resolve(t *Task, run int, worker string, outcome AttemptOutcome) bool {
	i := slices.Index(t.Unresolved, UnresolvedAttempt{run, worker})
	if i < 0 {
		return false
	}
	j.setUnresolved(t, slices.Delete(slices.Clone(t.Unresolved), i, i+1))
	if outcome == OutcomeFailed && !j.IsTerminal() && t.State != TaskDone {
		j.Started = true
		j.recordFailure(t, run, worker)
	}
	return true
}

// setUnresolved sets the unresolved attempts of a task to the latest ones of a list.
func (j *Job) setUnresolved(t *Task, l []UnresolvedAttempt) {
	l = l[max(0, len(l)-maxUnresolved):]
	j.unresolved += len(l) - len(t.Unresolved)
	t.Unresolved = l
	j.suspicionsChanged = true
}

// unresolvedRecords returns the unresolved attempts of at most maxStoredUnresolved tasks that are not done.
func (j *Job) unresolvedRecords() []taskUnresolved {
	if j.unresolved == 0 {
		return nil
	}
	var l []taskUnresolved
	for _, k := range j.Tasks {
		for _, s := range k {
			for _, t := range s {
				if len(t.Unresolved) > 0 && t.State != TaskDone && len(l) < maxStoredUnresolved {
					l = append(l, taskUnresolved{t.Occurrence, t.Step, t.Index, t.Unresolved})
				}
			}
		}
	}
	return l
}

// restoreUnresolved applies stored unresolved attempts; it ignores tasks that the job does not hold any more.
func (j *Job) restoreUnresolved(l []taskUnresolved) {
	for _, x := range l {
		if t := j.Task(Ref{j.ID, x.Occurrence, x.Step, x.Index}); t != nil {
			j.setUnresolved(t, x.Attempts)
		}
	}
	j.suspicionsChanged = false
}

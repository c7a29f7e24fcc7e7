package jobs

// CompleteReleased completes a task whose attempt succeeded after it was released. It does nothing unless the attempt was an
// earlier or the latest one of a task that waits, and no attempt of its gang is assigned. It reports whether the task is done.
func (j *Job) CompleteReleased(t *Task, run int) bool {
	if !j.HadAttempt(t, run) || j.HasAssigned(t) {
		return t.State == TaskDone
	}
	j.Started = true
	j.completeTask(t)
	return t.State == TaskDone
}

// HadAttempt reports whether a run-to-completion task of an unfinished job that is not done had an attempt with the given number.
func (j *Job) HadAttempt(t *Task, run int) bool {
	return !j.IsTerminal() && !t.Spec.LongRunning && t.State != TaskDone && run > 0 && run <= t.Run
}

// HasAssigned reports whether the task or a member of its gang has an assigned attempt.
func (j *Job) HasAssigned(t *Task) bool {
	for _, o := range j.Members(t) {
		if o.State == TaskAssigned {
			return true
		}
	}
	return false
}

// Members returns all tasks of the gang of a task, or the task alone.
func (j *Job) Members(t *Task) []*Task {
	if t.Spec.Gang {
		return j.Tasks[t.Occurrence][t.Step]
	}
	return []*Task{t}
}

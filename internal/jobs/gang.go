package jobs

import (
	"cmp"
	"slices"
)

// gang identifies the tasks of a step that run only together.
type gang struct {
	Occurrence int
	Step       int
}

// gangFailure is the stored number of the latest run of a gang in which a member failed.
type gangFailure struct {
	Occurrence int
	Step       int
	Run        int
}

// recordFailedGangRun records that a member of a gang failed in a run, and reports whether it was the first one: a run fails once,
// however many of its members do.
func (j *Job) recordFailedGangRun(t *Task, run int) bool {
	g := gang{t.Occurrence, t.Step}
	if j.failedGangRuns[g] >= run {
		return false
	}
	if j.failedGangRuns == nil {
		j.failedGangRuns = make(map[gang]int)
	}
	j.failedGangRuns[g] = run
	j.suspicionsChanged = true
	return true
}

// forgetFailedGangRuns drops what is known of the failed runs of the gang of a task, if any.
func (j *Job) forgetFailedGangRuns(t *Task) {
	g := gang{t.Occurrence, t.Step}
	if j.failedGangRuns[g] == 0 {
		return
	}
	delete(j.failedGangRuns, g)
	j.suspicionsChanged = true
}

// failures returns the number of failed attempts of a task, or of failed runs of its gang. Earlier versions counted each member that
// failed, so that the number of the latest run bounds what they stored.
func (j *Job) failures(t *Task) int {
	n := 0
	for _, o := range j.Members(t) {
		n += o.Failures
	}
	return min(n, t.Run)
}

// gangFailures returns the failed runs of the gangs for the record of the job.
func (j *Job) gangFailures() []gangFailure {
	var l []gangFailure
	for g, run := range j.failedGangRuns {
		l = append(l, gangFailure{g.Occurrence, g.Step, run})
	}
	slices.SortFunc(l, func(a, b gangFailure) int { return cmp.Or(a.Occurrence-b.Occurrence, a.Step-b.Step) })
	return l
}

// restoreGangFailures applies the record of the failed runs of the gangs; it ignores steps that the job does not hold.
func (j *Job) restoreGangFailures(l []gangFailure) {
	for _, x := range l {
		t := j.Task(Ref{j.ID, x.Occurrence, x.Step, 0})
		if t == nil || !t.Spec.Gang || x.Run <= 0 || x.Run > t.Run {
			continue
		}
		if j.failedGangRuns == nil {
			j.failedGangRuns = make(map[gang]int)
		}
		j.failedGangRuns[gang{x.Occurrence, x.Step}] = x.Run
	}
}

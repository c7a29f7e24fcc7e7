package jobs

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskState is the scheduling state of a task.
type TaskState uint8

// The states of a task.
const (
	// TaskWaiting means that the task has no attempt on any worker.
	TaskWaiting TaskState = iota
	// TaskAssigned means that the task has an attempt that runs, may run, or may still be started on its worker.
	TaskAssigned
	// TaskDone means that the task has succeeded; no further attempt starts.
	TaskDone
)

// AttemptOutcome is how an attempt finished.
type AttemptOutcome string

// The outcomes of attempts.
const (
	OutcomeDone    AttemptOutcome = "Done"
	OutcomeFailed  AttemptOutcome = "Failed"
	OutcomeStopped AttemptOutcome = "Stopped"
	// OutcomeExpired means that the lease of the worker expired.
	OutcomeExpired AttemptOutcome = "Expired"
	// OutcomePeerLost means that another member of the gang finished.
	OutcomePeerLost AttemptOutcome = "PeerLost"
	// OutcomeIncomplete means that the other members of the gang did not start in time.
	OutcomeIncomplete AttemptOutcome = "Incomplete"
)

// Ref identifies a task.
type Ref struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task name that workers use.
func (r Ref) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// refFields is the number of fields in a task name.
const refFields = 4

// ParseRef parses a task name, and reports whether it is valid.
func ParseRef(s string) (Ref, bool) {
	p := strings.Split(s, ".")
	if len(p) != refFields || !IsID(p[0]) {
		return Ref{}, false
	}
	var n [refFields]int
	for i := 1; i < refFields; i++ {
		v, err := strconv.Atoi(p[i])
		if err != nil || v < 0 {
			return Ref{}, false
		}
		n[i] = v
	}
	return Ref{p[0], n[1], n[2], n[3]}, true
}

// Task is one task of a job and its current attempt.
type Task struct {
	Ref
	Spec  *Step
	State TaskState
	// Run is the number of the current or latest attempt, 0 before the first.
	Run int
	// Failures is the number of failed attempts. Of the members of a gang that fail in the same run, only one counts it.
	Failures int
	// Checkpoint is the latest checkpoint, from which the next attempt resumes, empty if there is none.
	Checkpoint string
	// Worker and Incarnation identify the worker of the assigned attempt; they are empty and 0 if no attempt is assigned.
	Worker      string
	Incarnation int64
	// FailedAt lists the workers on which the latest attempts failed, so that the next attempt avoids these workers.
	FailedAt []string
	// Unresolved lists the latest attempts that were released before their outcome was known, at most maxUnresolved.
	Unresolved []UnresolvedAttempt
	// Suspicion is what counts against the task after workers were lost under it.
	Suspicion Suspicion
}

package jobs

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskState tells where a task stands.
type TaskState uint8

// The states of a task.
const (
	// TaskWaiting has no attempt at any worker.
	TaskWaiting TaskState = iota
	// TaskAssigned has an attempt that runs, may run, or may yet be started at its worker.
	TaskAssigned
	// TaskDone has ended with success, for good.
	TaskDone
)

// AttemptOutcome tells how an attempt ended.
type AttemptOutcome string

// The ends of attempts.
const (
	OutcomeDone    AttemptOutcome = "Done"
	OutcomeFailed  AttemptOutcome = "Failed"
	OutcomeStopped AttemptOutcome = "Stopped"
	// OutcomeExpired tells that the lease ended.
	OutcomeExpired AttemptOutcome = "Expired"
	// OutcomePeerLost tells that another member of the gang ended.
	OutcomePeerLost AttemptOutcome = "PeerLost"
	// OutcomeIncomplete tells that the other members of the gang did not arrive in time.
	OutcomeIncomplete AttemptOutcome = "Incomplete"
)

// Ref names a task.
type Ref struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name under which workers know the task.
func (r Ref) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// refParts is the number of parts of a task's name.
const refParts = 4

// ParseRef reads a task's name.
func ParseRef(s string) (Ref, bool) {
	p := strings.Split(s, ".")
	if len(p) != refParts || !IsID(p[0]) {
		return Ref{}, false
	}
	var n [refParts]int
	for i := 1; i < refParts; i++ {
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
	Spec       *Step
	State      TaskState
	Run        int
	Failures   int
	Checkpoint string
	// Worker and Life name the worker of the attempt and its incarnation; they are empty while no attempt is out.
	Worker      string
	Incarnation int64
	// FailedAt lists the workers where attempts failed, so that the next attempt goes elsewhere.
	FailedAt []string
}

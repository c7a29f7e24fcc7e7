package jobs

import (
	"bytes"
	"fmt"
	"io"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"currantknot.dev/currantknot/internal/msgpackcheck"
)

// RecordError reports a job record that cannot be decoded or is invalid.
type RecordError struct {
	// Kind is the kind of record: submission, progress or suspicion.
	Kind  string
	Cause error
}

// Error returns the kind of record and the cause.
func (e *RecordError) Error() string { return fmt.Sprintf("read %s record: %v", e.Kind, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// taskRecord is the stored state of a task that has had an attempt.
type taskRecord struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Occurrence  int
	Step        int
	Index       int
	State       TaskState
	Run         int
	Failures    int
	Checkpoint  string
	Worker      string
	Incarnation int64
	FailedAt    []string
}

// maxRuns is the highest number of a task's attempts or failures.
const maxRuns = 1 << 31

// isValid reports whether the record is in the range of what owners write.
func (x *taskRecord) isValid() bool {
	return x.State <= TaskDone && x.Run > 0 && x.Run <= maxRuns && x.Failures >= 0 && x.Failures <= x.Run && (x.State != TaskAssigned || x.Worker != "")
}

// progressRecord is the stored state of a job, from which a new owner resumes it.
type progressRecord struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Cancelled bool
	Failed    bool
	Completed bool
	Started   bool
	Tasks     []taskRecord
}

// specExtension holds what follows the spec in the record of a submission. It has field names, so that later versions can add
// fields; earlier versions do not read it.
type specExtension struct {
	Account   string `msgpack:",omitempty"`
	Confirmed bool   `msgpack:",omitempty"`
}

// EncodeSpec encodes the record of a submission. Fields are identified by their position, so that a version that adds a field to
// Spec, Step, Queue or Resources cannot read the records of an earlier one; new fields belong into specExtension.
func EncodeSpec(s *Spec) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(s); err != nil {
		return nil, fmt.Errorf("encode job %s: %w", s.ID, err)
	}
	x := specExtension{s.Account, s.Confirmed}
	if x == (specExtension{}) {
		return b.Bytes(), nil
	}
	if err := msgpack.NewEncoder(&b).Encode(&x); err != nil {
		return nil, fmt.Errorf("encode extension of job %s: %w", s.ID, err)
	}
	return b.Bytes(), nil
}

// DecodeSpec decodes and validates the record of a submission.
func DecodeSpec(b []byte) (Spec, error) {
	var s Spec
	var x specExtension
	if len(b) == 0 {
		return s, &RecordError{"submission", io.ErrUnexpectedEOF}
	}
	if err := msgpackcheck.UnmarshalSequence(b, &s, &x); err != nil {
		return s, &RecordError{"submission", err}
	}
	s.Account, s.Confirmed = x.Account, x.Confirmed
	if err := s.Check(); err != nil {
		return s, &RecordError{"submission", err}
	}
	return s, nil
}

// EncodeProgress encodes the record of the job's progress.
func (j *Job) EncodeProgress() ([]byte, error) {
	r := progressRecord{Cancelled: j.Cancelled, Failed: j.Failed, Completed: j.State() == StateCompleted, Started: j.Started}
	if !r.Completed {
		r.Tasks = j.taskRecords()
	}
	b, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, fmt.Errorf("encode progress of %s: %w", j.ID, err)
	}
	return b, nil
}

// taskRecords returns the tasks that have had an attempt; for a terminal job, only those with an assigned attempt.
func (j *Job) taskRecords() []taskRecord {
	var a []taskRecord
	terminal := j.IsTerminal()
	for _, k := range j.Tasks {
		for _, s := range k {
			for _, t := range s {
				if t.Run == 0 || terminal && t.State != TaskAssigned {
					continue
				}
				a = append(a, taskRecord{
					Occurrence: t.Occurrence, Step: t.Step, Index: t.Index, State: t.State, Run: t.Run, Failures: t.Failures,
					Checkpoint: t.Checkpoint, Worker: t.Worker, Incarnation: t.Incarnation, FailedAt: t.FailedAt,
				})
			}
		}
	}
	return a
}

// Restore rebuilds a job from its spec and its progress record.
func Restore(s Spec, b []byte) (*Job, error) {
	var r progressRecord
	if err := msgpackcheck.Unmarshal(b, &r); err != nil {
		return nil, &RecordError{"progress", err}
	}
	j := New(s)
	j.Cancelled, j.Failed, j.completed, j.Started = r.Cancelled, r.Failed, r.Completed, r.Started
	for _, x := range r.Tasks {
		t := j.Task(Ref{s.ID, x.Occurrence, x.Step, x.Index})
		if t == nil {
			return nil, &RecordError{"progress", fmt.Errorf("no task %d.%d.%d", x.Occurrence, x.Step, x.Index)}
		}
		if t.Run != 0 || !x.isValid() {
			return nil, &RecordError{"progress", fmt.Errorf("task %d.%d.%d is there twice or out of range", x.Occurrence, x.Step, x.Index)}
		}
		t.State, t.Run, t.Failures, t.Checkpoint = x.State, x.Run, x.Failures, x.Checkpoint
		t.Worker, t.Incarnation, t.FailedAt = x.Worker, x.Incarnation, x.FailedAt
		j.countTask(t)
	}
	j.Compact()
	return j, nil
}

// suspicionRecord is the stored state of a job that earlier versions do not know. It has field names, so that later versions
// can add fields, and is a record of its own, since earlier versions refuse a progress record with more fields.
type suspicionRecord struct {
	FailureReason string          `msgpack:",omitempty"`
	Tasks         []taskSuspicion `msgpack:",omitempty"`
	Gangs         []gangFailure   `msgpack:",omitempty"`
	// Unresolved holds the attempts whose outcomes are not known; earlier versions neither write nor read it.
	Unresolved []taskUnresolved `msgpack:",omitempty"`
}

// taskSuspicion is the stored suspicion of a task.
type taskSuspicion struct {
	Occurrence int
	Step       int
	Index      int
	Suspicion
}

// maxSuspicionBytes bounds the suspicions in the record of a job.
const maxSuspicionBytes = 512 << 10

// EncodeSuspicions encodes the record of the suspicions, the unresolved attempts, the failed runs of gangs and the failure of a job, nil if there is nothing to record. It reports
// whether they changed since the latest call. Of the suspicions, the record has those of most weight, up to maxSuspicionBytes.
func (j *Job) EncodeSuspicions() ([]byte, bool, error) {
	changed := j.suspicionsChanged
	j.suspicionsChanged = false
	r := suspicionRecord{FailureReason: j.FailureReason, Gangs: j.gangFailures(), Unresolved: j.unresolvedRecords()}
	j.ForEachSuspicion(func(t *Task) {
		r.Tasks = append(r.Tasks, taskSuspicion{t.Occurrence, t.Step, t.Index, t.Suspicion})
	})
	if r.FailureReason == "" && len(r.Tasks)+len(r.Gangs)+len(r.Unresolved) == 0 {
		return nil, changed, nil
	}
	b, err := r.encode()
	if err != nil {
		return nil, changed, fmt.Errorf("encode suspicions of %s: %w", j.ID, err)
	}
	return b, changed, nil
}

// encode encodes the record. Without all suspicions it is about maxSuspicionBytes long at most; what is left out, the next owner doesn't
// know.
func (r *suspicionRecord) encode() ([]byte, error) {
	b, err := msgpack.Marshal(r)
	if err != nil || len(b) <= maxSuspicionBytes {
		return b, err
	}
	slices.SortStableFunc(r.Tasks, func(a, b taskSuspicion) int { return b.compareWeight(&a.Suspicion) })
	size := 0
	for i := range r.Tasks {
		x, err := msgpack.Marshal(&r.Tasks[i])
		if err != nil {
			return nil, err
		}
		if size += len(x); size > maxSuspicionBytes {
			r.Tasks = r.Tasks[:i]
			break
		}
	}
	return msgpack.Marshal(r)
}

// RestoreSuspicions applies the record of the suspicions of a job; it ignores tasks that the job does not hold any more.
func (j *Job) RestoreSuspicions(b []byte) error {
	var r suspicionRecord
	if err := msgpackcheck.Unmarshal(b, &r); err != nil {
		return &RecordError{"suspicion", err}
	}
	j.FailureReason = r.FailureReason
	j.restoreGangFailures(r.Gangs)
	j.restoreUnresolved(r.Unresolved)
	for _, x := range r.Tasks {
		if t := j.Task(Ref{j.ID, x.Occurrence, x.Step, x.Index}); t != nil {
			t.Suspicion = x.Suspicion
			j.suspicions++
		}
	}
	return nil
}

// countTask adds a restored task to the counts of assigned and done tasks.
func (j *Job) countTask(t *Task) {
	switch t.State {
	case TaskAssigned:
		j.assigned++
	case TaskDone:
		j.doneTasks++
	case TaskWaiting:
	}
}

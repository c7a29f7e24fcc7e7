package jobs

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxPayloadBytes is the maximum size of a job's payload.
	MaxPayloadBytes = 4000
	// MaxTasks is the maximum number of tasks in one occurrence of a job.
	MaxTasks = 10000
	// MaxJobTasks is the maximum number of tasks in all occurrences of a job, whose state is kept as a whole.
	MaxJobTasks = 20000
	// MaxOccurrences is the maximum number of occurrences of a scheduled job.
	MaxOccurrences = 10000
	// MaxSize is the maximum of each resource that a task needs, so that sums over all tasks fit.
	MaxSize = 1 << 31
	// MaxSchedule is the maximum time from the first to the last occurrence of a scheduled job.
	MaxSchedule = 100 * 365 * 24 * time.Hour
)

// idPattern matches a job ID.
var idPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

// Resources is an amount of the resources of a worker.
type Resources struct {
	// MilliCPU is the CPU in thousandths of a core.
	MilliCPU     int
	MemoryMB     int
	Accelerators int
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// CanFit reports whether o fits into r.
func (r Resources) CanFit(o Resources) bool {
	return o.MilliCPU <= r.MilliCPU && o.MemoryMB <= r.MemoryMB && o.Accelerators <= r.Accelerators
}

// Queue is the policy under which a job was accepted.
type Queue struct {
	Name string
	// Pool is the pool of the workers that run the jobs of the queue.
	Pool string
	// Priority orders the jobs of all queues; the lowest value comes first.
	Priority int
	// MaxAttempts is the number of failed attempts of a task or gang after which the job fails, 0 for no limit. It does not
	// apply to long-running tasks.
	MaxAttempts int
	// Stretch and TargetLatency define the latency objective of a job: Stretch times its critical path, plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	// NeedsPermit means that a task may start only with a permit of the placement advisor.
	NeedsPermit bool
}

// Step is a set of identical tasks of a job.
type Step struct {
	// Tasks is the number of tasks in each occurrence, and Size the resources that each task needs.
	Tasks int
	Size  Resources
	// Estimate is the run time of a task as the caller estimates it, 0 if not given.
	Estimate time.Duration
	// After lists the earlier steps whose tasks must all be done before a task of this step starts.
	After []int
	// Checkpoints means that a stopped task resumes from its last checkpoint.
	Checkpoints bool
	// Gang means that all tasks start together and need each other to run. RackSensitive means that a gang is placed in one
	// rack if possible.
	Gang          bool
	RackSensitive bool
	// Label is the label that a worker must have, empty for any worker. DataRack is the label of the workers in the rack of the
	// step's data, which are preferred.
	Label    string
	DataRack string
	// MaxPerWorker is the maximum number of tasks of the step on one worker, 0 for no limit.
	MaxPerWorker int
	// Speculative is stored as the caller set it and has no effect.
	Speculative bool
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool
	// Image identifies the software that the tasks run; interference is estimated per pair of images.
	Image string
	// TailBound is the tail latency bound of a long-running task, 0 if there is none.
	TailBound time.Duration
	// BestEffort means that the tasks reserve no CPU and use only what other tasks leave idle.
	BestEffort bool
	// MaxUnavailable is the maximum number of tasks that maintenance may interrupt at a time, 0 for no limit.
	MaxUnavailable int
}

// Reserved returns the resources that a task of the step reserves on its worker.
func (s *Step) Reserved() Resources {
	r := s.Size
	if s.BestEffort {
		r.MilliCPU = 0
	}
	return r
}

// Spec is a job as its caller submitted it.
type Spec struct {
	ID string
	// Account is the client account that submitted the job, empty if none did. It is not encoded with the other fields, since
	// earlier versions cannot read a record with more of them.
	Account string `msgpack:"-"`
	// Confirmed means that an owner stored the submission again since another account submitted a job with the same ID later; such
	// a record prevails over all others. It is encoded as Account is.
	Confirmed bool `msgpack:"-"`
	Queue     Queue
	Payload   string
	Steps     []Step
	// Times is the number of occurrences of a scheduled job, 0 for a job that runs once.
	Times int
	// StartAt is the earliest start of the first occurrence of a scheduled job, and Period the time between two occurrences.
	StartAt     time.Time
	Period      time.Duration
	SubmittedAt time.Time
}

// Finding is one invalid field of a job spec and the reason.
type Finding struct {
	// Place is the path of the field, such as Steps[0].Size.
	Place  string
	Reason string
}

// maxFindings is the maximum number of findings in a SpecError. A job may have more of them than bytes would fit into a response.
const maxFindings = 20

// SpecError lists the first findings of an invalid job spec.
type SpecError struct {
	Findings []Finding
	// Omitted is the number of further findings.
	Omitted int
}

// Add adds a finding, or counts it if there are many.
func (e *SpecError) Add(place, format string, a ...any) {
	if len(e.Findings) == maxFindings {
		e.Omitted++
		return
	}
	e.Findings = append(e.Findings, Finding{place, fmt.Sprintf(format, a...)})
}

// Error returns the findings on one line.
func (e *SpecError) Error() string {
	a := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		a[i] = f.Place + ": " + f.Reason
	}
	if e.Omitted > 0 {
		a = append(a, fmt.Sprintf("and %d more", e.Omitted))
	}
	return "job: " + strings.Join(a, "; ")
}

// IsID reports whether s is a well-formed job ID.
func IsID(s string) bool { return idPattern.MatchString(s) }

// Check validates the spec and returns a *SpecError with the findings, or nil.
func (s *Spec) Check() error {
	var e SpecError
	add := e.Add
	if !IsID(s.ID) {
		add("ID", "is not 16 hexadecimal digits")
	}
	if len(s.Payload) > MaxPayloadBytes {
		add("Payload", "%d bytes are more than %d", len(s.Payload), MaxPayloadBytes)
	}
	if s.Times < 0 || s.Times > MaxOccurrences || s.Period < 0 || s.Period > MaxSchedule/time.Duration(max(s.Times, 1)) {
		add("Times", "is out of range")
	}
	if len(s.Steps) == 0 {
		add("Steps", "is empty")
	}
	n := 0
	for i := range s.Steps {
		s.Steps[i].check(i, add)
		n += max(s.Steps[i].Tasks, 0)
	}
	if n > MaxTasks {
		add("Steps", "%d tasks are more than %d", n, MaxTasks)
	} else if t := n * max(s.Times, 1); t > MaxJobTasks {
		add("Times", "%d tasks in all occurrences are more than %d", t, MaxJobTasks)
	}
	if len(e.Findings) > 0 {
		return &e
	}
	return nil
}

func (s *Step) check(i int, add func(place, format string, a ...any)) {
	p := "Steps[" + strconv.Itoa(i) + "]"
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		add(p+".Tasks", "%d is not between 1 and %d", s.Tasks, MaxTasks)
	}
	if s.Size.MilliCPU < 0 || s.Size.MemoryMB < 0 || s.Size.Accelerators < 0 {
		add(p+".Size", "is negative")
	}
	if max(s.Size.MilliCPU, s.Size.MemoryMB, s.Size.Accelerators) > MaxSize {
		add(p+".Size", "is more than %d", MaxSize)
	}
	if s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.Estimate < 0 || s.TailBound < 0 {
		add(p, "has a negative limit, estimate or bound")
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			add(p+".After", "%d is not an earlier step", a)
		}
	}
}

package jobs

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

const (
	// MaxPayloadBytes bounds the payload of a job.
	MaxPayloadBytes = 4000
	// MaxTasks bounds the tasks of one occurrence of a job.
	MaxTasks = 10000
	// MaxOccurrences bounds the occurrences of a scheduled job.
	MaxOccurrences = 10000
)

// idPattern is the form of a job's identity.
var idPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

// Resources are what a task holds of a worker.
type Resources struct {
	MilliCPU     int
	MemoryMB     int
	Accelerators int
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// CanFit tells whether o fits into r.
func (r Resources) CanFit(o Resources) bool {
	return o.MilliCPU <= r.MilliCPU && o.MemoryMB <= r.MemoryMB && o.Accelerators <= r.Accelerators
}

// Queue is the policy under which a job was accepted.
type Queue struct {
	Name        string
	Pool        string
	Priority    int
	MaxAttempts int
	// Stretch times the longest chain of work, plus TargetLatency, is the latency objective of a job.
	Stretch       float64
	TargetLatency time.Duration
	// NeedsPermit tells that a start needs a permit of the placement adviser.
	NeedsPermit bool
}

// Step is a number of equal tasks.
type Step struct {
	Tasks    int
	Size     Resources
	Estimate time.Duration
	// After lists the earlier steps whose tasks are all done before a task of this step starts.
	After []int
	// Checkpoints tells that a stopped task resumes where its last checkpoint left it.
	Checkpoints   bool
	Gang          bool
	RackSensitive bool
	Label         string
	DataRack      string
	MaxPerWorker  int
	Speculative   bool
	// LongRunning tells that the tasks run until the job is cancelled.
	LongRunning bool
	Image       string
	// TailBound is the bound on the tail latency of a long-running task, 0 where there is none.
	TailBound time.Duration
	// BestEffort tells that the tasks use processor time that others leave, and hold none.
	BestEffort bool
	// MaxUnavailable is the number of tasks that planned work may take away at a time.
	MaxUnavailable int
}

// Reserved returns what a task of the step holds of a worker.
func (s *Step) Reserved() Resources {
	r := s.Size
	if s.BestEffort {
		r.MilliCPU = 0
	}
	return r
}

// Spec is a job as a caller handed it in.
type Spec struct {
	ID      string
	Queue   Queue
	Payload string
	Steps   []Step
	// Times is the number of occurrences of a scheduled job, 0 for a job that runs once.
	Times       int
	StartAt     time.Time
	Period      time.Duration
	SubmittedAt time.Time
}

// Finding is one fault of a job and its place.
type Finding struct {
	Place  string
	Reason string
}

// SpecError lists all faults of a job.
type SpecError struct {
	Findings []Finding
}

// Error joins the findings.
func (e *SpecError) Error() string {
	a := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		a[i] = f.Place + ": " + f.Reason
	}
	return "job: " + strings.Join(a, "; ")
}

// IsID tells whether the text has the form of a job's identity.
func IsID(s string) bool { return idPattern.MatchString(s) }

// Check returns a *SpecError with all findings, or nil.
func (s *Spec) Check() error {
	var e SpecError
	add := func(place, format string, a ...any) {
		e.Findings = append(e.Findings, Finding{place, fmt.Sprintf(format, a...)})
	}
	if !IsID(s.ID) {
		add("ID", "is not 16 hexadecimal digits")
	}
	if len(s.Payload) > MaxPayloadBytes {
		add("Payload", "%d bytes are more than %d", len(s.Payload), MaxPayloadBytes)
	}
	if s.Times < 0 || s.Times > MaxOccurrences || s.Period < 0 {
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
	}
	if len(e.Findings) > 0 {
		return &e
	}
	return nil
}

func (s *Step) check(i int, add func(place, format string, a ...any)) {
	p := fmt.Sprintf("Steps[%d]", i)
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		add(p+".Tasks", "%d is not between 1 and %d", s.Tasks, MaxTasks)
	}
	if s.Size.MilliCPU < 0 || s.Size.MemoryMB < 0 || s.Size.Accelerators < 0 {
		add(p+".Size", "is negative")
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			add(p+".After", "%d is not an earlier step", a)
		}
	}
}

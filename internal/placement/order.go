package placement

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantknot.dev/currantknot/pkg/document"
)

// Fence identifies the owner that gives an order; a worker refuses an older epoch of a shard.
type Fence struct {
	Shard int
	Epoch uint64
}

// StartOrder asks a worker to run an attempt; a repeat of it has no further effect.
type StartOrder struct {
	Fence
	Worker  string
	Task    string
	Attempt int
	// Service is the name of the service that the task is a replica of, empty for batch.
	Service       string
	ClientAccount string
	Size          document.Size
	RunTime       time.Duration
	Checkpoint    string
	// StartBefore is the instant after which the worker refuses the order.
	StartBefore time.Time
	LeaseUntil  time.Time
}

// StopOrder asks a worker to checkpoint and end an attempt, and to refuse any later start of it.
type StopOrder struct {
	Fence
	Worker  string
	Task    string
	Attempt int
}

// SyncOrder renews the leases of a worker's tasks of one shard and asks for a report.
type SyncOrder struct {
	Fence
	Worker     string
	LeaseUntil time.Time
	// Forget lists ended attempts that the worker need not report again.
	Forget []TaskAttempt
	// Running is the digest of the attempts that the owner knows to run.
	Running Digest
	// Throttle lists the batch tasks that shall run at half speed.
	Throttle []string
}

// Digest identifies a set of attempts, whatever their order.
type Digest uint64

// Add returns the digest of the set with one attempt more.
func (d Digest) Add(t TaskAttempt) Digest {
	return d ^ Digest(xxhash.Sum64String(t.Task+"#"+strconv.Itoa(t.Attempt)))
}

// TaskAttempt names one attempt of a task.
type TaskAttempt struct {
	Task    string
	Attempt int
}

// TaskState is a worker's word on an attempt.
type TaskState string

// The states that a worker reports.
const (
	TaskRunning  TaskState = "Running"
	TaskFinished TaskState = "Finished"
	TaskFailed   TaskState = "Failed"
	// TaskStopped tells that the attempt ended on request or with its lease, and never runs again.
	TaskStopped TaskState = "Stopped"
	// TaskRefused tells that the attempt was not started and never will be.
	TaskRefused TaskState = "Refused"
)

// TaskReport is a worker's report on one attempt.
type TaskReport struct {
	TaskAttempt
	State      TaskState
	Checkpoint string
	Reason     string
}

// Usage is a lagging measurement of one task.
type Usage struct {
	Task string
	// MeasuredAt is the instant of the measurement.
	MeasuredAt time.Time
	Processors float64
	MemoryMiB  int
	// Slowdown is the task's time per unit of work relative to running alone.
	Slowdown float64
}

// WorkerReport is a worker's answer to a SyncOrder.
type WorkerReport struct {
	Worker string
	// Epoch is the newest epoch of the shard that the worker knows.
	Epoch uint64
	// SameRunning tells that the attempts of the order's digest are those that run and those that ended
	// after running since the last report; Tasks then leaves out those that run.
	SameRunning bool
	Tasks       []TaskReport
	Usage       []Usage
}

// Worker is one entry of the platform's lagging list of workers.
type Worker struct {
	Name          string
	FailureDomain string
	Rack          string
	Leaving       bool
	document.Size
}

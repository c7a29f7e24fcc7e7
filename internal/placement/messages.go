package placement

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantknot.dev/currantknot/pkg/document"
)

// Fence is the fencing token of an order: a worker refuses orders whose epoch is older than the latest that it has seen
// for the shard.
type Fence struct {
	Shard int
	Epoch uint64
}

// StartOrder asks a worker to run an attempt; it is idempotent.
type StartOrder struct {
	Fence
	Worker  string
	Task    string
	Attempt int
	// Service is the name of the service that the task is a replica of, empty for batch.
	Service       string
	ClientAccount string
	Size          document.Size
	// RunTime is the expected run time of the task, 0 for a replica of a service.
	RunTime time.Duration
	// Checkpoint is the task's latest checkpoint, empty if there is none.
	Checkpoint string
	// StartBefore is the instant from which the worker refuses the order.
	StartBefore time.Time
	// LeaseUntil is the expiry of the lease that the order grants.
	LeaseUntil time.Time
}

// StopOrder asks a worker to checkpoint and stop an attempt, and to refuse any later start of it.
type StopOrder struct {
	Fence
	Worker  string
	Task    string
	Attempt int
}

// SyncOrder renews the leases of the shard's tasks on a worker and requests a report.
type SyncOrder struct {
	Fence
	Worker     string
	LeaseUntil time.Time
	// Forget lists finished attempts that the worker no longer has to report.
	Forget []TaskAttempt
	// Running is the digest of the attempts that the owner knows to be running on the worker.
	Running Digest
	// Throttle lists the batch tasks that the worker must run at half speed.
	Throttle []string
}

// Digest is a hash of a set of attempts. The hash does not depend on the order of the attempts.
type Digest uint64

// Add returns the digest of the set extended by one attempt.
func (d Digest) Add(t TaskAttempt) Digest {
	return d ^ Digest(xxhash.Sum64String(t.Task+"#"+strconv.Itoa(t.Attempt)))
}

// TaskAttempt identifies one attempt of a task.
type TaskAttempt struct {
	Task    string
	Attempt int
}

// TaskState is the state of an attempt as its worker reports it.
type TaskState string

// The states of an attempt.
const (
	TaskRunning  TaskState = "Running"
	TaskFinished TaskState = "Finished"
	TaskFailed   TaskState = "Failed"
	// TaskStopped means that the attempt was stopped by an order or because its lease expired, and never runs again.
	TaskStopped TaskState = "Stopped"
	// TaskRefused means that the attempt was not started and never will be.
	TaskRefused TaskState = "Refused"
)

// TaskReport is a worker's report on one attempt.
type TaskReport struct {
	TaskAttempt
	State      TaskState
	Checkpoint string
	Reason     string
}

// Usage is a measurement of one task. It reaches the owner with a delay.
type Usage struct {
	Task string
	// MeasuredAt is the instant of the measurement.
	MeasuredAt time.Time
	Processors float64
	MemoryMiB  int
	// Slowdown is the task's time per unit of work divided by its time when it runs alone on the worker.
	Slowdown float64
}

// WorkerReport is a worker's response to a SyncOrder.
type WorkerReport struct {
	Worker string
	// Epoch is the newest epoch of the shard that the worker knows.
	Epoch uint64
	// SameRunning means that the order's Running equals the digest of the attempts that are running or have stopped
	// running since the worker's last report. Tasks then omits the running attempts.
	SameRunning bool
	Tasks       []TaskReport
	Usage       []Usage
}

// Worker is an entry of the platform's list of workers; the list may be out of date.
type Worker struct {
	Name          string
	FailureDomain string
	Rack          string
	Leaving       bool
	document.Size
}

package jobserve

import (
	"context"
	"time"

	"currantknot.dev/currantknot/internal/dispatch"
)

// Sync asks a worker for a report and renews its lease.
type Sync struct {
	Worker        string
	Address       string
	FailureDomain string
	// Incarnation is the incarnation whose ends are acknowledged.
	Incarnation  int64
	Fence        int64
	Acknowledged int64
	// LeaseUntil is the end of the lease on our clock; it is zero where none is granted.
	LeaseUntil time.Time
	// LongPollUntil is the instant until which the worker may wait for an end.
	LongPollUntil time.Time
}

// FencedOrder carries out an order with the owner's fence and a lease.
type FencedOrder struct {
	dispatch.Order
	Fence      int64
	LeaseUntil time.Time
}

// Workers calls workers; an error is a call without an answer, or one that a higher fence refused (ErrFenced).
type Workers interface {
	Sync(ctx context.Context, s Sync) (dispatch.Report, error)
	Execute(ctx context.Context, s FencedOrder) (dispatch.OrderResult, error)
	// SetWorkerCount tells for how many workers there will be calls.
	SetWorkerCount(workers int)
	// Forget drops what is known of the clock of a worker.
	Forget(worker string)
}

// Relays connects this instance with those that call workers for it, and with those for which it does.
type Relays interface {
	// Run serves until the context ends.
	Run(ctx context.Context) error
	// SetOwners names the addresses of the other instances that may own the jobs.
	SetOwners(addresses []string)
	// Leave makes the owners send no more calls; those under way are finished.
	Leave()
	// Relays returns the number of instances that call workers for this one.
	Relays() int
}

// Directory lists the workers as the platform knows them.
type Directory interface {
	ListWorkers(ctx context.Context) ([]dispatch.WorkerInfo, error)
}

// Adviser knows which workers may run a step of a queue that needs permits.
type Adviser interface {
	// Advise returns permits for those of the workers that may run the step, and until when they hold.
	Advise(ctx context.Context, s dispatch.StepRef, workers []string) ([]dispatch.Permit, time.Time, error)
}

// Maintenance orders the maintenance of instances.
type Maintenance interface {
	List(ctx context.Context) ([]dispatch.Instance, error)
	// Maintain takes an instance down; repeated for the same wave it has no further effect.
	Maintain(ctx context.Context, instance string, wave int, fence int64) (dispatch.OrderResult, error)
	// Report tells operators the state of a wave.
	Report(ctx context.Context, wave int, state string) error
}

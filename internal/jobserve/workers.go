package jobserve

import (
	"context"
	"time"

	"currantknot.dev/currantknot/internal/bootclock"
	"currantknot.dev/currantknot/internal/dispatch"
)

// Sync is a request to a worker for a report, which may also renew its lease.
type Sync struct {
	// PreparedAt is when the owner made the request, with the fencing token of that time; its report counts from then.
	PreparedAt    time.Time
	Worker        string
	Address       string
	FailureDomain string
	// Incarnation is the incarnation whose finished attempts are acknowledged, up to the number Acknowledged.
	Incarnation  int64
	Fence        int64
	Acknowledged int64
	// LeaseUntil is the expiry of the lease on this instance's clock, zero if the request grants no lease.
	LeaseUntil time.Time
	// LeaseCall is the planner's ID of the request if it grants a lease.
	LeaseCall uint64
	// LongPollUntil is the time until which the worker may wait for an attempt to finish before it responds.
	LongPollUntil time.Time
}

// FencedOrder is an order with the owner's fencing token.
type FencedOrder struct {
	dispatch.Order
	Fence int64
	// LeaseUntil is the expiry of the lease that a start order grants, zero for other orders.
	LeaseUntil time.Time
}

// Workers calls workers. An error means that the call got no usable response; ErrFenced means that the worker rejected the call
// because of a higher fencing token.
type Workers interface {
	Sync(ctx context.Context, s Sync) (dispatch.Report, error)
	Execute(ctx context.Context, s FencedOrder) (dispatch.OrderResult, error)
	// SetWorkerCount sets the number of workers that will be called.
	SetWorkerCount(workers int)
	// Forget drops what was recorded about a worker that is no longer called.
	Forget(worker string)
}

// Relays connects this instance with the instances that call workers for it, and with those for which it calls workers.
type Relays interface {
	// Run serves until the context ends.
	Run(ctx context.Context) error
	// SetOwners sets the addresses of the other instances that may own the jobs.
	SetOwners(addresses []string)
	// SetAppender sets the address of the instance that appends for others while the store is congested; it is empty if that is
	// this instance or none.
	SetAppender(address string)
	// SilentSince returns from when on a process that may own the jobs has not responded although this instance tried to reach
	// it, zero if it never responded.
	SilentSince(identity string) time.Time
	// RefusedSince returns from when on the instance of such a process has refused all connections, as it does once the process
	// has ended, zero if it has not.
	RefusedSince(identity string) time.Time
	// Leave tells the owners to send no more calls to this instance; calls in flight are completed.
	Leave()
	// Count returns the number of instances that call workers for this one.
	Count() int
}

// WorkerList is the list of the workers that the platform has registered.
type WorkerList struct {
	Workers []dispatch.WorkerInfo
	// Malformed is the number of entries that name no worker, since another writer made them.
	Malformed int
	// CurrentAt is the beginning of the latest read that reached the end of what the store held. Later changes may be missing.
	CurrentAt bootclock.Instant
}

// Directory lists the workers that the platform has registered.
type Directory interface {
	ListWorkers(ctx context.Context) (WorkerList, error)
}

// Advisor decides which workers may run a step of a queue that needs permits.
type Advisor interface {
	// Advise returns permits for those workers that may run the step, and the expiry of the permits.
	Advise(ctx context.Context, s dispatch.StepRef, workers []string) ([]dispatch.Permit, time.Time, error)
}

// Maintenance lists the platform's instances (machines) and orders their maintenance. A wave is an operator's request to
// maintain a set of instances, identified by its number.
type Maintenance interface {
	List(ctx context.Context) ([]dispatch.Instance, error)
	// Maintain takes an instance out of service; repeating the call for the same wave has no further effect.
	Maintain(ctx context.Context, instance string, wave int, fence int64) (dispatch.OrderResult, error)
	// Report publishes the state of a wave to operators.
	Report(ctx context.Context, wave int, state string) error
}

package dispatch

import "currantknot.dev/currantknot/internal/jobs"

// OrderKind tells what a worker shall do.
type OrderKind string

// The kinds of orders.
const (
	OrderStart    OrderKind = "Start"
	OrderStop     OrderKind = "Stop"
	OrderThrottle OrderKind = "Pace"
	// OrderAdvise asks which of the candidates may run a step.
	OrderAdvise OrderKind = "Advise"
	// OrderMaintain takes an instance down for its maintenance, and OrderReport tells operators the state of a wave.
	OrderMaintain OrderKind = "Maintain"
	OrderReport   OrderKind = "Report"
)

// Order is a call to a worker.
type Order struct {
	jobs.Ref
	Kind       OrderKind
	Run        int
	Worker     string
	Address    string
	Payload    string
	Checkpoint string
	// SpeedPercent is the share of its speed at which the task shall work.
	SpeedPercent int
	Permit       string
	Candidates   []string
	Instance     string
	Wave         int
	State        string
}

// OrderResult is the outcome of an order.
type OrderResult uint8

// The outcomes of an order.
const (
	// ResultAccepted tells that the order was carried out.
	ResultAccepted OrderResult = iota
	// ResultRefused tells that the order was not carried out and never will be.
	ResultRefused
	// ResultNoCapacity tells the same, for want of room.
	ResultNoCapacity
	// ResultUnhealthy tells the same, since the worker is not well.
	ResultUnhealthy
	// ResultUnknown tells that the order may have been carried out, or may yet be.
	ResultUnknown
)

// String returns the outcome in lower case, for logs and metrics.
func (a OrderResult) String() string {
	switch a {
	case ResultAccepted:
		return "accepted"
	case ResultRefused:
		return "refused"
	case ResultNoCapacity:
		return "no-room"
	case ResultUnhealthy:
		return "unhealthy"
	case ResultUnknown:
	}
	return "unknown"
}

package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

// OrderKind is the action that an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderStart    OrderKind = "Start"
	OrderStop     OrderKind = "Stop"
	OrderThrottle OrderKind = "Pace"
	// OrderAdvise asks the placement advisor which of the candidates may run a step.
	OrderAdvise OrderKind = "Advise"
	// OrderMaintain takes an instance down for its maintenance. OrderReport reports the state of a maintenance wave, which is
	// a set of instances to be maintained, to operators.
	OrderMaintain OrderKind = "Maintain"
	OrderReport   OrderKind = "Report"
)

// Order is a call that the owner has to make: to a worker, to the placement advisor, or for the maintenance of instances.
type Order struct {
	jobs.Ref
	Kind OrderKind
	// Run is the number of the attempt.
	Run     int
	Worker  string
	Address string
	// SendBefore is the time from which a start must not be sent, since what it rests on is too old then; zero is no bound.
	SendBefore time.Time
	// Incarnation is the worker's latest known incarnation when the start or the stop of an attempt was ordered, and 0 in other orders.
	Incarnation int64
	Payload     string
	Checkpoint  string
	// SpeedPercent is the speed limit of a best-effort task, in percent of its full speed.
	SpeedPercent int
	// Permit is the token that lets the worker run the step, empty where none is needed.
	Permit string
	// Candidates holds the worker IDs that the placement advisor is asked about.
	Candidates []string
	// Instance is the ID of the instance to be maintained, Wave the number of its maintenance wave, and State the state of the
	// wave that is reported.
	Instance string
	Wave     int
	State    string
}

// IsTooLate reports whether the order must not be sent any more.
func (o *Order) IsTooLate(now time.Time) bool {
	return !o.SendBefore.IsZero() && !now.Before(o.SendBefore)
}

// OrderResult is the response to an order, or the lack of one.
type OrderResult uint8

// The results of an order.
const (
	// ResultAccepted means that the receiver accepted the order; a stop or a maintenance may still be in progress.
	ResultAccepted OrderResult = iota
	// ResultRefused means that the order was not executed and will not be executed later, for another reason than those
	// below.
	ResultRefused
	// ResultNoCapacity means that the worker refused the order for lack of free capacity.
	ResultNoCapacity
	// ResultUnhealthy means that the worker is unhealthy and refused the order.
	ResultUnhealthy
	// ResultUnknown means that the order may have been executed, or may still be executed.
	ResultUnknown
	// ResultNotSent means that this instance did not send the order.
	ResultNotSent
)

// String returns the result in lower case, for logs and metrics.
func (r OrderResult) String() string {
	switch r {
	case ResultAccepted:
		return "accepted"
	case ResultRefused:
		return "refused"
	case ResultNoCapacity:
		return "no-room"
	case ResultUnhealthy:
		return "unhealthy"
	case ResultNotSent:
		return "not-sent"
	case ResultUnknown:
	}
	return "unknown"
}

package dispatch

import "currantknot.dev/currantknot/internal/jobs"

// OrderKind tells what a worker shall do.
type OrderKind string

// The kinds of orders.
const (
	OrderStart OrderKind = "Start"
	OrderStop  OrderKind = "Stop"
	OrderPace  OrderKind = "Pace"
	// OrderAdvise asks which of the candidates may run a step.
	OrderAdvise OrderKind = "Advise"
	// OrderMaintain takes an instance down for its maintenance, and OrderReport tells operators the state of a wave.
	OrderMaintain OrderKind = "Maintain"
	OrderReport   OrderKind = "Report"
)

// Order is a call to a worker.
type Order struct {
	jobs.Ref
	Kind    OrderKind
	Run     int
	Worker  string
	Address string
	Payload string
	Saved   string
	// Percent is the share of its speed at which the task shall work.
	Percent    int
	Permit     string
	Candidates []string
	Instance   string
	Wave       int
	State      string
}

// Answer is the outcome of an order.
type Answer uint8

// The outcomes of an order.
const (
	// AnswerAccepted tells that the order was carried out.
	AnswerAccepted Answer = iota
	// AnswerRefused tells that the order was not carried out and never will be.
	AnswerRefused
	// AnswerNoRoom tells the same, for want of room.
	AnswerNoRoom
	// AnswerUnhealthy tells the same, since the worker is not well.
	AnswerUnhealthy
	// AnswerUnknown tells that the order may have been carried out, or may yet be.
	AnswerUnknown
)

// String returns the outcome in lower case, for logs and metrics.
func (a Answer) String() string {
	switch a {
	case AnswerAccepted:
		return "accepted"
	case AnswerRefused:
		return "refused"
	case AnswerNoRoom:
		return "no-room"
	case AnswerUnhealthy:
		return "unhealthy"
	case AnswerUnknown:
	}
	return "unknown"
}

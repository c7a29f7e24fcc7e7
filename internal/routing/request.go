package routing

import (
	"fmt"
	"time"
)

// Request holds the properties of a caller's request that the router uses.
type Request struct {
	ID            uint64
	Service       string
	ClientAccount string
	ArrivedAt     time.Time
	Deadline      time.Time
	// Tried lists the upstreams of earlier attempts. The request is not sent to them again.
	Tried []string
	// Decision receives the decision on a request that waits. It must have a buffer of one.
	Decision chan Decision
	// NoWait means that the request is refused if no slot is free on arrival.
	NoWait bool
}

// Decision either binds a request to an upstream or refuses it: exactly one of Upstream and Refusal is set.
type Decision struct {
	Request  *Request
	Upstream *Target
	Refusal  *RefusalError
}

// Target identifies the upstream that a request is bound to.
type Target struct {
	Name    string
	Address string
	// Reason is a short explanation of the choice of this upstream.
	Reason string
}

// RefusalReason is the reason why a request was not run.
type RefusalReason string

// Reasons for a refusal.
const (
	// RefusedUnknownService means that the document has no such service.
	RefusedUnknownService RefusalReason = "UnknownService"
	// RefusedNoUpstream means that the service has no upstreams or that all of them are ejected or draining.
	RefusedNoUpstream RefusalReason = "NoUpstream"
	// RefusedOverload means that the expected wait in the queue leaves too little time until the deadline.
	RefusedOverload RefusalReason = "Overload"
	// RefusedLimit means that the client account exceeds its request rate.
	RefusedLimit RefusalReason = "Limit"
	// RefusedDeadline means that the request waited until too little time was left, or that its caller cancelled it.
	RefusedDeadline RefusalReason = "Deadline"
	// RefusedBusy means that no slot was free for a request with NoWait.
	RefusedBusy RefusalReason = "Busy"
)

// RefusalError reports a request that was not run and the time from which it may be retried.
type RefusalError struct {
	Reason  RefusalReason
	RetryAt time.Time
}

// Error returns a message with the reason.
func (e *RefusalError) Error() string { return fmt.Sprintf("request not run: %s", e.Reason) }

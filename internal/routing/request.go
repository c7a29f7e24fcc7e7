package routing

import (
	"fmt"
	"time"
)

// Request is what the router needs to know of a caller's request.
type Request struct {
	ID            uint64
	Service       string
	ClientAccount string
	ArrivedAt     time.Time
	Deadline      time.Time
	// Tried lists upstreams that the request shall not be sent to again.
	Tried []string
	// Verdict receives the verdict on a request that waits; it holds one.
	Verdict chan Verdict
	// NoWait tells that the request is to be refused where no slot is free at once.
	NoWait bool
}

// Verdict tells what becomes of a request: exactly one of Upstream and Refusal is set.
type Verdict struct {
	Request  *Request
	Upstream *Target
	Refusal  *RefusalError
}

// Target is the upstream that a request is bound to.
type Target struct {
	Name    string
	Address string
	// Reason tells in short why this upstream was chosen.
	Reason string
}

// RefusalReason tells why a request was not run.
type RefusalReason string

// The reasons of a refusal.
const (
	RefusedUnknownService RefusalReason = "UnknownService"
	RefusedNoUpstream     RefusalReason = "NoUpstream"
	RefusedOverload       RefusalReason = "Overload"
	RefusedLimit          RefusalReason = "Limit"
	RefusedDeadline       RefusalReason = "Deadline"
	RefusedBusy           RefusalReason = "Busy"
)

// RefusalError reports a request that was not run and when to come back.
type RefusalError struct {
	Reason  RefusalReason
	RetryAt time.Time
}

// Error names the reason.
func (e *RefusalError) Error() string { return fmt.Sprintf("request not run: %s", e.Reason) }

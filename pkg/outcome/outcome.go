package outcome

import "time"

// HTTP headers that the system reads and sets.
const (
	// Header holds the outcome of a request that got no response from an upstream.
	Header = "Currantknot-Outcome"
	// RequestIDHeader holds the ID of the request, by which operators find the decisions about the request. Every response
	// has this header.
	RequestIDHeader = "Currantknot-Request"
	// DeadlineHeader holds the time until which the caller waits, in RFC 3339 with fractional seconds.
	DeadlineHeader = "Currantknot-Deadline"
	// ClientAccountHeader holds the client account of the caller.
	ClientAccountHeader = "Client-Account"
	// IdempotencyKeyHeader holds the idempotency key. Of all non-idempotent requests with the same key, service and client
	// account, at most one is executed, as long as the instances store the key.
	IdempotencyKeyHeader = "Idempotency-Key"
)

// Outcome says whether a request without a response from an upstream was executed.
type Outcome string

// The possible outcomes.
const (
	// NotRun means that no byte of the request was sent to an upstream.
	NotRun Outcome = "NotRun"
	// Unknown means that an upstream may have executed the request.
	Unknown Outcome = "Unknown"
)

// Failure is the body of a response that reports an outcome.
type Failure struct {
	Outcome Outcome
	Reason  string
	// Request is the ID of the request, as in RequestIDHeader.
	Request string
	// RetryAt is the time from which the request may be sent again, if it was not run or if another request with the same
	// idempotency key may still be running. It is zero if there is no such time.
	RetryAt time.Time
}

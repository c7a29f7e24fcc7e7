package outcome

import "time"

// The headers that the system reads and sets.
const (
	// Header carries the outcome of a request that got no answer from an upstream.
	Header = "Currantknot-Outcome"
	// RequestHeader carries the identity of a request for operators, set on every answer.
	RequestHeader = "Currantknot-Request"
	// DeadlineHeader carries the instant until which the caller waits, in RFC 3339 with fractions.
	DeadlineHeader = "Currantknot-Deadline"
	// AccountHeader names the client account of the caller.
	AccountHeader = "Client-Account"
	// KeyHeader makes repeats of a non-idempotent request run at most once together.
	KeyHeader = "Idempotency-Key"
)

// Outcome tells whether a request without an answer was run.
type Outcome string

// The outcomes.
const (
	NotRun  Outcome = "NotRun"
	Unknown Outcome = "Unknown"
)

// Failure is the body of an answer that tells an outcome.
type Failure struct {
	Outcome Outcome
	Reason  string
	Request string
	RetryAt time.Time
}

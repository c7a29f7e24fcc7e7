package limits

import "time"

// Reason is why a connection is closed or a request is refused, as the value of a label.
type Reason string

// The reasons.
const (
	// ReasonConnections means that there are as many connections as the listener may have.
	ReasonConnections Reason = "connections"
	// ReasonMemory means that the requests in progress take as much memory as they may.
	ReasonMemory Reason = "memory"
	// ReasonJobs means that the jobs that are not finished take as much memory as they may.
	ReasonJobs Reason = "jobs"
	// ReasonKeys means that the idempotency keys take as much memory as they may.
	ReasonKeys Reason = "keys"
	// ReasonDisplaced means that a connection made the least progress while there was no room for another request.
	ReasonDisplaced Reason = "displaced"
	// ReasonLargeHead means that a head is larger than HeadBytes.
	ReasonLargeHead Reason = "large_head"
	// ReasonSlowHead means that a head was not complete in time.
	ReasonSlowHead Reason = "slow_head"
	// ReasonIdle means that no request followed in time.
	ReasonIdle Reason = "idle"
	// ReasonStalledBody means that a body stopped, and ReasonSlowBody that it was slow or took too long.
	ReasonStalledBody Reason = "stalled_body"
	ReasonSlowBody    Reason = "slow_body"
	// ReasonUnreadAnswer means that a client did not read its answer, or did not end its request after it.
	ReasonUnreadAnswer Reason = "unread_answer"
)

// RetryAfter is the time after which a refused client may try again: room is found then, if only by closing connections that make no
// progress.
const RetryAfter = time.Second

// RefusedError reports that there is no room for a connection or a request. Nothing of the request was done.
type RefusedError struct {
	Reason Reason
}

// Error names the reason.
func (e *RefusedError) Error() string { return "no room for the request: " + string(e.Reason) }

// Closing is a connection that is to be closed, and why.
type Closing struct {
	ID     ID
	Reason Reason
	Phase  Phase
	// Received is the number of bytes of the head or body so far, and Since the beginning of the phase.
	Received int
	Since    time.Time
}

package lease

import (
	"slices"
	"time"
)

// MaxLateness is the longest time after the sending of a call without a response in which a worker may execute it.
const MaxLateness = 12 * time.Second

// Reason is why a call granted a lease.
type Reason string

// The reasons.
const (
	// ReasonStart is the start of an attempt, and ReasonSync the renewal of the lease.
	ReasonStart Reason = "Start"
	ReasonSync  Reason = "Sync"
	// ReasonEarlierOwner stands for all calls of earlier owners.
	ReasonEarlierOwner Reason = "EarlierOwner"
)

// EarlierFence is a fencing token below those of all calls of an owner; calls of earlier owners have it.
const EarlierFence = -1

// Call is a call that grants a lease.
type Call struct {
	// ID tells the calls to a worker apart.
	ID     uint64
	Reason Reason
	// Incarnation is the incarnation of the worker by whose clock the lease is dated, 0 if it is not known.
	Incarnation int64
	// Fence is the fencing token of the call.
	Fence  int64
	SentAt time.Time
	// EndsAt is when the call is over: no incarnation of the worker executes it from then on.
	EndsAt time.Time
	// refusedBy is the incarnation that refuses the call, since it has responded to one with a higher token.
	refusedBy int64
}

// Response is what a response of a worker tells about the calls to it.
type Response struct {
	// Incarnation is the incarnation that responded, to a call with the fencing token Fence that was sent at RequestedAt.
	Incarnation int64
	Fence       int64
	RequestedAt time.Time
	// Call is the ID of the call to which the incarnation responded, 0 if that granted no lease.
	Call uint64
	// At is when the response arrived.
	At time.Time
}

// Calls are the calls to a worker that may still be executed, or that an incarnation may have executed whose lease has not ended. The zero
// value has none.
type Calls struct {
	list   []Call
	lastID uint64
}

// Add adds a call that is about to be sent, and returns its ID.
func (c *Calls) Add(x Call) uint64 {
	c.lastID++
	x.ID = c.lastID
	c.list = append(c.list, x)
	return x.ID
}

// Contains reports whether there is a call for a reason that is dated by an incarnation.
func (c *Calls) Contains(r Reason, incarnation int64) bool {
	return slices.ContainsFunc(c.list, func(x Call) bool { return x.Reason == r && x.Incarnation == incarnation })
}

// Answered records that a call got a response, so that no incarnation executes it any more.
func (c *Calls) Answered(id uint64, at time.Time) {
	for i := range c.list {
		if x := &c.list[i]; x.ID == id && at.Before(x.EndsAt) {
			x.EndsAt = at
		}
	}
}

// Misdated returns the calls that an incarnation of the worker may have executed by the given time although they are dated by the clock
// of another one.
func (c *Calls) Misdated(incarnation int64) []Call {
	var l []Call
	for _, x := range c.list {
		if x.Incarnation != incarnation && x.refusedBy != incarnation {
			l = append(l, x)
		}
	}
	return l
}

// Respond returns the calls that the incarnation that responded may have executed although they are dated by the clock of another one.
// It returns each of them to the first response that ends the doubt, and to those before it.
func (c *Calls) Respond(r Response) []Call {
	c.Answered(r.Call, r.At)
	c.list = slices.DeleteFunc(c.list, func(x Call) bool {
		return x.Incarnation == r.Incarnation && (x.ID == r.Call || r.RequestedAt.After(x.EndsAt))
	})
	l := c.Misdated(r.Incarnation)
	for i := range c.list {
		if x := &c.list[i]; x.Fence < r.Fence || x.Fence == EarlierFence {
			x.refusedBy = r.Incarnation
		}
	}
	return l
}

// Forget drops the calls that are over and whose leases have ended, given the longest lease that a worker accepts.
func (c *Calls) Forget(maxLease time.Duration, now time.Time) {
	c.list = slices.DeleteFunc(c.list, func(x Call) bool { return !now.Before(x.EndsAt.Add(maxLease)) })
}

// Len returns the number of the calls.
func (c *Calls) Len() int { return len(c.list) }

// ExecutedBy returns the latest time by now at which a worker may have executed a call.
func (x *Call) ExecutedBy(now time.Time) time.Time {
	if now.Before(x.EndsAt) {
		return now
	}
	return x.EndsAt
}

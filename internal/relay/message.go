package relay

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/bootclock"
	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/jobserve"
	"currantknot.dev/currantknot/internal/storepath"
)

// Hello introduces a relay to an owner.
type Hello struct {
	Name          string
	FailureDomain string
}

// toRelay is a frame from an owner to a relay.
type toRelay struct {
	// Echo is the send time of the ping that this frame responds to, by the relay's boot clock. OwnerTime is the send time of
	// this frame, by the owner's boot clock. Both are 0 in a frame that responds to no ping.
	Echo      time.Duration `msgpack:",omitempty"`
	OwnerTime time.Duration `msgpack:"At,omitempty"`
	// Reach is in a response to a ping whether the sender reaches the store; earlier versions neither send nor read it.
	Reach storepath.Reach `msgpack:",omitempty"`
	// Commit is in a response to a ping which commit of an owner the sender has seen; earlier versions neither send nor read it.
	Commit *seenCommit `msgpack:",omitempty"`
	// Owner is the owner's identity in the first response of a connection, and empty later.
	Owner    string         `msgpack:",omitempty"`
	Calls    []call         `msgpack:",omitempty"`
	Appended []appendResult `msgpack:",omitempty"`
	// Appends are appends through the relay; only a relay that says that it reaches the store gets any.
	Appends []appendRequest `msgpack:",omitempty"`
}

// toOwner is a frame from a relay to an owner.
type toOwner struct {
	// Ping is the send time of this frame, by the relay's boot clock, if the frame requests a pong, and 0 otherwise.
	Ping  time.Duration `msgpack:",omitempty"`
	Hello *Hello        `msgpack:",omitempty"`
	// Leaving means that the relay is shutting down and accepts no more calls.
	Leaving   bool       `msgpack:",omitempty"`
	Responses []response `msgpack:"Answers,omitempty"`
	// Partial holds the IDs of the calls whose responses may leave finished attempts out; earlier versions neither send nor read it.
	Partial []uint64 `msgpack:",omitempty"`
	// OverlongLeases holds the IDs of the calls whose responses have an overlong lease; earlier versions neither send nor read it.
	OverlongLeases []uint64        `msgpack:",omitempty"`
	Appends        []appendRequest `msgpack:",omitempty"`
	// Reach is in a ping whether the relay reaches the store; earlier versions neither send nor read it.
	Reach storepath.Reach `msgpack:",omitempty"`
	// Commit is in a ping which commit of an owner the relay has seen; earlier versions neither send nor read it.
	Commit   *seenCommit    `msgpack:",omitempty"`
	Appended []appendResult `msgpack:",omitempty"`
}

// setResponses sets the responses of a frame.
func (m *toOwner) setResponses(l []response) {
	m.Responses = l
	for i := range l {
		if l[i].moreFinished {
			m.Partial = append(m.Partial, l[i].ID)
		}
		if l[i].overlongLease {
			m.OverlongLeases = append(m.OverlongLeases, l[i].ID)
		}
	}
}

// responses returns the responses of a frame that was read.
func (m *toOwner) responses() []response {
	for i := range m.Responses {
		r := &m.Responses[i]
		r.moreFinished = slices.Contains(m.Partial, r.ID)
		r.overlongLease = slices.Contains(m.OverlongLeases, r.ID)
	}
	return m.Responses
}

// seenCommit is jobserve.SeenCommit on the wire.
type seenCommit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Epoch    int64
	SentAt   time.Duration
	Age      time.Duration
}

// Commits holds which commits of owners this instance has seen.
type Commits interface {
	SeenCommit() jobserve.SeenCommit
	Learn(x jobserve.SeenCommit)
}

// sendCommit returns what this instance has seen for a frame, nil if there is nothing.
func sendCommit(c Commits) *seenCommit {
	if c == nil {
		return nil
	}
	x := c.SeenCommit()
	if x.Epoch == 0 {
		return nil
	}
	return &seenCommit{Epoch: x.Epoch, SentAt: x.SentAt, Age: x.Age}
}

// learnCommit records what the sender of a frame has seen.
func learnCommit(c Commits, x *seenCommit) {
	if c != nil && x != nil {
		c.Learn(jobserve.SeenCommit{Epoch: x.Epoch, SentAt: x.SentAt, Age: x.Age})
	}
}

// call is one call to a worker; its instants are on the owner's boot clock, 0 for none.
type call struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	ID       uint64
	// Deadline is the instant from which the relay does not start the call, and at which it cancels a started one.
	Deadline      time.Duration
	LeaseUntil    time.Duration
	LongPollUntil time.Duration
	Worker        string
	Address       string
	// Incarnation is that of the worker as the owner knows it; earlier versions neither send nor read it in a call with an order.
	Incarnation  int64
	Fence        int64
	Acknowledged int64
	// Order is nil for a sync.
	Order *order
}

// order holds the fields of a dispatch.Order that a call to a worker needs and that the type call does not have.
type order struct {
	_msgpack     struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Kind         dispatch.OrderKind
	Ref          jobs.Ref
	Run          int
	Payload      string
	Checkpoint   string
	SpeedPercent int
	Permit       string
}

// response is the response to a call.
type response struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	ID       uint64
	// Failure says why there is no result from the worker; it is empty if there is one.
	Failure string
	// Fenced means that the worker rejected the call because it has seen a higher fencing token.
	Fenced      bool
	Result      dispatch.OrderResult
	Incarnation int64
	Running     []runningAttempt
	Finished    []finishedAttempt

	// moreFinished and overlongLease are those of dispatch.Report. They are not among the fields on the wire, whose number must not
	// change; the frame names them by the ID of the call.
	moreFinished  bool
	overlongLease bool
}

// runningAttempt is dispatch.RunningAttempt on the wire.
type runningAttempt struct {
	_msgpack        struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Ref             jobs.Ref
	Run             int
	Checkpoint      string
	ProgressPercent int
	Sample          float64
}

// finishedAttempt is dispatch.FinishedAttempt on the wire.
type finishedAttempt struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Ref        jobs.Ref
	Number     int64
	Run        int
	Outcome    jobs.AttemptOutcome
	Checkpoint string
}

// bootTime converts an instant to this instance's boot clock; the zero time becomes 0.
func bootTime(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return bootclock.Now() + time.Until(t)
}

func syncCall(s jobserve.Sync, until time.Time) call {
	return call{
		Deadline: bootTime(until), LeaseUntil: bootTime(s.LeaseUntil), LongPollUntil: bootTime(s.LongPollUntil),
		Worker: s.Worker, Address: s.Address, Incarnation: s.Incarnation, Fence: s.Fence, Acknowledged: s.Acknowledged,
	}
}

func orderCall(s jobserve.FencedOrder, until time.Time) call {
	return call{
		Deadline: bootTime(until), LeaseUntil: bootTime(s.LeaseUntil), Worker: s.Worker, Address: s.Address, Incarnation: s.Incarnation, Fence: s.Fence,
		Order: &order{
			Kind: s.Kind, Ref: s.Ref, Run: s.Run, Payload: s.Payload, Checkpoint: s.Checkpoint, SpeedPercent: s.SpeedPercent, Permit: s.Permit,
		},
	}
}

// toSync converts a call without an order, with its instants on this instance's clock.
func (c *call) toSync(k *clock) jobserve.Sync {
	return jobserve.Sync{
		Worker: c.Worker, Address: c.Address, Incarnation: c.Incarnation, Fence: c.Fence, Acknowledged: c.Acknowledged,
		LeaseUntil: k.relayTime(c.LeaseUntil), LongPollUntil: k.relayTime(c.LongPollUntil),
	}
}

// toOrder converts a call with an order, with its lease expiry on this instance's clock.
func (c *call) toOrder(k *clock) jobserve.FencedOrder {
	o := c.Order
	return jobserve.FencedOrder{
		Order: dispatch.Order{
			Ref: o.Ref, Kind: o.Kind, Run: o.Run, Worker: c.Worker, Address: c.Address, Incarnation: c.Incarnation,
			Payload: o.Payload, Checkpoint: o.Checkpoint, SpeedPercent: o.SpeedPercent, Permit: o.Permit,
		},
		Fence: c.Fence, LeaseUntil: k.relayTime(c.LeaseUntil),
	}
}

func (r *response) setReport(report dispatch.Report) {
	r.Incarnation, r.moreFinished, r.overlongLease = report.Incarnation, report.MoreFinished, report.OverlongLease
	r.Running = make([]runningAttempt, len(report.Running))
	for i, x := range report.Running {
		r.Running[i] = runningAttempt{Ref: x.Ref, Run: x.Run, Checkpoint: x.Checkpoint, ProgressPercent: x.ProgressPercent, Sample: x.Sample}
	}
	r.Finished = make([]finishedAttempt, len(report.Finished))
	for i, x := range report.Finished {
		r.Finished[i] = finishedAttempt{Ref: x.Ref, Number: x.Number, Run: x.Run, Outcome: x.Outcome, Checkpoint: x.Checkpoint}
	}
}

// report converts the response to a sync that was requested at the given instant. A list as long as a page may be partial, whatever the
// relay says; a page of 0 is without end.
func (r *response) report(worker string, requestedAt time.Time, page int) dispatch.Report {
	report := dispatch.Report{Worker: worker, Incarnation: r.Incarnation, RequestedAt: requestedAt, OverlongLease: r.overlongLease, MoreFinished: r.moreFinished || page > 0 && len(r.Finished) >= page}
	for _, x := range r.Running {
		report.Running = append(report.Running, dispatch.RunningAttempt{Ref: x.Ref, Run: x.Run, Checkpoint: x.Checkpoint, ProgressPercent: x.ProgressPercent, Sample: x.Sample})
	}
	for _, x := range r.Finished {
		report.Finished = append(report.Finished, dispatch.FinishedAttempt{Ref: x.Ref, Number: x.Number, Run: x.Run, Outcome: x.Outcome, Checkpoint: x.Checkpoint})
	}
	return report
}

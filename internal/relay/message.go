package relay

import (
	"time"

	"currantknot.dev/currantknot/internal/bootclock"
	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/jobserve"
)

// Hello names a relay to an owner.
type Hello struct {
	Name          string
	FailureDomain string
}

// toRelay is a frame to a relay; the times are on the owner's clock.
type toRelay struct {
	// Echo is the relay's time of the ping that At answers, on the relay's clock; both are 0 where no ping is answered.
	Echo  time.Duration `msgpack:",omitempty"`
	At    time.Duration `msgpack:",omitempty"`
	Calls []call        `msgpack:",omitempty"`
}

// toOwner is a frame to an owner.
type toOwner struct {
	// Ping is the relay's time, 0 where no answer is wanted.
	Ping  time.Duration `msgpack:",omitempty"`
	Hello *Hello        `msgpack:",omitempty"`
	// Leaving tells that the relay stops and wants no more calls.
	Leaving bool     `msgpack:",omitempty"`
	Answers []answer `msgpack:",omitempty"`
}

// call is one call to a worker; the times are on the owner's clock, 0 where there is none.
type call struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	ID       uint64
	// Until is the instant after which the call is not made, and its answer no longer waited for.
	Until        time.Duration
	LeaseUntil   time.Duration
	WaitUntil    time.Duration
	Worker       string
	Address      string
	Life         int64
	Fence        int64
	Acknowledged int64
	// Order is nil for a call that asks for a report.
	Order *order
}

// order is what a worker is told to do.
type order struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Kind     dispatch.OrderKind
	Ref      jobs.Ref
	Run      int
	Payload  string
	Saved    string
	Percent  int
	Permit   string
}

// answer is the outcome of a call.
type answer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	ID       uint64
	// Failure tells why there is no answer of the worker, empty where there is one.
	Failure string
	// Fenced tells that the worker follows a newer owner.
	Fenced  bool
	Outcome dispatch.OrderResult
	Life    int64
	Running []running
	Ended   []ended
}

// running is dispatch.Running on the wire.
type running struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Ref      jobs.Ref
	Run      int
	Saved    string
	Percent  int
	Load     float64
}

// ended is dispatch.Ended on the wire.
type ended struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Ref      jobs.Ref
	Number   int64
	Run      int
	How      jobs.AttemptOutcome
	Saved    string
}

// bootTime returns an instant on this instance's clock that goes on during suspensions, 0 for none.
func bootTime(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return bootclock.Now() + time.Until(t)
}

func syncCall(s jobserve.Sync, until time.Time) call {
	return call{
		Until: bootTime(until), LeaseUntil: bootTime(s.LeaseUntil), WaitUntil: bootTime(s.LongPollUntil),
		Worker: s.Worker, Address: s.Address, Life: s.Incarnation, Fence: s.Fence, Acknowledged: s.Acknowledged,
	}
}

func orderCall(s jobserve.FencedOrder, until time.Time) call {
	return call{
		Until: bootTime(until), LeaseUntil: bootTime(s.LeaseUntil), Worker: s.Worker, Address: s.Address, Fence: s.Fence,
		Order: &order{
			Kind: s.Kind, Ref: s.Ref, Run: s.Run, Payload: s.Payload, Saved: s.Checkpoint, Percent: s.SpeedPercent, Permit: s.Permit,
		},
	}
}

// sync translates a call that asks for a report.
func (c *call) sync(k *clock) jobserve.Sync {
	return jobserve.Sync{
		Worker: c.Worker, Address: c.Address, Incarnation: c.Life, Fence: c.Fence, Acknowledged: c.Acknowledged,
		LeaseUntil: k.local(c.LeaseUntil), LongPollUntil: k.local(c.WaitUntil),
	}
}

// start translates a call that carries an order out.
func (c *call) start(k *clock) jobserve.FencedOrder {
	o := c.Order
	return jobserve.FencedOrder{
		Order: dispatch.Order{
			Ref: o.Ref, Kind: o.Kind, Run: o.Run, Worker: c.Worker, Address: c.Address,
			Payload: o.Payload, Checkpoint: o.Saved, SpeedPercent: o.Percent, Permit: o.Permit,
		},
		Fence: c.Fence, LeaseUntil: k.local(c.LeaseUntil),
	}
}

func (a *answer) setReport(r dispatch.Report) {
	a.Life = r.Incarnation
	a.Running = make([]running, len(r.Running))
	for i, x := range r.Running {
		a.Running[i] = running{Ref: x.Ref, Run: x.Run, Saved: x.Checkpoint, Percent: x.ProgressPercent, Load: x.Sample}
	}
	a.Ended = make([]ended, len(r.Finished))
	for i, x := range r.Finished {
		a.Ended[i] = ended{Ref: x.Ref, Number: x.Number, Run: x.Run, How: x.Outcome, Saved: x.Checkpoint}
	}
}

// report translates the answer to a call that was made no earlier than the given instant.
func (a *answer) report(worker string, askedAt time.Time) dispatch.Report {
	r := dispatch.Report{Worker: worker, Incarnation: a.Life, RequestedAt: askedAt}
	for _, x := range a.Running {
		r.Running = append(r.Running, dispatch.RunningAttempt{Ref: x.Ref, Run: x.Run, Checkpoint: x.Saved, ProgressPercent: x.Percent, Sample: x.Load})
	}
	for _, x := range a.Ended {
		r.Finished = append(r.Finished, dispatch.FinishedAttempt{Ref: x.Ref, Number: x.Number, Run: x.Run, Outcome: x.How, Checkpoint: x.Saved})
	}
	return r
}

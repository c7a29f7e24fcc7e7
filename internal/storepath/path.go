package storepath

import "time"

// State is the judgement of a path.
type State int

// The states of a path. Up and Suspect are usable. While a path is Probing, responses have begun to arrive again.
const (
	Up State = iota
	Suspect
	Down
	Probing
)

// String returns the state as it is logged.
func (s State) String() string { return [...]string{"Up", "Suspect", "Down", "Probing"}[s] }

// IsUsable reports whether calls should be made as usual.
func (s State) IsUsable() bool { return s == Up || s == Suspect }

// Cause says why a state was entered.
type Cause string

// The causes of changes of state.
const (
	CauseUnanswered Cause = "Unanswered"
	CauseRejected   Cause = "Rejected"
	CauseResponse   Cause = "Response"
)

// Outcome is how a call ended.
type Outcome int

// The outcomes of calls. A call that its caller abandoned is Unanswered. Refused calls were rejected since the store is busy or
// away, or their connection was reset.
const (
	Answered Outcome = iota
	Unanswered
	Refused
)

// Limits are the thresholds of a path.
type Limits struct {
	// SuspectFor is how long a path stays Suspect after the latest evidence, so that the state does not alternate while some calls
	// fail.
	SuspectFor time.Duration
	// SuspectAfter and DownAfter are how long a call is overdue, with no other response in between, when the path is Suspect and
	// Down. DownAfter grows with the latency, up to MaxDownAfter.
	SuspectAfter time.Duration
	DownAfter    time.Duration
	MaxDownAfter time.Duration
	// MinResponseAge is the age of the latest response below which the path is not Down for overdue calls.
	MinResponseAge time.Duration
	// OutlivedAfter is how long a call must be overdue when another one is answered for it to be no evidence any more.
	OutlivedAfter time.Duration
	// RefusedCalls is the number of refused calls without an answered one, and RefusedFor the time since the first of them, from
	// which on the path is Down.
	RefusedCalls int
	RefusedFor   time.Duration
	// UpResponses is the number of answered calls without another outcome, and UpFor the time since the first of them, from which
	// on a path that was Down is Up.
	UpResponses int
	UpFor       time.Duration
	// MaxGap is the longest time between two readings of the clock in which the process has certainly run.
	MaxGap time.Duration
}

// latencyFactor is the multiple of the usual latency for which an overdue call is waited for.
const latencyFactor = 3

// latencySmoothing is the weight of the newest response in the moving average of latencies.
const latencySmoothing = 0.3

// Change is a change of state with its inputs.
type Change struct {
	State State
	Cause Cause
	// LastResponseAge is the age of the latest answered call, and Unanswered the number of calls that are overdue or ended without
	// an answer since.
	LastResponseAge time.Duration
	Unanswered      int
}

// Path is the judgement of one class of calls; it is not safe for concurrent use.
type Path struct {
	limits  Limits
	state   State
	latency time.Duration
	// suspectUntil is the instant up to which the path stays Suspect.
	suspectUntil time.Time
	// now is the latest reading of the clock; it is zero before the first.
	now time.Time
	// respondedAt is the latest answered call.
	respondedAt time.Time
	lastID      uint64
	// due holds, by call, when the response of a call in flight is due; outlived holds the calls that are no evidence.
	due      map[uint64]time.Time
	outlived map[uint64]bool
	// lostDue is when the first response was due of the calls that ended unanswered since the latest answered one, and lost is their
	// number.
	lostDue time.Time
	lost    int
	// refused counts the refused calls since the latest answered one, the first of them at refusedAt.
	refused   int
	refusedAt time.Time
	// answered counts the answered calls while the path is Probing, the first of them at answeredAt.
	answered   int
	answeredAt time.Time
	changes    []Change
}

// NewPath returns a path that is Up.
func NewPath(l Limits) *Path {
	return &Path{limits: l, due: make(map[uint64]time.Time), outlived: make(map[uint64]bool)}
}

// State returns the present state.
func (p *Path) State() State { return p.state }

// Begin records a call whose response is due at the given instant, and returns its identity.
func (p *Path) Begin(now, due time.Time) uint64 {
	p.advance(now)
	p.lastID++
	p.due[p.lastID] = later(now, due)
	return p.lastID
}

// End records the outcome of a call.
func (p *Path) End(id uint64, now time.Time, o Outcome) {
	p.advance(now)
	due, ok := p.due[id]
	if !ok {
		return
	}
	outlived := p.outlived[id]
	delete(p.due, id)
	delete(p.outlived, id)
	switch {
	case o == Answered:
		p.observeResponse(now, due)
	case o == Refused:
		p.observeRefusal(now)
	case now.After(due) && !outlived:
		p.lost++
		if p.lostDue.IsZero() || due.Before(p.lostDue) {
			p.lostDue = due
		}
	}
	p.judge(now)
}

// Tick judges the path anew as time passes.
func (p *Path) Tick(now time.Time) {
	p.advance(now)
	p.judge(now)
}

// TakeChanges returns the changes of state since the latest call.
func (p *Path) TakeChanges() []Change {
	l := p.changes
	p.changes = nil
	return l
}

// LastResponseAge returns the age of the latest answered call, 0 before the first.
func (p *Path) LastResponseAge(now time.Time) time.Duration {
	if p.respondedAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(p.respondedAt))
}

// advance moves all instants with a clock that has stepped, or after a time in which the process did not run.
func (p *Path) advance(now time.Time) {
	d := now.Sub(p.now)
	first := p.now.IsZero()
	p.now = now
	if first {
		p.respondedAt = now
		return
	}
	if d >= 0 && d <= p.limits.MaxGap {
		return
	}
	for _, t := range []*time.Time{&p.respondedAt, &p.lostDue, &p.refusedAt, &p.answeredAt, &p.suspectUntil} {
		if !t.IsZero() {
			*t = t.Add(d)
		}
	}
	for id, t := range p.due {
		p.due[id] = t.Add(d)
	}
}

// observeResponse records the response to a call that was due at the given instant. A response before that tells no latency, as a
// long poll may end early.
func (p *Path) observeResponse(now, due time.Time) {
	if l := now.Sub(due); l >= 0 {
		p.latency += time.Duration(latencySmoothing * float64(l-p.latency))
	}
	p.respondedAt = now
	p.lostDue, p.lost, p.refused = time.Time{}, 0, 0
	for id, due := range p.due {
		if now.Sub(due) >= p.limits.OutlivedAfter {
			p.outlived[id] = true
		}
	}
	if p.state == Down {
		p.enter(Probing, CauseResponse, now)
		p.answered = 0
	}
	if p.state != Probing {
		return
	}
	if p.answered == 0 {
		p.answeredAt = now
	}
	p.answered++
}

func (p *Path) observeRefusal(now time.Time) {
	if p.refused == 0 {
		p.refusedAt = now
	}
	p.refused++
	if p.state == Probing {
		p.enter(Down, CauseRejected, now)
	}
}

// judge enters the state that the evidence calls for.
func (p *Path) judge(now time.Time) {
	silence := p.silence(now)
	if silence >= p.limits.SuspectAfter || p.refused > 0 {
		p.suspectUntil = now.Add(p.limits.SuspectFor)
	}
	switch p.state {
	case Up, Suspect:
		p.judgeUsable(now, silence)
	case Probing:
		switch {
		case silence >= p.downAfter():
			p.enter(Down, CauseUnanswered, now)
		case p.answered >= p.limits.UpResponses && now.Sub(p.answeredAt) >= p.limits.UpFor:
			p.enter(Up, CauseResponse, now)
		}
	case Down:
		// Only a response ends this state.
	}
}

// judgeUsable enters the state that the evidence calls for while the path is Up or Suspect.
func (p *Path) judgeUsable(now time.Time, silence time.Duration) {
	l := &p.limits
	switch {
	case silence >= p.downAfter() && p.LastResponseAge(now) >= l.MinResponseAge:
		p.enter(Down, CauseUnanswered, now)
	case p.refused >= l.RefusedCalls && now.Sub(p.refusedAt) >= l.RefusedFor:
		p.enter(Down, CauseRejected, now)
	case silence >= l.SuspectAfter:
		p.enter(Suspect, CauseUnanswered, now)
	case p.refused > 0:
		p.enter(Suspect, CauseRejected, now)
	case !now.Before(p.suspectUntil):
		p.enter(Up, CauseResponse, now)
	}
}

// silence returns for how long a response has been due without any other response, 0 if none is due.
func (p *Path) silence(now time.Time) time.Duration {
	first := p.lostDue
	for id, t := range p.due {
		if !p.outlived[id] && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	if first.IsZero() {
		return 0
	}
	return max(0, now.Sub(later(first, p.respondedAt)))
}

// downAfter returns the patience with overdue calls.
func (p *Path) downAfter() time.Duration {
	return max(p.limits.DownAfter, min(latencyFactor*p.latency, p.limits.MaxDownAfter))
}

func (p *Path) enter(s State, c Cause, now time.Time) {
	if s == p.state {
		return
	}
	p.state = s
	p.changes = append(p.changes, Change{s, c, p.LastResponseAge(now), p.unanswered(now)})
}

// unanswered returns the number of calls that are overdue or ended without an answer since the latest answered one.
func (p *Path) unanswered(now time.Time) int {
	n := p.lost + p.refused
	for _, t := range p.due {
		if now.After(t) {
			n++
		}
	}
	return n
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

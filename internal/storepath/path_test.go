package storepath

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testLimits are those of a job instance for all calls.
var testLimits = Limits{
	SuspectFor: time.Second, SuspectAfter: 250 * time.Millisecond, DownAfter: 400 * time.Millisecond, MaxDownAfter: 1200 * time.Millisecond, MinResponseAge: 800 * time.Millisecond,
	OutlivedAfter: 150 * time.Millisecond, RefusedCalls: 3, RefusedFor: 300 * time.Millisecond, UpResponses: 3, UpFor: 200 * time.Millisecond, MaxGap: 300 * time.Millisecond,
}

const (
	// tick is the time between two judgements, and step the resolution of a replay.
	tick = 50 * time.Millisecond
	step = time.Millisecond
	// pollWait is the time for which a read of operators' changes waits, and callTimeout that of any call.
	pollWait    = 900 * time.Millisecond
	callTimeout = 800 * time.Millisecond
	backoff     = 150 * time.Millisecond
	probePause  = 400 * time.Millisecond
	never       = time.Hour
)

// store is what the store does with a call that begins at an instant: how long after it is due the response comes, and whether it
// is a rejection or a reset.
type store func(at time.Duration) (latency time.Duration, refused bool)

func well(time.Duration) (time.Duration, bool) { return 4 * time.Millisecond, false }

// between returns a store that behaves as during from one instant to another, and well otherwise.
func between(from, to time.Duration, during store) store {
	return func(at time.Duration) (time.Duration, bool) {
		if at >= from && at < to {
			return during(at)
		}
		return well(at)
	}
}

func silent(time.Duration) (time.Duration, bool) { return never, false }

func refuses(time.Duration) (time.Duration, bool) { return 2 * time.Millisecond, true }

func slow(time.Duration) (time.Duration, bool) { return 240 * time.Millisecond, false }

// caller makes one call at a time.
type caller struct {
	// wait is the long poll of each call, and pause the time between two.
	wait  time.Duration
	pause time.Duration
	store store
	// probes means that calls are made only while the path is not Up.
	probes bool

	id       uint64
	inFlight bool
	due      time.Duration
	endsAt   time.Duration
	outcome  Outcome
	nextAt   time.Duration
}

// replay is a path with the calls of an instance.
type replay struct {
	*testing.T
	path    *Path
	callers []*caller
	// clock returns the reading of the clock at an instant.
	clock func(time.Duration) time.Time
	state State
	// changedAt holds, by state, the instants at which it was entered.
	changedAt map[State][]time.Duration
}

var epoch = time.Unix(1_700_000_000, 0)

func steady(at time.Duration) time.Time { return epoch.Add(at) }

// newReplay returns an instance with a long poll and probes, and, if busy, with appends.
func newReplay(t *testing.T, s store, busy bool) *replay {
	r := &replay{T: t, path: NewPath(testLimits), clock: steady, changedAt: make(map[State][]time.Duration)}
	r.callers = append(r.callers, &caller{wait: pollWait, store: s}, &caller{pause: probePause, store: s, probes: true})
	if busy {
		r.callers = append(r.callers, &caller{pause: 20 * time.Millisecond, store: s})
	}
	return r
}

func (c *caller) begin(p *Path, at time.Duration, clock func(time.Duration) time.Time) {
	wait := c.wait
	if c.outcome != Answered {
		wait = 0
	}
	c.due, c.inFlight = at+wait, true
	c.id = p.Begin(clock(at), clock(c.due))
	l, refused := c.store(at)
	switch {
	case l >= callTimeout:
		c.endsAt, c.outcome = c.due+callTimeout, Unanswered
	case refused:
		c.endsAt, c.outcome = at+l, Refused
	default:
		// A long poll is answered as the store is when it ends.
		l, refused := c.store(c.due)
		c.endsAt, c.outcome = c.due+l, Answered
		switch {
		case l >= callTimeout:
			c.endsAt, c.outcome = c.due+callTimeout, Unanswered
		case refused:
			c.outcome = Refused
		}
	}
}

// run replays the calls from the beginning until the given instant.
func (r *replay) run(until time.Duration) { r.runFrom(0, until) }

// runFrom replays the calls from the instant at which the replay is until another one.
func (r *replay) runFrom(from, until time.Duration) {
	for at := from; at < until; at += step {
		for _, c := range r.callers {
			switch {
			case c.inFlight && at >= c.endsAt:
				r.path.End(c.id, r.clock(at), c.outcome)
				c.inFlight, c.nextAt = false, at+c.pause
				if c.outcome != Answered && !c.probes {
					c.nextAt = at + backoff
				}
			case !c.inFlight && at >= c.nextAt && (!c.probes || r.path.State() != Up):
				c.begin(r.path, at, r.clock)
			}
		}
		if at%tick == 0 {
			r.path.Tick(r.clock(at))
		}
		for _, x := range r.path.TakeChanges() {
			require.NotEqual(r, r.state, x.State)
			r.state = x.State
			r.changedAt[x.State] = append(r.changedAt[x.State], at)
		}
	}
}

// requireDownOnce checks that the path was Down once, within the given time of the beginning of an outage, and Up again within a
// second of its end.
func (r *replay) requireDownOnce(from, to, within time.Duration) {
	require.Len(r, r.changedAt[Down], 1, "%v", r.changedAt)
	require.LessOrEqual(r, r.changedAt[Down][0]-from, within)
	require.True(r, r.path.State().IsUsable())
	ups := r.changedAt[Up]
	require.NotEmpty(r, ups)
	require.Greater(r, ups[len(ups)-1], to)
	require.LessOrEqual(r, ups[len(ups)-1]-to, 2*time.Second)
}

// A cut-off instance took submissions for as long as it was cut off, and told their callers after 2.9 s that the outcome is unknown.
func TestPathIsDownWithinASecondOfSilence(t *testing.T) {
	const from, to = 5 * time.Second, 14 * time.Second
	r := newReplay(t, between(from, to, silent), true)
	r.run(20 * time.Second)
	r.requireDownOnce(from, to, 1050*time.Millisecond)
}

func TestPathOfAnIdleInstanceIsDownSoonAfterItsPollIsDue(t *testing.T) {
	for _, from := range []time.Duration{5 * time.Second, 5200 * time.Millisecond, 5500 * time.Millisecond, 5850 * time.Millisecond} {
		r := newReplay(t, between(from, from+7*time.Second, silent), false)
		r.run(20 * time.Second)
		require.Len(t, r.changedAt[Down], 1)
		require.LessOrEqual(t, r.changedAt[Down][0]-from, pollWait+testLimits.DownAfter+2*tick)
	}
}

func TestPathIsDownWhileTheStoreRefusesCalls(t *testing.T) {
	const from, to = 5 * time.Second, 14 * time.Second
	r := newReplay(t, between(from, to, refuses), true)
	r.run(20 * time.Second)
	r.requireDownOnce(from, to, time.Second)
}

// A single rejection or reset, as after a restart of the store, is no outage.
func TestFewRefusalsLeaveThePathUsable(t *testing.T) {
	r := newReplay(t, between(5*time.Second, 5030*time.Millisecond, refuses), true)
	r.run(10 * time.Second)
	require.Empty(t, r.changedAt[Down])
}

// The store refused one kind of calls while it answered others: each refusal and each answer changed the state and wrote a line.
func TestSuspectPathDoesNotAlternate(t *testing.T) {
	const from, to = 5 * time.Second, 10 * time.Second
	r := newReplay(t, well, true)
	r.callers[0].store = between(from, to, refuses)
	r.run(15 * time.Second)
	require.Empty(t, r.changedAt[Down])
	require.Len(t, r.changedAt[Suspect], 1)
	require.Len(t, r.changedAt[Up], 1)
	require.GreaterOrEqual(t, r.changedAt[Up][0], to)
}

// Slow responses are responses: instances that hand over while the store is only slow make it slower.
func TestPathStaysUsableWhileTheStoreIsSlow(t *testing.T) {
	for _, busy := range []bool{true, false} {
		for from := 5 * time.Second; from < 6*time.Second; from += 70 * time.Millisecond {
			r := newReplay(t, between(from, from+5*time.Second, slow), busy)
			r.run(15 * time.Second)
			require.Empty(t, r.changedAt[Down], "busy %v, from %v", busy, from)
		}
	}
}

// The store becomes slower step by step, until a response takes longer than what is Down at first.
func TestPatienceGrowsWithTheLatency(t *testing.T) {
	latencies := []time.Duration{4 * time.Millisecond, 240 * time.Millisecond, 600 * time.Millisecond, 750 * time.Millisecond}
	const phase = 4 * time.Second
	r := newReplay(t, well, false)
	r.callers = []*caller{{pause: 100 * time.Millisecond, store: func(at time.Duration) (time.Duration, bool) {
		return latencies[min(int(at/phase), len(latencies)-1)], false
	}}}
	r.run(time.Duration(len(latencies)) * phase)
	require.Empty(t, r.changedAt[Down])
}

// Callers that give each call up after a short time must not hide the silence.
func TestCallsThatAreGivenUpAreEvidence(t *testing.T) {
	p := NewPath(testLimits)
	now := epoch
	p.End(p.Begin(now, now), now, Answered)
	for p.State() != Down && now.Before(epoch.Add(2*time.Second)) {
		id := p.Begin(now, now)
		now = now.Add(200 * time.Millisecond)
		p.End(id, now, Unanswered)
	}
	require.Equal(t, Down, p.State())
	require.LessOrEqual(t, now.Sub(epoch), time.Second)
}

// A call on a dead connection was answered by nobody, while all others were.
func TestCallThatOthersOutlivedDoesNotMakeThePathDown(t *testing.T) {
	r := newReplay(t, well, true)
	r.path.Begin(steady(0), steady(0))
	r.run(20 * time.Second)
	require.Empty(t, r.changedAt[Down])
}

// Requests arrive at the store and responses do not, or the other way round: both are silence to the caller.
func TestOneWayPathIsDown(t *testing.T) {
	for name, s := range map[string]store{"requests are lost": silent, "responses are late": func(time.Duration) (time.Duration, bool) { return callTimeout, false }} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(t, between(5*time.Second, 12*time.Second, s), true)
			r.run(20 * time.Second)
			require.Len(t, r.changedAt[Down], 1)
		})
	}
}

func TestClockStepsAreNoOutage(t *testing.T) {
	for name, d := range map[string]time.Duration{"forward": 30 * time.Second, "back": -30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(t, well, true)
			r.clock = func(at time.Duration) time.Time {
				if at >= 5*time.Second {
					at += d
				}
				return epoch.Add(at)
			}
			r.run(10 * time.Second)
			require.Empty(t, r.changedAt[Down])
		})
	}
}

// After a step of the clock, an outage is found as soon as without it.
func TestOutageIsFoundAfterTheClockHasStepped(t *testing.T) {
	const from = 6 * time.Second
	for name, d := range map[string]time.Duration{"forward": 30 * time.Second, "back": -30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(t, between(from, 20*time.Second, silent), true)
			r.clock = func(at time.Duration) time.Time {
				if at >= from+300*time.Millisecond {
					at += d
				}
				return epoch.Add(at)
			}
			r.run(12 * time.Second)
			require.Len(t, r.changedAt[Down], 1)
			require.LessOrEqual(t, r.changedAt[Down][0]-from, 1100*time.Millisecond)
		})
	}
}

func TestPathIsUpOnlyAfterSeveralResponses(t *testing.T) {
	p := NewPath(testLimits)
	now := epoch
	call := func(o Outcome) {
		id := p.Begin(now, now)
		now = now.Add(100 * time.Millisecond)
		p.End(id, now, o)
	}
	call(Answered)
	for range 5 {
		call(Refused)
	}
	require.Equal(t, Down, p.State())
	call(Answered)
	require.Equal(t, Probing, p.State())
	call(Refused)
	require.Equal(t, Down, p.State(), "a single response is no return")
	for range 3 {
		require.False(t, p.State().IsUsable())
		call(Answered)
	}
	require.Equal(t, Up, p.State())
}

func TestRecordsGoToAPeerThatReachesTheStore(t *testing.T) {
	l := []Peer{{Name: "a", Reach: ReachesNothing}, {Name: "b", Reach: ReachesStore, Rank: 2}, {Name: "c", Reach: ReachUnknown}, {Name: "d", Reach: ReachesStore, Rank: 1}}
	require.Equal(t, Decision{Choice: Append}, Choose(Suspect, l, epoch))
	require.Equal(t, Decision{Choice: HandOver, Peer: "d"}, Choose(Down, l, epoch))
	require.Equal(t, Decision{Choice: HandOver, Peer: "d"}, Choose(Probing, l, epoch))
}

// A peer that says that it reaches the store, and does not, was chosen again and again.
func TestPeerThatFailedIsNotUsedForAWhile(t *testing.T) {
	l := []Peer{{Name: "liar", Reach: ReachesStore, AvoidUntil: epoch.Add(time.Second)}}
	require.Equal(t, Decision{Choice: Reject, Elsewhere: true}, Choose(Down, l, epoch))
	l = append(l, Peer{Name: "b", Reach: ReachesStore, Rank: 9})
	require.Equal(t, Decision{Choice: HandOver, Peer: "b"}, Choose(Down, l, epoch))
	require.Equal(t, Decision{Choice: HandOver, Peer: "liar"}, Choose(Down, l, epoch.Add(time.Second)))
}

func TestRecordsAreRejectedIfNoPeerReachesTheStore(t *testing.T) {
	require.Equal(t, Decision{Choice: Reject}, Choose(Down, nil, epoch))
	require.Equal(t, Decision{Choice: Reject}, Choose(Down, []Peer{{Name: "a", Reach: ReachesNothing}}, epoch))
}

func TestRejectedCallersAreSpreadWhileTheStoreIsAwayForAll(t *testing.T) {
	require.Equal(t, time.Second, RetryAfter(true, func(int) int { return 2 }))
	for i := range 3 {
		require.Equal(t, time.Duration(1+i)*time.Second, RetryAfter(false, func(n int) int {
			require.Equal(t, 3, n)
			return i
		}))
	}
}

func TestReadinessFollowsLastingEvidence(t *testing.T) {
	r := Readiness{UnreadyAfter: time.Second, ReadyAfter: time.Second}
	now := epoch
	after := func(d time.Duration, s State, l ...Peer) bool {
		ready := true
		for end := now.Add(d); now.Before(end); now = now.Add(tick) {
			ready = r.Update(s, l, now)
		}
		return ready
	}
	reaching, away := Peer{Name: "a", Reach: ReachesStore}, Peer{Name: "b", Reach: ReachesNothing}
	avoided := reaching
	avoided.AvoidUntil = epoch.Add(time.Hour)
	require.True(t, after(time.Minute, Up))
	require.True(t, after(time.Minute, Down, reaching), "it hands over")
	require.True(t, after(time.Minute, Down, away), "the store is away for all")
	require.True(t, after(900*time.Millisecond, Down, avoided, away), "it may be for a moment")
	require.False(t, after(200*time.Millisecond, Down, avoided, away), "another instance serves callers better")
	require.False(t, after(time.Minute, Down, away), "the store is away for all, which changes nothing")
	require.False(t, after(900*time.Millisecond, Up))
	require.True(t, after(200*time.Millisecond, Up))
	require.False(t, after(1100*time.Millisecond, Down), "it is alone")
}

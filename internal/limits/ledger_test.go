package limits_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/limits"
)

// start is when the clock of a test starts.
var start = time.UnixMilli(1_800_000_000_000)

// at returns the time after the given seconds.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// testLimits allow three connections and 1,000 bytes.
func testLimits() limits.Limits {
	return limits.Limits{
		Connections: 3, Bytes: 1000, HeadBytes: 500, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, StallTimeout: 5 * time.Second,
		MinBytesPerSecond: 100, BodyTimeout: 10 * time.Second, AnswerTimeout: 8 * time.Second, Patience: time.Second,
	}
}

// open opens a connection for which there is room.
func open(t *testing.T, l *limits.Ledger, now time.Time) limits.ID {
	t.Helper()
	id, closing, err := l.Open(limits.PhaseHead, now)
	require.NoError(t, err)
	require.Empty(t, closing)
	return id
}

// requireRefused checks that an error is a refusal for the given reason.
func requireRefused(t *testing.T, r limits.Reason, err error) {
	t.Helper()
	var e *limits.RefusedError
	require.ErrorAs(t, err, &e)
	require.Equal(t, r, e.Reason)
}

// While all connections make progress, a further one is refused; none of them is closed for it.
func TestConnectionsThatMakeProgressAreKept(t *testing.T) {
	l := limits.NewLedger(testLimits())
	open(t, l, at(0))
	serving := open(t, l, at(0))
	l.Enter(serving, limits.PhaseServe, at(0.1))
	quick := open(t, l, at(0))
	l.Receive(quick, 400, at(0.9))
	_, closing, err := l.Open(limits.PhaseHead, at(0.95))
	requireRefused(t, limits.ReasonConnections, err)
	require.Empty(t, closing)
	require.Equal(t, 3, l.Connections())
}

func TestConnectionWithTheLeastProgressIsDisplaced(t *testing.T) {
	l := limits.NewLedger(testLimits())
	slow, slower, serving := open(t, l, at(0)), open(t, l, at(0)), open(t, l, at(0))
	l.Receive(slow, 20, at(0.1))
	l.Receive(slower, 10, at(0.1))
	l.Enter(serving, limits.PhaseServe, at(0.1))
	_, closing, err := l.Open(limits.PhaseHead, at(2))
	require.NoError(t, err)
	require.Equal(t, []limits.Closing{{ID: slower, Reason: limits.ReasonDisplaced, Phase: limits.PhaseHead, Received: 10, Since: at(0)}}, closing)
	_, closing, err = l.Open(limits.PhaseHead, at(2))
	require.NoError(t, err)
	require.Equal(t, slow, closing[0].ID)
	_, _, err = l.Open(limits.PhaseHead, at(2))
	requireRefused(t, limits.ReasonConnections, err)
}

// A client that sends a byte now and then makes progress all the time, but too little.
func TestConnectionThatTricklesIsDisplaced(t *testing.T) {
	l := limits.NewLedger(testLimits())
	trickling := open(t, l, at(0))
	for i := range 4 {
		l.Receive(trickling, 1, at(0.5*float64(i)))
	}
	for range 2 {
		l.Enter(open(t, l, at(1)), limits.PhaseServe, at(1))
	}
	_, closing, err := l.Open(limits.PhaseHead, at(1.6))
	require.NoError(t, err)
	require.Equal(t, trickling, closing[0].ID)
}

func TestIdleConnectionsAreDisplacedFirst(t *testing.T) {
	l := limits.NewLedger(testLimits())
	open(t, l, at(0))
	later, earlier := open(t, l, at(0)), open(t, l, at(0))
	l.Enter(earlier, limits.PhaseIdle, at(1))
	l.Enter(later, limits.PhaseIdle, at(1.5))
	_, closing, err := l.Open(limits.PhaseHead, at(2))
	require.NoError(t, err)
	require.Equal(t, earlier, closing[0].ID)
}

func TestRoomIsReturnedWhateverHappens(t *testing.T) {
	for name, end := range map[string]func(l *limits.Ledger, id limits.ID){
		"given":     func(l *limits.Ledger, id limits.ID) { l.Give(id, 600) },
		"idle":      func(l *limits.Ledger, id limits.ID) { l.Enter(id, limits.PhaseIdle, at(1)) },
		"closed":    func(l *limits.Ledger, id limits.ID) { l.Close(id) },
		"due":       func(l *limits.Ledger, _ limits.ID) { require.Len(t, l.Due(at(4)), 1) },
		"displaced": func(l *limits.Ledger, _ limits.ID) { takeByDisplacing(t, l) },
	} {
		l := limits.NewLedger(testLimits())
		id := open(t, l, at(0))
		_, err := l.Take(id, 600, at(0))
		require.NoError(t, err, name)
		require.Equal(t, 600, l.Held(), name)
		end(l, id)
		require.Zero(t, l.Held(), name)
	}
}

// takeByDisplacing takes more than is free, which a connection without progress has to make room for, and gives it back.
func takeByDisplacing(t *testing.T, l *limits.Ledger) {
	t.Helper()
	o := open(t, l, at(2))
	closing, err := l.Take(o, 900, at(2))
	require.NoError(t, err)
	require.Len(t, closing, 1)
	l.Close(o)
}

func TestRequestIsRefusedWhileOthersMakeProgress(t *testing.T) {
	l := limits.NewLedger(testLimits())
	holder, other := open(t, l, at(0)), open(t, l, at(0))
	l.Enter(holder, limits.PhaseServe, at(0))
	_, err := l.Take(holder, 600, at(0))
	require.NoError(t, err)
	_, err = l.Take(other, 500, at(9))
	requireRefused(t, limits.ReasonMemory, err)
	require.Equal(t, 600, l.Held())
	_, err = l.Take(other, 400, at(9))
	require.NoError(t, err)
	_, err = l.Take(holder, 1001, at(9))
	requireRefused(t, limits.ReasonMemory, err)
	l.Close(holder)
	_, err = l.Take(holder, 1, at(9))
	require.ErrorIs(t, err, limits.ErrClosed)
}

func TestPhasesThatLastTooLongEnd(t *testing.T) {
	for name, c := range map[string]struct {
		play   func(l *limits.Ledger, id limits.ID)
		kept   float64
		closed float64
		reason limits.Reason
	}{
		"no head":        {func(*limits.Ledger, limits.ID) {}, 2.9, 3, limits.ReasonSlowHead},
		"unfinished":     {func(l *limits.Ledger, id limits.ID) { l.Receive(id, 400, at(2)) }, 2.9, 3, limits.ReasonSlowHead},
		"idle":           {func(l *limits.Ledger, id limits.ID) { l.Enter(id, limits.PhaseIdle, at(1)) }, 15.9, 16, limits.ReasonIdle},
		"second head":    {secondHead, 6.9, 7, limits.ReasonSlowHead},
		"stalled":        {func(l *limits.Ledger, id limits.ID) { awaitBody(l, id, 1, 900) }, 5.9, 6, limits.ReasonStalledBody},
		"slow":           {func(l *limits.Ledger, id limits.ID) { trickle(l, id, 6, 60) }, 5, 6, limits.ReasonSlowBody},
		"long":           {func(l *limits.Ledger, id limits.ID) { trickle(l, id, 10, 600) }, 9.9, 10, limits.ReasonSlowBody},
		"unread":         {func(l *limits.Ledger, id limits.ID) { serve(l, id); l.Write(id, true, at(2)) }, 9.9, 10, limits.ReasonUnreadAnswer},
		"rest of a body": {func(l *limits.Ledger, id limits.ID) { l.Enter(id, limits.PhaseEnd, at(1)) }, 8.9, 9, limits.ReasonUnreadAnswer},
		"in service":     {serve, 1000, 0, ""},
		"written": {func(l *limits.Ledger, id limits.ID) {
			serve(l, id)
			l.Write(id, true, at(2))
			l.Write(id, false, at(3))
		}, 1000, 0, ""},
	} {
		l := limits.NewLedger(testLimits())
		id := open(t, l, at(0))
		c.play(l, id)
		require.Empty(t, l.Due(at(c.kept)), name)
		if c.reason == "" {
			continue
		}
		d := l.Due(at(c.closed))
		require.Len(t, d, 1, name)
		require.Equal(t, c.reason, d[0].Reason, name)
		require.Empty(t, l.Phase(id), name)
	}
}

// serve begins to serve the request of a connection.
func serve(l *limits.Ledger, id limits.ID) { l.Enter(id, limits.PhaseServe, at(0)) }

// secondHead begins a further request on a connection.
func secondHead(l *limits.Ledger, id limits.ID) {
	l.Enter(id, limits.PhaseIdle, at(1))
	l.Receive(id, 10, at(4))
}

// awaitBody receives the first bytes of a body, and waits for more.
func awaitBody(l *limits.Ledger, id limits.ID, seconds float64, n int) {
	serve(l, id)
	l.Enter(id, limits.PhaseBody, at(0))
	l.Receive(id, n, at(seconds))
}

// trickle receives a body for some seconds at a rate.
func trickle(l *limits.Ledger, id limits.ID, seconds float64, bytesPerSecond int) {
	serve(l, id)
	l.Enter(id, limits.PhaseBody, at(0))
	for s := 1.0; s <= seconds; s++ {
		l.Receive(id, bytesPerSecond, at(s-0.5))
	}
}

// A body that waits for the process is not slow, however long the process takes.
func TestOnlyTheWaitForAClientCounts(t *testing.T) {
	l := limits.NewLedger(testLimits())
	id := open(t, l, at(0))
	serve(l, id)
	for i := range 9 {
		s := float64(100 * i)
		l.Enter(id, limits.PhaseBody, at(s))
		l.Receive(id, 200, at(s+1))
		l.Enter(id, limits.PhaseServe, at(s+1))
		require.Empty(t, l.Due(at(s+99)))
	}
	l.Enter(id, limits.PhaseBody, at(1000))
	require.Empty(t, l.Due(at(1000.9)))
	require.Len(t, l.Due(at(1001)), 1, "the process has waited for 10 s in all")
}

func TestHeadBeyondItsLimitIsFound(t *testing.T) {
	l := limits.NewLedger(testLimits())
	id := open(t, l, at(0))
	l.Receive(id, 500+4<<10, at(0))
	require.False(t, l.HeadTooLarge(id), "the beginning of a body may have come with it")
	l.Receive(id, 1, at(0))
	require.True(t, l.HeadTooLarge(id))
	serve(l, id)
	require.False(t, l.HeadTooLarge(id), "the head was complete")
}

// A process that was paused closed the connections of clients whose bytes it had not read yet.
func TestClientIsNotLateAfterAPause(t *testing.T) {
	l := limits.NewLedger(testLimits())
	stopped, sending := open(t, l, at(0)), open(t, l, at(0))
	for _, id := range []limits.ID{stopped, sending} {
		serve(l, id)
		l.Enter(id, limits.PhaseBody, at(0))
		l.Receive(id, 1000, at(0.9))
	}
	require.Empty(t, l.Due(at(1)))
	require.Empty(t, l.Due(at(7)), "the process was paused for 6 s")
	l.Receive(sending, 1000, at(7.1))
	d := l.Due(at(7.5))
	require.Len(t, d, 1)
	require.Equal(t, stopped, d[0].ID)
}

// Many short fields take far more memory than their text.
func TestCostOfAHeadCountsItsFields(t *testing.T) {
	short := limits.HeadCost([]byte(strings.Repeat("a:\r\n", 100)))
	long := limits.HeadCost([]byte("a:" + strings.Repeat("x", 396) + "\r\n"))
	require.Greater(t, short, 10*long)
}

// model is a ledger with what its connections must have taken.
type model struct {
	*limits.Ledger

	random *rand.Rand
	held   map[limits.ID]int
}

// forget removes connections that the ledger has closed.
func (m *model) forget(closing []limits.Closing) {
	for _, c := range closing {
		delete(m.held, c.ID)
	}
}

// change changes the room of a connection, or its phase.
func (m *model) change(id limits.ID, now time.Time) {
	n := m.random.IntN(700)
	_, known := m.held[id]
	switch m.random.IntN(3) {
	case 0:
		closing, err := m.Take(id, n, now)
		m.forget(closing)
		if err == nil {
			m.held[id] += n
		}
	case 1:
		m.Give(id, n)
		if known {
			m.held[id] -= min(n, m.held[id])
		}
	case 2:
		phases := []limits.Phase{limits.PhaseHead, limits.PhaseBody, limits.PhaseServe, limits.PhaseEnd, limits.PhaseIdle}
		p := phases[m.random.IntN(len(phases))]
		if known && p == limits.PhaseIdle && m.Phase(id) != p {
			m.held[id] = 0
		}
		m.Enter(id, p, now)
	}
}

// step does one thing at random.
func (m *model) step(id limits.ID, now time.Time) {
	switch m.random.IntN(6) {
	case 0:
		x, closing, err := m.Open(limits.PhaseHead, now)
		m.forget(closing)
		if err == nil {
			m.held[x] = 0
		}
	case 1:
		m.forget(m.Due(now))
	case 2:
		m.Close(id)
		delete(m.held, id)
	default:
		m.change(id, now)
	}
}

// Whatever clients do, what is held is the sum of what the open connections have taken, within the limits.
func TestLedgerNeverExceedsItsLimits(t *testing.T) {
	m := &model{limits.NewLedger(testLimits()), rand.New(rand.NewPCG(1, 2)), make(map[limits.ID]int)}
	last := limits.ID(0)
	taken := 0
	for i := range 100_000 {
		m.step(max(last, 5)-limits.ID(m.random.IntN(5)), at(float64(i)*0.1))
		sum := 0
		for id, n := range m.held {
			sum += n
			last = max(last, id)
		}
		taken = max(taken, sum)
		require.Equal(t, sum, m.Held())
		require.Len(t, m.held, m.Connections())
		require.LessOrEqual(t, m.Held(), 1000)
		require.LessOrEqual(t, m.Connections(), 3)
	}
	require.Greater(t, taken, 700, "several connections have taken room")
}

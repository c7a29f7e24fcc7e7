package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// testAdviceTime is how long the test advisor takes for a call, and testAdvicePatience how long the caller waits for an answer.
	testAdviceTime     = 100 * time.Millisecond
	testAdvicePatience = 3 * time.Second
	// testAdviceQueue is the number of calls that may wait at the test advisor; it refuses more.
	testAdviceQueue = 32
)

// serialAdvisor permits all candidates, and handles one call after another, also those whose callers have left.
type serialAdvisor struct {
	s *simulation
	// eachTime is how long the advisor takes for each worker that a call names, beside testAdviceTime.
	eachTime time.Duration
	calls    []adviceCall
	freeAt   time.Time
}

// adviceCall is a call at the advisor. answered means that the caller has got an answer or has left.
type adviceCall struct {
	order    Order
	madeAt   time.Time
	doneAt   time.Time
	answered bool
}

// add adds a call, or refuses it if too many wait.
func (a *serialAdvisor) add(o Order) {
	if len(a.calls) > testAdviceQueue {
		a.s.p.HandleAdvice(o, nil, time.Time{}, false, a.s.now)
		return
	}
	a.freeAt = laterOf(a.freeAt, a.s.now).Add(testAdviceTime + time.Duration(len(o.Candidates))*a.eachTime)
	a.calls = append(a.calls, adviceCall{order: o, madeAt: a.s.now, doneAt: a.freeAt})
}

// run answers the calls that are done, and lets the callers of others leave that have waited for too long. Permits count from the call.
func (a *serialAdvisor) run() {
	now := a.s.now
	for i := range a.calls {
		c := &a.calls[i]
		switch {
		case c.answered:
		case now.Sub(c.madeAt) >= testAdvicePatience:
			c.answered = true
			a.s.p.HandleAdvice(c.order, nil, time.Time{}, false, now)
		case !now.Before(c.doneAt):
			c.answered = true
			var l []Permit
			for _, id := range c.order.Candidates {
				l = append(l, Permit{id, "permit"})
			}
			a.s.p.HandleAdvice(c.order, l, c.madeAt.Add(testPermitLifetime), true, now)
		}
	}
	for len(a.calls) > 0 && !now.Before(a.calls[0].doneAt) {
		a.calls = a.calls[1:]
	}
}

// Many steps that waited for permits asked the advisor all at once, so that each answer came too late for its permits to be used, and
// none of them ran while others kept asking.
func TestStepsThatWaitForPermitsDoNotMakeAllAnswersLate(t *testing.T) {
	const steps = 100
	s := newSimulation(t, 20)
	a := &serialAdvisor{s: s}
	for i := range steps {
		s.p.AddJob(advisedJob(s, i, plainStep(1)), s.now)
	}
	// The advisor takes steps * testAdviceTime for one call a step; no step may wait for more than twice that.
	require.Equal(t, steps, a.startsWithin(2*steps*testAdviceTime))
}

// startsWithin plans for a time, and returns the number of starts.
func (a *serialAdvisor) startsWithin(d time.Duration) int {
	s, n := a.s, 0
	for began := s.now; s.now.Sub(began) < d; s.advance(10 * time.Millisecond) {
		for _, w := range s.p.workerList {
			s.reportAll(w)
		}
		a.run()
		x := s.plan()
		n += len(x[OrderStart])
		for _, o := range x[OrderAdvise] {
			a.add(o)
		}
	}
	return n
}

// A task waited for ever at an advisor that takes long for each worker, since requests named so many workers that no answer came in time.
func TestRequestsForPermitsNameFewerWorkersIfAnswersAreLate(t *testing.T) {
	s := newSimulation(t, maxAdviceCandidates)
	a := &serialAdvisor{s: s, eachTime: testAdvicePatience / (maxAdviceCandidates - 2)}
	s.p.AddJob(advisedJob(s, 1, plainStep(1)), s.now)
	// Each call that is too late costs the caller its patience, and the advisor its whole time.
	require.Equal(t, 1, a.startsWithin(5*testAdvicePatience))
}

// What the advisor said about finished jobs was kept for as long as the owner lasted, and a late answer created it again.
func TestAdviceOnFinishedJobsIsDropped(t *testing.T) {
	s := newSimulation(t, 1)
	for i := range 3 {
		s.p.AddJob(advisedJob(s, i, plainStep(1)), s.now)
	}
	x := s.plan()[OrderAdvise]
	require.Len(t, x, 3)
	for i := range 3 {
		s.p.Cancel(testID(i), s.now)
		s.p.finalizeJob(s.p.Job(testID(i)), s.now)
	}
	s.permitAll(x)
	require.Empty(t, s.p.advice)
	require.Zero(t, s.p.adviceCalls.inFlight)
}

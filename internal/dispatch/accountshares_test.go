package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/account"
	"currantknot.dev/currantknot/internal/jobs"
)

// every returns n jobs of an account at an interval.
func every(name string, n int, d time.Duration, x replayJob) []replayJob {
	l := make([]replayJob, n)
	for i := range l {
		l[i] = x
		l[i].account, l[i].at = name, x.at+time.Duration(i)*d
	}
	return l
}

// Guards against a small account that waits behind one with a large backlog, behind many like it, or behind one very large job.
func TestSmallAccountIsNotStarved(t *testing.T) {
	const (
		workers  = 10
		duration = 12 * time.Second
		// maxWait is the longest wait of a task of the small account: the run time of a batch task, and a second.
		maxWait = 2700 * time.Millisecond
	)
	batch := replayJob{priority: 2, tasks: 10, took: 1700 * time.Millisecond}
	var many []replayJob
	for n := range 60 {
		many = append(many, every(fmt.Sprintf("other-%02d", n), 12, time.Second, batch)...)
	}
	small := replayJob{at: 3 * time.Second, priority: 2, tasks: 1, took: 1700 * time.Millisecond}
	for name, l := range map[string][]replayJob{
		"one account":    every("other", 240, 50*time.Millisecond, batch),
		"many equal":     many,
		"one large job":  every("other", 1, 0, replayJob{priority: 2, tasks: 5000, took: 1700 * time.Millisecond}),
		"urgent backlog": every("other", 120, 100*time.Millisecond, replayJob{tasks: 40, took: 640 * time.Millisecond}),
	} {
		t.Run(name, func(t *testing.T) {
			a := []account.Account{{Name: "small", Weight: 20}, {Name: "other", Weight: 20}}
			for n := range 60 {
				a = append(a, account.Account{Name: fmt.Sprintf("other-%02d", n), Weight: 20})
			}
			r := newReplay(t, workers, a, append(l, every("small", 6, time.Second, small)...))
			r.run(3 * time.Second)
			require.Zero(t, r.freeMilliCPU(), "the workers are full")
			r.run(duration - 3*time.Second)
			require.Len(t, r.waits["small"], 6)
			for _, x := range r.waits["small"] {
				require.Less(t, x.waited, maxWait)
			}
		})
	}
}

// Guards against jobs without an account that wait behind an account over its share.
func TestJobsWithoutAnAccountComeBeforeAccountsOverTheirShare(t *testing.T) {
	batch := replayJob{priority: 2, tasks: 10, took: 1700 * time.Millisecond}
	l := every("other", 240, 50*time.Millisecond, batch)
	l = append(l, every("", 6, time.Second, replayJob{at: 3 * time.Second, priority: 2, tasks: 2, took: time.Second})...)
	l = append(l, every("second", 40, 200*time.Millisecond, replayJob{priority: 2, tasks: 1, took: time.Second})...)
	r := newReplay(t, 10, []account.Account{{Name: "other", Weight: 20}, {Name: "second", Weight: 20}}, l)
	r.run(12 * time.Second)
	require.Len(t, r.waits[""], 12)
	for _, x := range r.waits[""] {
		require.Less(t, x.waited, 500*time.Millisecond)
	}
}

// Guards against capacity that stays idle while only accounts over their share wait.
func TestSharesKeepNothingIdle(t *testing.T) {
	a := []account.Account{{Name: "a", Weight: 1000}, {Name: "b", Weight: 1}}
	r := newReplay(t, 4, a, append(every("b", 1, 0, replayJob{tasks: 100, took: time.Minute}), every("a", 1, 0, replayJob{tasks: 2, took: time.Minute})...))
	r.run(time.Second)
	require.Zero(t, r.freeMilliCPU())
	require.Len(t, r.waits["a"], 2)
	require.Len(t, r.waits["b"], 62)
}

// Guards against an account that takes more than its share in one plan, in which much capacity is free.
func TestSharesHoldWithinAPlan(t *testing.T) {
	s := newSimulation(t, 4)
	s.p.SetAccounts([]account.Account{{Name: "a", Weight: 300}, {Name: "b", Weight: 100}})
	for n, name := range []string{"b", "a"} {
		s.p.AddJob(jobs.New(jobs.Spec{ID: testID(n), Account: name, Queue: testQueue(), Steps: []jobs.Step{plainStep(64)}, SubmittedAt: s.now}), s.now)
	}
	require.Len(t, s.plan()[OrderStart], 64)
	require.InDelta(t, 16*2000, s.p.accounts.ledger.Used("b").MilliCPU, 2000, "16 of 64 tasks")
	require.InDelta(t, 48*2000, s.p.accounts.ledger.Used("a").MilliCPU, 2000)
}

// Guards against batch jobs that go before urgent ones of an account that is over its share for a while.
func TestPriorityComesBeforeSharesInABurst(t *testing.T) {
	s := newSimulation(t, 1)
	s.p.SetAccounts([]account.Account{{Name: "a", Weight: 100}, {Name: "b", Weight: 100}})
	add := func(n int, name string, priority, tasks int) {
		q := testQueue()
		q.Priority = priority
		s.p.AddJob(jobs.New(jobs.Spec{ID: testID(n), Account: name, Queue: q, Steps: []jobs.Step{plainStep(tasks)}, SubmittedAt: s.now}), s.now)
	}
	add(1, "a", 0, 12)
	add(2, "b", 2, 16)
	require.Len(t, ofJob(s.plan()[OrderStart], testID(1)), 12)
}

// The line tells callers that their jobs wait since their account is over its share.
func TestWaitTellsThatTheAccountIsOverItsShare(t *testing.T) {
	s, log := newLoggedSimulation(t, 1)
	s.p.SetAccounts([]account.Account{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}})
	add := func(n int, name string) {
		s.p.AddJob(jobs.New(jobs.Spec{ID: testID(n), Account: name, Queue: testQueue(), Steps: []jobs.Step{plainStep(20)}, SubmittedAt: s.now}), s.now)
	}
	add(1, "a")
	s.accept(s.plan()[OrderStart])
	add(2, "b")
	s.pass(waitLogInterval + time.Second)
	over := make(map[any]any)
	for _, x := range log.with(t, "Wait") {
		over[x["Account"]] = x["OverShare"]
	}
	require.Equal(t, map[any]any{"a": true, "b": false}, over)
}

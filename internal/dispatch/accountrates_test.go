package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/account"
	"currantknot.dev/currantknot/internal/jobs"
)

// newRateSimulation returns a simulation with one worker that holds the given number of tasks of plainStep.
func newRateSimulation(t *testing.T, tasks int) *simulation {
	t.Helper()
	s := newSimulation(t, 1)
	s.shrink(tasks*plainStep(1).Size.MilliCPU, 128000)
	s.p.SetAccounts([]account.Account{{Name: "a", Weight: 2}, {Name: "b", Weight: 2}})
	return s
}

// submit adds a job with one task of an account and a priority.
func (s *simulation) submit(n int, account string, priority int) *jobs.Job {
	q := testQueue()
	q.Priority = priority
	j := jobs.New(jobs.Spec{ID: testID(n), Account: account, Queue: q, Steps: []jobs.Step{plainStep(1)}, SubmittedAt: s.now})
	s.p.AddJob(j, s.now)
	return j
}

// Guards against a flood of urgent jobs of one account that goes before all jobs of lower priority of the others.
func TestJobsBeyondTheRateComeAfterAllOthers(t *testing.T) {
	s := newRateSimulation(t, 4)
	for n := range 10 {
		s.submit(n, "a", 0)
	}
	s.submit(20, "b", 2)
	s.submit(21, "", 2)
	var l []string
	for _, o := range s.plan()[OrderStart] {
		l = append(l, o.Job)
	}
	require.ElementsMatch(t, []string{testID(0), testID(1), testID(20), testID(21)}, l)
}

// Guards against idle workers while only jobs beyond the rates wait.
func TestJobsBeyondTheRateUseWhatIsLeft(t *testing.T) {
	s := newRateSimulation(t, 10)
	for n := range 10 {
		s.submit(n, "a", 0)
	}
	require.Len(t, s.plan()[OrderStart], 10)
	for n := range 4 {
		s.submit(20+n, "b", 0)
	}
	x := s.plan()
	require.Empty(t, x[OrderStop], "nothing that runs is stopped for the rate")
	require.Empty(t, x[OrderStart])
}

// Guards against a change of owner after which other jobs are beyond the rate.
func TestNewOwnerPutsTheSameJobsBeyondTheRate(t *testing.T) {
	s := newRateSimulation(t, 1)
	var l []*jobs.Job
	for n := range 40 {
		l = append(l, s.submit((n*7)%40, "a", 0))
		if n%3 == 0 {
			s.advance(150 * time.Millisecond)
		}
	}
	p := New(s.p.Config, s.now)
	p.SetAccounts(s.p.accounts.configured)
	for i := range l {
		j := l[len(l)-1-i]
		p.AddJob(restore(t, j), s.now)
	}
	n := 0
	for _, j := range l {
		require.Equal(t, s.p.accounts.rates.IsBeyond(j.ID), p.accounts.rates.IsBeyond(j.ID), j.ID)
		if p.accounts.rates.IsBeyond(j.ID) {
			n++
		}
	}
	require.NotZero(t, n)
	require.NotEqual(t, len(l), n)
}

// Guards against workers that are kept for a job beyond the rate while jobs within the rates wait for them.
func TestJobBeyondTheRateReservesNoWorker(t *testing.T) {
	f := newFullFleet(t, 4)
	f.p.SetAccounts([]account.Account{{Name: "account", Weight: 1}})
	large := jobs.Step{Tasks: 1, Size: jobs.Resources{MilliCPU: 20000, MemoryMB: 2000}, LongRunning: true}
	for n := range 2 {
		j := accountJob(250+n, f.now, large)
		j.Tasks[0][0][0].Run = 1
		f.p.AddJob(j, f.now)
	}
	f.run(300 * time.Millisecond)
	require.Equal(t, 1, f.p.reservations.count, "the first job is within the rate")
}

func TestWaitTellsThatTheJobIsBeyondTheRate(t *testing.T) {
	s, log := newLoggedSimulation(t, 1)
	s.shrink(1000, 128000)
	s.p.SetAccounts([]account.Account{{Name: "a", Weight: 1}})
	s.submit(1, "a", 0)
	s.submit(2, "a", 0)
	s.p.Plan(s.now)
	s.advance(waitLogInterval)
	s.report(testWorker(0).ID, nil)
	s.p.Plan(s.now)
	l := log.with(t, "Wait")
	require.Len(t, l, 2)
	require.Equal(t, false, l[0]["BeyondRate"])
	require.Equal(t, true, l[1]["BeyondRate"])
	require.Equal(t, "a", l[1]["Account"])
}

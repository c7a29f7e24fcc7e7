package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

// interruptedAdvisedService returns a job with a long-running task that needs a permit and had a run before.
func (s *simulation) interruptedAdvisedService() *jobs.Job {
	j := advisedJob(s, 1, serviceStep(1, 8000))
	t := j.Tasks[0][0][0]
	require.True(s, j.Assign(t, "i-gone", testIncarnation, s.now))
	j.Release(t)
	s.p.AddJob(j, s.now)
	return j
}

// advice returns the requests for advice that are made now, without a plan.
func (s *simulation) advice() []Order {
	s.p.sendAdviceRequests(s.now)
	_, l := s.p.TakeChanges()
	return slices.DeleteFunc(l, func(o Order) bool { return o.Kind != OrderAdvise })
}

// timeUntilAdvisedStart plans for at most the given time, lets the advisor permit all that it is asked about, and returns the time until the
// first start.
func (s *simulation) timeUntilAdvisedStart(limit time.Duration) time.Duration {
	for began := s.now; s.now.Sub(began) < limit; s.advance(maxTestPlanInterval) {
		for _, w := range s.p.workerList {
			s.reportAll(w)
		}
		x := s.plan()
		s.permitAll(x[OrderAdvise])
		if len(x[OrderStart]) > 0 {
			return s.now.Sub(began)
		}
	}
	return limit
}

// A long-running task waited for a permit for the only worker with capacity until that was no longer avoided, since the advisor was
// asked about other workers than those that the task may go to.
func TestLongRunningTaskIsAdvisedOnAnAvoidedWorker(t *testing.T) {
	s := newSimulation(t, 1)
	s.p.workers["i-00"].avoidUntil = s.now.Add(failureBackoff)
	s.interruptedAdvisedService()
	require.LessOrEqual(t, s.timeUntilAdvisedStart(failureBackoff), avoidedWorkerDelay+2*maxTestPlanInterval)
}

// A long-running task waited for a permit for the only worker with capacity for as long as that was reserved for another task.
func TestLongRunningTaskIsAdvisedOnAReservedWorker(t *testing.T) {
	s := newSimulation(t, 1)
	s.p.reservations.add("i-00", reservation{ref: jobs.Ref{Job: testID(9)}, size: jobs.Resources{MilliCPU: 30000, MemoryMB: 1000}, freeAt: s.now})
	j := s.interruptedAdvisedService()
	c := &candidateStep{job: j, step: &j.Steps[0], tasks: j.Tasks[0][0]}
	s.p.waits.since[c.tasks[0].Ref] = s.now.Add(-maxInterruptedWait)
	s.p.requestAdvice(c, s.now)
	x := s.advice()
	require.Len(t, x, 1)
	require.Equal(t, []string{"i-00"}, x[0].Candidates)
}

// refuseAll lets the advisor refuse all candidates of the requests.
func (s *simulation) refuseAll(l []Order) {
	for _, o := range l {
		s.p.HandleAdvice(o, nil, s.now.Add(testPermitLifetime), true, s.now)
	}
}

// A service on a worker that was to leave was stopped for a worker that the advisor refuses, and then had no run.
func TestDrainStopsNoServiceForAWorkerThatTheAdvisorRefuses(t *testing.T) {
	for name, answer := range map[string]func(*simulation, []Order){"refused": (*simulation).refuseAll, "permitted": (*simulation).permitAll} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 2)
			j := advisedJob(s, 1, serviceStep(1, 8000))
			require.True(t, j.Assign(j.Tasks[0][0][0], "i-01", testIncarnation, s.now))
			s.p.AddJob(j, s.now)
			running := []RunningAttempt{{Ref: j.Tasks[0][0][0].Ref, Run: 1}}
			draining := testWorker(1)
			draining.Draining = true
			s.p.SetWorkers([]WorkerInfo{testWorker(0), draining}, s.now)
			stops := 0
			for range 10 {
				s.report("i-00", nil)
				s.report("i-01", running)
				x := s.plan()
				stops += len(x[OrderStop])
				answer(s, x[OrderAdvise])
				s.advance(maxTestPlanInterval)
			}
			if name == "refused" {
				require.Zero(t, stops, "the task has no other place")
				return
			}
			require.NotZero(t, stops, "the task moves once another worker is permitted")
		})
	}
}

// A task on a straggler was stopped again and again for faster workers that the advisor refuses.
func TestTaskStaysOnAStragglerIfTheAdvisorRefusesAllOthers(t *testing.T) {
	s := newSimulation(t, 2)
	j := advisedJob(s, 1, plainStep(1))
	x := j.Tasks[0][0][0]
	require.True(t, j.Assign(x, "i-01", testIncarnation, s.now))
	s.p.AddJob(j, s.now)
	s.report("i-01", []RunningAttempt{{Ref: x.Ref, Run: 1}})
	w := s.p.workers["i-01"]
	a := w.attempts[x.Ref]
	require.Nil(t, s.p.workerElsewhere(w, a, s.now), "the advisor was not asked yet")
	s.refuseAll(s.advice())
	require.False(t, s.p.hasCapacityElsewhere(w, a, s.now))
	require.False(t, s.p.hasFasterWorker(w, a, s.now))
	require.Empty(t, s.advice(), "a refusal holds for the incarnation")
}

// A service whose worker was lost waited for its permit only once the lease had expired, in addition to that time.
func TestPermitsAreRequestedBeforeALeaseExpires(t *testing.T) {
	s := newSimulation(t, 2)
	j := advisedJob(s, 1, serviceStep(1, 8000))
	x := j.Tasks[0][0][0]
	require.True(t, j.Assign(x, "i-01", testIncarnation, s.now))
	s.p.AddJob(j, s.now)
	s.report("i-01", []RunningAttempt{{Ref: x.Ref, Run: 1}})
	expiry := s.p.workers["i-01"].leaseUntil
	for s.now.Before(expiry) {
		s.advance(maxTestPlanInterval)
		s.report("i-00", nil)
		o := s.plan()
		require.True(t, len(o[OrderAdvise]) == 0 || expiry.Sub(s.now) <= adviceLead, "the permit would expire")
		s.permitAll(o[OrderAdvise])
		if len(o[OrderStart]) > 0 {
			require.Equal(t, "i-00", o[OrderStart][0].Worker)
			return
		}
	}
	require.Fail(t, "the task did not start when the lease expired")
}

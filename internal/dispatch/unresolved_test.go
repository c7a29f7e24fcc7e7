package dispatch

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

// takeOverWith starts the next owner with a job as it is stored, after the leases of the former one.
func (s *simulation) takeOverWith(j *jobs.Job) *jobs.Job {
	s.Helper()
	progress, err := j.EncodeProgress()
	require.NoError(s, err)
	suspicions, _, err := j.EncodeSuspicions()
	require.NoError(s, err)
	n, err := jobs.Restore(j.Spec, progress)
	require.NoError(s, err)
	if suspicions != nil {
		require.NoError(s, n.RestoreSuspicions(suspicions))
	}
	lastCommitAt := s.now
	s.advance(testStoreLossGrace + 2*testLease)
	s.p = New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, LastCommitAt: lastCommitAt, Logger: zerolog.Nop()}, s.now)
	s.p.SetWorkers([]WorkerInfo{testWorker(0)}, s.now)
	s.p.AddJob(n, s.now)
	return n
}

// failRuns lets the runs of the only task fail until it has not started for a while, and returns the number of its latest run.
func (s *simulation) failRuns(number int64) int {
	s.Helper()
	run := 0
	for idle := 0; idle < 20; idle++ {
		s.advance(time.Second)
		s.p.SetWorkers([]WorkerInfo{testWorker(0)}, s.now)
		s.report("i-00", nil)
		l := s.plan()[OrderStart]
		if len(l) == 0 {
			continue
		}
		number++
		run, idle = l[0].Run, 0
		s.p.HandleStartResult(l[0], ResultAccepted, s.now)
		s.advance(100 * time.Millisecond)
		s.report("i-00", nil, FinishedAttempt{Ref: l[0].Ref, Number: number, Run: l[0].Run, Outcome: jobs.OutcomeFailed})
	}
	return run
}

// A new owner that took over after the leases released the attempts of the former one, and acknowledged their failed ends without counting
// them, so that a task started once more than it may (review, case 10).
func TestFailureOfAReleasedAttemptCounts(t *testing.T) {
	s := newSimulation(t, 1)
	j := testJob(testID(1), s.now, plainStep(1))
	s.p.AddJob(j, s.now)
	o := s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultAccepted, s.now)
	failed := FinishedAttempt{Ref: o.Ref, Number: 1, Run: o.Run, Outcome: jobs.OutcomeFailed}
	for _, x := range []struct {
		name string
		// owners is the number of owners that are lost between the release and the report of the end.
		owners int
	}{{"by the owner that released it", 0}, {"by a later owner", 1}} {
		t.Run(x.name, func(t *testing.T) {
			s := &simulation{T: t, p: s.p, now: s.now}
			n := s.takeOverWith(j)
			s.p.ExpireLeases(s.now)
			require.Equal(t, jobs.TaskWaiting, n.Tasks[0][0][0].State)
			for range x.owners {
				n = s.takeOverWith(n)
			}
			for range 2 {
				s.report("i-00", nil, failed)
				require.Equal(t, 1, n.Tasks[0][0][0].Failures, "a repeated end counts once")
			}
			require.Equal(t, int64(1), s.p.workers["i-00"].ackNumber)
			require.Equal(t, testQueue().MaxAttempts, s.failRuns(1))
			require.Equal(t, jobs.StateFailed, n.State())
		})
	}
}

// An end that an earlier owner has counted and not acknowledged counts once.
func TestFailureThatAnEarlierOwnerCountedDoesNotCountAgain(t *testing.T) {
	s := newSimulation(t, 1)
	j := testJob(testID(1), s.now, plainStep(1))
	s.p.AddJob(j, s.now)
	o := s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultAccepted, s.now)
	s.advance(100 * time.Millisecond)
	failed := FinishedAttempt{Ref: o.Ref, Number: 1, Run: o.Run, Outcome: jobs.OutcomeFailed}
	s.report("i-00", nil, failed)
	n := s.takeOverWith(j)
	s.p.ExpireLeases(s.now)
	s.report("i-00", nil, failed)
	require.Equal(t, 1, n.Tasks[0][0][0].Failures)
}

// A released attempt of which the worker reports another outcome is forgotten, and so are those of a job that is over.
func TestUnresolvedAttemptsHaveAnEnd(t *testing.T) {
	s := newSimulation(t, 1)
	j := testJob(testID(1), s.now, plainStep(2))
	s.p.AddJob(j, s.now)
	l := s.plan()[OrderStart]
	for _, o := range l {
		s.p.HandleStartResult(o, ResultAccepted, s.now)
	}
	n := s.takeOverWith(j)
	s.p.ExpireLeases(s.now)
	require.Len(t, n.Tasks[0][0][0].Unresolved, 1)
	s.report("i-00", nil, FinishedAttempt{Ref: l[0].Ref, Number: 1, Run: 1, Outcome: jobs.OutcomeExpired}, FinishedAttempt{Ref: l[1].Ref, Number: 2, Run: 1, Outcome: jobs.OutcomeDone})
	for _, x := range n.Tasks[0][0] {
		require.Empty(t, x.Unresolved)
		require.Zero(t, x.Failures)
	}
	b, _, err := n.EncodeSuspicions()
	require.NoError(t, err)
	require.Nil(t, b)
}

package dispatch

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/lease"
)

// A start got no response, and its worker accepted the stop, which released the task. The worker crashed, and its next incarnation,
// which knew neither the stop nor a fencing token, executed the start while the task ran elsewhere.
func TestTaskStartsNowhereElseWhileTheNextIncarnationMayStartIt(t *testing.T) {
	s := newSimulation(t, 3)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	o := s.startUnanswered()
	s.advance(100 * time.Millisecond)
	s.reportIdle()
	second := s.plan()[OrderStart]
	require.Len(t, second, 1)
	require.Equal(t, o.Worker, second[0].Worker)
	s.p.HandleStartResult(second[0], ResultAccepted, s.now)
	s.advance(time.Second)
	s.report(o.Worker, []RunningAttempt{{Ref: o.Ref, Run: 2}})

	s.advance(time.Second)
	reborn := Report{Worker: o.Worker, Incarnation: testIncarnation + 1, RequestedAt: s.now, Running: []RunningAttempt{{Ref: o.Ref, Run: o.Run}}}
	s.p.HandleReport(reborn, s.now)
	s.listRestarted(o.Worker)
	x := s.plan()
	require.Empty(t, x[OrderStart], "the late start runs")
	require.Len(t, x[OrderStop], 1)
	s.advance(maxStartLateness)
	reborn.RequestedAt = s.now
	s.p.HandleReport(reborn, s.now)
	require.Empty(t, s.plan()[OrderStart], "the late start is not stopped yet")
	s.advance(100 * time.Millisecond)
	reborn.RequestedAt, reborn.Running = s.now, nil
	s.p.HandleReport(reborn, s.now)
	require.Len(t, s.plan()[OrderStart], 1, "the worker runs nothing, and refuses the late start by its token")
}

// A start got no response, and its worker accepted the stop, which released the task. The task was done elsewhere, the worker crashed,
// and its next incarnation executed the start.
func TestTaskIsNotReleasedWhileAWorkerThatRestartsMayStartIt(t *testing.T) {
	s := newSimulation(t, 2)
	s.p.WorkersRestart = true
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	o := s.startUnanswered()
	sentAt := s.now
	for s.now.Sub(sentAt) < maxStartLateness-time.Second {
		s.advance(500 * time.Millisecond)
		s.reportIdle()
		require.Empty(t, s.plan()[OrderStart], "%v after the start was sent", s.now.Sub(sentAt))
	}
	running := RunningAttempt{Ref: o.Ref, Run: o.Run}
	s.p.HandleReport(Report{Worker: o.Worker, Incarnation: testIncarnation + 1, RequestedAt: s.now, Running: []RunningAttempt{running}}, s.now)
	s.listRestarted(o.Worker)
	require.Len(t, s.plan()[OrderStop], 1, "the late start runs")
	s.advance(maxStartLateness)
	s.p.HandleReport(Report{Worker: o.Worker, Incarnation: testIncarnation + 1, RequestedAt: s.now, Running: []RunningAttempt{running}}, s.now)
	require.Empty(t, s.plan()[OrderStart], "the late start is not stopped yet")
}

// Guards against a later owner that does not know that workers start again under their IDs.
func TestRestartOfAWorkerIsKnownToLaterOwners(t *testing.T) {
	s := newSimulation(t, 2)
	require.False(t, s.p.WorkersRestart)
	s.reportRestarted("i-00")
	require.True(t, s.p.WorkersRestart)
	b, err := s.p.PrepareSnapshot(s.now)
	require.NoError(t, err)
	s.p = New(Config{Logger: zerolog.Nop()}, s.now)
	require.NoError(t, s.p.RestoreSnapshot(b))
	require.True(t, s.p.WorkersRestart)
}

// Guards against a task that starts elsewhere when the worker of a lost start restarts, before that has responded.
func TestTaskOfALostStartWaitsForItsWorker(t *testing.T) {
	s := newSimulation(t, 2)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	o := s.startUnanswered()
	sentAt := s.now
	s.advance(100 * time.Millisecond)
	s.report(o.Worker, nil)
	s.p.SyncFailed(o.Worker, true, s.now)
	for s.advance(500 * time.Millisecond); s.now.Sub(sentAt) < lease.MaxLateness; s.advance(500 * time.Millisecond) {
		s.reportOthers(o.Worker)
		require.Empty(t, s.plan()[OrderStart], "%v after the start was sent", s.now.Sub(sentAt))
	}
	s.reportOthers(o.Worker)
	l := s.plan()[OrderStart]
	require.Len(t, l, 1, "no incarnation executes the start any more")
	require.NotEqual(t, o.Worker, l[0].Worker)
}

// Guards against a long wait for a start that was lost: the task of a worker that responds starts again before a rule counts it.
func TestTaskOfALostStartStartsAgainSoon(t *testing.T) {
	const bound = 6 * time.Second
	s := newSimulation(t, 2)
	s.p.WorkersRestart = true
	step := plainStep(1)
	step.LongRunning = true
	s.p.AddJob(testJob(testID(1), s.now, step), s.now)
	s.startUnanswered()
	for waited := time.Duration(0); waited < bound; waited += 200 * time.Millisecond {
		s.advance(200 * time.Millisecond)
		s.reportIdle()
		if l := s.plan()[OrderStart]; len(l) > 0 {
			require.Equal(t, 2, l[0].Run)
			return
		}
	}
	require.Fail(t, "the task did not start again", "in %v", bound)
}

// Guards against a new owner that keeps tasks waiting for starts of an owner that was lost long before.
func TestTaskOfAnEarlierOwnersLostStartStartsAtTheFirstReport(t *testing.T) {
	s := newSimulation(t, 2)
	j := testJob(testID(1), s.now, plainStep(1))
	require.True(t, j.Assign(j.Tasks[0][0][0], "i-00", testIncarnation, s.now))
	s.advance(maxStartLateness)
	s.p = New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, LastCommitAt: s.now.Add(-maxStartLateness), Logger: zerolog.Nop()}, s.now)
	s.p.AddJob(j, s.now)
	s.setWorkers(2)
	require.Len(t, s.plan()[OrderStart], 1)
}

// Guards against a worker that executes a late call after it has responded to a later one, and against a call with a token that is
// lower than that of an earlier call.
func TestFenceRisesWithUnansweredStartsAndIncarnations(t *testing.T) {
	s := newSimulation(t, 2)
	s.p.Epoch = NextEpoch(0)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	before := s.p.Fence("i-00")
	o := s.startUnanswered()
	unanswered := s.p.Fence(o.Worker)
	require.Greater(t, unanswered, before)
	s.reportRestarted(o.Worker)
	reborn := s.p.Fence(o.Worker)
	require.Greater(t, reborn, unanswered)
	require.GreaterOrEqual(t, s.p.Fence("unknown"), reborn, "it may have been dropped from the list")
	for range 2 * fencesPerEpoch {
		s.p.raiseFence(s.p.workers[o.Worker])
	}
	require.Greater(t, NextEpoch(s.p.Epoch), s.p.Fence(o.Worker), "the next owner goes first")
}

// Guards against workers that refuse an owner of an earlier version, whose token is the epoch after that of the owner before it.
func TestOwnerOfAnEarlierVersionHasHigherTokens(t *testing.T) {
	s := newSimulation(t, 2)
	s.p.Epoch = NextEpoch(1234)
	require.Greater(t, s.p.Fence("i-00"), int64(1234))
	for range 2 * fencesPerEpoch {
		s.p.raiseFence(s.p.workers["i-00"])
	}
	earlier := s.p.Epoch + 1
	require.Less(t, s.p.Fence("i-00"), earlier)
	s.p.Epoch = NextEpoch(earlier)
	require.Greater(t, s.p.Fence("unknown"), earlier, "the owner after it goes first again")
}

// The start of an earlier owner counted from the first sending of its commit, and may be sent StoreLossGrace later.
func TestTaskOfARestoredStartWaitsForTheLatestSending(t *testing.T) {
	const grace = 2500 * time.Millisecond
	s := newSimulation(t, 2)
	j := testJob(testID(1), s.now, plainStep(1))
	require.True(t, j.Assign(j.Tasks[0][0][0], "i-00", testIncarnation, s.now))
	lastSentAt := s.now.Add(grace)
	s.p = New(Config{Lease: testLease, StoreLossGrace: grace, LastCommitAt: s.now, WorkersRestart: true, Logger: zerolog.Nop()}, s.now)
	s.p.AddJob(j, s.now)
	for s.advance(100 * time.Millisecond); s.now.Sub(lastSentAt) < maxStartLateness; s.advance(100 * time.Millisecond) {
		s.setWorkers(2)
		require.Empty(t, s.plan()[OrderStart], "%v after the start may have been sent", s.now.Sub(lastSentAt))
	}
	s.setWorkers(2)
	require.Len(t, s.plan()[OrderStart], 1)
}

// The attempt was stopped and released while the call that starts it was still on its way, so that the call to the worker's next
// incarnation had the same token, and the start was executed there although the task ran elsewhere.
func TestTokenExceedsThatOfAStartWhoseAttemptIsReleased(t *testing.T) {
	s := newSimulation(t, 2)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	o := s.plan()[OrderStart][0]
	w, sent := s.p.workers[o.Worker], s.p.Fence(o.Worker)
	s.p.stop(w, w.attempts[o.Ref], "instance is due for maintenance", s.now)
	s.p.HandleStopResult(s.plan()[OrderStop][0], ResultAccepted, s.now)
	s.advance(100 * time.Millisecond)
	s.report(o.Worker, nil)
	require.Empty(t, w.attempts)
	require.Greater(t, s.p.Fence(o.Worker), sent)
	released := s.p.Fence(o.Worker)
	s.p.HandleStartResult(o, ResultUnknown, s.now)
	require.Greater(t, s.p.Fence(o.Worker), released, "a start without a response always raises the token")
}

// A suspect that was bound to a worker found a better one in each plan, was not started there, and began its wait again.
func TestBoundSuspectStartsAtItsWorker(t *testing.T) {
	s := newSimulation(t, 4)
	step := plainStep(1)
	step.LongRunning = true
	j := testJob(testID(1), s.now, step)
	j.RecordLoss(j.Tasks[0][0][0], jobs.Loss{Worker: "i-90"})
	j.RecordLoss(j.Tasks[0][0][0], jobs.Loss{Worker: "i-91"})
	s.p.AddJob(j, s.now)
	o := s.startUnanswered()
	s.occupy(7, o.Worker, 8000)
	sentAt := s.now
	for s.now.Sub(sentAt) < longRunningSuspectDelay+time.Second {
		s.advance(100 * time.Millisecond)
		s.reportOthers(o.Worker)
		s.report(o.Worker, []RunningAttempt{{Ref: jobs.Ref{Job: testID(7)}, Run: 1}})
		if l := s.plan()[OrderStart]; len(l) > 0 {
			require.Equal(t, o.Worker, l[0].Worker)
			return
		}
	}
	require.Fail(t, "the suspect was not started at its worker")
}

// startUnanswered plans a start that gets no response, and lets its worker accept the stop.
func (s *simulation) startUnanswered() Order {
	o := s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultUnknown, s.now)
	s.p.HandleStopResult(s.plan()[OrderStop][0], ResultAccepted, s.now)
	return o
}

// reportIdle lets all workers report that they run nothing.
func (s *simulation) reportIdle() { s.reportOthers("") }

// reportOthers lets all workers but one report that they run nothing.
func (s *simulation) reportOthers(silent string) {
	for _, w := range s.p.SyncTargets() {
		if w.ID != silent {
			s.report(w.ID, nil)
		}
	}
}

// Each owner waited anew for a start that may be executed late, so that a series of lost owners never ended the wait.
func TestLateStartIsNotWaitedForAgainByEachOwner(t *testing.T) {
	s := newSimulation(t, 2)
	s.p.WorkersRestart = true
	j := testJob(testID(1), s.now, longRunningStep(1))
	s.p.AddJob(j, s.now)
	o := s.startUnanswered()
	s.reportRestarted(o.Worker)
	overAt := s.now.Add(testStoreLossGrace + maxStartLateness)
	for s.now.Before(overAt.Add(time.Second)) {
		b, err := s.p.PrepareSnapshot(s.now)
		require.NoError(t, err)
		committedAt := s.now
		s.advance(2 * time.Second)
		s.p = New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, LastCommitAt: committedAt, Logger: zerolog.Nop()}, s.now)
		require.NoError(t, s.p.RestoreSnapshot(b))
		j = restore(t, j)
		s.p.SetWorkers([]WorkerInfo{testWorker(0), testWorker(1)}, s.now)
		s.p.AddJob(j, s.now)
		s.reportRestarted(o.Worker)
	}
	s.advance(100 * time.Millisecond)
	s.reportRestarted(o.Worker)
	s.reportOthers(o.Worker)
	require.Len(t, s.plan()[OrderStart], 1, "no incarnation executes the start any more")
}

// A start of another attempt may be executed for longer than the one that the snapshot names.
func TestLateStartOfAnotherAttemptIsWaitedForInFull(t *testing.T) {
	s := newSimulation(t, 1)
	s.p.restoreLateStarts([]lateStartRecord{{Task: testID(1) + ".0.0.0", Run: 1, Millis: 10}, {Task: "no task", Run: 1, Millis: 10}, {Task: testID(2) + ".0.0.0", Run: 1, Millis: -1}})
	j := testJob(testID(1), s.now, plainStep(1))
	task := j.Tasks[0][0][0]
	first := &attempt{job: j, task: task, run: 1, restored: true}
	second := &attempt{job: j, task: task, run: 2, restored: true}
	require.Equal(t, s.p.LastCommitAt.Add(10*time.Millisecond), s.p.lateStartEnd(first))
	require.Equal(t, s.p.lastGrantAt().Add(maxStartLateness), s.p.lateStartEnd(second))
}

// A wait for a late start that was over, while the lease of its worker was not, began anew with the next owner.
func TestLateStartThatIsOverIsNotWaitedForAgain(t *testing.T) {
	s := newSimulation(t, 2)
	s.p.WorkersRestart = true
	j := testJob(testID(1), s.now, longRunningStep(1))
	s.p.AddJob(j, s.now)
	o := s.startUnanswered()
	s.advance(maxStartLateness + 300*time.Millisecond)
	require.Equal(t, jobs.TaskAssigned, j.Task(o.Ref).State)
	b, err := s.p.PrepareSnapshot(s.now)
	require.NoError(t, err)
	s.p = New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, LastCommitAt: s.now, Logger: zerolog.Nop()}, s.now)
	require.NoError(t, s.p.RestoreSnapshot(b))
	j = restore(t, j)
	s.p.SetWorkers([]WorkerInfo{testWorker(0), testWorker(1)}, s.now)
	s.p.AddJob(j, s.now)
	s.advance(100 * time.Millisecond)
	s.reportRestarted(o.Worker)
	s.reportOthers(o.Worker)
	require.Len(t, s.plan()[OrderStart], 1)
}

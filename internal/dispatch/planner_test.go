package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	testLease    = 6 * time.Second
	testDetached = 6 * time.Second
	testLife     = 1000
)

// scene is a planner with a clock and the orders that it gave.
type scene struct {
	*testing.T
	p   *Planner
	now time.Time
}

func newScene(t *testing.T, workers int) *scene {
	t.Helper()
	s := &scene{T: t, now: time.Unix(1_700_000_000, 0)}
	s.p = New(Config{Lease: testLease, StoreLossGrace: testDetached, Logger: zerolog.Nop()}, s.now)
	s.list(workers)
	return s
}

func member(i int) WorkerInfo {
	return WorkerInfo{
		ID: fmt.Sprintf("i-%02d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Pool: "pool", FailureDomain: fmt.Sprintf("domain-%d", i%3),
		Labels: []string{"a", fmt.Sprintf("rack-%d", i/4)}, Capacity: jobs.Resources{MilliCPU: 32000, MemoryMB: 128000}, Incarnation: testLife,
	}
}

// list lists workers and lets each answer that it runs nothing.
func (s *scene) list(n int) {
	l := make([]WorkerInfo, n)
	for i := range l {
		l[i] = member(i)
	}
	s.p.SetWorkers(l, s.now)
	for _, m := range l {
		s.report(m.ID, nil)
	}
}

// report lets a worker answer a question that left a moment ago.
func (s *scene) report(id string, running []RunningAttempt, ended ...FinishedAttempt) {
	s.p.Report(Report{Worker: id, Incarnation: testLife, RequestedAt: s.now, Running: running, Finished: ended}, s.now)
}

func (s *scene) after(d time.Duration) { s.now = s.now.Add(d) }

// plan plans and commits, and returns the orders by their kind.
func (s *scene) plan() map[OrderKind][]Order {
	s.Helper()
	s.p.Plan(s.now)
	_, l := s.p.TakeChanges()
	m := make(map[OrderKind][]Order)
	for _, o := range s.p.OrdersCommitted(l, s.now) {
		m[o.Kind] = append(m[o.Kind], o)
	}
	return m
}

func testQueue() jobs.Queue {
	return jobs.Queue{Name: "queue", Pool: "pool", MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second}
}

func testID(n int) string { return fmt.Sprintf("%016x", n) }

func testJob(id string, now time.Time, steps ...jobs.Step) *jobs.Job {
	return jobs.New(jobs.Spec{ID: id, Queue: testQueue(), Payload: "payload", Steps: steps, SubmittedAt: now})
}

func plainStep(n int) jobs.Step {
	return jobs.Step{Tasks: n, Size: jobs.Resources{MilliCPU: 2000, MemoryMB: 1000}, Estimate: time.Second}
}

func TestStepsStartInOrder(t *testing.T) {
	s := newScene(t, 3)
	second := plainStep(1)
	second.After = []int{0}
	j := testJob(testID(1), s.now, plainStep(2), second)
	s.p.AddJob(j, s.now)
	first := s.plan()[OrderStart]
	require.Len(t, first, 2)
	require.Empty(t, s.plan()[OrderStart])
	for i, o := range first {
		s.p.HandleStartResult(o, ResultAccepted, s.now)
		s.after(time.Second)
		s.report(o.Worker, nil, FinishedAttempt{Ref: o.Ref, Number: int64(i + 1), Run: o.Run, Outcome: jobs.OutcomeDone})
	}
	l := s.plan()[OrderStart]
	require.Len(t, l, 1)
	require.Equal(t, 1, l[0].Step)
	require.Equal(t, jobs.StateRunning, j.State())
	s.p.HandleStartResult(l[0], ResultAccepted, s.now)
	s.report(l[0].Worker, nil, FinishedAttempt{Ref: l[0].Ref, Number: 9, Run: 1, Outcome: jobs.OutcomeDone})
	require.Equal(t, jobs.StateCompleted, j.State())
}

func TestStartWithoutAnswerIsNotRunAgainBeforeItsStopIsAnswered(t *testing.T) {
	s := newScene(t, 2)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	o := s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultUnknown, s.now)
	s.after(100 * time.Millisecond)
	s.report(o.Worker, nil)
	x := s.plan()
	require.Empty(t, x[OrderStart], "the start may still be carried out")
	require.Len(t, x[OrderStop], 1)
	s.p.HandleStopResult(x[OrderStop][0], ResultAccepted, s.now)
	require.Empty(t, s.plan()[OrderStart], "what runs is not known yet")
	s.after(100 * time.Millisecond)
	s.report(o.Worker, nil)
	l := s.plan()[OrderStart]
	require.Len(t, l, 1)
	require.Equal(t, 2, l[0].Run)
}

func TestSilentWorkerKeepsItsTasksUntilItsLeaseHasEnded(t *testing.T) {
	s := newScene(t, 2)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	o := s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultAccepted, s.now)
	// The lease that an earlier owner may have granted has ended, so that only our own counts.
	s.after(testDetached + 2*testLease)
	s.p.LeaseGranted(o.Worker, s.now)
	other := "i-00"
	if o.Worker == other {
		other = "i-01"
	}
	s.p.SyncFailed(o.Worker)
	for range 6 {
		s.after(time.Second)
		s.report(other, nil)
		require.Empty(t, s.plan()[OrderStart])
	}
	s.after(time.Second)
	s.report(other, nil)
	l := s.plan()[OrderStart]
	require.Len(t, l, 1)
	require.Equal(t, other, l[0].Worker)
}

func TestTakeoverAdoptsWhatRunsAndRestartsWhatDoesNot(t *testing.T) {
	s := newScene(t, 2)
	j := testJob(testID(1), s.now, plainStep(2))
	require.True(t, j.Assign(j.Tasks[0][0][0], "i-00", testLife, s.now))
	require.True(t, j.Assign(j.Tasks[0][0][1], "i-00", testLife, s.now))
	s.p = New(Config{Lease: testLease, StoreLossGrace: testDetached, Logger: zerolog.Nop()}, s.now)
	s.p.AddJob(j, s.now)
	s.p.SetWorkers([]WorkerInfo{member(0), member(1)}, s.now)
	require.Empty(t, s.plan()[OrderStart])
	s.after(50 * time.Millisecond)
	s.report("i-00", []RunningAttempt{{Ref: j.Tasks[0][0][0].Ref, Run: 1}})
	s.report("i-01", nil)
	l := s.plan()[OrderStart]
	require.Len(t, l, 1)
	require.Equal(t, j.Tasks[0][0][1].Ref, l[0].Ref)
	require.Equal(t, 2, l[0].Run)
}

// An owner that took over found a cancelled job whose attempt was still out, and left it running.
func TestTakeoverStopsAttemptsOfJobsThatAreOver(t *testing.T) {
	s := newScene(t, 1)
	step := plainStep(1)
	step.LongRunning = true
	j := testJob(testID(1), s.now, step)
	require.True(t, j.Assign(j.Tasks[0][0][0], "i-00", testLife, s.now))
	j.Cancel()
	s.p = New(Config{Lease: testLease, StoreLossGrace: testDetached, Logger: zerolog.Nop()}, s.now)
	s.p.SetWorkers([]WorkerInfo{member(0)}, s.now)
	s.p.AddJob(j, s.now)
	s.report("i-00", []RunningAttempt{{Ref: j.Tasks[0][0][0].Ref, Run: 1}})
	s.after(stopEvery)
	require.NotEmpty(t, s.plan()[OrderStop])
}

func TestNewLifeOfAWorkerFreesItsTasks(t *testing.T) {
	s := newScene(t, 1)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	o := s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultAccepted, s.now)
	s.after(time.Second)
	s.p.Report(Report{Worker: o.Worker, Incarnation: testLife + 1, RequestedAt: s.now}, s.now)
	l := s.plan()[OrderStart]
	require.Len(t, l, 1)
	require.Equal(t, 2, l[0].Run)
}

func TestStartOfAnEarlierLifeWithoutAnswerIsStoppedInTheNewOne(t *testing.T) {
	s := newScene(t, 1)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	s.plan()
	s.after(100 * time.Millisecond)
	s.p.Report(Report{Worker: "i-00", Incarnation: testLife + 1, RequestedAt: s.now}, s.now)
	x := s.plan()
	require.Empty(t, x[OrderStart])
	require.Len(t, x[OrderStop], 1)
}

func TestDrainingWorkersAndUnavailableDomainsGetNothing(t *testing.T) {
	s := newScene(t, 3)
	d := member(1)
	d.Draining = true
	s.p.SetWorkers([]WorkerInfo{member(0), d, member(2)}, s.now)
	s.p.SetDrainedDomains(map[string]bool{"domain-0": true})
	s.p.AddJob(testJob(testID(1), s.now, plainStep(8)), s.now)
	for _, o := range s.plan()[OrderStart] {
		require.Equal(t, "i-02", o.Worker)
	}
}

func TestPlanThatWaitedTooLongForItsCommitIsNotCarriedOut(t *testing.T) {
	s := newScene(t, 1)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	s.p.Plan(s.now)
	_, l := s.p.TakeChanges()
	require.Len(t, l, 1)
	require.Empty(t, s.p.OrdersCommitted(l, s.now.Add(2*planLimit)))
	require.Len(t, s.plan()[OrderStart], 1)
}

func TestFailuresBeyondTheBudgetEndTheJob(t *testing.T) {
	s := newScene(t, 4)
	j := testJob(testID(1), s.now, plainStep(1))
	s.p.AddJob(j, s.now)
	for i := range 3 {
		l := s.plan()[OrderStart]
		require.Len(t, l, 1)
		s.p.HandleStartResult(l[0], ResultAccepted, s.now)
		s.after(time.Second)
		s.report(l[0].Worker, nil, FinishedAttempt{Ref: l[0].Ref, Number: int64(i + 1), Run: l[0].Run, Outcome: jobs.OutcomeFailed})
	}
	require.Equal(t, jobs.StateFailed, j.State())
	require.Empty(t, s.plan()[OrderStart])
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	s := newScene(t, 1)
	step := plainStep(17)
	step.Gang = true
	j := testJob(testID(1), s.now, step)
	s.p.AddJob(j, s.now)
	require.Empty(t, s.plan()[OrderStart], "17 tasks of 2 cores need more than 32")
	step.Tasks = 16
	s.p.AddJob(testJob(testID(2), s.now, step), s.now)
	require.Len(t, s.plan()[OrderStart], 16)
}

// A new owner held the tasks of a worker that had crashed long before for the longest lease that anybody could have
// granted, so that long-running tasks were away for 17 s.
func TestSilenceIsKnownToTheNextOwner(t *testing.T) {
	s := newScene(t, 2)
	j := testJob(testID(1), s.now, plainStep(1))
	s.p.AddJob(j, s.now)
	o := s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultAccepted, s.now)
	s.after(testDetached + 2*testLease)
	s.p.LeaseGranted(o.Worker, s.now)
	s.p.SyncFailed(o.Worker)
	require.False(t, s.p.HasNewUnresponsive())
	s.p.SyncFailed(o.Worker)
	require.True(t, s.p.HasNewUnresponsive())
	s.after(4 * time.Second)
	b, err := s.p.EncodeSnapshot(s.now)
	require.NoError(t, err)
	s.p.SnapshotCommitted()
	s.report(o.Worker, []RunningAttempt{{Ref: o.Ref, Run: 1}})
	require.False(t, s.p.NeedsLease(o.Worker), "no lease before a record without the worker")
	p := New(Config{Lease: testLease, StoreLossGrace: testDetached, Logger: zerolog.Nop()}, s.now)
	p.SetWorkers([]WorkerInfo{member(0), member(1)}, s.now)
	require.NoError(t, p.RestoreSnapshot(b))
	p.AddJob(j, s.now)
	p.ExpireLeases(s.now.Add(2 * time.Second))
	require.Equal(t, jobs.TaskAssigned, j.Tasks[0][0][0].State)
	// The record of an owner that never reached the worker must not hide it from the one after that.
	b, err = p.EncodeSnapshot(s.now.Add(2 * time.Second))
	require.NoError(t, err)
	p.SnapshotCommitted()
	require.False(t, p.NeedsLease(o.Worker))
	p = New(Config{Lease: testLease, StoreLossGrace: testDetached, Logger: zerolog.Nop()}, s.now.Add(2*time.Second))
	p.SetWorkers([]WorkerInfo{member(0), member(1)}, s.now)
	require.NoError(t, p.RestoreSnapshot(b))
	p.AddJob(j, s.now)
	p.ExpireLeases(s.now.Add(3 * time.Second))
	require.Equal(t, jobs.TaskWaiting, j.Tasks[0][0][0].State)
}

func TestWorkerThatAnswersAgainIsGrantedALeaseAfterTheNextRecord(t *testing.T) {
	s := newScene(t, 1)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	o := s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultAccepted, s.now)
	s.p.SyncFailed(o.Worker)
	s.p.SyncFailed(o.Worker)
	_, err := s.p.EncodeSnapshot(s.now)
	require.NoError(t, err)
	s.p.SnapshotCommitted()
	s.after(100 * time.Millisecond)
	s.report(o.Worker, []RunningAttempt{{Ref: o.Ref, Run: 1}})
	require.True(t, s.p.HasNewUnresponsive())
	_, err = s.p.EncodeSnapshot(s.now)
	require.NoError(t, err)
	s.p.SnapshotCommitted()
	require.True(t, s.p.NeedsLease(o.Worker))
}

// An owner that had reached a worker held its tasks for what earlier owners might have granted since.
func TestWorkerThatAnsweredThisOwnerTakesNoLeaseOfEarlierOnes(t *testing.T) {
	s := newScene(t, 1)
	j := testJob(testID(1), s.now, plainStep(1))
	require.True(t, j.Assign(j.Tasks[0][0][0], "i-00", testLife, s.now))
	s.p = New(Config{Lease: testLease, StoreLossGrace: testDetached, Logger: zerolog.Nop()}, s.now)
	s.p.SetWorkers([]WorkerInfo{member(0)}, s.now)
	s.p.AddJob(j, s.now)
	s.report("i-00", []RunningAttempt{{Ref: j.Tasks[0][0][0].Ref, Run: 1}})
	s.p.SyncFailed("i-00")
	s.p.ExpireLeases(s.now.Add(testLease))
	require.Equal(t, jobs.TaskAssigned, j.Tasks[0][0][0].State)
	s.p.ExpireLeases(s.now.Add(testLease + time.Second))
	require.Equal(t, jobs.TaskWaiting, j.Tasks[0][0][0].State)
}

func TestLongRunningTaskThatRanBeforeTakesFromTheReserveAtOnce(t *testing.T) {
	s := newScene(t, 2)
	step := jobs.Step{Tasks: 1, Size: jobs.Resources{MilliCPU: 31000, MemoryMB: 1000}, LongRunning: true, Image: "service", TailBound: replayBound}
	j := testJob(testID(1), s.now, step)
	require.True(t, j.Assign(j.Tasks[0][0][0], "i-00", testLife, s.now))
	j.Release(j.Tasks[0][0][0])
	s.p.AddJob(j, s.now)
	require.Len(t, s.plan()[OrderStart], 1)
}

// A job whose starts were planned and taken back, or refused, was told as running, and its queue as shorter than it was.
func TestJobWaitsUntilAWorkerHasStartedATask(t *testing.T) {
	s := newScene(t, 1)
	j := testJob(testID(1), s.now, plainStep(1))
	s.p.AddJob(j, s.now)
	s.p.Plan(s.now)
	_, l := s.p.TakeChanges()
	require.Empty(t, s.p.OrdersCommitted(l, s.now.Add(2*planLimit)))
	require.Equal(t, jobs.StatePending, j.State())
	o := s.plan()[OrderStart][0]
	require.Equal(t, jobs.StatePending, j.State())
	s.p.HandleStartResult(o, ResultUnhealthy, s.now)
	require.Equal(t, jobs.StatePending, j.State())
	s.after(2 * time.Second)
	s.report("i-00", nil)
	o = s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultAccepted, s.now)
	require.Equal(t, jobs.StateRunning, j.State())
	changed, _ := s.p.TakeChanges()
	require.Len(t, changed, 1, "the change has to be committed")
}

// A long-running task that had failed at the only worker with room waited until another had some.
func TestLongRunningTaskReturnsToWhereItFailedIfNoOtherHasRoom(t *testing.T) {
	s := newScene(t, 4)
	full := plainStep(3)
	full.Size.MilliCPU = 31000
	s.p.AddJob(testJob(testID(1), s.now, full), s.now)
	for _, o := range s.plan()[OrderStart] {
		s.p.HandleStartResult(o, ResultAccepted, s.now)
	}
	step := plainStep(1)
	step.LongRunning = true
	j := testJob(testID(2), s.now, step)
	s.p.AddJob(j, s.now)
	first := s.plan()[OrderStart]
	require.Len(t, first, 1)
	s.p.HandleStartResult(first[0], ResultAccepted, s.now)
	s.after(time.Second)
	s.report(first[0].Worker, nil, FinishedAttempt{Ref: first[0].Ref, Number: 1, Run: 1, Outcome: jobs.OutcomeFailed})
	again := s.plan()[OrderStart]
	require.Len(t, again, 1)
	require.Equal(t, first[0].Worker, again[0].Worker)
}

// A task of which each failure counts goes elsewhere, or waits for that.
func TestTaskWithABudgetOfAttemptsAvoidsWhereItFailed(t *testing.T) {
	s := newScene(t, 2)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	o := s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultAccepted, s.now)
	s.after(time.Second)
	s.report(o.Worker, nil, FinishedAttempt{Ref: o.Ref, Number: 1, Run: 1, Outcome: jobs.OutcomeFailed})
	for range 3 {
		for _, x := range s.plan()[OrderStart] {
			require.NotEqual(t, o.Worker, x.Worker)
		}
		s.after(100 * time.Millisecond)
	}
}

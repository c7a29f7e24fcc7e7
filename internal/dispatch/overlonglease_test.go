package dispatch

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/lease"
)

// testMaxLease is the longest lease that the workers of these tests accept.
const testMaxLease = 10 * time.Second

// newRebornSimulation returns a simulation in which a call that grants i-00 a lease by the clock of testIncarnation was sent just now.
func newRebornSimulation(t *testing.T, r lease.Reason, answered bool) *simulation {
	t.Helper()
	s := newSimulation(t, 2)
	s.p.MaxLease = testMaxLease
	s.advance(testStoreLossGrace + 2*testLease)
	s.report("i-00", nil)
	s.report("i-01", nil)
	id := s.p.GrantLease("i-00", r, testIncarnation, s.now)
	s.advance(50 * time.Millisecond)
	if answered {
		s.p.LeaseCallAnswered("i-00", id, s.now)
	}
	return s
}

// rebornReport applies a report of the next incarnation of i-00 to a call with the present token.
func (s *simulation) rebornReport() {
	s.p.HandleReport(Report{Worker: "i-00", Incarnation: testIncarnation + 1, RequestedAt: s.now, Fence: s.p.Fence("i-00")}, s.now)
}

// startAtReborn starts a task at the next incarnation of i-00, which then falls silent.
func (s *simulation) startAtReborn() {
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	s.p.SetWorkers([]WorkerInfo{s.p.workers["i-00"].WorkerInfo}, s.now)
	o := s.plan()[OrderStart][0]
	require.Equal(s, "i-00", o.Worker)
	s.p.GrantLease(o.Worker, lease.ReasonStart, o.Incarnation, s.now)
	s.p.HandleStartResult(o, ResultAccepted, s.now)
	s.p.SyncFailed(o.Worker, false, s.now)
}

// silence returns for how long i-00 is silent until the task starts at i-01, at most for twice the longest lease.
func (s *simulation) silence() time.Duration {
	start := s.now
	for s.now.Sub(start) < 2*testMaxLease {
		s.advance(100 * time.Millisecond)
		s.p.SetWorkers([]WorkerInfo{s.p.workers["i-00"].WorkerInfo, testWorker(1)}, s.now)
		s.report("i-01", nil)
		s.p.ExpireLeases(s.now)
		if l := s.plan()[OrderStart]; len(l) > 0 {
			require.Equal(s, "i-01", l[0].Worker)
			return s.now.Sub(start)
		}
	}
	require.Fail(s, "the task waits for good")
	return 0
}

// A worker started again while a call was on its way that granted it a lease by its former clock. The next incarnation executed the call,
// so that its lease lasted for longer than the owner counted, and a task ran at two workers. The response to a start did not tell which
// incarnation gave it, and a sync call without a response was not counted at all.
func TestLeaseOfACallThatALaterIncarnationExecutedIsCountedInFull(t *testing.T) {
	for _, x := range []struct {
		name     string
		reason   lease.Reason
		answered bool
		listed   bool
	}{
		{"start with a response", lease.ReasonStart, true, false},
		{"start without a response", lease.ReasonStart, false, false},
		{"sync without a response", lease.ReasonSync, false, false},
		{"start with a response, the list tells first", lease.ReasonStart, true, true},
		{"sync without a response, the list tells first", lease.ReasonSync, false, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newRebornSimulation(t, x.reason, x.answered)
			executedAt := s.now
			s.advance(200 * time.Millisecond)
			if x.listed {
				w := testWorker(0)
				w.Incarnation = testIncarnation + 1
				s.p.SetWorkers([]WorkerInfo{w, testWorker(1)}, s.now)
			}
			s.rebornReport()
			s.listRestarted("i-00")
			s.advance(100 * time.Millisecond)
			s.rebornReport()
			require.True(t, s.p.HasOverlongChanged(), "the next owner has to know")
			s.startAtReborn()
			s.silence()
			require.GreaterOrEqual(t, s.now.Sub(executedAt), testMaxLease, "the worker may run the task until then")
		})
	}
}

// Once the next incarnation refuses the earlier calls, and the lease that they may have given it has ended, its leases count as usual.
func TestOverlongLeaseHasAnEnd(t *testing.T) {
	s := newRebornSimulation(t, lease.ReasonStart, false)
	s.rebornReport()
	s.listRestarted("i-00")
	for range int(3 * testMaxLease / time.Second) {
		s.advance(time.Second)
		id := s.p.GrantLease("i-00", lease.ReasonSync, testIncarnation+1, s.now)
		s.p.LeaseCallAnswered("i-00", id, s.now)
		s.rebornReport()
		s.report("i-01", nil)
	}
	require.LessOrEqual(t, s.p.workers["i-00"].calls.Len(), 1, "calls that are over are forgotten")
	s.startAtReborn()
	require.Less(t, s.silence(), s.p.leaseExpiry(s.now).Sub(s.now)+time.Second)
}

// ownerAfterLoss returns a simulation of the owner after one that is lost now, with its snapshot, and with a task that it had started at an
// incarnation of i-00.
func (s *simulation) ownerAfterLoss(t *testing.T, incarnation int64) *simulation {
	t.Helper()
	snapshot, err := s.p.PrepareSnapshot(s.now)
	require.NoError(t, err)
	require.False(t, s.p.HasOverlongChanged())
	n := &simulation{T: t, now: s.now}
	n.p = New(Config{Lease: testLease, MaxLease: testMaxLease, StoreLossGrace: testStoreLossGrace, LastCommitAt: s.now, GrantsEndedAt: s.now, Logger: zerolog.Nop()}, s.now)
	if snapshot != nil {
		require.NoError(t, n.p.RestoreSnapshot(snapshot))
	}
	reborn := testWorker(0)
	reborn.Incarnation = testIncarnation + 1
	n.p.SetWorkers([]WorkerInfo{reborn, testWorker(1)}, n.now)
	j := testJob(testID(2), n.now, plainStep(1))
	require.True(t, j.Assign(j.Tasks[0][0][0], "i-00", incarnation, n.now))
	n.p.AddJob(j, n.now)
	n.report("i-01", nil)
	return n
}

// reportRunning applies a report of the next incarnation of i-00 that runs the task that an earlier owner started.
func (s *simulation) reportRunning() {
	x := RunningAttempt{Ref: jobs.Ref{Job: testID(2)}, Run: 1}
	s.p.HandleReport(Report{Worker: "i-00", Incarnation: testIncarnation + 1, RequestedAt: s.now, Running: []RunningAttempt{x}}, s.now)
	s.p.SyncFailed("i-00", false, s.now)
}

// The next owner counted the leases that the former one granted, and not those that its calls may have granted to a later incarnation.
func TestNextOwnerCountsTheOverlongLeasesOfTheFormerOne(t *testing.T) {
	s := newRebornSimulation(t, lease.ReasonStart, true)
	executedAt := s.now
	s.advance(200 * time.Millisecond)
	s.rebornReport()
	s.advance(100 * time.Millisecond)
	s.rebornReport()
	n := s.ownerAfterLoss(t, testIncarnation+1)
	n.reportRunning()
	n.silence()
	require.GreaterOrEqual(t, n.now.Sub(executedAt), testMaxLease)
}

// An owner that was lost before it knew of a worker's next incarnation tells nothing of the calls that this may have executed.
func TestNextOwnerCountsCallsThatTheFormerOneSentToTheFormerIncarnation(t *testing.T) {
	s := newSimulation(t, 2)
	s.p.MaxLease = testMaxLease
	n := s.ownerAfterLoss(t, testIncarnation)
	n.advance(300 * time.Millisecond)
	executedAt := n.now
	n.reportRunning()
	n.silence()
	require.GreaterOrEqual(t, n.now.Sub(executedAt), testMaxLease)
}

// A worker that the former owner knew as it is holds no longer lease than it was granted.
func TestNextOwnerCountsLeasesOfAKnownIncarnationAsUsual(t *testing.T) {
	s := newSimulation(t, 2)
	s.p.MaxLease = testMaxLease
	n := s.ownerAfterLoss(t, testIncarnation+1)
	n.advance(300 * time.Millisecond)
	n.reportRunning()
	require.Less(t, n.silence(), n.p.leaseExpiry(n.now).Sub(n.now)+time.Second)
}

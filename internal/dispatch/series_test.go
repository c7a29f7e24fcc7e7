package dispatch

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// missingWorker is the ID of a worker that the platform does not list.
	missingWorker = "i-09"
	// testSnapshotInterval is the time between two snapshots of an owner in these tests.
	testSnapshotInterval = time.Second
)

// ownerSeries lets owners take over one after another, each from the snapshot that the one before committed last.
type ownerSeries struct {
	*testing.T
	p        *Planner
	now      time.Time
	job      *jobs.Job
	snapshot []byte
}

// newOwnerSeries returns a series whose first owner finds an attempt that the store says is assigned to the missing worker.
func newOwnerSeries(t *testing.T) *ownerSeries {
	t.Helper()
	s := &ownerSeries{T: t, now: time.Unix(1_700_000_000, 0)}
	s.job = testJob(testID(1), s.now, plainStep(1))
	require.True(t, s.job.Assign(s.task(), missingWorker, testIncarnation, s.now))
	s.takeOver()
	return s
}

func (s *ownerSeries) task() *jobs.Task { return s.job.Tasks[0][0][0] }

// takeOver starts the next owner, to which the platform lists another worker.
func (s *ownerSeries) takeOver() {
	s.Helper()
	s.p = New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, Logger: zerolog.Nop()}, s.now)
	if s.snapshot != nil {
		require.NoError(s, s.p.RestoreSnapshot(s.snapshot))
	}
	s.p.SetWorkers([]WorkerInfo{testWorker(0)}, s.now)
	s.p.AddJob(s.job, s.now)
}

// commitSnapshot makes and commits a snapshot, if there is anything to store.
func (s *ownerSeries) commitSnapshot() {
	s.Helper()
	s.p.DetectUnresponsiveChange()
	b, err := s.p.PrepareSnapshot(s.now)
	require.NoError(s, err)
	if b != nil {
		s.snapshot = b
		s.p.SnapshotCommitted()
	}
}

// live lets the owner make a snapshot every testSnapshotInterval, the first at once.
func (s *ownerSeries) live(d time.Duration) {
	s.Helper()
	for u := s.now.Add(d); s.now.Before(u); s.now = s.now.Add(testSnapshotInterval) {
		s.p.ExpireLeases(s.now)
		s.commitSnapshot()
	}
}

// restoredWait is how long a first owner waits until the leases that any former owner granted have expired.
func (s *ownerSeries) restoredWait() time.Duration {
	return s.p.leaseExpiry(s.now.Add(testStoreLossGrace)).Sub(s.now)
}

// A worker had left before an owner that was lost took over. The next owner started the whole wait for the leases of the
// worker anew.
func TestNextOwnerGoesOnWaitingForAMissingWorker(t *testing.T) {
	s := newOwnerSeries(t)
	u := s.now.Add(s.restoredWait())
	s.live(4 * time.Second)
	s.commitSnapshot()
	s.takeOver()
	s.p.ExpireLeases(u.Add(-10 * time.Millisecond))
	require.Equal(t, jobs.TaskAssigned, s.task().State, "an earlier owner may have granted a lease that long")
	s.p.ExpireLeases(u)
	require.Equal(t, jobs.TaskWaiting, s.task().State)
}

// Owners that were lost in series never ended the wait.
func TestOwnersLostInSeriesEndTheWaitForAMissingWorker(t *testing.T) {
	const life = 2 * time.Second
	s := newOwnerSeries(t)
	start, wait := s.now, s.restoredWait()
	for s.task().State == jobs.TaskAssigned && s.now.Sub(start) < 4*wait {
		s.live(life)
		s.takeOver()
	}
	require.GreaterOrEqual(t, s.now.Sub(start), wait)
	// Each owner loses the time since its latest snapshot, which is half of its life.
	require.LessOrEqual(t, s.now.Sub(start), 2*wait+life)
}

func TestListedWorkerIsNotNamedBeforeItFailedToRespond(t *testing.T) {
	s := newOwnerSeries(t)
	s.p = New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, Logger: zerolog.Nop()}, s.now)
	s.p.SetWorkers([]WorkerInfo{testWorker(0), testWorker(9)}, s.now)
	s.p.AddJob(s.job, s.now)
	require.False(t, s.p.DetectUnresponsiveChange())
	s.p.SyncFailed(missingWorker, false, s.now)
	require.False(t, s.p.DetectUnresponsiveChange())
	require.True(t, s.p.NeedsLease(missingWorker))
}

// A worker that is missing at a takeover may only have lost its entry, and is used again without waiting for a lease.
func TestMissingWorkerIsUsedAgainOnceItIsListed(t *testing.T) {
	s := newOwnerSeries(t)
	s.commitSnapshot()
	s.now = s.now.Add(testSnapshotInterval)
	s.p.SetWorkers([]WorkerInfo{testWorker(9)}, s.now)
	s.p.HandleReport(Report{Worker: missingWorker, Incarnation: testIncarnation, RequestedAt: s.now, Running: []RunningAttempt{{Ref: s.task().Ref, Run: 1}}}, s.now)
	require.False(t, s.p.NeedsLease(missingWorker), "the stored snapshot says that the worker gets no lease")
	require.True(t, s.p.DetectUnresponsiveChange())
	s.commitSnapshot()
	require.True(t, s.p.NeedsLease(missingWorker))
	s.p.AddJob(testJob(testID(2), s.now, plainStep(1)), s.now)
	s.p.Plan(s.now)
	_, l := s.p.TakeChanges()
	require.Len(t, l, 1)
	require.Equal(t, missingWorker, l[0].Worker)
}

// The planner dropped a worker that a stored snapshot named, and granted it a lease once it was listed again. The next owner
// took the old snapshot to be true and would have started the tasks of the worker elsewhere while they ran there.
func TestWorkerThatASnapshotNamesIsGrantedNoLeaseAfterItsAttemptsWereReleased(t *testing.T) {
	s := newSimulation(t, 1)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	o := s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultAccepted, s.now)
	s.p.SyncFailed(o.Worker, false, s.now)
	s.p.SyncFailed(o.Worker, false, s.now)
	require.True(t, s.p.DetectUnresponsiveChange())
	_, err := s.p.PrepareSnapshot(s.now)
	require.NoError(t, err)
	s.p.SnapshotCommitted()
	s.p.SetWorkers(nil, s.now)
	s.advance(testStoreLossGrace + 2*testLease)
	require.Empty(t, s.plan()[OrderStart])
	s.setWorkers(1)
	require.Empty(t, s.plan()[OrderStart], "the stored snapshot says that the worker gets no lease")
	require.True(t, s.p.DetectUnresponsiveChange())
	_, err = s.p.PrepareSnapshot(s.now)
	require.NoError(t, err)
	s.p.SnapshotCommitted()
	require.Len(t, s.plan()[OrderStart], 1)
}

package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The tasks of a crashed worker waited for the end of its lease, although another worker already responded at its address.
func TestTasksOfAReplacedWorkerAreReleased(t *testing.T) {
	s := newSimulation(t, 2)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	o := s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultAccepted, s.now)
	s.p.LeaseGranted(o.Worker, s.now)
	s.advance(time.Second)
	later := s.p.workers[o.Worker].WorkerInfo
	later.ID, later.Incarnation = "i-77", testIncarnation+1
	s.p.SetWorkers([]WorkerInfo{later, s.p.workers[o.Worker].WorkerInfo}, s.now)
	s.p.HandleReport(Report{Worker: later.ID, Incarnation: later.Incarnation, RequestedAt: s.now}, s.now)
	require.Empty(t, s.plan()[OrderStart], "the earlier worker responds to its calls")
	s.p.SyncFailed(o.Worker, false, s.now)
	s.p.SetWorkers([]WorkerInfo{later}, s.now)
	s.p.HandleReport(Report{Worker: later.ID, Incarnation: later.Incarnation, RequestedAt: s.now}, s.now)
	l := s.plan()[OrderStart]
	require.Len(t, l, 1)
	require.Equal(t, later.ID, l[0].Worker)
}

// A worker that only doesn't respond may be cut off; its tasks run on until its lease ends.
func TestTasksOfASilentWorkerAreNotReleasedBeforeItsLeaseEnds(t *testing.T) {
	s := newSimulation(t, 2)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	o := s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultAccepted, s.now)
	s.p.LeaseGranted(o.Worker, s.now)
	s.p.SyncFailed(o.Worker, false, s.now)
	other := testWorker(5)
	other.Incarnation = testIncarnation + 1
	s.p.SetWorkers([]WorkerInfo{other}, s.now)
	s.p.HandleReport(Report{Worker: other.ID, Incarnation: other.Incarnation, RequestedAt: s.now}, s.now)
	require.Empty(t, s.plan()[OrderStart])
}

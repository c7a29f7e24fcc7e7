package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

// shortLivedOwners lets owners take over one after another that commit once, right after the takeover, and make no snapshot.
type shortLivedOwners struct {
	*ownerSeries
	lastCommitAt time.Time
	inherited    map[string]int64
}

// takeOver starts the next owner, to which the platform lists the silent worker too, and lets it commit.
func (s *shortLivedOwners) takeOver() {
	s.p = New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, LastCommitAt: s.lastCommitAt, Logger: zerolog.Nop()}, s.now)
	s.p.SetWorkers([]WorkerInfo{testWorker(0), testWorker(9)}, s.now)
	s.p.AddJob(s.job, s.now)
	s.p.RestoreInheritedLeases(s.inherited)
	s.commit()
}

func (s *shortLivedOwners) commit() {
	s.lastCommitAt, s.inherited = s.now, s.p.InheritedLeases(s.now)
	s.p.InheritedLeasesCommitted()
}

// newShortLivedOwners returns a series whose first owner finds an attempt at a worker that is listed and does not respond.
func newShortLivedOwners(t *testing.T) *shortLivedOwners {
	t.Helper()
	s := &shortLivedOwners{ownerSeries: newOwnerSeries(t)}
	s.lastCommitAt = s.now
	s.takeOver()
	return s
}

// Each owner was lost before two calls to the worker had failed, so that no snapshot named the worker, and the commits of each
// let the next one wait for the whole lease anew.
func TestOwnersLostBeforeTheirFirstSnapshotEndTheWaitForASilentWorker(t *testing.T) {
	const life, vacancy = time.Second, 3 * time.Second
	s := newShortLivedOwners(t)
	start, wait := s.now, s.restoredWait()
	for s.task().State == jobs.TaskAssigned && s.now.Sub(start) < 4*wait {
		s.now = s.now.Add(life)
		s.p.ExpireLeases(s.now)
		if s.task().State != jobs.TaskAssigned {
			break
		}
		s.commit()
		s.now = s.now.Add(vacancy)
		s.takeOver()
		s.p.ExpireLeases(s.now)
	}
	require.GreaterOrEqual(t, s.now.Sub(start), wait, "the first owner may have inherited a lease that long")
	require.LessOrEqual(t, s.now.Sub(start), wait+life+vacancy)
}

// An owner granted a lease to a worker of which its latest commit said that it had none, and the next owner would have started
// the worker's tasks elsewhere while they ran there.
func TestWorkerThatACommitNamesIsGrantedNoLeaseBeforeTheNextCommit(t *testing.T) {
	s := newShortLivedOwners(t)
	require.Contains(t, s.inherited, missingWorker)
	require.False(t, s.p.NeedsLease(missingWorker))
	require.False(t, s.p.HasOutdatedInheritedLeases())
	s.p.HandleReport(Report{Worker: missingWorker, Incarnation: testIncarnation, RequestedAt: s.now, Running: []RunningAttempt{{Ref: s.task().Ref, Run: 1}}}, s.now)
	require.False(t, s.p.NeedsLease(missingWorker))
	require.True(t, s.p.IsLeaseWithheld(missingWorker))
	require.True(t, s.p.HasOutdatedInheritedLeases(), "a further commit is due")
	require.Empty(t, s.p.InheritedLeases(s.now))
	require.False(t, s.p.NeedsLease(missingWorker), "the commit in progress may never be stored")
	s.p.InheritedLeasesCommitted()
	require.True(t, s.p.NeedsLease(missingWorker))
	require.False(t, s.p.IsLeaseWithheld(missingWorker))
}

// What an earlier owner says counts from the latest commit, by whatever clock this owner knows it, and never adds to the wait.
func TestInheritedLeasesOnlyShortenTheWait(t *testing.T) {
	s := newShortLivedOwners(t)
	end := s.p.workers[missingWorker].leaseUntil
	s.p.RestoreInheritedLeases(map[string]int64{missingWorker: time.Hour.Milliseconds(), "i-unknown": 0})
	require.Equal(t, end, s.p.workers[missingWorker].leaseUntil)
	require.NotContains(t, s.p.workers, "i-unknown")
	s.p.RestoreInheritedLeases(map[string]int64{missingWorker: time.Second.Milliseconds()})
	require.Equal(t, s.p.LastCommitAt.Add(time.Second), s.p.workers[missingWorker].leaseUntil)
}

// The commit of an owner of a large fleet must not exceed what the store takes.
func TestCommitHasOneEntryForALargeFleetThatIsSilent(t *testing.T) {
	s := newSimulation(t, 0)
	step := plainStep(maxInheritedLeases + 1)
	j := testJob(testID(1), s.now, step)
	for i, x := range j.Tasks[0][0] {
		require.True(t, j.Assign(x, testWorker(i).ID, testIncarnation, s.now))
	}
	s.p.AddJob(j, s.now)
	longest := s.p.workers[testWorker(0).ID].leaseUntil.Sub(s.now).Milliseconds() + 1
	require.Equal(t, map[string]int64{anyWorker: longest}, s.p.InheritedLeases(s.now))
	require.True(t, s.p.NeedsLease(testWorker(0).ID), "the commit names no worker that is to be granted none")
}

// A commit that names workers with long IDs was larger than a record may be, so that the store refused every commit of the owner.
func TestCommitHasOneEntryForSilentWorkersWithLongIDs(t *testing.T) {
	const workers = 300
	s := newSimulation(t, 0)
	j := testJob(testID(1), s.now, plainStep(workers))
	for i, x := range j.Tasks[0][0] {
		require.True(t, j.Assign(x, fmt.Sprintf("i-%0250d", i), testIncarnation, s.now))
	}
	s.p.AddJob(j, s.now)
	m := s.p.InheritedLeases(s.now)
	require.Len(t, m, 1)
	require.Contains(t, m, anyWorker)
}

// An owner with more silent workers than a commit names named none, as if it had granted all of them their leases, so that the next owner,
// on the same instance, counted those of the owner before as ended with the process of this one.
func TestLeasesOfMoreWorkersThanACommitNamesAreInherited(t *testing.T) {
	const workers = maxInheritedLeases + 1
	now := time.Unix(1_700_000_000, 0)
	step := plainStep(workers)
	step.MaxPerWorker = 1
	job := testJob(testID(1), now, step)
	var list []WorkerInfo
	for i, x := range job.Tasks[0][0] {
		w := testWorker(i)
		list = append(list, w)
		require.True(t, job.Assign(x, w.ID, testIncarnation, now))
	}
	takeOver := func(c Config, inherited map[string]int64) *Planner {
		c.Lease, c.StoreLossGrace, c.Logger = testLease, testStoreLossGrace, zerolog.Nop()
		p := New(c, now)
		p.SetWorkers(list, now)
		p.AddJob(job, now)
		p.RestoreInheritedLeases(inherited)
		return p
	}
	// The first owner commits and goes on to grant leases; the second one reaches no worker, commits and ends at once.
	second := takeOver(Config{LastCommitAt: now}, nil)
	granted := second.worker(list[0].ID).leaseUntil
	inherited := second.InheritedLeases(now)
	require.LessOrEqual(t, len(inherited), maxInheritedLeases)
	third := takeOver(Config{LastCommitAt: now, GrantsEndedAt: now.Add(100 * time.Millisecond)}, inherited)
	for _, w := range third.workerList {
		require.False(t, w.leaseUntil.Before(granted), "the first owner may have granted the worker a lease until then")
	}
}

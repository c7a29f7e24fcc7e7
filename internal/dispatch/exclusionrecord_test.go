package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/msgpackcheck"
)

// cordonFor returns a simulation in which a worker has been cordoned for a wave for a time, which its task keeps from being maintained.
func cordonFor(t *testing.T, d time.Duration) *simulation {
	t.Helper()
	s := newSimulation(t, 2)
	s.p.SetInstances(instances(map[string]string{"m-0": "i-00", "m-1": "i-01"}), s.now)
	s.p.SetWaves([]Wave{{Number: 1, Instances: []string{"m-0"}, MaxConcurrent: 1}})
	s.pass(d)
	return s
}

// nextOwner returns the simulation with an owner that restores a snapshot. All workers are silent to it at first.
func (s *simulation) nextOwner(snapshot []byte) {
	s.Helper()
	p := New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, LastCommitAt: s.now, Logger: s.p.Logger}, s.now)
	require.NoError(s, p.RestoreSnapshot(snapshot))
	s.p = p
	p.SetWorkers([]WorkerInfo{testWorker(0), testWorker(1)}, s.now)
	p.SetWaves([]Wave{{Number: 1, Instances: []string{"m-0"}, MaxConcurrent: 1}})
}

// An exclusion that no event ended looked like a new one to each owner, so that a series of owners showed none that lasted.
func TestAgeOfAnExclusionGoesOnWithTheNextOwner(t *testing.T) {
	const excluded = 20 * time.Second
	s := cordonFor(t, excluded)
	b, err := s.p.PrepareSnapshot(s.now)
	require.NoError(t, err)
	s.nextOwner(b)
	s.pass(2 * exclusionCheckInterval)
	require.InDelta(t, excluded.Seconds(), s.p.LongestExclusions(s.now)["Cordoned"].Seconds(), 2)
	require.NotContains(t, s.p.LongestExclusions(s.now), "Silent")
}

// Guards against an age that is passed on to an exclusion that begins after the one of the earlier owner has ended.
func TestAgeOfAnExclusionThatHasEndedIsDropped(t *testing.T) {
	s := newSimulation(t, 2)
	s.p.exclusions.restore([]exclusionRecord{{"i-00", "Avoided", time.Hour.Milliseconds()}}, s.now, s.now.Add(exclusionBound))
	s.pass(2 * exclusionCheckInterval)
	s.p.workers["i-00"].avoidUntil = s.now.Add(failureBackoff)
	s.pass(2 * exclusionCheckInterval)
	require.Less(t, s.p.LongestExclusions(s.now)["Avoided"], failureBackoff)
}

// Guards against a snapshot that owners of the version before, which know no exclusions, do not read.
func TestSnapshotWithExclusionsIsReadByTheVersionBefore(t *testing.T) {
	s := cordonFor(t, 2*exclusionBound)
	b, err := s.p.PrepareSnapshot(s.now)
	require.NoError(t, err)
	var r snapshotRecord
	var l []maintenanceRecord
	var late []lateStartRecord
	require.NoError(t, msgpackcheck.UnmarshalSequence(b, &r, &l, &late))
	require.Len(t, l, 1)
}

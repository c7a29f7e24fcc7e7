package dispatch

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

// startGang starts a gang of one member on each of two workers, which report different checkpoints of the run.
func (s *simulation) startGang() *jobs.Job {
	j := testJob(testID(1), s.now, jobs.Step{
		Tasks: 2, Size: jobs.Resources{MilliCPU: 20000, MemoryMB: 1000}, Estimate: time.Second, Gang: true, Checkpoints: true, MaxPerWorker: 1,
	})
	s.p.AddJob(j, s.now)
	first := s.plan()[OrderStart]
	require.Len(s, first, 2)
	for i, o := range first {
		s.p.HandleStartResult(o, ResultAccepted, s.now)
		s.advance(100 * time.Millisecond)
		s.report(o.Worker, []RunningAttempt{{Ref: o.Ref, Run: o.Run, Checkpoint: string(rune('a' + i))}})
	}
	return j
}

// crashAll lets all workers start again, and returns the starts that follow.
func (s *simulation) crashAll() []Order {
	s.advance(time.Second)
	for _, w := range []string{"i-00", "i-01"} {
		s.p.HandleReport(Report{Worker: w, Incarnation: testIncarnation + 1, RequestedAt: s.now}, s.now)
		s.listRestarted(w)
	}
	return s.plan()[OrderStart]
}

// Two members of a gang whose rack had crashed resumed from different checkpoints, those that each worker had listed last (review, case 9).
func TestMembersOfAGangResumeFromOneCheckpoint(t *testing.T) {
	s := newSimulation(t, 2)
	s.startGang()
	l := s.crashAll()
	require.Len(t, l, 2)
	require.Equal(t, "b", l[0].Checkpoint, "the latest that any of them listed")
	require.Equal(t, l[0].Checkpoint, l[1].Checkpoint)
}

// Earlier versions stored a checkpoint for each member.
func TestMembersOfAStoredGangResumeFromOneCheckpoint(t *testing.T) {
	s := newSimulation(t, 2)
	j := s.startGang()
	j.Tasks[0][0][0].Checkpoint, j.Tasks[0][0][1].Checkpoint = "", "c"
	b, err := j.EncodeProgress()
	require.NoError(t, err)
	j, err = jobs.Restore(j.Spec, b)
	require.NoError(t, err)
	s.p = New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, LastCommitAt: s.now, GrantsEndedAt: s.now, Logger: zerolog.Nop()}, s.now)
	s.setWorkers(2)
	s.p.AddJob(j, s.now)
	s.advance(maxStartLateness)
	l := s.crashAll()
	require.Len(t, l, 2)
	require.Equal(t, "c", l[0].Checkpoint)
	require.Equal(t, "c", l[1].Checkpoint)
}

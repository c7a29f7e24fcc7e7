package dispatch

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/lease"
)

// The next owner did not know to which worker a task was bound, and started it elsewhere while the worker's next incarnation could still
// execute the start without a response.
func TestNextOwnerKeepsATaskAtTheWorkerOfALostStart(t *testing.T) {
	s := newSimulation(t, 2)
	j := testJob(testID(1), s.now, plainStep(1))
	s.p.AddJob(j, s.now)
	o := s.startUnanswered()
	sentAt := s.now
	s.advance(100 * time.Millisecond)
	s.report(o.Worker, nil)
	require.True(t, s.p.HasBindings(), "a snapshot is due")
	b, err := s.p.PrepareSnapshot(s.now)
	require.NoError(t, err)

	s.p = New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, LastCommitAt: s.now, GrantsEndedAt: s.now, Logger: zerolog.Nop()}, s.now)
	require.NoError(t, s.p.RestoreSnapshot(b))
	s.p.SetWorkers([]WorkerInfo{testWorker(0), testWorker(1)}, s.now)
	s.p.AddJob(j, s.now)
	for s.now.Sub(sentAt) < lease.MaxLateness {
		s.reportOthers(o.Worker)
		require.Empty(t, s.plan()[OrderStart], "%v after the start was sent", s.now.Sub(sentAt))
		s.advance(500 * time.Millisecond)
	}
	s.reportOthers(o.Worker)
	l := s.plan()[OrderStart]
	require.Len(t, l, 1, "no incarnation executes the start any more")
	require.NotEqual(t, o.Worker, l[0].Worker)
}

// A later incarnation that responds to the next owner refuses the start from then on.
func TestRestoredBindingEndsWithTheNextIncarnation(t *testing.T) {
	s := newSimulation(t, 2)
	j := testJob(testID(1), s.now, plainStep(1))
	s.p.AddJob(j, s.now)
	o := s.startUnanswered()
	s.advance(100 * time.Millisecond)
	s.report(o.Worker, nil)
	b, err := s.p.PrepareSnapshot(s.now)
	require.NoError(t, err)
	s.p = New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, LastCommitAt: s.now, GrantsEndedAt: s.now, Logger: zerolog.Nop()}, s.now)
	require.NoError(t, s.p.RestoreSnapshot(b))
	s.p.SetWorkers([]WorkerInfo{testWorker(0), testWorker(1)}, s.now)
	s.p.AddJob(j, s.now)
	s.advance(time.Second)
	s.p.HandleReport(Report{Worker: o.Worker, Incarnation: testIncarnation + 1, RequestedAt: s.now}, s.now)
	s.reportOthers(o.Worker)
	require.Len(t, s.plan()[OrderStart], 1)
}

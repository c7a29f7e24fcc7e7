package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

// A worker that was reserved for an interrupted long-running task was taken to isolate another one, beside which the first did not start
// for a second, whatever capacity was left.
func TestReservedWorkerIsolatesNoOtherTask(t *testing.T) {
	s := newSimulation(t, 2)
	j := testJob(testID(1), s.now, serviceStep(1, 2000))
	s.p.AddJob(j, s.now)
	c := &candidateStep{job: j, step: &j.Steps[0], tasks: j.Tasks[0][0]}
	s.p.schedulable = s.p.schedulableWorkers(s.now)
	other := reservation{ref: jobs.Ref{Job: testID(9)}, size: jobs.Resources{MilliCPU: 2000, MemoryMB: 1000}, freeAt: s.now}
	s.p.reservations.add("i-00", other)
	require.Equal(t, []string{"i-01"}, workerIDs(s.p.rateByRisk(c, shareNone, s.now)))
	require.ElementsMatch(t, []string{"i-00", "i-01"}, workerIDs(s.p.rateByRisk(c, shareIsolated, s.now)), "a contained task that has waited for too long goes by no reservation")
	s.p.reservations.add("i-01", reservation{ref: c.tasks[0].Ref, size: other.size, freeAt: s.now})
	require.Equal(t, []string{"i-01"}, workerIDs(s.p.rateByRisk(c, shareNone, s.now)), "the reservation is its own")
}

// workerIDs returns the IDs of rated workers.
func workerIDs(l []rating) []string {
	ids := make([]string, len(l))
	for i, r := range l {
		ids[i] = r.worker.ID
	}
	return ids
}

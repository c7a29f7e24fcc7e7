package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

// A job that the planner can't handle ended the process of its owner, and then those of all owners after it.
func TestJobThatThePlannerCannotHandleIsSetAside(t *testing.T) {
	s := newSimulation(t, 2)
	broken := testJob(testID(1), s.now, plainStep(2), plainStep(1))
	broken.Steps[1].After = []int{7}
	s.p.AddJob(broken, s.now)
	sound := testJob(testID(2), s.now, plainStep(1))
	s.p.AddJob(sound, s.now)
	started := make(map[string]int)
	for range 3 {
		for _, o := range s.plan()[OrderStart] {
			s.p.HandleStartResult(o, ResultAccepted, s.now)
			started[o.Job]++
		}
	}
	require.Equal(t, 1, started[sound.ID])
	require.Equal(t, 1, s.p.Idle(s.now).SetAside)
	require.Equal(t, jobs.StateRunning, sound.State())
}

// A progress record that names a task that can't exist ended the process that read it.
func TestTasksOutsideOfTheJobAreUnknown(t *testing.T) {
	j := testJob(testID(1), newSimulation(t, 0).now, plainStep(2))
	for _, r := range []jobs.Ref{{Occurrence: -1}, {Step: -1}, {Index: -1}, {Occurrence: 1}, {Step: 1}, {Index: 2}} {
		require.Nil(t, j.Task(r), r.String())
	}
}

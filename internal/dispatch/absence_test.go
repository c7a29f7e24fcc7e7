package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// nextInstances applies the next list of instances and plans, and returns the orders.
func (s *simulation) nextInstances(up map[string]string) map[OrderKind][]Order {
	s.Helper()
	s.advance(time.Second)
	s.p.SetInstances(instances(up), s.now)
	return s.plan()
}

// A wave was reported as completed, and its last instance was never maintained, since one list of instances, whose pages are no
// snapshot, left that instance out.
func TestWaveIsNotCompletedByAListThatLeavesAnInstanceOut(t *testing.T) {
	s := newSimulation(t, 2)
	s.p.SetWaves([]Wave{{Number: 1, Instances: []string{"m-0", "m-1"}, MaxConcurrent: 1}})
	x := s.nextInstances(map[string]string{"m-0": "i-00", "m-1": "i-01"})
	require.Equal(t, "m-0", x[OrderMaintain][0].Instance)
	s.p.HandleMaintenanceResult(x[OrderMaintain][0], ResultAccepted, s.now)
	x = s.nextInstances(map[string]string{"m-0": "i-10"})
	require.Empty(t, x[OrderReport], "the wave is still running")
	require.True(t, s.p.HasUnfinishedWave(), "the list is read again")
	x = s.nextInstances(map[string]string{"m-0": "i-10", "m-1": "i-01"})
	require.Len(t, x[OrderMaintain], 1)
	require.Equal(t, "m-1", x[OrderMaintain][0].Instance)
}

// An instance whose maintenance was accepted counted as gone by one list that left it out, and its wave as completed while it was down.
func TestMaintenanceIsNotCompletedByAListThatLeavesItsInstanceOut(t *testing.T) {
	s := newSimulation(t, 1)
	s.p.SetWaves([]Wave{{Number: 1, Instances: []string{"m-0"}, MaxConcurrent: 1}})
	x := s.nextInstances(map[string]string{"m-0": "i-00", "m-1": "i-01"})
	s.p.HandleMaintenanceResult(x[OrderMaintain][0], ResultAccepted, s.now)
	require.Empty(t, s.nextInstances(map[string]string{"m-1": "i-01"})[OrderReport])
	require.Equal(t, excludedCordoned, s.p.workerExclusion(s.p.workers["i-00"], s.now))
	x = s.nextInstances(map[string]string{"m-1": "i-01"})
	require.Len(t, x[OrderReport], 1, "an instance that two lists leave out has left")
	require.Equal(t, WaveCompleted, x[OrderReport][0].State)
}

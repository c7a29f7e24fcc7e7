package jobs_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

// A job that no worker could ever take, or whose estimate overflowed, was accepted and waited for good.
func TestStepWithNegativeLimitsIsRefused(t *testing.T) {
	for name, change := range map[string]func(*jobs.Step){
		"tasks per worker":    func(s *jobs.Step) { s.MaxPerWorker = -1 },
		"unavailable tasks":   func(s *jobs.Step) { s.MaxUnavailable = -1 },
		"estimated run time":  func(s *jobs.Step) { s.Estimate = -time.Second },
		"bound on a tail":     func(s *jobs.Step) { s.TailBound = -time.Second },
		"size of its memory":  func(s *jobs.Step) { s.Size.MemoryMB = -1 },
		"place of a step":     func(s *jobs.Step) { s.After = []int{1} },
		"number of its tasks": func(s *jobs.Step) { s.Tasks = 0 },
		"largest size":        func(s *jobs.Step) { s.Size.MilliCPU = math.MaxInt },
		"size beyond range":   func(s *jobs.Step) { s.Size.Accelerators = jobs.MaxSize + 1 },
	} {
		s := newTestSpec()
		require.NoError(t, s.Check())
		change(&s.Steps[1])
		var e *jobs.SpecError
		require.ErrorAs(t, s.Check(), &e, name)
		require.Len(t, e.Findings, 1, name)
	}
}

// The due time of a late occurrence overflowed, so that it was due at once.
func TestScheduleBeyondRangeIsRefused(t *testing.T) {
	s := newTestSpec()
	s.Times, s.Period = 500, jobs.MaxSchedule/500
	require.NoError(t, s.Check())
	for _, p := range []time.Duration{jobs.MaxSchedule/500 + 1, math.MaxInt64, math.MinInt64} {
		s.Period = p
		require.Error(t, s.Check(), p)
	}
}

// The findings of a legal body took tens of megabytes, in the response and in the log too.
func TestFindingsAreBounded(t *testing.T) {
	s := jobs.Spec{ID: "0123456789abcdef", Steps: make([]jobs.Step, 5000)}
	var e *jobs.SpecError
	require.ErrorAs(t, s.Check(), &e)
	require.Len(t, e.Findings, 20)
	require.Equal(t, 4980, e.Omitted)
	require.Contains(t, e.Error(), "; and 4980 more")
	require.Less(t, len(e.Error()), 4<<10)
}

package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// estimateRate is the part of an error in a run time that one end corrects.
	estimateRate = 0.1
	// leastRunTime bounds run times from below, so that a factor can be formed.
	leastRunTime = time.Millisecond
)

// estimates corrects the callers' estimates of run times by what was seen, for each queue.
//
// Declared run times are far off, mostly to the same side within a queue.
type estimates struct {
	factors map[string]float64
}

func newEstimates() *estimates { return &estimates{factors: make(map[string]float64)} }

// learn takes in the run time of a whole task.
func (e *estimates) learn(queue string, s *jobs.Step, took time.Duration) {
	if s.LongRunning || s.Estimate <= 0 {
		return
	}
	f, ok := e.factors[queue]
	if !ok {
		f = 1
	}
	x := float64(max(took, leastRunTime)) / float64(s.Estimate)
	e.factors[queue] = f + estimateRate*(x-f)
}

// of returns the expected run time of a task.
func (e *estimates) of(queue string, s *jobs.Step) time.Duration {
	f, ok := e.factors[queue]
	if !ok {
		f = 1
	}
	return time.Duration(f * float64(s.Estimate))
}

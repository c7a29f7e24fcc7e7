package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// runTimeCorrectionRate is the fraction of the error of an estimate that one finished task corrects.
	runTimeCorrectionRate = 0.1
	// minRunTime is the shortest run time that is assumed, so that the ratio of a run time to its estimate stays positive.
	minRunTime = time.Millisecond
)

// runTimeEstimates corrects the callers' estimates of run times by a factor for each queue.
//
// The callers' estimates are inaccurate: within a queue, most are too short or most are too long.
type runTimeEstimates struct {
	// factors holds the expected ratio of a run time to its estimate, by queue.
	factors map[string]float64
}

func newRunTimeEstimates() *runTimeEstimates {
	return &runTimeEstimates{factors: make(map[string]float64)}
}

// observe corrects the factor of a queue by the run time of the successful attempt of a task. It ignores long-running
// tasks and tasks without an estimate.
func (e *runTimeEstimates) observe(queue string, s *jobs.Step, took time.Duration) {
	if s.LongRunning || s.Estimate <= 0 {
		return
	}
	f, ok := e.factors[queue]
	if !ok {
		f = 1
	}
	x := float64(max(took, minRunTime)) / float64(s.Estimate)
	e.factors[queue] = f + runTimeCorrectionRate*(x-f)
}

// estimate returns the expected run time of a task of the step, 0 if its caller gave no estimate.
func (e *runTimeEstimates) estimate(queue string, s *jobs.Step) time.Duration {
	f, ok := e.factors[queue]
	if !ok {
		f = 1
	}
	return time.Duration(f * float64(s.Estimate))
}

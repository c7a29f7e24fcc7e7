package runtimes

import (
	"math"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// MaxRunTime is the longest run time that is returned, so that sums of run times do not overflow.
	MaxRunTime = 7 * 24 * time.Hour
	// minRunTime is the shortest run time that is assumed.
	minRunTime = time.Millisecond
	// unknownRemaining is the least remaining time of a task that has run longer than all that is known, or without an estimate.
	unknownRemaining = 500 * time.Millisecond
	// tailRemaining is the remaining time of such a task as a fraction of the time that it has run. It is that of a Pareto
	// distribution of shape 3.
	tailRemaining = 0.5
	// minClassSamples is the number of samples from which the distribution of a size class takes precedence over that of the queue.
	minClassSamples = 32
	// maxSizeClass is the size class of MaxRunTime.
	maxSizeClass = 29
	// maxQueues bounds the number of queues that are kept. The samples of further queues are ignored.
	maxQueues = 256
)

// Estimator holds the distributions of run times of all queues.
type Estimator struct {
	queues map[string]*queue
	// changed means that there were samples since the latest Encode.
	changed bool
}

// queue holds the distribution of all tasks of a queue, and those by size class.
type queue struct {
	all     *distribution
	classes map[int]*distribution
}

// New returns an estimator without samples.
func New() *Estimator { return &Estimator{queues: make(map[string]*queue)} }

// Observe adds the run time of a successful attempt. It ignores long-running tasks and tasks without an estimate.
func (e *Estimator) Observe(name string, s *jobs.Step, took time.Duration) {
	if s.LongRunning || s.Estimate <= 0 {
		return
	}
	q := e.add(name)
	if q == nil {
		return
	}
	ratio := float64(max(took, minRunTime)) / float64(s.Estimate)
	q.all.observe(ratio)
	c := sizeClass(s)
	if q.classes[c] == nil {
		q.classes[c] = newDistribution()
	}
	q.classes[c].observe(ratio)
	e.changed = true
}

// Quantile returns the q-quantile of the run time of a task of the step, 0 if its caller gave no estimate.
func (e *Estimator) Quantile(name string, s *jobs.Step, q float64) time.Duration {
	if s.Estimate <= 0 {
		return 0
	}
	ratio := 1.0
	if d := e.distribution(name, s); d != nil {
		ratio = d.quantile(q)
	}
	return scaled(s.Estimate, ratio)
}

// Remaining returns the expected remaining run time of a task of the step that has run for a time.
func (e *Estimator) Remaining(name string, s *jobs.Step, elapsed time.Duration) time.Duration {
	elapsed = max(elapsed, 0)
	if s.Estimate <= 0 {
		return beyondKnown(elapsed)
	}
	ran := float64(elapsed) / float64(s.Estimate)
	mean, ok := 1.0, ran < 1
	if d := e.distribution(name, s); d != nil {
		mean, ok = d.meanAbove(ran)
	}
	if !ok {
		return beyondKnown(elapsed)
	}
	return max(minRunTime, scaled(s.Estimate, mean-ran))
}

// Samples returns the number of samples of a queue.
func (e *Estimator) Samples(name string) int {
	q := e.queues[name]
	if q == nil {
		return 0
	}
	return q.all.samples
}

// add returns the queue with the given name, which it adds if there is room, nil if there is none.
func (e *Estimator) add(name string) *queue {
	q := e.queues[name]
	if q == nil && len(e.queues) < maxQueues {
		q = &queue{all: newPrior(1), classes: make(map[int]*distribution)}
		e.queues[name] = q
	}
	return q
}

// distribution returns the distribution that applies to a step, nil if nothing is known of its queue.
func (e *Estimator) distribution(name string, s *jobs.Step) *distribution {
	q := e.queues[name]
	if q == nil {
		return nil
	}
	if d := q.classes[sizeClass(s)]; d != nil && d.samples >= minClassSamples {
		return d
	}
	return q.all
}

// sizeClass returns the binary order of magnitude of the estimate in milliseconds, bounded by that of MaxRunTime.
func sizeClass(s *jobs.Step) int {
	ms := min(max(s.Estimate, time.Millisecond), MaxRunTime) / time.Millisecond
	return int(math.Log2(float64(ms)))
}

// beyondKnown returns the remaining time of a task that has run longer than all that is known.
func beyondKnown(elapsed time.Duration) time.Duration {
	return min(max(unknownRemaining, scaled(elapsed, tailRemaining)), MaxRunTime)
}

// scaled returns a multiple of a duration, at most MaxRunTime.
func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, float64(MaxRunTime)))
}

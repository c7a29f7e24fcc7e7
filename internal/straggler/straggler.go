package straggler

import "math"

const (
	// SlowPace is the fraction of the usual pace below which an attempt is slow.
	SlowPace = 0.4
	// normalPace is the fraction of the usual pace from which an attempt speaks against a slow worker. In between it tells nothing.
	normalPace = 0.6
	// slowWorkerPrior is the probability that a worker is slow before anything is known of its attempts.
	slowWorkerPrior = 0.03
	// normalOnSlowWorker is the probability that an attempt on a slow worker has a normal pace.
	normalOnSlowWorker = 0.05
	// unexplainedFraction is the probability of a pace that is below that of long tasks, on a worker that is not slow.
	unexplainedFraction = 0.002
	// minLongFraction and maxLongFraction bound the fraction of attempts that are slow on workers that are not.
	minLongFraction = 0.01
	maxLongFraction = 0.25
	// priorAttempts is the number of attempts that the assumption of no long task counts for.
	priorAttempts = 10
	// minLikely is the probability from which a cause is taken for true. From 0.5 on, two long tasks alone on a worker made it count
	// as slow in replays of 3 long tasks in 100.
	minLikely = 0.7
	// minSuspected is the probability from which a worker gets no new tasks for which there is another worker. With 0.7, slow workers
	// went on to get tasks in replays of 3 long tasks in 100.
	minSuspected = 0.2
)

// Cause is why an attempt is slow.
type Cause string

// The causes.
const (
	CauseNone            Cause = ""
	CauseLongTask        Cause = "LongTask"
	CauseSlowWorker      Cause = "SlowWorker"
	CauseHeavyNeighbours Cause = "HeavyNeighbours"
)

// Pace is the pace of an attempt as a fraction of the usual pace.
type Pace struct {
	Ratio float64
	// Unexplained means that the pace is below that of the long tasks of its queue.
	Unexplained bool
}

// IsSuspected reports whether the worker should get no new tasks.
func (w Worker) IsSuspected(f Fleet) bool {
	return w.SlowProbability(f) >= minSuspected
}

// IsSlow reports whether the attempt is slow.
func (p Pace) IsSlow() bool { return p.Ratio < SlowPace }

// Evidence counts the attempts of a worker by their pace.
type Evidence struct {
	Slow        int
	Unexplained int
	Normal      int
}

// Add adds the pace of an attempt.
func (e *Evidence) Add(p Pace) {
	switch {
	case p.IsSlow() && p.Unexplained:
		e.Unexplained++
	case p.IsSlow():
		e.Slow++
	case p.Ratio >= normalPace:
		e.Normal++
	}
}

// Plus returns the evidence of both.
func (e Evidence) Plus(o Evidence) Evidence {
	return Evidence{e.Slow + o.Slow, e.Unexplained + o.Unexplained, e.Normal + o.Normal}
}

// IsEmpty reports whether the evidence tells nothing.
func (e Evidence) IsEmpty() bool { return e == Evidence{} }

// Fleet is what is known of the attempts on all workers.
type Fleet struct {
	// LongFraction is the fraction of attempts that are slow by themselves.
	LongFraction float64
}

// NewFleet returns what is known of a fleet by the attempts on workers that are not slow.
func NewFleet(e Evidence) Fleet { return Fleet{longFraction(e)} }

// longFraction returns the fraction of attempts that are slow by themselves, by the attempts on workers that are not slow.
func longFraction(e Evidence) float64 {
	n := float64(e.Slow + e.Unexplained)
	return min(max(n/(n+float64(e.Normal)+priorAttempts), minLongFraction), maxLongFraction)
}

// Worker is the evidence on a worker, apart for attempts that reserve their CPU and best-effort ones.
type Worker struct {
	Reserved   Evidence
	BestEffort Evidence
}

// SlowProbability returns the probability that the worker is slow in a fleet.
func (w Worker) SlowProbability(f Fleet) float64 {
	return w.Reserved.Plus(w.BestEffort).slowProbability(f)
}

// IsEmpty reports whether nothing is known of the worker's attempts.
func (w Worker) IsEmpty() bool { return w.Reserved.IsEmpty() && w.BestEffort.IsEmpty() }

// Slow returns the number of slow attempts.
func (w Worker) Slow() int {
	e := w.Reserved.Plus(w.BestEffort)
	return e.Slow + e.Unexplained
}

// Normal returns the number of attempts of normal pace.
func (w Worker) Normal() int { return w.Reserved.Normal + w.BestEffort.Normal }

// IsSlow reports whether the worker is likely slow.
func (w Worker) IsSlow(f Fleet) bool {
	return w.SlowProbability(f) >= minLikely
}

// BestEffortSlowProbability returns the probability that the best-effort attempts of the worker are slow for a common cause.
func (w Worker) BestEffortSlowProbability(f Fleet) float64 {
	return w.BestEffort.slowProbability(f)
}

// HasHeavyNeighbours reports whether the best-effort attempts of a worker that is not slow are slow for a common cause.
func (w Worker) HasHeavyNeighbours(f Fleet) bool {
	return w.BestEffortSlowProbability(f) >= minLikely && w.SlowProbability(f) < minLikely
}

// Cause returns why an attempt with the given pace is slow on the worker, CauseNone if it is not.
func (w Worker) Cause(p Pace, bestEffort bool, f Fleet) Cause {
	switch {
	case !p.IsSlow():
		return CauseNone
	case w.IsSlow(f):
		return CauseSlowWorker
	case bestEffort && w.HasHeavyNeighbours(f):
		return CauseHeavyNeighbours
	}
	return CauseLongTask
}

// slowProbability returns the probability that all attempts are slow for a common cause.
func (e Evidence) slowProbability(f Fleet) float64 {
	odds := math.Log(slowWorkerPrior / (1 - slowWorkerPrior))
	odds -= float64(e.Slow) * math.Log(f.LongFraction)
	odds -= float64(e.Unexplained) * math.Log(unexplainedFraction)
	odds += float64(e.Normal) * math.Log(normalOnSlowWorker/(1-f.LongFraction))
	return 1 / (1 + math.Exp(-odds))
}

// Move is the choice whether to move a slow attempt to another worker. All times are in seconds.
type Move struct {
	// Remaining is the remaining time at the usual pace, and Repeated the time of the whole work that another worker has to do.
	Remaining float64
	Repeated  float64
	// Cost is the time that a move takes.
	Cost float64
	// Pace is the pace of the attempt, and UsualPace that on other workers.
	Pace      float64
	UsualPace float64
	// SlowWorker is the probability that the pace is that of the worker and not of the task.
	SlowWorker float64
}

// minPace is the least pace that is assumed.
const minPace = 0.01

// Gain returns the expected time until the end where the attempt is, as a multiple of that after a move.
func (m Move) Gain() float64 {
	pace := max(m.Pace, minPace)
	elsewhere := m.SlowWorker/max(m.UsualPace, minPace) + (1-m.SlowWorker)/pace
	return m.Remaining / pace / (m.Cost + m.Repeated*elsewhere)
}

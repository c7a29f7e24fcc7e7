package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/straggler"
)

const (
	// minPaceDuration and minPacePercent are the least running time, and the least progress at the usual pace, over which the
	// pace of an attempt is measured; progress is reported in whole percent.
	minPaceDuration = 600 * time.Millisecond
	minPacePercent  = 2
	// maxFinishedPaceAge is the age from which the pace of a finished attempt no longer tells how fast its worker is.
	maxFinishedPaceAge = time.Second
	// tailQuantile is the quantile of the run times up to which a long task is nothing unusual, tailMargin the margin beyond it,
	// and minTailSamples the number of samples from which it is known. Before, unknownTail times the median is not unusual.
	tailQuantile   = 0.995
	tailMargin     = 1.5
	minTailSamples = 200
	unknownTail    = 10
)

// attemptPace is the pace of an attempt.
type attemptPace struct {
	// percent and seconds are the progress and running time since ratio was computed, and total that since the first report.
	percent float64
	seconds float64
	total   progressRate
	// ratio is the latest pace, 1 if the attempt progresses at the rate of its step; it is valid if known is set.
	ratio float64
	known bool
	// unexplained means that the pace over the whole attempt is below that of long tasks.
	unexplained bool
	// cause is the cause that was last found for the attempt to be slow, and logged means that one was logged.
	cause  straggler.Cause
	logged bool
}

// add adds progress in percent and the seconds that it took. r is the rate of the step.
func (x *attemptPace) add(p *Planner, a *attempt, r *progressRate, percent, seconds float64) {
	x.percent += percent
	x.seconds += seconds
	x.total.percent += percent
	x.total.seconds += seconds
	if x.seconds < max(minPaceDuration.Seconds(), r.secondsFor(minPacePercent)) {
		return
	}
	x.ratio, x.known = r.secondsFor(x.percent)/x.seconds, true
	x.percent, x.seconds = 0, 0
	tail := p.tailRatio(a)
	x.unexplained = x.total.seconds >= tail*r.secondsFor(minPacePercent) && r.secondsFor(x.total.percent)*tail < x.total.seconds
}

// tailRatio returns the run time up to which a long task is nothing unusual in its queue, as a multiple of the median.
func (p *Planner) tailRatio(a *attempt) float64 {
	q, s := a.job.Queue.Name, a.task.Spec
	m := p.runTimes.Quantile(q, s, typicalQuantile)
	if p.runTimes.Samples(q) < minTailSamples || m <= 0 {
		return unknownTail
	}
	return tailMargin * float64(p.runTimes.Quantile(q, s, tailQuantile)) / float64(m)
}

// finishedPace is the pace of an attempt that has finished.
type finishedPace struct {
	straggler.Pace
	bestEffort bool
	at         time.Time
}

// finalPace returns the pace of an attempt that has finished, over its last progress in percent and the seconds that it took.
func (p *Planner) finalPace(a *attempt, r *progressRate, percent, seconds float64) finishedPace {
	x := straggler.Pace{Ratio: 1}
	if seconds > 0 {
		x.Ratio = r.secondsFor(percent) / seconds / p.usualSpeed()
	}
	return finishedPace{Pace: x, bestEffort: a.task.Spec.BestEffort}
}

// addFinishedPace adds the pace of an attempt that has finished now.
func (w *worker) addFinishedPace(x finishedPace, now time.Time) {
	x.at = now
	w.finishedPaces = append(w.finishedPaces, x)
}

// usualSpeed returns the median speed of the workers, 1 if it is not known.
func (p *Planner) usualSpeed() float64 {
	if p.medianSpeed <= 0 {
		return 1
	}
	return p.medianSpeed
}

// collectPaces counts the attempts of a worker by their pace, and finds the causes of slow ones.
func (p *Planner) collectPaces(w *worker, now time.Time) {
	w.paces = straggler.Worker{}
	l := w.finishedPaces[:0]
	for _, x := range w.finishedPaces {
		if now.Sub(x.at) < maxFinishedPaceAge {
			l = append(l, x)
			w.addPace(x.Pace, x.bestEffort)
		}
	}
	w.finishedPaces = l
	for _, a := range w.attemptList {
		if a.pace.known && !a.stopping {
			w.addPace(p.paceOf(a), a.task.Spec.BestEffort)
		}
	}
	w.hasHeavyNeighbours = w.paces.HasHeavyNeighbours(p.fleet)
	for _, a := range w.attemptList {
		p.recordCause(w, a)
	}
}

func (w *worker) addPace(x straggler.Pace, bestEffort bool) {
	if bestEffort {
		w.paces.BestEffort.Add(x)
	} else {
		w.paces.Reserved.Add(x)
	}
}

// paceOf returns the pace of an attempt relative to the median speed of the workers.
func (p *Planner) paceOf(a *attempt) straggler.Pace {
	return straggler.Pace{Ratio: a.pace.ratio / p.usualSpeed(), Unexplained: a.pace.unexplained}
}

// recordCause finds the cause of a slow attempt, and logs the first one.
func (p *Planner) recordCause(w *worker, a *attempt) {
	if !a.pace.known || a.stopping {
		return
	}
	x := p.paceOf(a)
	c := w.paces.Cause(x, a.task.Spec.BestEffort, p.fleet)
	a.pace.cause = c
	if c == straggler.CauseNone || a.pace.logged {
		return
	}
	a.pace.logged = true
	p.counts.addSlow(c)
	p.Logger.Info().Str("Task", a.task.String()).Int("Run", a.run).Str("Worker", w.ID).Str("Cause", string(c)).Float64("Pace", x.Ratio).Int("Progress", a.progressPercent).
		Int("SlowTasks", w.paces.Slow()).Int("OtherTasks", w.paces.Normal()).Float64("SlowProbability", w.paces.SlowProbability(p.fleet)).Str("Decision", "SlowTask").Msg("attempt progresses slowly")
}

// updateFleet computes how many attempts are slow on workers that are not.
func (p *Planner) updateFleet() {
	var e straggler.Evidence
	for _, w := range p.workerList {
		if !w.speed.straggler {
			e = e.Plus(w.paces.Reserved).Plus(w.paces.BestEffort)
		}
	}
	p.fleet = straggler.NewFleet(e)
}

// isSlowWorker reports whether the tasks of a worker may be slow because of the worker. Without the pace of any task it relies on
// the sum of their progress.
func (p *Planner) isSlowWorker(w *worker) bool {
	return w.paces.IsEmpty() || w.paces.IsSuspected(p.fleet)
}

// moveCause returns why an attempt should run on another worker, CauseNone if it should not.
func (p *Planner) moveCause(w *worker, a *attempt) straggler.Cause {
	switch {
	case w.speed.straggler, w.speed.suspected && p.progressRate(a.task).mayTryElsewhere(a.task):
		return straggler.CauseSlowWorker
	case w.hasHeavyNeighbours && a.pace.cause == straggler.CauseHeavyNeighbours && a.task.Spec.Checkpoints:
		return straggler.CauseHeavyNeighbours
	}
	return straggler.CauseNone
}

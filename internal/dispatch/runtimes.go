package dispatch

import (
	"fmt"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/runtimes"
)

const (
	// typicalQuantile is the quantile of the run times by which jobs are ordered. A tail of long tasks does not move it.
	typicalQuantile = 0.5
	// maxMeasuredFactor bounds a measured run time by that of the queue, up and down, since reported progress may jump.
	maxMeasuredFactor = 20
	// minRemaining is the least remaining time that is expected of an attempt.
	minRemaining = time.Millisecond
)

// typicalRunTime returns the run time of a typical task of a step: the measured one once tasks of the step have progressed, and
// the median of the queue before. It is 0 if neither is known.
func (p *Planner) typicalRunTime(j *jobs.Job, k, i int) time.Duration {
	d := p.runTimes.Quantile(j.Queue.Name, &j.Steps[i], typicalQuantile)
	r := p.progressRates[StepRef{j.ID, k, i}]
	if r == nil || !r.isKnown() {
		return d
	}
	x := *r
	if d > 0 {
		// Little progress in whole percent tells little, so that the median of the queue counts as one more task.
		x.percent += fullSpeed
		x.seconds += d.Seconds()
	}
	m := time.Duration(min(x.secondsFor(fullSpeed), runtimes.MaxRunTime.Seconds()) * float64(time.Second))
	if d == 0 {
		return m
	}
	return min(max(m, d/maxMeasuredFactor), d*maxMeasuredFactor)
}

// runTimesOf returns a function that returns the run time of a typical task of each step of an occurrence.
func (p *Planner) runTimesOf(j *jobs.Job, k int) func(*jobs.Step) time.Duration {
	l := make([]time.Duration, len(j.Steps))
	for i := range l {
		l[i] = p.typicalRunTime(j, k, i)
	}
	return func(s *jobs.Step) time.Duration {
		for i := range j.Steps {
			if s == &j.Steps[i] {
				return l[i]
			}
		}
		return 0
	}
}

// expectedEnd returns when the attempt of a run-to-completion task is expected to end.
func (p *Planner) expectedEnd(a *attempt, now time.Time) time.Time {
	begin := a.confirmedAt
	if begin.IsZero() {
		begin = a.plannedAt
	}
	d, ok := p.measuredRemaining(a)
	if !ok {
		return now.Add(p.runTimes.Remaining(a.job.Queue.Name, a.task.Spec, now.Sub(begin)))
	}
	return laterOf(a.sampledAt.Add(d), now.Add(minRemaining))
}

// measuredRemaining returns the remaining run time of an attempt at its latest report, by its own progress or, before it has
// progressed enough, by that of its step. It returns false if neither is known.
func (p *Planner) measuredRemaining(a *attempt) (time.Duration, bool) {
	r := a.ownRate()
	if !r.isKnown() {
		x := p.progressRates[stepRef(a.task)]
		if x == nil || !x.isKnown() || a.progressPercent == 0 {
			return 0, false
		}
		r = *x
	}
	s := min(r.secondsFor(float64(fullSpeed-a.progressPercent)), runtimes.MaxRunTime.Seconds())
	return time.Duration(s * float64(time.Second)), true
}

// ownRate returns the progress of an attempt since its first report.
func (a *attempt) ownRate() progressRate {
	if a.firstMeasuredAt.IsZero() {
		return progressRate{}
	}
	return progressRate{percent: float64(a.progressPercent - a.firstPercent), seconds: a.sampledAt.Sub(a.firstMeasuredAt).Seconds()}
}

// isWholeRun reports whether the attempt began at the start of its task, and this owner knows when.
func (a *attempt) isWholeRun() bool { return !a.resumed && !a.restored }

// recordRunTime adds the run time of a successful attempt to those of its queue. It leaves out attempts that did not run the
// whole task, and those on stragglers.
func (p *Planner) recordRunTime(w *worker, a *attempt, now time.Time) {
	if a.isWholeRun() && a.phase == phaseRunning && !w.speed.straggler {
		p.runTimes.Observe(a.job.Queue.Name, a.task.Spec, now.Sub(a.confirmedAt))
	}
}

// EncodeRunTimes returns an encoded record of the run times for the next owner, nil if there are no new samples since the latest.
func (p *Planner) EncodeRunTimes() ([]byte, error) {
	if !p.runTimes.HasChanged() {
		return nil, nil
	}
	b, err := p.runTimes.Encode()
	if err != nil {
		return nil, fmt.Errorf("encode planner run times: %w", err)
	}
	return b, nil
}

// RestoreRunTimes restores the run times of an earlier owner. It is called before RestoreSnapshot, which has only their means.
func (p *Planner) RestoreRunTimes(b []byte) error {
	if err := p.runTimes.Restore(b); err != nil {
		return fmt.Errorf("restore planner run times: %w", err)
	}
	return nil
}

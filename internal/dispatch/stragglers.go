package dispatch

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// speedAveragingTime is the time over which a worker's speed is averaged.
	speedAveragingTime = time.Second
	// minRateDuration is the least total running time of tasks of a step from which the progress rate of the step is known.
	minRateDuration = 1200 * time.Millisecond
	// minSpeedDuration is the least total running time of tasks on a worker from which the speed of the worker is known.
	minSpeedDuration = 1500 * time.Millisecond
	// maxSpeedAge is the age of the latest measurement from which a speed is no longer known, so that a straggler without
	// tasks gets tasks again.
	maxSpeedAge = 3 * time.Second
	// stragglerSpeed is the fraction of the median speed below which a worker is a straggler.
	stragglerSpeed = 0.4
	// maxStragglerFraction is the maximum fraction of the workers with a known speed that may be stragglers; if there are
	// more, the median is not a valid reference and no worker counts as a straggler.
	maxStragglerFraction = 0.3
	// startUpDuration is the time after the worker confirmed an attempt in which progress of the attempt is not measured.
	startUpDuration = 800 * time.Millisecond
	// minMeasuredSpeedPercent is the speed limit below which progress is not measured.
	minMeasuredSpeedPercent = 50
	// rescheduleCost is the time that a task loses when it moves to another worker, in addition to the work that it repeats.
	rescheduleCost = time.Second
	// minRescheduleGain is the ratio of a task's remaining time on a straggler to its remaining time on another worker,
	// rescheduleCost included, above which the task is moved.
	minRescheduleGain = 1.5
	// maxReschedulesPerPlan bounds the number of tasks that one plan stops on stragglers.
	maxReschedulesPerPlan = 12
)

// progressRate is the progress of the tasks of one step, in percent of one task, and the time that the progress took, in
// seconds at full speed. Both are summed over all workers.
type progressRate struct {
	percent float64
	seconds float64
}

// isKnown reports whether the rate covers enough running time.
func (r *progressRate) isKnown() bool { return r.seconds >= minRateDuration.Seconds() && r.percent > 0 }

// secondsFor returns the seconds that the given progress takes at this rate.
func (r *progressRate) secondsFor(percent float64) float64 { return percent * r.seconds / r.percent }

// speed is the progress of the tasks of a worker relative to the progress rates of their steps. Callers' estimates of run
// times are too inaccurate as a reference.
type speed struct {
	// typicalSeconds is the time that the progress takes at the rates of the steps, and elapsedSeconds the time that the
	// progress took on this worker. Both are weighted sums in which old progress counts less.
	typicalSeconds float64
	elapsedSeconds float64
	// at is when progress was last added.
	at time.Time
	// straggler means that the worker was found slow by the latest comparison.
	straggler bool
}

// add adds new progress: typical is the number of seconds that the progress takes at the rates of the steps, and elapsed the
// number of seconds that the progress took on this worker.
func (s *speed) add(typical, elapsed float64, now time.Time) {
	if !s.at.IsZero() {
		keep := max(0, 1-float64(now.Sub(s.at))/float64(speedAveragingTime+now.Sub(s.at)))
		s.typicalSeconds *= keep
		s.elapsedSeconds *= keep
	}
	s.typicalSeconds += typical
	s.elapsedSeconds += elapsed
	s.at = now
}

// isKnown reports whether the speed covers enough recent running time.
func (s *speed) isKnown(now time.Time) bool {
	return s.elapsedSeconds >= minSpeedDuration.Seconds() && now.Sub(s.at) < maxSpeedAge
}

// ratio returns the speed of the worker, 1 if its tasks progress at the rates of their steps.
func (s *speed) ratio() float64 { return s.typicalSeconds / s.elapsedSeconds }

// recordProgress adds the progress of a worker's tasks since its previous report to the rates of their steps and to the
// speed of the worker. The first progress that is reported for an attempt is only the reference for the next report, as is
// progress during startUpDuration, below minMeasuredSpeedPercent, or less than the previous progress.
func (p *Planner) recordProgress(w *worker, now time.Time) {
	var typical, elapsed float64
	for _, a := range w.attemptList {
		if a.task.Spec.LongRunning || a.phase != phaseRunning || a.stopping {
			continue
		}
		d := now.Sub(a.measuredAt).Seconds() * float64(a.effectiveSpeedPercent()) / fullSpeed
		if a.firstMeasuredAt.IsZero() || a.progressPercent < a.firstPercent {
			a.firstPercent, a.firstMeasuredAt = a.progressPercent, now
		}
		if a.measuredAt.IsZero() || a.progressPercent < a.measuredPercent {
			a.measuredPercent, a.measuredAt = a.progressPercent, now
			continue
		}
		if a.effectiveSpeedPercent() >= minMeasuredSpeedPercent && now.Sub(a.confirmedAt) > startUpDuration {
			r := p.progressRate(a.task)
			n := float64(a.progressPercent - a.measuredPercent)
			if r.isKnown() {
				typical += r.secondsFor(n)
				elapsed += d
			}
			r.percent += n
			r.seconds += d
		}
		a.measuredPercent, a.measuredAt = a.progressPercent, now
	}
	if elapsed > 0 {
		w.speed.add(typical, elapsed, now)
	}
}

// recordCompletion adds the progress of a finished task since the latest report of its attempt to the rate of its step, since
// short tasks are seldom reported while they run. Where an attempt that did not run the whole task began is known only from
// a report.
func (p *Planner) recordCompletion(a *attempt, now time.Time) {
	if a.phase != phaseRunning {
		return
	}
	from := a.confirmedAt
	switch {
	case a.measuredPercent > 0:
		from = a.measuredAt
	case !a.isWholeRun():
		return
	}
	r := p.progressRate(a.task)
	// The value of fullSpeed also stands for 100 percent of progress.
	r.percent += float64(fullSpeed - a.measuredPercent)
	r.seconds += now.Sub(from).Seconds() * float64(max(a.effectiveSpeedPercent(), minMeasuredSpeedPercent)) / fullSpeed
}

// progressRate returns the progress rate of a task's step.
func (p *Planner) progressRate(t *jobs.Task) *progressRate {
	k := stepRef(t)
	r := p.progressRates[k]
	if r == nil {
		r = &progressRate{}
		p.progressRates[k] = r
	}
	return r
}

// removeRates drops the progress rates of a finished job.
func (p *Planner) removeRates(j *jobs.Job) {
	for k := range j.Tasks {
		for i := range j.Steps {
			delete(p.progressRates, StepRef{j.ID, k, i})
		}
	}
}

// effectiveSpeedPercent returns the speed limit of an attempt, which may be unknownSpeed. Only best-effort tasks are
// throttled.
func (a *attempt) effectiveSpeedPercent() int {
	if a.task.Spec.BestEffort {
		return a.speedPercent
	}
	return fullSpeed
}

// detectStragglers finds the workers whose tasks progress much more slowly than tasks of the same steps on other workers.
//
// Tasks on such a worker may be slow or make no progress at all although the
// worker reports regularly. A job waits for the last of its tasks, so that a
// few stragglers delay most jobs.
func (p *Planner) detectStragglers(now time.Time) {
	var l []float64
	for _, w := range p.workerList {
		if w.speed.isKnown(now) {
			l = append(l, w.speed.ratio())
		}
	}
	if len(l) == 0 {
		return
	}
	slices.Sort(l)
	p.medianSpeed = l[len(l)/2]
	limit := stragglerSpeed * p.medianSpeed
	n, _ := slices.BinarySearch(l, limit)
	tooMany := float64(n) > maxStragglerFraction*float64(len(l))
	for _, w := range p.workerList {
		slow := !tooMany && w.speed.isKnown(now) && w.speed.ratio() < limit
		if slow != w.speed.straggler {
			w.speed.straggler = slow
			p.Logger.Info().Str("Worker", w.ID).Bool("Slow", slow).Float64("Speed", w.speed.typicalSeconds/max(w.speed.elapsedSeconds, 0.001)).Float64("UsualSpeed", p.medianSpeed).
				Dur("Age", now.Sub(w.speed.at)).Str("Decision", "WorkerSpeed").Msg("straggler state of worker changed")
		}
	}
}

// rescheduleFromStragglers stops tasks on stragglers if they are expected to finish much earlier on another worker.
func (p *Planner) rescheduleFromStragglers(now time.Time) {
	n := 0
	for _, w := range p.workerList {
		if !w.speed.straggler {
			continue
		}
		for _, a := range w.attemptList {
			if n == maxReschedulesPerPlan {
				return
			}
			if p.finishesEarlierElsewhere(w, a) && p.hasCapacityElsewhere(w, a, now) {
				p.stop(w, a, "worker is a straggler", now)
				n++
			}
		}
	}
}

// finishesEarlierElsewhere reports whether the expected remaining time of a task on a straggler is more than
// minRescheduleGain times the remaining time on a worker of median speed, rescheduleCost included.
func (p *Planner) finishesEarlierElsewhere(w *worker, a *attempt) bool {
	s := a.task.Spec
	r := p.progressRate(a.task)
	if s.LongRunning || s.Gang || a.stopping || a.phase != phaseRunning || !r.isKnown() {
		return false
	}
	// The value of fullSpeed also stands for 100 percent of progress.
	remaining := r.secondsFor(float64(fullSpeed - a.progressPercent))
	elsewhere := r.secondsFor(fullSpeed)
	if s.Checkpoints {
		elsewhere = remaining
	}
	stay := remaining / max(w.speed.ratio(), 0.01)
	move := rescheduleCost.Seconds() + elsewhere/max(p.medianSpeed, 0.01)
	return stay > minRescheduleGain*move
}

// isFastEnough reports whether the speed of a worker allows tasks of a step: stragglers get long-running tasks only.
func (w *worker) isFastEnough(s *jobs.Step) bool { return !w.speed.straggler || s.LongRunning }

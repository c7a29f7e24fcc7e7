package dispatch

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// speedMemory is the time over which a worker's speed is averaged.
	speedMemory = time.Second
	// rateTime is the task time that the rate of a step must rest on.
	rateTime = 1200 * time.Millisecond
	// speedTime is the task time that a speed must rest on.
	speedTime = 1500 * time.Millisecond
	// speedTrust is the age up to which a speed is believed, so that a worker without tasks is tried again.
	speedTrust = 3 * time.Second
	// slowSpeed is the part of the usual speed below which a worker counts as slow.
	slowSpeed = 0.4
	// mostSlow is the part of the workers that may count as slow; if there are more, the comparison is wrong.
	mostSlow = 0.3
	// startUp is the time after a start in which progress means little.
	startUp = 800 * time.Millisecond
	// leastMeasuredPace is the pace, in percent, below which progress is not measured.
	leastMeasuredPace = 50
	// moveCost is the time that a task loses by a move besides what it repeats.
	moveCost = time.Second
	// movePays is how many times as long a task must take where it is as after a move.
	movePays = 1.5
	// rescuesPerPlan bounds the tasks that one plan takes away from slow workers.
	rescuesPerPlan = 12
)

// rate is how fast the tasks of one step progress, over all workers.
type rate struct {
	percent float64
	seconds float64
}

// isKnown tells whether the rate rests on enough task time.
func (r *rate) isKnown() bool { return r.seconds >= rateTime.Seconds() && r.percent > 0 }

// took returns the seconds that the given progress takes at this rate.
func (r *rate) took(percent float64) float64 { return percent * r.seconds / r.percent }

// speed is how fast the tasks of a worker progress, in parts of the rates of their steps: callers' estimates are too far
// off to compare with.
type speed struct {
	// done is the seconds that the progress takes elsewhere, and expected those that it took here.
	done     float64
	expected float64
	at       time.Time
	slow     bool
}

// add takes in progress in the time since the latest report, both in seconds.
func (s *speed) add(done, expected float64, now time.Time) {
	if !s.at.IsZero() {
		keep := max(0, 1-float64(now.Sub(s.at))/float64(speedMemory+now.Sub(s.at)))
		s.done *= keep
		s.expected *= keep
	}
	s.done += done
	s.expected += expected
	s.at = now
}

// isKnown tells whether the speed rests on enough recent task time.
func (s *speed) isKnown(now time.Time) bool {
	return s.expected >= speedTime.Seconds() && now.Sub(s.at) < speedTrust
}

func (s *speed) value() float64 { return s.done / s.expected }

// noteProgress takes in the progress of a worker's tasks since its latest report.
func (p *Planner) noteProgress(w *worker, now time.Time) {
	var done, expected float64
	for _, a := range w.list {
		if a.task.Spec.LongRunning || a.phase != phaseRunning || a.stopping {
			continue
		}
		d := now.Sub(a.progressAt).Seconds() * float64(a.speedPace()) / fullPace
		if a.progressAt.IsZero() || a.percent < a.progress {
			a.progress, a.progressAt = a.percent, now
			continue
		}
		if a.speedPace() >= leastMeasuredPace && now.Sub(a.confirmedAt) > startUp {
			r := p.rate(a.task)
			n := float64(a.percent - a.progress)
			if r.isKnown() {
				done += r.took(n)
				expected += d
			}
			r.percent += n
			r.seconds += d
		}
		a.progress, a.progressAt = a.percent, now
	}
	if expected > 0 {
		w.speed.add(done, expected, now)
	}
}

// noteDone takes in the end of a task, since those of short steps are seldom seen on their way.
func (p *Planner) noteDone(a *attempt, now time.Time) {
	if a.phase != phaseRunning || a.task.Checkpoint != "" {
		return
	}
	from := a.confirmedAt
	if a.progress > 0 {
		from = a.progressAt
	}
	r := p.rate(a.task)
	r.percent += float64(fullPace - a.progress)
	r.seconds += now.Sub(from).Seconds() * float64(max(a.speedPace(), leastMeasuredPace)) / fullPace
}

// rate returns the rate of a task's step.
func (p *Planner) rate(t *jobs.Task) *rate {
	k := StepRef{t.Job, t.Occurrence, t.Step}
	r := p.rates[k]
	if r == nil {
		r = &rate{}
		p.rates[k] = r
	}
	return r
}

// forgetRates drops the rates of a job that is over.
func (p *Planner) forgetRates(j *jobs.Job) {
	for k := range j.Tasks {
		for i := range j.Steps {
			delete(p.rates, StepRef{j.ID, k, i})
		}
	}
}

// speedPace returns the pace of a task in percent; only best-effort tasks are paced.
func (a *attempt) speedPace() int {
	if a.task.Spec.BestEffort {
		return a.pace
	}
	return fullPace
}

// judgeSpeeds finds the workers that are slow beside the others.
//
// It answers workers that turn slow, or whose tasks stand still, while their
// reports are good: a job waits for the last of its tasks, so that few slow
// workers delay most jobs.
func (p *Planner) judgeSpeeds(now time.Time) {
	var l []float64
	for _, w := range p.list {
		if w.speed.isKnown(now) {
			l = append(l, w.speed.value())
		}
	}
	if len(l) == 0 {
		return
	}
	slices.Sort(l)
	p.usualSpeed = l[len(l)/2]
	limit := slowSpeed * p.usualSpeed
	n, _ := slices.BinarySearch(l, limit)
	wrong := float64(n) > mostSlow*float64(len(l))
	for _, w := range p.list {
		slow := !wrong && w.speed.isKnown(now) && w.speed.value() < limit
		if slow != w.speed.slow {
			w.speed.slow = slow
			p.Logger.Info().Str("Worker", w.ID).Bool("Slow", slow).Float64("Speed", w.speed.done/max(w.speed.expected, 0.001)).Float64("UsualSpeed", p.usualSpeed).
				Dur("Age", now.Sub(w.speed.at)).Str("Decision", "WorkerSpeed").Msg("belief in the speed of a worker changed")
		}
	}
}

// rescue stops tasks at slow workers that are done earlier elsewhere.
func (p *Planner) rescue(now time.Time) {
	n := 0
	for _, w := range p.list {
		if !w.speed.slow {
			continue
		}
		for _, a := range w.list {
			if n == rescuesPerPlan {
				return
			}
			if p.isBetterMoved(w, a) && p.hasRoomElsewhere(w, a, now) {
				p.stop(w, a, "its worker is slow", now)
				n++
			}
		}
	}
}

// isBetterMoved tells whether a task at a slow worker would end clearly earlier at another.
func (p *Planner) isBetterMoved(w *worker, a *attempt) bool {
	s := a.task.Spec
	r := p.rate(a.task)
	if s.LongRunning || s.Gang || a.stopping || a.phase != phaseRunning || !r.isKnown() {
		return false
	}
	left := r.took(float64(fullPace - a.percent))
	again := r.took(fullPace)
	if s.Checkpoints {
		again = left
	}
	stay := left / max(w.speed.value(), 0.01)
	move := moveCost.Seconds() + again/max(p.usualSpeed, 0.01)
	return stay > movePays*move
}

// isFastEnough tells whether a worker may get tasks of a step as far as its speed goes.
func (w *worker) isFastEnough(s *jobs.Step) bool { return !w.speed.slow || s.LongRunning }

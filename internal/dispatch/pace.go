package dispatch

import (
	"time"
)

const (
	// fullPace is the share of their speed at which tasks work unless told otherwise, in percent.
	fullPace = 100
	// paceEvery is the time between two changes of pace at a worker, in which the first shows in the figures.
	paceEvery = 500 * time.Millisecond
	// tailGoal is the part of its bound at which the tail of a long-running task is kept.
	tailGoal = 0.78
	// tailAlarm is the part beyond which best-effort tasks are slowed whether or not they are known to press.
	tailAlarm = 1.0
	// alarmLimit is the time over the bound after which all best-effort tasks beside stand still.
	alarmLimit = 1200 * time.Millisecond
	// alarmCut is the factor by which a pace falls while a tail is over its bound.
	alarmCut = 0.35
	// leastFactor and mostFactor bound one change of pace.
	leastFactor = 0.3
	mostFactor  = 1.5
	// leastPace is the pace below which a task stands still, and from which it begins again, in percent.
	leastPace = 6
	// paceDeadband is the change of pace that is not worth a call, in percent.
	paceDeadband = 4
	// leastPressure is the pressure below which an image does not press.
	leastPressure = 0.6
)

// control keeps the tails of long-running tasks below their bounds by the pace of the best-effort tasks beside them.
//
// It answers a worker whose services near their bounds as their own load
// swings: only the images that are known to press on such a service are slowed,
// in proportion to how far the tail is above its goal; others work on.
func (p *Planner) control(now time.Time) {
	for _, w := range p.workers {
		if now.Sub(w.pacedAt) < paceEvery || !w.isReachable(now) || w.figuresAt.Before(w.pacedAt.Add(paceEvery)) {
			continue
		}
		p.controlWorker(w, now)
	}
}

func (p *Planner) controlWorker(w *worker, now time.Time) {
	factors := p.factors(w, now)
	changed := false
	for _, a := range w.attempts {
		if !a.task.Spec.BestEffort || a.phase != phaseRunning || a.stopping {
			continue
		}
		n := nextPace(a.pace, factors.of(a.task.Spec.Image))
		if n == a.pace || n != 0 && n != fullPace && max(n-a.pace, a.pace-n) < paceDeadband {
			continue
		}
		a.pace = n
		changed = true
		p.orders = append(p.orders, Order{Ref: a.task.Ref, Kind: OrderPace, Run: a.run, Worker: w.ID, Address: w.Address, Percent: n})
	}
	if changed {
		w.pacedAt = now
	}
}

// nextPace returns the pace after a change by a factor.
func nextPace(pace int, f float64) int {
	n := int(float64(max(pace, leastPace)) * f)
	if n < leastPace {
		return 0
	}
	return min(n, fullPace)
}

// paceFactors holds the factors by which the paces of images change at a worker.
type paceFactors struct {
	all    float64
	images map[string]float64
}

func (f paceFactors) of(image string) float64 {
	x, ok := f.images[image]
	if !ok {
		x = mostFactor
	}
	return min(x, f.all)
}

// factors returns how the paces shall change so that each tail comes to its goal.
func (p *Planner) factors(w *worker, now time.Time) paceFactors {
	f := paceFactors{all: mostFactor, images: make(map[string]float64)}
	u := w.use()
	for _, a := range w.attempts {
		if a.task.Spec.TailBound <= 0 || a.phase != phaseRunning {
			continue
		}
		t := tailPart(a)
		f.alarm(a, t, now)
		s := p.pressure.of(a.task.Spec.Image)
		x := factorFor(t, s.sum(u))
		for i := range w.bestEffortImages() {
			if s.pair(i).Mean < leastPressure {
				continue
			}
			if o, ok := f.images[i]; !ok || x < o {
				f.images[i] = x
			}
		}
	}
	return f
}

// alarm slows all best-effort tasks beside a task that is over its bound.
func (f *paceFactors) alarm(a *attempt, tail float64, now time.Time) {
	if tail <= tailAlarm {
		a.overSince = time.Time{}
		return
	}
	if a.overSince.IsZero() {
		a.overSince = now
	}
	f.all = min(f.all, alarmCut)
	if now.Sub(a.overSince) > alarmLimit {
		f.all = 0
	}
}

// factorFor returns the factor for images that press on a task, of whose tail they are believed to add a part.
func factorFor(tail, added float64) float64 {
	if added <= 0 {
		return mostFactor
	}
	alone := max(tail-added, 0)
	x := (tailGoal - alone) / max(tail-alone, leastAdded)
	return min(max(x, leastFactor), mostFactor)
}

// leastAdded bounds the divisor of a factor.
const leastAdded = 0.02

// bestEffortImages returns the best-effort images that run at the worker.
func (w *worker) bestEffortImages() map[string]bool {
	m := make(map[string]bool)
	for _, a := range w.attempts {
		if a.task.Spec.BestEffort {
			m[a.task.Spec.Image] = true
		}
	}
	return m
}

// tailPart returns the part of its bound that a long-running task has reached.
func tailPart(a *attempt) float64 {
	return a.load / float64(a.task.Spec.TailBound/time.Millisecond)
}

// PaceAnswered takes in the outcome of a change of pace.
func (p *Planner) PaceAnswered(o Order, x Answer, _ time.Time) {
	w := p.workers[o.Worker]
	if w == nil || x == AnswerAccepted {
		return
	}
	if a := w.attempts[o.Ref]; a != nil && a.run == o.Run {
		// The next round sends it again, since no pace of a plan has this value.
		a.pace = unknownPace
	}
}

// unknownPace is the pace of an attempt whose latest change was not answered.
const unknownPace = -1

// NeedsFigures tells whether a worker runs both kinds of work, so that its figures must be fresh.
func (p *Planner) NeedsFigures(id string) bool {
	w := p.workers[id]
	if w == nil {
		return false
	}
	var bounded, free bool
	for _, a := range w.attempts {
		bounded = bounded || a.task.Spec.TailBound > 0
		free = free || a.task.Spec.BestEffort
	}
	return bounded && free
}

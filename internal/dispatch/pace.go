package dispatch

import (
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// fullPace is the share of their speed at which tasks work unless told otherwise, in percent.
	fullPace = 100
	// paceEvery is the time between two changes of pace at a worker; a change shows in the figures after it.
	paceEvery = 450 * time.Millisecond
	// highTail is the part of the bound beyond which the best-effort tasks beside are slowed.
	highTail = 0.85
	// lowTail is the part of the bound below which they are sped up again.
	lowTail = 0.7
	// paceCut is the factor of one slowing.
	paceCut = 0.45
	// paceRise is the step of one speeding up, in percent.
	paceRise = 12
	// leastPace is the pace below which best-effort tasks stand still, in percent.
	leastPace = 8
	// crowdFactor is the part of the processors that best-effort tasks may expect besides what others hold.
	crowdFactor = 0.5
)

// pressure holds what is known of how best-effort tasks disturb long-running ones.
type pressure struct{}

func newPressure() *pressure { return &pressure{} }

func (p *Planner) learnPressure(_ *worker) {}

// bestEffortScore rates a worker for a best-effort task.
func (p *Planner) bestEffortScore(w *worker, c *candidate, _ time.Time) (float64, bool) {
	var held, wanted int
	for _, a := range w.attempts {
		if a.task.Spec.BestEffort {
			wanted += a.task.Spec.Size.MilliCPU
			continue
		}
		if a.task.Spec.LongRunning {
			held += int(crowdFactor * float64(a.task.Spec.Size.MilliCPU))
			continue
		}
		held += a.task.Spec.Size.MilliCPU
	}
	left := (w.Room.MilliCPU-held)*w.paceCeiling/fullPace - wanted
	if left < c.step.Size.MilliCPU/2 {
		return 0, false
	}
	return float64(left) / float64(max(w.Room.MilliCPU, leastRoom)), true
}

// control slows the best-effort tasks beside a long-running one that nears its bound, and speeds them up again.
func (p *Planner) control(now time.Time) {
	for _, w := range p.workers {
		if now.Sub(w.paceAt) < paceEvery || !w.isReachable(now) {
			continue
		}
		p.controlWorker(w, now)
	}
}

func (p *Planner) controlWorker(w *worker, now time.Time) {
	t, ok := worstTail(w)
	c := w.paceCeiling
	switch {
	case !ok:
		c = fullPace
	case t > highTail:
		c = int(float64(c) * paceCut)
		if c < leastPace {
			c = 0
		}
	case t < lowTail:
		c = min(fullPace, c+paceRise)
	}
	w.paceCeiling = c
	for _, a := range w.attempts {
		if !a.task.Spec.BestEffort || a.phase != phaseRunning || a.stopping || a.paceSent == c {
			continue
		}
		w.paceAt = now
		a.paceSent = c
		p.orders = append(p.orders, Order{Ref: a.task.Ref, Kind: OrderPace, Run: a.run, Worker: w.ID, Address: w.Address, Percent: c})
	}
}

// worstTail returns the greatest part of its bound that a long-running task on the worker has reached.
func worstTail(w *worker) (float64, bool) {
	var t float64
	ok := false
	for _, a := range w.attempts {
		if a.task.Spec.TailBound <= 0 || a.phase != phaseRunning || a.loadAt.IsZero() {
			continue
		}
		ok = true
		t = max(t, tailPart(a))
	}
	return t, ok
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
		// The next round sends it again.
		a.paceSent = -1
	}
}

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

var _ = jobs.TaskWaiting

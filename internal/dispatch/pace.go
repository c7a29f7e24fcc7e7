package dispatch

import (
	"time"
)

const (
	// fullPace is the share of their speed at which tasks work unless told otherwise, in percent.
	fullPace = 100
	// paceEvery is the least time between two changes of pace at a worker.
	paceEvery = 200 * time.Millisecond
	// paceDelay is the time until a change of pace, with the age of the figures, has its effect.
	paceDelay = 500 * time.Millisecond
	// tailGoal is the part of its bound at which the tail of a long-running task is kept.
	tailGoal = 0.72
	// tailAlarm is the part beyond which best-effort tasks are slowed whatever the model says.
	tailAlarm = 1.0
	// alarmCut is the pace that best-effort tasks keep beside a task over its bound, in percent.
	alarmCut = 25
	// alarmLimit is the time over the bound after which all best-effort tasks beside stand still.
	alarmLimit = 900 * time.Millisecond
	// leastPace is the pace below which a task stands still, in percent.
	leastPace = 5
	// paceDeadband is the change of pace that is not worth a call, in percent.
	paceDeadband = 6
	// leastPressure is the pressure below which an image is not slowed for a service.
	leastPressure = 0.6
)

// control keeps the tails of long-running tasks below their bounds by the pace of the best-effort tasks beside them.
//
// It answers services that near their bounds as their load swings: from the
// load that is expected when the change has its effect follows the slowdown
// that each service can bear, and the images that press on it share that.
func (p *Planner) control(now time.Time) {
	for _, w := range p.list {
		if now.Sub(w.pacedAt) < paceEvery || !w.isReachable(now) {
			continue
		}
		p.controlWorker(w, now)
	}
}

func (p *Planner) controlWorker(w *worker, now time.Time) {
	if len(w.wanted) == 0 {
		return
	}
	paces := p.paces(w, now)
	for _, a := range w.list {
		if !a.task.Spec.BestEffort || a.phase != phaseRunning || a.stopping {
			continue
		}
		n := paces[a.task.Spec.Image]
		if n == a.pace || n != 0 && n != fullPace && max(n-a.pace, a.pace-n) < paceDeadband {
			continue
		}
		if n <= slowPace && a.pace > slowPace {
			a.slowSince = now
		}
		a.pace = n
		w.pacedAt = now
		p.orders = append(p.orders, Order{Ref: a.task.Ref, Kind: OrderThrottle, Run: a.run, Worker: w.ID, Address: w.Address, SpeedPercent: n})
	}
}

// paces returns the pace of each image that leaves every service below its goal.
func (p *Planner) paces(w *worker, now time.Time) map[string]int {
	part := make(map[string]float64, len(w.wanted))
	for _, x := range w.wanted {
		part[x.image] = 1
	}
	most := 1.0
	for _, a := range w.services {
		if a.phase != phaseRunning {
			continue
		}
		most = min(most, alarm(a, now))
		p.limit(w, a, part, now.Add(paceDelay))
	}
	paces := make(map[string]int, len(part))
	for f, x := range part {
		n := int(fullPace * min(x, most))
		if n < leastPace {
			n = 0
		}
		paces[f] = n
	}
	return paces
}

// limit lowers the parts of the images that press on a service to what it can bear at an instant.
func (p *Planner) limit(w *worker, a *attempt, part map[string]float64, at time.Time) {
	s, l := p.model(a)
	room := s.bearable(l.ahead(at))
	var light, heavy float64
	for _, c := range w.wanted {
		u := w.part(c.milliCPU)
		if x := s.pair(c.image).Mean; x < leastPressure {
			light += x * u
		} else {
			heavy += x * u
		}
	}
	if heavy == 0 || heavy <= room-light {
		return
	}
	x := max(0, room-light) / heavy
	for _, c := range w.wanted {
		if s.pair(c.image).Mean >= leastPressure {
			part[c.image] = min(part[c.image], x)
		}
	}
}

// bearable returns the slowdown, as a part, that leaves the tail of a service with the given load at its goal.
func (s *sensitivity) bearable(load float64) float64 {
	return s.utilisation(tailGoal)/load - 1
}

// alarm returns the part of their speed that best-effort tasks keep beside a service that is over its bound.
func alarm(a *attempt, now time.Time) float64 {
	if tailPart(a) <= tailAlarm {
		a.overSince = time.Time{}
		return 1
	}
	if a.overSince.IsZero() {
		a.overSince = now
	}
	if now.Sub(a.overSince) > alarmLimit {
		return 0
	}
	return float64(alarmCut) / fullPace
}

// tailPart returns the part of its bound that a long-running task has reached.
func tailPart(a *attempt) float64 {
	return a.load / float64(a.task.Spec.TailBound/time.Millisecond)
}

// HandleThrottleResult takes in the outcome of a change of pace.
func (p *Planner) HandleThrottleResult(o Order, x OrderResult) {
	w := p.workers[o.Worker]
	if w == nil || x == ResultAccepted {
		return
	}
	if a := w.attempts[o.Ref]; a != nil && a.run == o.Run {
		// The next round sends it again, since no pace of a plan has this value.
		a.pace = unknownPace
	}
}

// unknownPace is the pace of an attempt whose latest change was not answered.
const unknownPace = -1

// NeedsFreshSamples tells whether a worker runs both kinds of work, so that its figures must be fresh.
func (p *Planner) NeedsFreshSamples(id string) bool {
	w := p.workers[id]
	if w == nil {
		return false
	}
	return len(w.services) > 0 && len(w.wanted) > 0
}

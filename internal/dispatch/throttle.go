package dispatch

import (
	"time"
)

const (
	// fullSpeed is the speed limit of tasks that are not throttled, in percent of their full speed. Its value also stands for
	// 100 percent of progress.
	fullSpeed = 100
	// throttleInterval is the least time between two changes of speed limits on a worker.
	throttleInterval = 200 * time.Millisecond
	// throttleDelay is the time from a change of a speed limit until the change takes effect, plus the age of the samples.
	throttleDelay = 500 * time.Millisecond
	// targetBoundFraction is the target for the tail latency of a service, as a fraction of its bound.
	targetBoundFraction = 0.72
	// alarmBoundFraction is the fraction of the bound beyond which best-effort tasks are throttled whatever the interference
	// model predicts.
	alarmBoundFraction = 1.0
	// alarmSpeedPercent is the maximum speed limit of best-effort tasks on the same worker as a service over its bound.
	alarmSpeedPercent = 25
	// alarmPauseDelay is the time that a service is over its bound after which all best-effort tasks on its worker are paused.
	alarmPauseDelay = 900 * time.Millisecond
	// minSpeedPercent is the speed limit below which a task is paused.
	minSpeedPercent = 5
	// speedDeadbandPercent is the least change of a speed limit that is sent, except for changes to 0 or fullSpeed.
	speedDeadbandPercent = 6
	// minInterference is the interference below which a best-effort image is not throttled for a service, unless the service is
	// over its bound.
	minInterference = 0.6
)

// adjustThrottles keeps the tail latencies of services below their bounds by throttling co-located best-effort tasks.
//
// The tail latency of a service rises with its load, which fluctuates. The load
// that is predicted for the time when a changed speed limit takes effect
// determines the tolerable slowdown of the service. The speed limits keep the
// total slowdown by all best-effort images within the tolerable slowdown, but
// images whose interference is below minInterference are not throttled for it.
// While a service is over its bound, all best-effort tasks on its worker are
// throttled or paused.
func (p *Planner) adjustThrottles(now time.Time) {
	for _, w := range p.workerList {
		if now.Sub(w.throttledAt) < throttleInterval && !w.hasUnthrottledOverdue() || !w.isReachable(now) {
			continue
		}
		p.adjustWorkerThrottles(w, now)
	}
}

// hasUnthrottledOverdue reports whether an overdue task runs at full speed, which must not last until the next regular change.
func (w *worker) hasUnthrottledOverdue() bool {
	for _, a := range w.attemptList {
		if a.overdue && a.phase == phaseRunning && a.speedPercent == fullSpeed {
			return true
		}
	}
	return false
}

func (p *Planner) adjustWorkerThrottles(w *worker, now time.Time) {
	if len(w.bestEffortDemand) == 0 {
		return
	}
	limits := p.speedLimits(w, now)
	for _, a := range w.attemptList {
		if !a.task.Spec.BestEffort || a.phase != phaseRunning || a.stopping {
			continue
		}
		n := limits[a.task.Spec.Image]
		if n == a.speedPercent || n != 0 && n != fullSpeed && max(n-a.speedPercent, a.speedPercent-n) < speedDeadbandPercent {
			continue
		}
		if n <= relocationSpeedPercent && a.speedPercent > relocationSpeedPercent {
			a.throttledSince = now
		}
		a.speedPercent = n
		w.throttledAt = now
		p.orders = append(p.orders, Order{Ref: a.task.Ref, Kind: OrderThrottle, Run: a.run, Worker: w.ID, Address: w.Address, SpeedPercent: n})
	}
}

// speedLimits returns, for each best-effort image on a worker, the speed limit in percent at which the tail latencies of the
// services are expected to stay within their targets. The limits are lower while a service is over its bound.
func (p *Planner) speedLimits(w *worker, now time.Time) map[string]int {
	fractions := make(map[string]float64, len(w.bestEffortDemand))
	for _, x := range w.bestEffortDemand {
		fractions[x.image] = 1
	}
	maxFraction := 1.0
	for _, a := range w.services {
		if a.phase != phaseRunning {
			continue
		}
		maxFraction = min(maxFraction, alarmFraction(a, now))
		p.limitForService(w, a, fractions, now.Add(throttleDelay))
	}
	limits := make(map[string]int, len(fractions))
	for f, x := range fractions {
		n := int(fullSpeed * min(x, maxFraction))
		if n < minSpeedPercent {
			n = 0
		}
		limits[f] = n
	}
	return limits
}

// limitForService lowers the speed limits of the images that interfere with a service, so that the slowdown of the service
// is expected to be tolerable at the given time. fractions holds the limits by image, as fractions of full speed.
func (p *Planner) limitForService(w *worker, a *attempt, fractions map[string]float64, at time.Time) {
	s, l := p.model(a)
	tolerable := s.tolerableSlowdown(l.predict(at))
	var light, heavy float64
	for _, c := range w.bestEffortDemand {
		u := w.fraction(c.milliCPU)
		if x := s.pair(c.image).Mean; x < minInterference {
			light += x * u
		} else {
			heavy += x * u
		}
	}
	if heavy == 0 || heavy <= tolerable-light {
		return
	}
	x := max(0, tolerable-light) / heavy
	for _, c := range w.bestEffortDemand {
		if s.pair(c.image).Mean >= minInterference {
			fractions[c.image] = min(fractions[c.image], x)
		}
	}
}

// tolerableSlowdown returns the slowdown at which the tail latency of a service with the given load reaches its target;
// 0 means no slowdown.
func (s *sensitivity) tolerableSlowdown(load float64) float64 {
	return s.utilisation(targetBoundFraction)/load - 1
}

// alarmFraction returns the speed limit of best-effort tasks co-located with a service, as a fraction of full speed: 1
// while the service is within its bound. alarmFraction also records since when the service is over its bound.
func alarmFraction(a *attempt, now time.Time) float64 {
	if boundFraction(a) <= alarmBoundFraction {
		a.overBoundSince = time.Time{}
		return 1
	}
	if a.overBoundSince.IsZero() {
		a.overBoundSince = now
	}
	if now.Sub(a.overBoundSince) > alarmPauseDelay {
		return 0
	}
	return float64(alarmSpeedPercent) / fullSpeed
}

// boundFraction returns the tail latency of a service as a fraction of its bound.
func boundFraction(a *attempt) float64 {
	return a.sample / float64(a.task.Spec.TailBound/time.Millisecond)
}

// HandleThrottleResult handles the result of a throttle order.
func (p *Planner) HandleThrottleResult(o Order, x OrderResult) {
	w := p.workers[o.Worker]
	if w == nil || x == ResultAccepted {
		return
	}
	if a := w.attempts[o.Ref]; a != nil && a.run == o.Run {
		// A later plan sends the speed limit again, since no planned limit equals this value.
		a.speedPercent = unknownSpeed
	}
}

// unknownSpeed stands for the speed limit of an attempt that an earlier owner planned, or whose latest throttle order was not
// accepted.
const unknownSpeed = -1

// NeedsFreshSamples reports whether a worker holds attempts of both services and best-effort tasks, so that samples of the
// worker must be recent.
func (p *Planner) NeedsFreshSamples(id string) bool {
	w := p.workers[id]
	if w == nil {
		return false
	}
	return len(w.services) > 0 && len(w.bestEffortDemand) > 0
}

package dispatch

import (
	"math"
	"time"
)

const (
	// priorPressure is the expected pressure of a pair of images of which nothing is known, in parts of the bound
	// for a worker whose processors all work for the best-effort image.
	priorPressure = 1.5
	// priorVariance is the variance of that expectation.
	priorVariance = 6.0
	// leastVariance keeps the model able to follow a change.
	leastVariance = 0.02
	// variancePerRound is added for each observation, since pressures change.
	variancePerRound = 0.002
	// noiseVariance is the variance of a tail figure that the load of a task itself explains, in parts of the bound.
	noiseVariance = 0.03
	// priorBase is the part of its bound that the tail of a task takes up without neighbours.
	priorBase = 0.35
	// priorBaseVariance is the variance of that part.
	priorBaseVariance = 0.04
	// learnEvery is the time between two observations at a worker; its figures cover the last half second.
	learnEvery = 400 * time.Millisecond
	// settleTime is the time in which the figures of a new attempt mean little.
	settleTime = 700 * time.Millisecond
	// knownVariance is the variance below which a pressure counts as known.
	knownVariance = 1.0
	// unlikeness is the difference between the pressures on two images that counts as a whole.
	unlikeness = 3.0
)

// estimate is a mean with its variance.
type estimate struct {
	Mean     float64
	Variance float64
}

// sensitivity is what is known of one long-running image.
type sensitivity struct {
	base  estimate
	pairs map[string]*estimate
}

// pressure holds what is known of how best-effort images disturb long-running ones.
//
// The tail of a task, in parts of its bound, is taken as a base of its image
// plus the sum over the best-effort images beside it of the pair's pressure
// times the share of the worker's processors that the image uses. Each figure
// corrects the terms in proportion to how uncertain they are.
type pressure struct {
	images map[string]*sensitivity
}

func newPressure() *pressure { return &pressure{images: make(map[string]*sensitivity)} }

func (p *pressure) of(image string) *sensitivity {
	s := p.images[image]
	if s == nil {
		s = &sensitivity{base: estimate{priorBase, priorBaseVariance}, pairs: make(map[string]*estimate)}
		p.images[image] = s
	}
	return s
}

func (s *sensitivity) pair(image string) *estimate {
	e := s.pairs[image]
	if e == nil {
		e = &estimate{priorPressure, priorVariance}
		s.pairs[image] = e
	}
	return e
}

// sum returns the part of the bound that the given use of a worker adds.
func (s *sensitivity) sum(use map[string]float64) float64 {
	var t float64
	for f, u := range use {
		t += s.pair(f).Mean * u
	}
	return t
}

// learn takes in one figure of a tail beside the given use of the worker.
func (s *sensitivity) learn(tail float64, use map[string]float64) {
	d := noiseVariance + s.base.Variance
	for f, u := range use {
		d += s.pair(f).Variance * u * u
	}
	e := tail - s.base.Mean - s.sum(use)
	for f, u := range use {
		s.pair(f).correct(u, e, d)
	}
	s.base.correct(1, e, d)
}

// correct moves the estimate by its part of an error; d is the variance of the whole observation.
func (x *estimate) correct(u, e, d float64) {
	k := x.Variance * u / d
	x.Mean = max(0, x.Mean+k*e)
	x.Variance = max(leastVariance*u, x.Variance*(1-k*u)+variancePerRound*u)
}

// unlike returns how much the pressures on two images differ, from 0 to 1.
func (p *pressure) unlike(a, b string) float64 {
	if a == b {
		return 0
	}
	x, y := p.of(a), p.of(b)
	var known, diff float64
	for f, e := range x.pairs {
		o := y.pairs[f]
		if o == nil || e.Variance > knownVariance || o.Variance > knownVariance {
			continue
		}
		known++
		diff += min(1, math.Abs(e.Mean-o.Mean)/unlikeness)
	}
	n := float64(max(len(x.pairs), len(y.pairs), 1))
	return (diff + (n-known)/2) / n
}

// use returns the share of the worker's processors that each best-effort image used of late.
func (w *worker) use() map[string]float64 {
	m := make(map[string]float64)
	for _, a := range w.attempts {
		if a.task.Spec.BestEffort && a.phase == phaseRunning {
			m[a.task.Spec.Image] += a.load / float64(max(w.Room.MilliCPU, 1))
		}
	}
	return m
}

// learnPressure takes in the figures of a worker.
func (p *Planner) learnPressure(w *worker, now time.Time) {
	if now.Sub(w.learnedAt) < learnEvery {
		return
	}
	w.learnedAt = now
	u := w.use()
	for _, a := range w.attempts {
		if a.task.Spec.TailBound <= 0 || a.phase != phaseRunning || now.Sub(a.confirmedAt) < settleTime || a.load <= 0 {
			continue
		}
		p.pressure.of(a.task.Spec.Image).learn(tailPart(a), u)
	}
}

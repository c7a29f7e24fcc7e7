package dispatch

import (
	"math"
	"time"
)

const (
	// priorPressure is the expected pressure of a pair of images of which nothing is known: the part by which the
	// service slows down beside a worker full of the best-effort image.
	priorPressure = 1.5
	// priorVariance is the variance of that expectation.
	priorVariance = 6.0
	// leastVariance keeps the model able to follow a change.
	leastVariance = 0.02
	// variancePerRound is added for each observation, since pressures change.
	variancePerRound = 0.002
	// caution is the number of standard deviations by which a pressure is overrated before a placement.
	caution = 0.7
	// noiseVariance is the variance of an observed utilisation.
	noiseVariance = 0.0016
	// saturation is the utilisation beyond which a tail tells little more than that a queue has built up.
	saturation = 0.88
	// saturatedVariance is the variance of an observation beyond it.
	saturatedVariance = 0.02
	// priorFloor is the part of its bound that the tail of an idle service takes up.
	priorFloor = 0.22
	// floorPart is the part of the least tail of an image that an idle service would have.
	floorPart = 0.8
	// floorFigures is the number of figures after which the least tail is trusted.
	floorFigures = 40
	// leastFloor and mostFloor bound what is believed of an idle service.
	leastFloor = 0.1
	mostFloor  = 0.45
	// learnEvery is the time between two observations at a worker; its figures cover the last half second.
	learnEvery = 300 * time.Millisecond
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

// cautious returns a value that the estimated one hardly exceeds.
func (x *estimate) cautious() float64 { return x.Mean + caution*math.Sqrt(x.Variance) }

// correct moves the estimate by its part of an error: g is how strongly the observation depends on it, and d the
// variance of the whole observation.
func (x *estimate) correct(g, e, d float64) {
	k := x.Variance * g / d
	x.Mean = max(0, x.Mean+k*e)
	x.Variance = max(leastVariance, x.Variance*(1-k*g))
}

// sensitivity is what is known of one long-running image.
type sensitivity struct {
	leastTail float64
	figures   int
	pairs     map[string]*estimate
}

// pressure holds what is known of how best-effort images disturb long-running ones.
//
// A service is taken as a queue: its tail is that of an idle service divided
// by what its utilisation leaves. The utilisation is the load of its job, which
// all tasks of the job share and which swings within seconds, times a slowdown,
// which is 1 plus the sum over the best-effort images beside the task of the
// pair's pressure times the share of the worker's processors that the image
// uses. Each figure corrects load and pressures in proportion to how uncertain
// they are, so that a task that differs from the others of its job tells of
// its neighbours, and what all show at once tells of the load.
type pressure struct {
	images map[string]*sensitivity
	loads  map[string]*load
}

func newPressure() *pressure {
	return &pressure{images: make(map[string]*sensitivity), loads: make(map[string]*load)}
}

func (p *pressure) of(image string) *sensitivity {
	s := p.images[image]
	if s == nil {
		s = &sensitivity{leastTail: mostFloor / floorPart, pairs: make(map[string]*estimate)}
		p.images[image] = s
	}
	return s
}

func (p *pressure) load(job string) *load {
	l := p.loads[job]
	if l == nil {
		l = &load{estimate: estimate{priorLoad, priorLoadVariance}}
		p.loads[job] = l
	}
	return l
}

// model returns what is known of the image and of the load of a long-running task.
func (p *Planner) model(a *attempt) (*sensitivity, *load) {
	if a.knownBy != p.pressure {
		a.knownBy = p.pressure
		a.sensitivity, a.jobLoad = p.pressure.of(a.task.Spec.Image), p.pressure.load(a.task.Job)
	}
	return a.sensitivity, a.jobLoad
}

func (s *sensitivity) pair(image string) *estimate {
	e := s.pairs[image]
	if e == nil {
		e = &estimate{priorPressure, priorVariance}
		s.pairs[image] = e
	}
	return e
}

// floor returns the part of the bound that the tail of an idle service takes up.
func (s *sensitivity) floor() float64 {
	if s.figures < floorFigures {
		return priorFloor
	}
	return min(max(floorPart*s.leastTail, leastFloor), mostFloor)
}

// utilisation returns the utilisation that a tail shows, in parts of its bound.
func (s *sensitivity) utilisation(tail float64) float64 {
	return min(max(1-s.floor()/tail, 0), 1)
}

// slowdown returns the part by which the given use of a worker slows a service down.
func (s *sensitivity) slowdown(w *worker, use []imageCPU) float64 {
	var t float64
	for _, x := range use {
		t += s.pair(x.image).Mean * w.part(x.milliCPU)
	}
	return t
}

// slowdownAt returns the part by which the best-effort tasks of a worker would slow a service down at full pace.
func (s *sensitivity) slowdownAt(w *worker) float64 { return s.slowdown(w, w.wanted) }

// learn takes in one figure of a tail, in parts of its bound, beside the given use of the worker.
func (s *sensitivity) learn(l *load, tail float64, w *worker, use []imageCPU, now time.Time) {
	s.figures++
	s.leastTail = min(s.leastTail, tail)
	l.advance(now)
	z := s.utilisation(tail)
	r := l.Mean
	k := 1 + s.slowdown(w, use)
	d := noiseVariance + l.Variance*k*k
	if z > saturation {
		d += saturatedVariance
	}
	for _, c := range use {
		u := w.part(c.milliCPU)
		d += s.pair(c.image).Variance * r * r * u * u
	}
	e := z - min(r*k, 1)
	for _, c := range use {
		u := w.part(c.milliCPU)
		x := s.pair(c.image)
		x.correct(r*u, e, d)
		x.Variance += variancePerRound * min(1, u)
	}
	l.observe(k, e, d)
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

// use returns the processor time that each best-effort image used of late.
func (w *worker) use() []imageCPU {
	var l []imageCPU
	for _, a := range w.list {
		if a.task.Spec.BestEffort && a.phase == phaseRunning {
			l = addCPU(l, a.task.Spec.Image, a.load)
		}
	}
	return l
}

// learnPressure takes in the figures of a worker.
func (p *Planner) learnPressure(w *worker, now time.Time) {
	if now.Sub(w.learnedAt) < learnEvery {
		return
	}
	w.learnedAt = now
	if len(w.services) == 0 {
		return
	}
	u := w.use()
	for _, a := range w.services {
		if a.phase != phaseRunning || now.Sub(a.confirmedAt) < settleTime || a.load <= 0 {
			continue
		}
		x, l := p.model(a)
		x.learn(l, tailPart(a), w, u, now)
	}
}

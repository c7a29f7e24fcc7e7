package dispatch

import (
	"math"
	"time"
)

const (
	// priorInterference is the expected interference of a pair of images without samples. Interference is the slowdown of a
	// service, 0 for none, on a worker whose CPU is fully used by the best-effort image.
	priorInterference = 1.5
	// priorVariance is the variance of priorInterference.
	priorVariance = 6.0
	// minVariance is the least variance of an interference, so that samples keep correcting the interference.
	minVariance = 0.02
	// varianceGrowth is added to the variance of an interference for each sample, in proportion to the fraction of the CPU
	// that the best-effort image uses, since interference changes over time.
	varianceGrowth = 0.002
	// upperBoundDeviations is the number of standard deviations between the mean and the upper bound that a placement
	// assumes.
	upperBoundDeviations = 0.7
	// noiseVariance is the variance of a measured utilisation.
	noiseVariance = 0.0016
	// saturatedUtilisation is the utilisation beyond which requests queue up, so that a tail latency says little about the
	// utilisation.
	saturatedUtilisation = 0.88
	// saturatedVariance is added to the variance of a sample beyond saturatedUtilisation.
	saturatedVariance = 0.02
	// priorIdleTail is the expected tail latency of an idle service whose image has fewer than minIdleTailSamples samples, as a
	// fraction of its bound.
	priorIdleTail = 0.22
	// idleTailFactor is the ratio of the tail latency of an idle service to the lowest sample of its image.
	idleTailFactor = 0.8
	// minIdleTailSamples is the number of samples of an image from which idleTailFactor is applied to the lowest sample.
	minIdleTailSamples = 40
	// minIdleTail and maxIdleTail bound the tail latency of an idle service, as fractions of its bound.
	minIdleTail = 0.1
	maxIdleTail = 0.45
	// interferenceInterval is the least time between two samples of a worker that are used. Each sample covers the half second
	// before the worker's report.
	interferenceInterval = 300 * time.Millisecond
	// warmUpDuration is the time after the worker confirmed an attempt in which samples of the attempt are not used.
	warmUpDuration = 700 * time.Millisecond
	// maxKnownVariance is the maximum variance of an interference that counts as known.
	maxKnownVariance = 1.0
	// dissimilarityScale is the least difference between the interference of a best-effort image with two long-running images
	// that counts as a dissimilarity of 1.
	dissimilarityScale = 3.0
)

// estimate is a mean with its variance.
type estimate struct {
	Mean     float64
	Variance float64
}

// upperBound returns a cautious estimate: upperBoundDeviations standard deviations above the mean.
func (e *estimate) upperBound() float64 { return e.Mean + upperBoundDeviations*math.Sqrt(e.Variance) }

// correct updates the estimate by a sample with a scalar Kalman update: g is the derivative of the sample with respect to the
// estimated value, r the innovation, which is the sample minus its prediction, and v the variance of the innovation. The
// gain is k.
func (e *estimate) correct(g, r, v float64) {
	k := e.Variance * g / v
	e.Mean = max(0, e.Mean+k*r)
	e.Variance = max(minVariance, e.Variance*(1-k*g))
}

// sensitivity holds the estimates of one long-running image.
type sensitivity struct {
	// minTail is the lowest sample of the tail latency, as a fraction of the latency bound, and samples the number of samples.
	minTail float64
	samples int
	// pairs holds the interference with this image by best-effort image.
	pairs map[string]*estimate
}

// interferenceModel estimates how much best-effort images slow down long-running images, and the load of each job
// whose tasks are services.
//
// A service is a task with a tail latency bound, and is modelled as a queue: the
// tail latency is the tail latency of an idle service divided by 1 minus the
// utilisation. The utilisation is the load of the job times a slowdown factor.
// All tasks of a job have the same load, which fluctuates within seconds. The
// slowdown factor is 1 plus, for each co-located best-effort image, the
// interference of the pair of images times the fraction of the worker's CPU that
// the best-effort image uses. Each sample corrects load and interference in
// proportion to their variances. If one task deviates from the other tasks of
// its job, the correction is mostly to the interference of the images that are
// co-located with the task; if all tasks deviate, it is mostly to the load.
type interferenceModel struct {
	// sensitivities holds the estimates of long-running images by image, and loads the load of their jobs by job ID.
	sensitivities map[string]*sensitivity
	loads         map[string]*load
}

func newInterferenceModel() *interferenceModel {
	return &interferenceModel{sensitivities: make(map[string]*sensitivity), loads: make(map[string]*load)}
}

func (m *interferenceModel) sensitivityOf(image string) *sensitivity {
	s := m.sensitivities[image]
	if s == nil {
		s = &sensitivity{minTail: maxIdleTail / idleTailFactor, pairs: make(map[string]*estimate)}
		m.sensitivities[image] = s
	}
	return s
}

func (m *interferenceModel) loadOf(job string) *load {
	l := m.loads[job]
	if l == nil {
		l = &load{estimate: estimate{priorLoad, priorLoadVariance}}
		m.loads[job] = l
	}
	return l
}

// model returns the sensitivity of a service's image and the load of its job.
func (p *Planner) model(a *attempt) (*sensitivity, *load) {
	if a.cachedModel != p.interference {
		a.cachedModel = p.interference
		a.sensitivity, a.jobLoad = p.interference.sensitivityOf(a.task.Spec.Image), p.interference.loadOf(a.task.Job)
	}
	return a.sensitivity, a.jobLoad
}

func (s *sensitivity) pair(image string) *estimate {
	e := s.pairs[image]
	if e == nil {
		e = &estimate{priorInterference, priorVariance}
		s.pairs[image] = e
	}
	return e
}

// idleTail returns the tail latency of an idle service of the image, as a fraction of the latency bound.
func (s *sensitivity) idleTail() float64 {
	if s.samples < minIdleTailSamples {
		return priorIdleTail
	}
	return min(max(idleTailFactor*s.minTail, minIdleTail), maxIdleTail)
}

// utilisation returns the utilisation that follows from a tail latency, which is given as a fraction of the latency bound.
func (s *sensitivity) utilisation(tail float64) float64 {
	return min(max(1-s.idleTail()/tail, 0), 1)
}

// slowdown returns the slowdown of a service by the given CPU use of best-effort images on worker w; 0 means no slowdown.
func (s *sensitivity) slowdown(w *worker, use []imageCPU) float64 {
	var t float64
	for _, x := range use {
		t += s.pair(x.image).Mean * w.fraction(x.milliCPU)
	}
	return t
}

// fullSpeedSlowdown returns the slowdown of a service by the best-effort tasks of a worker if all of them run at full speed.
func (s *sensitivity) fullSpeedSlowdown(w *worker) float64 { return s.slowdown(w, w.bestEffortDemand) }

// observe updates the estimates by a sample of the tail latency, as a fraction of the latency bound. use is the CPU use of
// the best-effort images on the same worker w.
func (s *sensitivity) observe(l *load, tail float64, w *worker, use []imageCPU, now time.Time) {
	s.samples++
	s.minTail = min(s.minTail, tail)
	l.advance(now)
	z := s.utilisation(tail)
	m := l.Mean
	k := 1 + s.slowdown(w, use)
	v := noiseVariance + l.Variance*k*k
	if z > saturatedUtilisation {
		v += saturatedVariance
	}
	for _, c := range use {
		u := w.fraction(c.milliCPU)
		v += s.pair(c.image).Variance * m * m * u * u
	}
	r := z - min(m*k, 1)
	for _, c := range use {
		u := w.fraction(c.milliCPU)
		x := s.pair(c.image)
		x.correct(m*u, r, v)
		x.Variance += varianceGrowth * min(1, u)
	}
	l.observe(k, r, v)
}

// dissimilarity returns how much the interference with two long-running images differs, from 0 to 1, as a mean over the
// best-effort images. A best-effort image counts as 0.5 unless its interference with both is known.
func (m *interferenceModel) dissimilarity(a, b string) float64 {
	if a == b {
		return 0
	}
	x, y := m.sensitivityOf(a), m.sensitivityOf(b)
	var known, diff float64
	for f, e := range x.pairs {
		o := y.pairs[f]
		if o == nil || e.Variance > maxKnownVariance || o.Variance > maxKnownVariance {
			continue
		}
		known++
		diff += min(1, math.Abs(e.Mean-o.Mean)/dissimilarityScale)
	}
	n := float64(max(len(x.pairs), len(y.pairs), 1))
	return (diff + (n-known)/2) / n
}

// bestEffortUse returns the CPU use of each running best-effort image on the worker by the latest report.
func (w *worker) bestEffortUse() []imageCPU {
	var l []imageCPU
	for _, a := range w.attemptList {
		if a.task.Spec.BestEffort && a.phase == phaseRunning {
			l = addCPU(l, a.task.Spec.Image, a.sample)
		}
	}
	return l
}

// observeInterference updates the interference model by the samples of a worker, at most once per interferenceInterval.
func (p *Planner) observeInterference(w *worker, now time.Time) {
	if now.Sub(w.interferenceAt) < interferenceInterval {
		return
	}
	w.interferenceAt = now
	if len(w.services) == 0 {
		return
	}
	u := w.bestEffortUse()
	for _, a := range w.services {
		if a.phase != phaseRunning || now.Sub(a.confirmedAt) < warmUpDuration || a.sample <= 0 {
			continue
		}
		x, l := p.model(a)
		x.observe(l, boundFraction(a), w, u, now)
	}
}

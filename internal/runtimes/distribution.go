package runtimes

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratioUnit is the value of a ratio of 1 in a histogram, and maxRatioValue that of the highest ratio.
	ratioUnit     = 1000
	maxRatioValue = 10_000 * ratioUnit
	// ratioDigits is the number of significant decimal digits of a ratio in a histogram.
	ratioDigits = 2
	// memorySamples is the number of samples after which the weight of a sample has fallen to 1/e of that of a new one. It holds
	// some eight samples of a tail of 3 in 100.
	memorySamples = 256
	// priorSamples is the number of samples that the ratio counts for which is assumed before there are any.
	priorSamples = 8
	// firstWeight is the weight of the first sample. A sample that would weigh more than maxWeight lets all weights be divided by
	// weightDivisor first.
	firstWeight   = 1 << 10
	maxWeight     = 1 << 30
	weightDivisor = 1 << 20
	// refreshFraction is the number of new samples, as a fraction of those that count, after which the quantiles are computed anew.
	refreshFraction = 1.0 / 32
	// minTailSamples is the number of samples that must lie above a ratio for the mean of those above to be known.
	minTailSamples = 0.25
)

// distribution is the distribution of ratios of run time to estimate, in which recent samples weigh more.
//
// A histogram has no decay, so that each new sample is recorded with a higher
// weight than the one before instead (forward decay).
type distribution struct {
	histogram *hdrhistogram.Histogram
	// weight is the weight of the next sample.
	weight float64
	// samples is the number of all samples, and pending that of the samples since curve was computed.
	samples int
	pending int
	curve   []point
}

// point is a value of a distribution with the weight of all values up to it, and the weight and the weighted sum from it on.
type point struct {
	ratio      float64
	upTo       float64
	tailWeight float64
	tailSum    float64
}

func newDistribution() *distribution {
	return &distribution{histogram: hdrhistogram.New(1, maxRatioValue, ratioDigits), weight: firstWeight}
}

// newPrior returns a distribution that assumes a ratio until it has samples.
func newPrior(ratio float64) *distribution {
	d := newDistribution()
	d.record(ratio, priorSamples*firstWeight)
	return d
}

// observe adds a sample.
func (d *distribution) observe(ratio float64) {
	if d.weight > maxWeight {
		d.rescale()
	}
	d.record(ratio, int64(d.weight))
	d.weight *= 1 + 1.0/memorySamples
	d.samples++
}

// record adds a ratio with a weight.
func (d *distribution) record(ratio float64, weight int64) {
	v := int64(min(max(ratio*ratioUnit, 1), maxRatioValue))
	if d.histogram.RecordValues(v, weight) == nil {
		d.pending++
	}
}

// rescale divides all weights.
func (d *distribution) rescale() {
	s := d.histogram.Export()
	for i := range s.Counts {
		s.Counts[i] /= weightDivisor
	}
	d.histogram = hdrhistogram.Import(s)
	d.weight /= weightDivisor
}

// effectiveSamples returns the weight of all samples as a multiple of that of a new one.
func (d *distribution) effectiveSamples() float64 {
	return float64(d.histogram.TotalCount()) / d.weight
}

// points returns the curve, which is at most refreshFraction of the samples behind.
func (d *distribution) points() []point {
	if d.pending > 0 && (len(d.curve) == 0 || float64(d.pending) >= refreshFraction*d.effectiveSamples()) {
		d.compute()
	}
	return d.curve
}

// compute computes the curve from the histogram.
func (d *distribution) compute() {
	d.pending = 0
	d.curve = d.curve[:0]
	upTo := 0.0
	for _, b := range d.histogram.Distribution() {
		if b.Count == 0 {
			continue
		}
		upTo += float64(b.Count)
		d.curve = append(d.curve, point{ratio: float64(b.From+b.To) / 2 / ratioUnit, upTo: upTo, tailWeight: float64(b.Count)})
	}
	var weight, sum float64
	for i := len(d.curve) - 1; i >= 0; i-- {
		p := &d.curve[i]
		weight += p.tailWeight
		sum += p.tailWeight * p.ratio
		p.tailWeight, p.tailSum = weight, sum
	}
}

// quantile returns the smallest ratio that at least the fraction q of the samples does not exceed, 1 if there are no samples.
func (d *distribution) quantile(q float64) float64 {
	l := d.points()
	if len(l) == 0 {
		return 1
	}
	w := q * l[len(l)-1].upTo
	i, _ := slices.BinarySearchFunc(l, w, func(p point, w float64) int { return cmp.Compare(p.upTo, w) })
	return l[min(i, len(l)-1)].ratio
}

// meanAbove returns the mean of the ratios above the given one, and false if too few samples lie there.
func (d *distribution) meanAbove(ratio float64) (float64, bool) {
	l := d.points()
	i, found := slices.BinarySearchFunc(l, ratio, func(p point, r float64) int { return cmp.Compare(p.ratio, r) })
	if found {
		i++
	}
	if i >= len(l) || l[i].tailWeight < minTailSamples*d.weight {
		return 0, false
	}
	return l[i].tailSum / l[i].tailWeight, true
}

// mean returns the mean ratio, 1 if there are no samples.
func (d *distribution) mean() float64 {
	if m, ok := d.meanAbove(0); ok {
		return m
	}
	return 1
}

package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Demand is the demand of one instance for slots of a service, as the instance publishes it.
type Demand struct {
	Instance string
	// Slots is a moving average of the number of the instance's requests in flight and waiting, each of which needs a
	// slot.
	Slots float64
}

// minDemandFraction is the minimum demand that counts for an idle instance, as a fraction of the mean demand.
const minDemandFraction = 0.25

// divideSlots returns the number of slots of each instance at one upstream, in proportion to the demands.
//
// Every instance computes the same division from the same demands. If there are
// fewer slots than instances, some instances get none. Rounding down leaves some
// slots over. Which instances get these differs between upstreams, so that the
// rounding evens out over a service.
func divideSlots(upstreamName string, slots int, ds []Demand) map[string]int {
	g := make(map[string]int, len(ds))
	w, t := demandWeights(ds)
	type remainder struct {
		instance string
		fraction float64
		hash     uint64
	}
	ps := make([]remainder, len(ds))
	n := slots
	for i, d := range ds {
		x := float64(slots) * w[i] / t
		g[d.Instance] = int(x)
		n -= int(x)
		ps[i] = remainder{d.Instance, x - float64(int(x)), xxhash.Sum64String(upstreamName + "|" + d.Instance)}
	}
	// The remaining slots go to the instances with the largest ratio of the fraction to a
	// uniform variate, which is derived from the hash of upstream and instance. Over many
	// upstreams, each instance thus gets remaining slots roughly in proportion to its fractions.
	priority := func(p remainder) float64 { return p.fraction / (float64(p.hash>>11)/(1<<53) + 1e-9) }
	slices.SortFunc(ps, func(a, b remainder) int { return -cmp.Compare(priority(a), priority(b)) })
	for i := range n {
		g[ps[i%len(ps)].instance]++
	}
	return g
}

// demandWeights returns the demands, each raised to at least minDemandFraction of the mean, and the sum of the results.
func demandWeights(ds []Demand) (w []float64, sum float64) {
	m := 0.0
	for _, d := range ds {
		m += d.Slots
	}
	m = max(m/float64(len(ds)), 1e-6)
	w = make([]float64, len(ds))
	for i, d := range ds {
		w[i] = max(d.Slots, minDemandFraction*m)
		sum += w[i]
	}
	return w, sum
}

package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Demand is what one entry publishes of its need for slots of a service.
type Demand struct {
	Entry string
	// Slots is the number of slots that the entry's requests keep busy on average.
	Slots float64
}

// floorShare is the part of the mean demand that an idle entry is granted all the same.
const floorShare = 0.25

// divide deals the slots of one upstream to the entries in proportion to their demand.
//
// Every entry computes the same division from the same demands. Where there are
// fewer slots than entries, some entries get none; the order of dealing differs
// between upstreams, so that the remainders even out over a service.
func divide(name string, slots int, ds []Demand) map[string]int {
	g := make(map[string]int, len(ds))
	w, t := weights(ds)
	type part struct {
		entry string
		rest  float64
		order uint64
	}
	ps := make([]part, len(ds))
	n := slots
	for i, d := range ds {
		x := float64(slots) * w[i] / t
		g[d.Entry] = int(x)
		n -= int(x)
		ps[i] = part{d.Entry, x - float64(int(x)), xxhash.Sum64String(name + "|" + d.Entry)}
	}
	// A remainder decides in proportion to its size over many upstreams: the hash
	// makes a uniform variate of each pair, and the largest of rest/variate wins.
	key := func(p part) float64 { return p.rest / (float64(p.order>>11)/(1<<53) + 1e-9) }
	slices.SortFunc(ps, func(a, b part) int { return -cmp.Compare(key(a), key(b)) })
	for i := range n {
		g[ps[i%len(ps)].entry]++
	}
	return g
}

// weights returns the demands raised to a floor, and their sum.
func weights(ds []Demand) (w []float64, sum float64) {
	m := 0.0
	for _, d := range ds {
		m += d.Slots
	}
	m = max(m/float64(len(ds)), 1e-6)
	w = make([]float64, len(ds))
	for i, d := range ds {
		w[i] = max(d.Slots, floorShare*m)
		sum += w[i]
	}
	return w, sum
}

package dispatch

import (
	"cmp"
	"slices"
)

const (
	// maxStoredEstimateBytes bounds the images and pairs of images in a snapshot.
	maxStoredEstimateBytes = 96 << 10
	// imageRecordBytes and pairRecordBytes are the most that an imageRecord or a pairRecord has beyond the name of its image and its
	// pairs.
	imageRecordBytes = 32
	pairRecordBytes  = 24
)

// storedPair is a pair of images whose interference has been observed.
type storedPair struct {
	service    string
	bestEffort string
	estimate   *estimate
}

// records returns the records of the sensitivities within a size. Of the pairs of images it has those that have been observed, the most
// certain first: the others have the estimate that every pair begins with. The number of pairs is the product of the numbers of images,
// which callers choose.
func (m *interferenceModel) records(maxBytes int) []imageRecord {
	l := m.observedPairs()
	var r []imageRecord
	index := make(map[string]int)
	size := 0
	add := func(image string) (int, bool) {
		if n, ok := index[image]; ok {
			return n, true
		}
		s := m.sensitivities[image]
		if size+imageRecordBytes+len(image) > maxBytes {
			return 0, false
		}
		size += imageRecordBytes + len(image)
		index[image] = len(r)
		r = append(r, imageRecord{Image: image, MinTail: s.minTail, Samples: s.samples})
		return index[image], true
	}
	for _, x := range l {
		n, ok := add(x.service)
		if !ok || size+pairRecordBytes+len(x.bestEffort) > maxBytes {
			continue
		}
		size += pairRecordBytes + len(x.bestEffort)
		r[n].Pairs = append(r[n].Pairs, pairRecord{Image: x.bestEffort, Mean: x.estimate.Mean, Variance: x.estimate.Variance})
	}
	for image, s := range m.sensitivities {
		if s.samples > 0 {
			add(image)
		}
	}
	return r
}

// observedPairs returns the pairs of images that have been observed, the most certain first.
func (m *interferenceModel) observedPairs() []storedPair {
	var l []storedPair
	for image, s := range m.sensitivities {
		for f, e := range s.pairs {
			if *e != (estimate{priorInterference, priorVariance}) {
				l = append(l, storedPair{image, f, e})
			}
		}
	}
	slices.SortFunc(l, func(a, b storedPair) int {
		return cmp.Or(cmp.Compare(a.estimate.Variance, b.estimate.Variance), cmp.Compare(a.service, b.service), cmp.Compare(a.bestEffort, b.bestEffort))
	})
	return l
}

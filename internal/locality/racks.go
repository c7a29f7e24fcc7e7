package locality

import (
	"cmp"
	"slices"
)

// labelPair is a pair of labels that a worker has.
type labelPair struct{ outer, inner string }

// labelSets counts the workers by label and by pair of labels.
type labelSets struct {
	count map[string]int
	both  map[labelPair]int
}

// OrderLabels returns the labels of workers in the order in which a gang tries them, given the labels of each worker, and how
// many of the first of them are racks.
//
// Nothing says which labels name racks. A label that contains all the workers of two
// disjoint smaller labels is shared by several racks and comes last. Among the others
// and among the shared ones, those with fewer workers come first.
func OrderLabels(workers [][]string) (labels []string, racks int) {
	s := newLabelSets(workers)
	shared := s.shared()
	for l := range s.count {
		labels = append(labels, l)
		if !shared[l] {
			racks++
		}
	}
	slices.SortFunc(labels, func(a, b string) int {
		return cmp.Or(compareBool(shared[a], shared[b]), cmp.Compare(s.count[a], s.count[b]), cmp.Compare(a, b))
	})
	return labels, racks
}

func newLabelSets(workers [][]string) *labelSets {
	s := &labelSets{count: make(map[string]int), both: make(map[labelPair]int)}
	for _, l := range workers {
		for _, a := range l {
			s.count[a]++
			for _, b := range l {
				s.both[labelPair{a, b}]++
			}
		}
	}
	return s
}

// shared returns the labels that contain two disjoint smaller ones. Labels of a single worker are not considered, since they
// name the worker.
func (s *labelSets) shared() map[string]bool {
	inner := make(map[string][]string)
	for p, n := range s.both {
		if k := s.count[p.inner]; n == k && k > 1 && k < s.count[p.outer] {
			inner[p.outer] = append(inner[p.outer], p.inner)
		}
	}
	m := make(map[string]bool)
	for a, l := range inner {
		m[a] = slices.ContainsFunc(l[1:], func(b string) bool { return s.both[labelPair{l[0], b}] == 0 })
	}
	return m
}

// compareBool compares two booleans so that false comes first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

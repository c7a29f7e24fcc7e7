package runtimes

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"currantknot.dev/currantknot/internal/msgpackcheck"
)

const (
	// maxStoredQueues bounds the queues of a record, so that it stays below 64 KB; those with the most samples are stored.
	maxStoredQueues = 32
	// storedUnits is the sum of the weights of a stored distribution.
	storedUnits = 2000
	// storedWidth is the ratio of the ends of the interval of ratios that are stored as one.
	storedWidth = 1.06
	// maxRestoredSamples bounds what a restored distribution counts for, since run times may have changed since.
	maxRestoredSamples = 64
)

// record is the stored state of an estimator. It has field names, so that later versions can add fields.
type record struct {
	Queues []queueRecord
}

// queueRecord is a stored distribution of a queue.
type queueRecord struct {
	Queue string
	// SizeClass is the size class plus one, 0 for all tasks of the queue.
	SizeClass int `msgpack:",omitempty"`
	Samples   int
	// Ratios holds the ratios in thousandths, and Weights their weights.
	Ratios  []uint32
	Weights []uint32
}

// RecordError reports a record of run times that cannot be decoded.
type RecordError struct{ Cause error }

// Error returns the cause.
func (e *RecordError) Error() string { return fmt.Sprintf("read run times: %v", e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// HasChanged reports whether there were samples since the latest Encode.
func (e *Estimator) HasChanged() bool { return e.changed }

// Encode encodes the distributions for the next owner, nil if there are none.
func (e *Estimator) Encode() ([]byte, error) {
	e.changed = false
	var r record
	for _, name := range e.largestQueues() {
		q := e.queues[name]
		r.Queues = append(r.Queues, q.all.encode(name, 0))
		for _, c := range slices.Sorted(maps.Keys(q.classes)) {
			if q.classes[c].samples >= minClassSamples {
				r.Queues = append(r.Queues, q.classes[c].encode(name, c+1))
			}
		}
	}
	if len(r.Queues) == 0 {
		return nil, nil
	}
	b, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, fmt.Errorf("encode run times: %w", err)
	}
	return b, nil
}

// largestQueues returns the names of the queues to store.
func (e *Estimator) largestQueues() []string {
	l := slices.Sorted(maps.Keys(e.queues))
	slices.SortStableFunc(l, func(a, b string) int { return e.queues[b].all.samples - e.queues[a].all.samples })
	return l[:min(len(l), maxStoredQueues)]
}

// encode returns the record of a distribution, in which neighbouring ratios are joined.
func (d *distribution) encode(name string, class int) queueRecord {
	r := queueRecord{Queue: name, SizeClass: class, Samples: d.samples}
	d.compute()
	var weight, sum, first float64
	flush := func() {
		if n := math.Round(weight / d.curve[0].tailWeight * storedUnits); n > 0 {
			r.Ratios = append(r.Ratios, uint32(sum/weight*ratioUnit))
			r.Weights = append(r.Weights, uint32(n))
		}
	}
	before := 0.0
	for _, p := range d.curve {
		if weight > 0 && p.ratio > first*storedWidth {
			flush()
			weight, sum = 0, 0
		}
		if weight == 0 {
			first = p.ratio
		}
		weight += p.upTo - before
		sum += (p.upTo - before) * p.ratio
		before = p.upTo
	}
	if weight > 0 {
		flush()
	}
	return r
}

// Restore restores the distributions of an earlier owner. It leaves out those that are not valid.
func (e *Estimator) Restore(b []byte) error {
	var r record
	if err := msgpackcheck.Unmarshal(b, &r); err != nil {
		return &RecordError{err}
	}
	for _, x := range r.Queues {
		d := x.restore()
		q := e.add(x.Queue)
		switch {
		case d == nil || q == nil || x.SizeClass < 0 || x.SizeClass > maxSizeClass+1:
		case x.SizeClass == 0:
			q.all = d
		default:
			q.classes[x.SizeClass-1] = d
		}
	}
	return nil
}

// RestoreFactor makes a queue assume a mean ratio, as stored by versions without distributions. It does nothing if the queue has
// a distribution.
func (e *Estimator) RestoreFactor(name string, ratio float64) {
	if e.queues[name] != nil || !(ratio > 0) || math.IsInf(ratio, 0) {
		return
	}
	if q := e.add(name); q != nil {
		q.all = newPrior(ratio)
	}
}

// Factors returns the mean ratio of each queue, for versions without distributions.
func (e *Estimator) Factors() map[string]float64 {
	m := make(map[string]float64, len(e.queues))
	for name, q := range e.queues {
		m[name] = q.all.mean()
	}
	return m
}

// restore returns the distribution of a record, nil if the record is not valid.
func (r *queueRecord) restore() *distribution {
	total := 0.0
	for _, w := range r.Weights {
		total += float64(w)
	}
	if len(r.Ratios) != len(r.Weights) || total == 0 || r.Samples < 0 {
		return nil
	}
	d := newDistribution()
	unit := float64(min(max(r.Samples, priorSamples), maxRestoredSamples)) * firstWeight / total
	for i, v := range r.Ratios {
		d.record(float64(v)/ratioUnit, max(1, int64(float64(r.Weights[i])*unit)))
	}
	d.samples = r.Samples
	return d
}

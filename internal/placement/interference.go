package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/record"
)

const (
	// highSlowdown is the slowdown of a service beyond which its neighbours are relieved.
	highSlowdown = 1.3
	// lowSlowdown is the slowdown below which a throttled neighbour may run at full speed again.
	lowSlowdown = 1.15
	// crowdedSlowdown is the expected slowdown of a service up to which batch is placed beside it.
	crowdedSlowdown = 1.2
	// learningRate is the part of an error that one measurement corrects.
	learningRate = 0.3
	// leastFactor is the factor below which a pair is forgotten.
	leastFactor = 0.01
	// crowdedTension is added to the tension of a worker whose services the task would push beyond highSlowdown.
	crowdedTension = 5.0
)

// pair is a service and a job beside it.
type pair struct {
	service string
	job     string
}

// interference estimates how much each job slows each service, by the share of a worker that the job holds.
//
// The slowdown of a service is taken as 1 plus the sum of factor times share
// over its neighbours. Each measurement moves the factors of the jobs that were
// there, in proportion to their shares, towards what was measured.
type interference struct {
	factors map[pair]float64
}

func newInterference() *interference { return &interference{factors: make(map[pair]float64)} }

// share is the part of a worker that one job holds.
type share struct {
	job  string
	part float64
}

// expected returns the slowdown of the service beside the jobs with the given shares.
func (x *interference) expected(service string, mix []share) float64 {
	s := 1.0
	for _, m := range mix {
		s += x.factors[pair{service, m.job}] * m.part
	}
	return s
}

// learn corrects the factors by one measurement.
func (x *interference) learn(service string, mix []share, slowdown float64) {
	var n float64
	for _, m := range mix {
		n += m.part * m.part
	}
	if n == 0 {
		return
	}
	e := learningRate * (slowdown - x.expected(service, mix)) / n
	for _, m := range mix {
		k := pair{service, m.job}
		f := x.factors[k] + e*m.part
		if f < leastFactor {
			delete(x.factors, k)
			continue
		}
		x.factors[k] = f
	}
}

// mix returns the share of the worker that each job holds, by the names of the jobs; a throttled job counts for half.
//
// Halves of processors are summed, so that the result does not depend on the order of the tasks.
func (w *worker) mix() []share {
	halves := make(map[string]int)
	for _, t := range w.bound {
		if t.spec.Class == ClassService {
			continue
		}
		h := 2
		if w.throttled[t.spec.Group] {
			h = 1
		}
		halves[t.spec.Name] += h * t.size.Processors
	}
	m := make([]share, 0, len(halves))
	for _, n := range slices.Sorted(maps.Keys(halves)) {
		m = append(m, share{n, float64(halves[n]) / float64(2*max(w.capacity.Processors, 1))})
	}
	return m
}

// mixSample is what a worker ran at one instant.
type mixSample struct {
	at  time.Time
	mix []share
}

// maxMixes bounds the samples that are kept of a worker; they have to reach back over the lag of its measurements.
const maxMixes = 16

// sampleMix notes what the worker runs now.
func (w *worker) sampleMix(now time.Time) {
	w.mixes = append(w.mixes, mixSample{now, w.mix()})
	w.mixes = w.mixes[max(0, len(w.mixes)-maxMixes):]
}

// mixAt returns what the worker ran nearest to the instant, unless that is too long ago to be known.
func (w *worker) mixAt(at time.Time) ([]share, bool) {
	if len(w.mixes) == 0 || at.Before(w.mixes[0].at) {
		return nil, false
	}
	b := w.mixes[0]
	for _, s := range w.mixes[1:] {
		if s.at.Sub(at).Abs() < b.at.Sub(at).Abs() {
			b = s
		}
	}
	return b.mix, true
}

// tension returns the slowdown that the task would add to the services on the worker, or suffer from its jobs.
func (o *Owner) tension(w *worker, s *Spec) float64 {
	if len(o.interference.factors) == 0 {
		return 0
	}
	m := w.mix()
	if s.Class == ClassService {
		return o.interference.expected(s.Name, m) - 1
	}
	added := float64(s.Size.Processors) / float64(max(w.capacity.Processors, 1))
	var t float64
	for _, n := range slices.Sorted(maps.Keys(w.serviceNames)) {
		f := o.interference.factors[pair{n, s.Name}] * added
		t += f
		if f > 0 && o.interference.expected(n, m)+f > crowdedSlowdown {
			t += crowdedTension
		}
	}
	return t
}

// onUsage learns from a lagging measurement and acts on it.
func (o *Owner) onUsage(w *worker, u Usage, now time.Time) {
	t := w.bound[u.Task]
	if t == nil || t.spec.Class != ClassService || !u.MeasuredAt.After(t.slowAt) {
		return
	}
	t.slowdown, t.slowAt = u.Slowdown, u.MeasuredAt
	m, ok := w.mixAt(u.MeasuredAt)
	if !ok {
		return
	}
	o.interference.learn(t.spec.Name, m, u.Slowdown)
	// A measurement from before the latest action does not show its effect.
	if !u.MeasuredAt.After(w.actedAt) {
		return
	}
	switch {
	case u.Slowdown > highSlowdown:
		o.relieve(w, t, now)
	case u.Slowdown < lowSlowdown:
		o.unthrottle(w, t, now)
	}
}

// relieve takes the next step against the job that disturbs the service most: first throttle, then place apart.
func (o *Owner) relieve(w *worker, t *task, now time.Time) {
	g := o.worstNeighbour(w, t.spec.Name)
	if g == "" {
		return
	}
	w.actedAt = now
	reason := fmt.Sprintf("slows service %s to %.2f times its time alone", t.spec.Name, t.slowdown)
	if !w.throttled[g] {
		w.throttled[g] = true
		w.syncAt = now
		o.decide(Decision{Kind: "Throttle", Task: g, Worker: w.name, Reason: reason})
		return
	}
	for _, n := range slices.Sorted(maps.Keys(w.bound)) {
		if b := w.bound[n]; b.spec.Group == g && b.stop == "" {
			o.end(b, record.ReleaseEvicted, "PlaceApart", reason)
		}
	}
}

// worstNeighbour returns the group on the worker that slows the service most, empty where none is known to.
func (o *Owner) worstNeighbour(w *worker, service string) string {
	shares := make(map[string]float64)
	for _, n := range slices.Sorted(maps.Keys(w.bound)) {
		if b := w.bound[n]; b.spec.Class > ClassUrgent && b.stop == "" {
			shares[b.spec.Group] += float64(b.size.Processors) * o.interference.factors[pair{service, b.spec.Name}]
		}
	}
	var worst string
	for _, g := range slices.Sorted(maps.Keys(shares)) {
		if shares[g] > 0 && (worst == "" || cmp.Compare(shares[g], shares[worst]) > 0) {
			worst = g
		}
	}
	return worst
}

// unthrottle lets a throttled job run at full speed again if the service is expected to bear it.
func (o *Owner) unthrottle(w *worker, t *task, now time.Time) {
	for _, g := range slices.Sorted(maps.Keys(w.throttled)) {
		delete(w.throttled, g)
		if w.groups[g] > 0 && o.expectedWorst(w) > highSlowdown {
			w.throttled[g] = true
			continue
		}
		w.actedAt = now
		w.syncAt = now
		o.decide(Decision{Kind: "Unthrottle", Task: g, Worker: w.name, Reason: fmt.Sprintf("service %s is at %.2f times its time alone", t.spec.Name, t.slowdown)})
		return
	}
}

// expectedWorst returns the greatest slowdown expected of the services on the worker.
func (o *Owner) expectedWorst(w *worker) float64 {
	m := w.mix()
	s := 1.0
	for n := range w.serviceNames {
		s = max(s, o.interference.expected(n, m))
	}
	return s
}

// throttledTasks lists the tasks on the worker that shall run at half speed.
func (w *worker) throttledTasks() []string {
	if len(w.throttled) == 0 {
		return nil
	}
	var a []string
	for _, n := range slices.Sorted(maps.Keys(w.bound)) {
		if w.throttled[w.bound[n].spec.Group] {
			a = append(a, n)
		}
	}
	return a
}

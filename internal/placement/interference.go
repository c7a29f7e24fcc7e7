package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/record"
)

// A slowdown is a service's time per unit of work, divided by its time when it runs alone on the worker.
const (
	// highSlowdown is the slowdown of a service above which the job that slows the service most is throttled or evicted.
	highSlowdown = 1.3
	// lowSlowdown is the slowdown of a service below which a throttled job on the same worker may run at full speed again.
	lowSlowdown = 1.15
	// maxPlacementSlowdown is the expected slowdown of a service beyond which the colocated policy places no normal or
	// patient task on the same worker, unless no task of the group was placed for interferenceWaitTimeout.
	maxPlacementSlowdown = 1.2
	// learningRate is the fraction of the prediction error that one measurement corrects.
	learningRate = 0.3
	// minFactor is the value below which the factor of a service and a job is deleted.
	minFactor = 0.01
	// interferencePenalty is added to the expected interference of a task for each service that the task would slow beyond
	// maxPlacementSlowdown.
	interferencePenalty = 5.0
)

// serviceJob is a service and a job that is co-located with it.
type serviceJob struct {
	service string
	job     string
}

// interference estimates how much each job slows each service, per share of a worker that the job holds.
//
// In the model, a service's slowdown is 1 plus the sum, over the jobs on the same
// worker, of the job's factor times its share. Each measurement adjusts the factors
// of these jobs, in proportion to their shares, towards the measured slowdown.
type interference struct {
	// factors holds, for a service and a job, by how much the service's slowdown would grow if the job held a whole
	// worker.
	factors map[serviceJob]float64
}

func newInterference() *interference { return &interference{factors: make(map[serviceJob]float64)} }

// share is the fraction of a worker's processors that one job holds.
type share struct {
	job      string
	fraction float64
}

// expectedSlowdown returns the slowdown of the service on a worker where the jobs hold the given shares.
func (x *interference) expectedSlowdown(service string, shares []share) float64 {
	s := 1.0
	for _, m := range shares {
		s += x.factors[serviceJob{service, m.job}] * m.fraction
	}
	return s
}

// update corrects the factors by one measurement.
func (x *interference) update(service string, shares []share, slowdown float64) {
	var n float64
	for _, m := range shares {
		n += m.fraction * m.fraction
	}
	if n == 0 {
		return
	}
	e := learningRate * (slowdown - x.expectedSlowdown(service, shares)) / n
	for _, m := range shares {
		k := serviceJob{service, m.job}
		f := x.factors[k] + e*m.fraction
		if f < minFactor {
			delete(x.factors, k)
			continue
		}
		x.factors[k] = f
	}
}

// jobShares returns the share of the worker that each job holds, sorted by job name. A throttled task counts half.
//
// The sums are integers in units of half a processor, so that the result does not depend on the order of the tasks.
func (w *worker) jobShares() []share {
	halves := make(map[string]int)
	for _, t := range w.tasks {
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

// shareSample holds the shares of the jobs on a worker at one instant.
type shareSample struct {
	at     time.Time
	shares []share
}

// maxShareSamples bounds the number of share samples kept per worker. The samples have to reach back further than the
// delay of the worker's measurements.
const maxShareSamples = 16

// sampleShares records the current shares of the jobs on the worker.
func (w *worker) sampleShares(now time.Time) {
	w.shareSamples = append(w.shareSamples, shareSample{now, w.jobShares()})
	w.shareSamples = w.shareSamples[max(0, len(w.shareSamples)-maxShareSamples):]
}

// sharesAt returns the shares of the sample closest to the instant, or false if no sample is as old as the instant.
func (w *worker) sharesAt(at time.Time) ([]share, bool) {
	if len(w.shareSamples) == 0 || at.Before(w.shareSamples[0].at) {
		return nil, false
	}
	b := w.shareSamples[0]
	for _, s := range w.shareSamples[1:] {
		if s.at.Sub(at).Abs() < b.at.Sub(at).Abs() {
			b = s
		}
	}
	return b.shares, true
}

// expectedInterference returns the total that a batch task would add to the slowdowns of the services on the worker,
// plus interferencePenalty for each service that the task would slow too much. For a replica of a service, it returns
// what the jobs on the worker would add to the replica's slowdown.
func (o *Owner) expectedInterference(w *worker, s *Spec) float64 {
	if len(o.interference.factors) == 0 {
		return 0
	}
	m := w.jobShares()
	if s.Class == ClassService {
		return o.interference.expectedSlowdown(s.Name, m) - 1
	}
	added := float64(s.Size.Processors) / float64(max(w.capacity.Processors, 1))
	var t float64
	for _, n := range slices.Sorted(maps.Keys(w.serviceCounts)) {
		f := o.interference.factors[serviceJob{n, s.Name}] * added
		t += f
		if f > 0 && o.interference.expectedSlowdown(n, m)+f > maxPlacementSlowdown {
			t += interferencePenalty
		}
	}
	return t
}

// onUsage updates the estimates from a delayed measurement, and throttles, evicts or unthrottles jobs accordingly.
func (o *Owner) onUsage(w *worker, u Usage, now time.Time) {
	t := w.tasks[u.Task]
	if t == nil || t.spec.Class != ClassService || !u.MeasuredAt.After(t.measuredAt) {
		return
	}
	t.slowdown, t.measuredAt = u.Slowdown, u.MeasuredAt
	m, ok := w.sharesAt(u.MeasuredAt)
	if !ok {
		return
	}
	o.interference.update(t.spec.Name, m, u.Slowdown)
	// A measurement made before the latest action does not show the effect of that action.
	if !u.MeasuredAt.After(w.actedAt) {
		return
	}
	switch {
	case u.Slowdown > highSlowdown:
		o.mitigateInterference(w, t, now)
	case u.Slowdown < lowSlowdown:
		o.unthrottle(w, t, now)
	}
}

// mitigateInterference acts on the job that slows the service of replica t most: it throttles the job's tasks on the
// worker, or evicts them if they are throttled already.
func (o *Owner) mitigateInterference(w *worker, t *task, now time.Time) {
	g := o.mostInterferingGroup(w, t.spec.Name)
	if g == "" {
		return
	}
	w.actedAt = now
	reason := fmt.Sprintf("slows service %s to %.2f times its time alone", t.spec.Name, t.slowdown)
	if !w.throttled[g] {
		w.throttled[g] = true
		w.syncAt = now
		o.recordDecision(Decision{Kind: "Throttle", Task: g, Worker: w.name, Reason: reason})
		return
	}
	for _, n := range slices.Sorted(maps.Keys(w.tasks)) {
		if b := w.tasks[n]; b.spec.Group == g && b.stopReason == "" {
			o.requestStop(b, record.ReleaseEvicted, "PlaceApart", reason)
		}
	}
}

// mostInterferingGroup returns the group on the worker that slows the service most, or "" if no group is known to slow
// it.
func (o *Owner) mostInterferingGroup(w *worker, service string) string {
	effects := make(map[string]float64)
	for _, n := range slices.Sorted(maps.Keys(w.tasks)) {
		if b := w.tasks[n]; b.spec.Class > ClassUrgent && b.stopReason == "" {
			effects[b.spec.Group] += float64(b.size.Processors) * o.interference.factors[serviceJob{service, b.spec.Name}]
		}
	}
	var worst string
	for _, g := range slices.Sorted(maps.Keys(effects)) {
		if effects[g] > 0 && (worst == "" || cmp.Compare(effects[g], effects[worst]) > 0) {
			worst = g
		}
	}
	return worst
}

// unthrottle lets one throttled job on the worker run at full speed again, if no service there is then expected to
// exceed highSlowdown or if the job has no tasks left there. Replica t gave the measurement.
func (o *Owner) unthrottle(w *worker, t *task, now time.Time) {
	for _, g := range slices.Sorted(maps.Keys(w.throttled)) {
		delete(w.throttled, g)
		if w.groupCounts[g] > 0 && o.maxExpectedSlowdown(w) > highSlowdown {
			w.throttled[g] = true
			continue
		}
		w.actedAt = now
		w.syncAt = now
		o.recordDecision(Decision{Kind: "Unthrottle", Task: g, Worker: w.name, Reason: fmt.Sprintf("service %s is at %.2f times its time alone", t.spec.Name, t.slowdown)})
		return
	}
}

// maxExpectedSlowdown returns the greatest expected slowdown among the services on the worker.
func (o *Owner) maxExpectedSlowdown(w *worker) float64 {
	m := w.jobShares()
	s := 1.0
	for n := range w.serviceCounts {
		s = max(s, o.interference.expectedSlowdown(n, m))
	}
	return s
}

// throttledTasks returns the names of the tasks that the worker must run at half speed.
func (w *worker) throttledTasks() []string {
	if len(w.throttled) == 0 {
		return nil
	}
	var a []string
	for _, n := range slices.Sorted(maps.Keys(w.tasks)) {
		if w.throttled[w.tasks[n].spec.Group] {
			a = append(a, n)
		}
	}
	return a
}

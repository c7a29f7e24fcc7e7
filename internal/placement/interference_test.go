package placement_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/placement"
)

// maxInBoundSlowdown is the slowdown up to which a service stays within its latency bound in the experiment.
const maxInBoundSlowdown = 1.5

// interferenceExperiment adds true interference factors to the experiment: how much each job slows each service.
type interferenceExperiment struct {
	*experiment

	// factors holds the true factors by service and job, as in "s0/j0".
	factors map[string]float64
	// throttled holds the throttled tasks, by worker and task.
	throttled map[string]map[string]bool
	// pendingUsage holds the measurements that the next report of each worker returns.
	pendingUsage     map[string][]placement.Usage
	size             shardSize
	workerProcessors int
	// samples counts the samples of replicas, and samplesInBound those within the latency bound.
	samplesInBound int
	samples        int
	// work is the work that batch tasks did, and possibleWork the work that they could have done with all processors that
	// the replicas leave, in task-seconds at full speed.
	work         float64
	possibleWork float64
}

// newInterferenceExperiment returns an experiment in which services and batch tasks have run for 2 minutes. With late
// set, the services arrive after batch tasks have run for one minute and filled all workers.
func newInterferenceExperiment(tb testing.TB, policy string, late bool) *interferenceExperiment {
	tb.Helper()
	s := shardSize{"", 50, 150, 1200, 40}
	x := &interferenceExperiment{
		experiment: newExperiment(tb, s, policy), factors: make(map[string]float64),
		throttled: make(map[string]map[string]bool), pendingUsage: make(map[string][]placement.Usage), size: s,
		workerProcessors: (s.services+s.batch)*2*11/10/s.workers + 1,
	}
	r := rand.New(rand.NewPCG(9, 9))
	jobs := []byte("Jobs:\n")
	for i := range 12 {
		jobs = fmt.Appendf(jobs, "  - {Name: j%d, Team: t%d, Priority: Patient, Tasks: 20000, RunTime: 1h, Processors: 2, MemoryMiB: 100}\n", i, i)
		for k := range 3 {
			if r.IntN(10) < 4 {
				x.factors[fmt.Sprintf("s%d/j%d", k, i)] = r.Float64() * 6
			}
		}
	}
	services := []byte("Section: work\nOwner: o\nServices:\n")
	for i := range 3 {
		services = fmt.Appendf(services, "  - {Name: s%d, ClientAccount: c, Team: t%d, PathPrefix: /s%d, Bound: 1s, Replicas: 50, Processors: 2, MemoryMiB: 100}\n", i, i, i)
	}
	x.usageSource = x
	x.schedule(0, x.step)
	if late {
		x.edit("work", append([]byte("Section: work\nOwner: o\n"), jobs...))
		x.runFor(time.Minute)
	}
	x.edit("work", append(services, jobs...))
	x.runFor(2 * time.Minute)
	x.resetCounters()
	return x
}

// specName returns the name of the service or job that the task belongs to.
func specName(task string) string {
	n, _, _ := strings.Cut(task, "@")
	return n
}

// slowdown returns the true slowdown of the service's replica on the worker now.
func (x *interferenceExperiment) slowdown(worker, service string) float64 {
	s := 1.0
	for _, k := range slices.Sorted(maps.Keys(x.attempts[worker])) {
		if x.attempts[worker][k].State != placement.TaskRunning || k[0] != 'j' {
			continue
		}
		f := x.factors[service+"/"+specName(k)] * 2 / float64(x.workerProcessors)
		if x.throttled[worker][k] {
			f /= 2
		}
		s += f
	}
	return s
}

// usage applies the Throttle list of a sync order and returns the measurements taken at the previous sync.
func (x *interferenceExperiment) usage(s placement.SyncOrder) []placement.Usage {
	x.throttled[s.Worker] = make(map[string]bool)
	for _, n := range s.Throttle {
		x.throttled[s.Worker][n] = true
	}
	u := x.pendingUsage[s.Worker]
	var n []placement.Usage
	for _, k := range slices.Sorted(maps.Keys(x.attempts[s.Worker])) {
		if t := x.attempts[s.Worker][k]; t.State == placement.TaskRunning && k[0] == 's' {
			n = append(n, placement.Usage{Task: k, MeasuredAt: x.now, Slowdown: x.slowdown(s.Worker, specName(k))})
		}
	}
	x.pendingUsage[s.Worker] = n
	return u
}

// sample counts the replicas, those within their latency bound, and the work that batch tasks do in one second.
func (x *interferenceExperiment) sample() {
	for w, ts := range x.attempts {
		for k, t := range ts {
			switch {
			case t.State != placement.TaskRunning:
			case k[0] == 's':
				x.samples++
				if x.slowdown(w, specName(k)) <= maxInBoundSlowdown {
					x.samplesInBound++
				}
			case x.throttled[w][k]:
				x.work += 0.5
			default:
				x.work++
			}
		}
	}
	x.possibleWork += float64(x.workerProcessors/2*x.size.workers - 150)
}

// measure runs the experiment for the given time and takes a sample every second.
func (x *interferenceExperiment) measure(seconds int) {
	x.samplesInBound, x.samples, x.work, x.possibleWork = 0, 0, 0, 0
	for range seconds {
		x.runFor(time.Second)
		x.sample()
	}
}

// BenchmarkInterference measures for each policy how often replicas are within their latency bound next to batch tasks,
// and how much work the batch tasks do.
func BenchmarkInterference(b *testing.B) {
	for _, late := range []bool{false, true} {
		for _, p := range placement.PolicyNames() {
			b.Run(fmt.Sprintf("late=%v/%s", late, p), func(b *testing.B) {
				for b.Loop() {
					x := newInterferenceExperiment(b, p, late)
					x.measure(180)
					b.ReportMetric(100*float64(x.samplesInBound)/float64(x.samples), "%in-bound")
					b.ReportMetric(x.work/x.possibleWork, "work/possible")
					b.ReportMetric(float64(x.evictions), "evictions")
				}
			})
		}
	}
}

// TestServicesStayWithinBoundNextToJobs checks the goals of a shorter BenchmarkInterference: replicas are within their
// latency bound for at least 99.9 % of the time, and batch tasks do at least 95 % of the possible work.
func TestServicesStayWithinBoundNextToJobs(t *testing.T) {
	for _, late := range []bool{false, true} {
		x := newInterferenceExperiment(t, placement.PolicyColocated, late)
		x.measure(60)
		t.Logf("late=%v: %.5f of the replica time within the latency bound, %.4f of the possible work", late, float64(x.samplesInBound)/float64(x.samples), x.work/x.possibleWork)
		require.GreaterOrEqual(t, float64(x.samplesInBound)/float64(x.samples), 0.999, "late=%v", late)
		require.GreaterOrEqual(t, x.work/x.possibleWork, 0.95, "late=%v", late)
	}
}

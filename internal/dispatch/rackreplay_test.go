package dispatch

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/locality"
)

// rackLoad is a load of jobs whose data are in racks of 16 places each.
type rackLoad struct {
	// jobsPerSecond is the rate of jobs, each of ten tasks, and hot the part of them whose data are in rack-0.
	jobsPerSecond float64
	hot           float64
	// took is the run time of a task in its rack. Its estimate is off by up to half, and 3 tasks in 100 run for seven times as long.
	took    time.Duration
	offRack float64
}

// String names the load.
func (l *rackLoad) String() string {
	return fmt.Sprintf("%g jobs of %s a second, hot %g, factor %g", l.jobsPerSecond, l.took, l.hot, l.offRack)
}

// rackFigures are the results of a replay.
type rackFigures struct {
	mean, p50, p99 time.Duration
	// inTime is the part of the jobs that met their objective, and inRack the part of the tasks that ran in their rack.
	inTime float64
	inRack float64
	counts Counts
}

const rackReplayDuration = 40 * time.Second

// String returns the figures as a line.
func (f rackFigures) String() string {
	c := f.counts
	return fmt.Sprintf("mean %.2f p50 %.2f p99 %.2f s, in time %.3f, in rack %.2f, waits %d, paid %d, not %d",
		f.mean.Seconds(), f.p50.Seconds(), f.p99.Seconds(), f.inTime, f.inRack, c.RackWaits, c.RackWaitsPaid, c.RackWaitsUnpaid)
}

// rackPolicy decides on the wait of a task.
type rackPolicy func(*jobs.Task, locality.Evidence, locality.Wait) (locality.Wait, bool)

// replayRacks replays a load on 40 workers with a policy, nil for that of the product.
func replayRacks(t *testing.T, l rackLoad, d func(*rackReplay) rackPolicy) rackFigures {
	t.Helper()
	r := newRackReplay(t, 40, l.offRack)
	r.p.Logger = zerolog.New(io.Discard)
	r.offRack = l.offRack
	if d != nil {
		r.p.racks.decide = d(r)
	}
	x := rand.New(rand.NewPCG(1, 2))
	took := make(map[jobs.Ref]time.Duration)
	r.took = func(ref jobs.Ref) time.Duration { return took[ref] }
	submitted := make(map[string]time.Time)
	objective := make(map[string]time.Duration)
	begin := r.now
	next := begin
	for n := 1; r.now.Sub(begin) < rackReplayDuration; {
		for ; !next.After(r.now); next = next.Add(time.Duration(x.ExpFloat64() / l.jobsPerSecond * float64(time.Second))) {
			j := l.job(x, n, r.now)
			for _, k := range j.Tasks[0][0] {
				took[k.Ref] = l.took
				if x.Float64() < 0.03 {
					took[k.Ref] = 7 * l.took
				}
			}
			submitted[j.ID], objective[j.ID] = r.now, 2*l.took+time.Second
			r.p.AddJob(j, r.now)
			n++
		}
		r.step()
	}
	r.runFor(rackReplayDuration)
	return r.figures(submitted, objective)
}

// job returns a job whose estimate is off by up to half.
func (l *rackLoad) job(x *rand.Rand, n int, now time.Time) *jobs.Job {
	rack := x.IntN(10)
	if x.Float64() < l.hot {
		rack = 0
	}
	s := jobs.Step{
		Tasks: 10, Size: jobs.Resources{MilliCPU: 7300, MemoryMB: 1000}, Estimate: time.Duration((0.5 + x.Float64()) * float64(l.took)), DataRack: fmt.Sprintf("rack-%d", rack),
	}
	return testJob(testID(n), now, s)
}

func (r *rackReplay) figures(submitted map[string]time.Time, objective map[string]time.Duration) rackFigures {
	r.Helper()
	last := make(map[string]time.Time)
	for ref, at := range r.endedAt {
		last[ref.Job] = laterOf(last[ref.Job], at)
	}
	require.Len(r, last, len(submitted))
	var f rackFigures
	var l []time.Duration
	var sum time.Duration
	for id, at := range submitted {
		d := last[id].Sub(at)
		l = append(l, d)
		sum += d
		if d <= objective[id] {
			f.inTime++
		}
	}
	slices.Sort(l)
	f.mean, f.p50, f.p99 = sum/time.Duration(len(l)), l[len(l)/2], l[len(l)*99/100]
	f.inTime /= float64(len(l))
	f.inRack = float64(r.inRack) / float64(len(r.endedAt))
	f.counts = r.p.TakeCounts()
	return f
}

// never starts tasks elsewhere at once.
func never(_ *jobs.Task, _ locality.Evidence, w locality.Wait) (locality.Wait, bool) { return w, false }

// fixedDelay lets each task wait for the same time.
func fixedDelay(d time.Duration) rackPolicy {
	return func(_ *jobs.Task, e locality.Evidence, w locality.Wait) (locality.Wait, bool) {
		if w.Since.IsZero() {
			w.Since, w.Deadline, w.EndElsewhere = e.Now, e.Now.Add(d), e.Now.Add(e.Took+e.Factor.Loss(e.Took))
		}
		return w, e.Now.Before(w.Deadline)
	}
}

// levelDelay lets a job wait for the given time, and then start all its tasks elsewhere; the time begins anew with each start in
// the rack.
func levelDelay(p *Planner, d time.Duration) rackPolicy {
	since, inRack := make(map[string]time.Time), make(map[string]int)
	return func(t *jobs.Task, e locality.Evidence, w locality.Wait) (locality.Wait, bool) {
		n := 0
		p.Job(t.Job).ForEachAssigned(func(a *jobs.Task) {
			if p.workers[a.Worker].hasLabel(a.Spec.DataRack) {
				n++
			}
		})
		if since[t.Job].IsZero() || n > inRack[t.Job] {
			since[t.Job] = e.Now
		}
		inRack[t.Job] = n
		if w.Since.IsZero() {
			w.Since, w.EndElsewhere = e.Now, e.Now.Add(e.Took+e.Factor.Loss(e.Took))
		}
		w.Deadline = since[t.Job].Add(d)
		return w, e.Now.Before(w.Deadline)
	}
}

// rackPolicies holds the policies with which a replay compares that of the product.
var rackPolicies = []struct {
	name string
	make func(*rackReplay) rackPolicy
}{
	{"fixed 0.3 s", func(*rackReplay) rackPolicy { return fixedDelay(300 * time.Millisecond) }},
	{"fixed 1 s", func(*rackReplay) rackPolicy { return fixedDelay(time.Second) }},
	{"fixed 2 s", func(*rackReplay) rackPolicy { return fixedDelay(2 * time.Second) }},
	{"level 0.3 s", func(r *rackReplay) rackPolicy { return levelDelay(r.p, 300*time.Millisecond) }},
	{"level 1 s", func(r *rackReplay) rackPolicy { return levelDelay(r.p, time.Second) }},
}

// Waits would cost jobs more than they gain, if they began without regard to what they gain, or their objectives.
func TestWaitsByExpectedEndShortenJobsAndKeepObjectives(t *testing.T) {
	for _, l := range []rackLoad{
		{jobsPerSecond: 9.4, hot: 0.3, took: 640 * time.Millisecond, offRack: 2},
		{jobsPerSecond: 14, hot: 0.3, took: 640 * time.Millisecond, offRack: 2},
		{jobsPerSecond: 3, hot: 0.3, took: 2 * time.Second, offRack: 2},
		{jobsPerSecond: 4.5, hot: 0, took: 2 * time.Second, offRack: 1.5},
	} {
		t.Run(l.String(), func(t *testing.T) {
			t.Parallel()
			none := replayRacks(t, l, func(*rackReplay) rackPolicy { return never })
			f := replayRacks(t, l, nil)
			t.Logf("%-12s %v", "never", none)
			if testing.Verbose() {
				for _, p := range rackPolicies {
					t.Logf("%-12s %v", p.name, replayRacks(t, l, p.make))
				}
			}
			t.Logf("%-12s %v", "expected end", f)
			require.Less(t, f.mean, none.mean*95/100)
			require.Greater(t, f.inTime, none.inTime-0.02)
		})
	}
}

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	replayWorkers = 24
	// replayTick is the time between two plans, and replayReportTicks the ticks between two reports of running attempts.
	replayTick        = 100 * time.Millisecond
	replayReportTicks = 3
	// replayRunTime is the run time of a usual task on a worker of full speed; replayTasks is the number of tasks of each of the two
	// steps of a job.
	replayRunTime = 2 * time.Second
	replayTasks   = 10
	// replayInterval is the time between two jobs, at which 0.5 of the capacity is used, and replayDuration that of the replay.
	replayInterval = 830 * time.Millisecond
	replayDuration = 5 * time.Minute
	// replayLong is the run time of a long task as a multiple of a usual one, and replaySlow the factor by which a slow worker is
	// slower.
	replayLong = 7
	replaySlow = 5
	// replaySlowWorkers is the number of workers that are slow at a time, and replaySlowFor for how long.
	replaySlowWorkers = 2
	replaySlowFor     = 20 * time.Second
	// replaySeeds is the number of replays of which the quantiles are taken.
	replaySeeds = 2
)

// tailReplay drives a planner with jobs of which some tasks are long, on workers of which some are slow.
type tailReplay struct {
	*simulation
	random *rand.Rand
	// longFraction is the fraction of tasks that are long, and slowWorkers the number of workers that are slow at a time.
	longFraction float64
	slowWorkers  int
	checkpoints  bool
	// length holds the work of each task and done the work that is done of its attempt, both in seconds on a worker of full speed.
	length  map[jobs.Ref]float64
	done    map[jobs.Ref]float64
	numbers map[string]int64
	jobs    []*jobs.Job
	took    []time.Duration
	starts  int
	ticks   int
}

func newTailReplay(t *testing.T, seed uint64, longFraction float64, slowWorkers int, checkpoints bool) *tailReplay {
	t.Helper()
	return &tailReplay{
		simulation: newSimulation(t, replayWorkers), random: rand.New(rand.NewPCG(seed, seed)), longFraction: longFraction, slowWorkers: slowWorkers, checkpoints: checkpoints,
		length: make(map[jobs.Ref]float64), done: make(map[jobs.Ref]float64), numbers: make(map[string]int64),
	}
}

// submit adds a job whose estimates are wrong by up to half.
func (r *tailReplay) submit() {
	s := func(after ...int) jobs.Step {
		e := time.Duration((0.5 + r.random.Float64()) * float64(replayRunTime))
		return jobs.Step{Tasks: replayTasks, Size: jobs.Resources{MilliCPU: 7000, MemoryMB: 1000}, Estimate: e, After: after, Checkpoints: r.checkpoints}
	}
	j := testJob(testID(len(r.jobs)+1), r.now, s(), s(0))
	for _, l := range j.Tasks[0] {
		for _, t := range l {
			r.length[t.Ref] = replayRunTime.Seconds()
			if r.random.Float64() < r.longFraction {
				r.length[t.Ref] *= replayLong
			}
		}
	}
	r.jobs = append(r.jobs, j)
	r.took = append(r.took, 0)
	r.p.AddJob(j, r.now)
}

// speed returns the present speed of a worker.
func (r *tailReplay) speed(id string) float64 {
	first := int(time.Duration(r.ticks)*replayTick/replaySlowFor) * replaySlowWorkers
	for i := range r.slowWorkers {
		if id == fmt.Sprintf("i-%02d", (first+i)%replayWorkers) {
			return 1.0 / replaySlow
		}
	}
	return 1
}

// tick plans, executes the orders, lets a tick pass, and lets the workers report.
func (r *tailReplay) tick() {
	x := r.plan()
	for _, o := range x[OrderStart] {
		r.p.HandleStartResult(o, ResultAccepted, r.now)
		if !r.checkpoints {
			r.done[o.Ref] = 0
		}
		r.starts++
	}
	for _, o := range x[OrderStop] {
		r.p.HandleStopResult(o, ResultAccepted, r.now)
	}
	r.advance(replayTick)
	r.ticks++
	for _, w := range r.p.workerList {
		r.reportWorker(w)
	}
	for i, j := range r.jobs {
		if r.took[i] == 0 && j.State() == jobs.StateCompleted {
			r.took[i] = r.now.Sub(j.SubmittedAt)
		}
	}
}

// reportWorker lets the attempts of a worker progress, and reports them if any has finished or a report is due.
func (r *tailReplay) reportWorker(w *worker) {
	var running []RunningAttempt
	var finished []FinishedAttempt
	for _, a := range w.attemptList {
		ref := a.task.Ref
		r.done[ref] += r.speed(w.ID) * replayTick.Seconds()
		switch {
		case a.stopping:
			r.numbers[w.ID]++
			finished = append(finished, FinishedAttempt{Ref: ref, Number: r.numbers[w.ID], Run: a.run, Outcome: jobs.OutcomeStopped})
		case r.done[ref] >= r.length[ref]:
			r.numbers[w.ID]++
			finished = append(finished, FinishedAttempt{Ref: ref, Number: r.numbers[w.ID], Run: a.run, Outcome: jobs.OutcomeDone})
		default:
			running = append(running, RunningAttempt{Ref: ref, Run: a.run, ProgressPercent: int(fullSpeed * r.done[ref] / r.length[ref])})
		}
	}
	if len(finished) > 0 || r.ticks%replayReportTicks == 0 {
		r.report(w.ID, running, finished...)
	}
}

// run runs the replay until all jobs have finished.
func (r *tailReplay) run() {
	next := r.now
	for end := r.now.Add(replayDuration); r.now.Before(end); {
		for !r.now.Before(next) {
			r.submit()
			next = next.Add(replayInterval)
		}
		r.tick()
	}
	for range time.Minute / replayTick {
		r.tick()
	}
	require.NotContains(r.T, r.took, time.Duration(0), "all jobs have finished")
}

// restarts returns the number of attempts beyond the first of each task.
func (r *tailReplay) restarts() int { return r.starts - len(r.length) }

// replayed is the outcome of several replays together.
type replayed struct {
	p50, p99 time.Duration
	// restarts is the number of attempts beyond the first of each task, of the given number of tasks.
	restarts int
	tasks    int
}

// replayTail replays several seeds, and returns the quantiles of the times of all jobs.
func replayTail(t *testing.T, longFraction float64, slowWorkers int, checkpoints bool) replayed {
	t.Helper()
	var x replayed
	var l []time.Duration
	for seed := range uint64(replaySeeds) {
		r := newTailReplay(t, seed+1, longFraction, slowWorkers, checkpoints)
		r.run()
		l = append(l, r.took...)
		x.restarts += r.restarts()
		x.tasks += len(r.length)
	}
	slices.Sort(l)
	x.p50, x.p99 = l[len(l)/2], l[len(l)*99/100]
	t.Logf("long tasks %.2f, slow workers %d, checkpoints %v: p50 %v, p99 %v, %d restarts of %d tasks", longFraction, slowWorkers, checkpoints, x.p50, x.p99, x.restarts, x.tasks)
	return x
}

const (
	// longTasks is the fraction of long tasks in the replays with a tail.
	longTasks = 0.03
	// leftAloneP99 is the 99th percentile of the time of jobs with a tail if no task is ever moved and no worker is slow.
	leftAloneP99 = 28200 * time.Millisecond
	// slowWorkersP99 and slowWorkersTailP99 are those with slow workers if no task is ever moved, without and with a tail.
	slowWorkersP99     = 16800 * time.Millisecond
	slowWorkersTailP99 = 39400 * time.Millisecond
)

// A long task alone on its worker made the worker count as a straggler, and was started again elsewhere without its progress.
func TestReplayOfLongTasks(t *testing.T) {
	x := replayTail(t, longTasks, 0, false)
	require.Less(t, x.p99, leftAloneP99*11/10)
	require.Less(t, x.restarts, x.tasks/200)
}

// Tasks on workers that are five times slower must run elsewhere, with and without long tasks beside them.
func TestReplayOfSlowWorkers(t *testing.T) {
	for name, x := range map[string]struct {
		long        float64
		checkpoints bool
		limit       time.Duration
	}{
		"slow workers":                                  {0, false, slowWorkersP99 * 3 / 4},
		"slow workers, checkpoints":                     {0, true, slowWorkersP99 * 6 / 10},
		"slow workers and long tasks":                   {longTasks, false, slowWorkersTailP99 * 17 / 20},
		"slow workers and long tasks, with checkpoints": {longTasks, true, slowWorkersTailP99 * 3 / 4},
	} {
		t.Run(name, func(t *testing.T) {
			require.Less(t, replayTail(t, x.long, replaySlowWorkers, x.checkpoints).p99, x.limit)
		})
	}
}

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/account"
	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// replayStep is the time between two plans of a replay, and replayReportInterval the longest between two reports of a worker.
	replayStep           = 20 * time.Millisecond
	replayReportInterval = time.Second
)

// replayJob is a job of one step that is submitted in a replay.
type replayJob struct {
	at       time.Duration
	account  string
	priority int
	tasks    int
	took     time.Duration
}

// replayWait is how long a task waited that was submitted at a time.
type replayWait struct {
	from   time.Time
	waited time.Duration
}

// replay drives a planner with recorded submissions on a simulated clock. Tasks run for a time that each job sets.
type replay struct {
	*simulation
	start    time.Time
	left     []replayJob
	sent     int
	took     map[string]time.Duration
	accounts map[string]string
	numbers  map[string]int64
	reported map[string]time.Time
	// waits holds, by account, how long each task waited that has started, and started the CPU-seconds of started tasks.
	waits   map[string][]replayWait
	started map[string]float64
}

func newReplay(t *testing.T, workers int, a []account.Account, l []replayJob) *replay {
	t.Helper()
	s := newSimulation(t, workers)
	s.p.SetAccounts(a)
	slices.SortStableFunc(l, func(a, b replayJob) int { return int(a.at - b.at) })
	return &replay{
		simulation: s, start: s.now, left: l, took: make(map[string]time.Duration), accounts: make(map[string]string), numbers: make(map[string]int64),
		reported: make(map[string]time.Time), waits: make(map[string][]replayWait), started: make(map[string]float64),
	}
}

// run lets time pass.
func (r *replay) run(d time.Duration) {
	for u := r.now.Add(d); r.now.Before(u); {
		r.advance(replayStep)
		r.submitDue()
		for _, w := range r.p.workerList {
			r.reportEnds(w)
		}
		for _, o := range r.plan()[OrderStart] {
			r.p.HandleStartResult(o, ResultAccepted, r.now)
			j := r.p.Job(o.Job)
			n := r.accounts[o.Job]
			r.waits[n] = append(r.waits[n], replayWait{j.SubmittedAt, r.now.Sub(j.SubmittedAt)})
			r.started[n] += float64(j.Steps[0].Size.MilliCPU) / 1000 * r.took[o.Job].Seconds()
		}
	}
}

func (r *replay) submitDue() {
	for len(r.left) > 0 && !r.start.Add(r.left[0].at).After(r.now) {
		x := r.left[0]
		r.left = r.left[1:]
		r.sent++
		q := testQueue()
		q.Priority, q.TargetLatency = x.priority, time.Second
		id := testID(r.sent)
		step := jobs.Step{Tasks: x.tasks, Size: jobs.Resources{MilliCPU: 2000, MemoryMB: 1000}, Estimate: x.took}
		r.p.AddJob(jobs.New(jobs.Spec{ID: id, Account: x.account, Queue: q, Steps: []jobs.Step{step}, SubmittedAt: r.start.Add(x.at)}), r.now)
		r.took[id], r.accounts[id] = x.took, x.account
	}
}

// reportEnds applies a report of a worker if tasks have ended or its latest report is old.
func (r *replay) reportEnds(w *worker) {
	var running []RunningAttempt
	var finished []FinishedAttempt
	for _, a := range w.attemptList {
		if r.now.Sub(a.confirmedAt) >= r.took[a.job.ID] {
			r.numbers[w.ID]++
			finished = append(finished, FinishedAttempt{Ref: a.task.Ref, Number: r.numbers[w.ID], Run: a.run, Outcome: jobs.OutcomeDone})
			continue
		}
		running = append(running, RunningAttempt{Ref: a.task.Ref, Run: a.run})
	}
	if len(finished) > 0 || r.now.Sub(r.reported[w.ID]) >= replayReportInterval {
		r.reported[w.ID] = r.now
		r.report(w.ID, running, finished...)
	}
}

// waitsOf returns the waiting times of the tasks of all accounts but the named one that were submitted at or after a time, sorted. A task
// that has not started has waited until now.
func (r *replay) waitsOf(except string, from time.Time) []time.Duration {
	var l []time.Duration
	for n, x := range r.waits {
		if n == except {
			continue
		}
		for _, y := range x {
			if !y.from.Before(from) {
				l = append(l, y.waited)
			}
		}
	}
	for id, n := range r.accounts {
		j := r.p.Job(id)
		if n == except || j.IsTerminal() || j.SubmittedAt.Before(from) {
			continue
		}
		for _, t := range j.Tasks[0][0] {
			if t.State == jobs.TaskWaiting {
				l = append(l, r.now.Sub(j.SubmittedAt))
			}
		}
	}
	slices.Sort(l)
	return l
}

func quantile(l []time.Duration, q float64) time.Duration { return l[int(q*float64(len(l)-1))] }

// replayLoad returns the submissions of an account between two times: two fifths of the jobs are batch, the others urgent.
func replayLoad(x *rand.Rand, name string, perSecond float64, from, to time.Duration) []replayJob {
	var l []replayJob
	for at := from; ; {
		at += time.Duration(x.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return l
		}
		j := replayJob{at: at, account: name, tasks: 2, took: 640 * time.Millisecond}
		if x.IntN(5) < 2 {
			j.priority, j.took = 2, 1700*time.Millisecond
		}
		l = append(l, j)
	}
}

// The load of the replay of 20 accounts. A job is 2 tasks of 2 cores and 1.06 s on average, so that about 300 jobs a second fill the
// workers.
const (
	replayAccounts = 20
	replayWorkers  = 40
	// replayRate is the usual number of jobs per second of each account, with which the workers are full after replayWarmUp.
	replayRate     = 17
	replayWeight   = 18
	replayWarmUp   = 5 * time.Second
	replayDuration = 15 * time.Second
	// replaySeeds is the number of replays whose waits are compared together.
	replaySeeds         = 4
	extraLoad   float64 = 7.5
	maxSlowdown         = 1.1
)

// submitMore returns jobs of an account that raise its load to extraLoad times the usual by more jobs.
func submitMore(_ []replayJob, name string, seed uint64) []replayJob {
	return replayLoad(rand.New(rand.NewPCG(seed, replayAccounts)), name, (extraLoad-1)*replayRate, replayWarmUp, replayDuration)
}

// submitLarger makes the jobs of an account extraLoad times as large.
func submitLarger(l []replayJob, name string, _ uint64) []replayJob {
	for i := range l {
		if l[i].account == name && l[i].at >= replayWarmUp {
			l[i].tasks = int(extraLoad * float64(l[i].tasks))
		}
	}
	return nil
}

// replayOthers replays the usual load of 20 accounts, of which the first changes its own by more, if it is not nil, once the workers
// are full. It returns how long the tasks of the others waited from then on.
func replayOthers(t *testing.T, seed uint64, more func(l []replayJob, name string, seed uint64) []replayJob) []time.Duration {
	t.Helper()
	var a []account.Account
	var l []replayJob
	for n := range replayAccounts {
		name := fmt.Sprintf("account-%02d", n)
		a = append(a, account.Account{Name: name, Weight: replayWeight})
		l = append(l, replayLoad(rand.New(rand.NewPCG(seed, uint64(n))), name, replayRate, 0, replayDuration)...)
	}
	if more != nil {
		l = append(l, more(l, a[0].Name, seed)...)
	}
	r := newReplay(t, replayWorkers, a, l)
	r.run(replayWarmUp)
	require.Less(t, r.freeMilliCPU(), 40*2000, "the workers are full")
	r.run(replayDuration - replayWarmUp)
	w := r.waitsOf(a[0].Name, r.start.Add(replayWarmUp))
	return w
}

// freeMilliCPU returns the free CPU of all workers.
func (r *replay) freeMilliCPU() int {
	n := 0
	for _, w := range r.p.workerList {
		n += w.free().MilliCPU
	}
	return n
}

// Guards against one account that makes the others wait by submitting far more than usual, in more jobs or in larger ones.
func TestOneAccountWithExtraLoadDelaysNoOther(t *testing.T) {
	var usual []time.Duration
	for seed := range uint64(replaySeeds) {
		usual = append(usual, replayOthers(t, seed, nil)...)
	}
	slices.Sort(usual)
	for name, more := range map[string]func([]replayJob, string, uint64) []replayJob{"more jobs": submitMore, "larger jobs": submitLarger} {
		var loaded []time.Duration
		for seed := range uint64(replaySeeds) {
			loaded = append(loaded, replayOthers(t, seed, more)...)
		}
		slices.Sort(loaded)
		for _, q := range []float64{0.5, 0.99} {
			u, l := quantile(usual, q), quantile(loaded, q)
			t.Logf("%s: p%v %v, usually %v", name, 100*q, l, u)
			assert.LessOrEqual(t, float64(l), maxSlowdown*float64(u), "%s: p%v", name, 100*q)
		}
	}
}

package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

// backlog drives a planner with jobs of two steps that arrive faster than the fleet can run them.
type backlog struct {
	*scene
	random *rand.Rand
	number map[string]int64
	// endsAt holds when each attempt ends, and inTime the jobs that met their objective.
	endsAt map[jobs.Ref]time.Time
	worker map[jobs.Ref]string
	run    map[jobs.Ref]int
	inTime int
	all    int
}

const (
	// backlogTask is the run time of a task, and backlogTick the time between two plans.
	backlogTask = time.Second
	backlogTick = 100 * time.Millisecond
	// backlogWorkers workers run backlogSlots tasks each at a time.
	backlogWorkers = 8
	backlogSlots   = 4
	// backlogTasks is the mean number of tasks of a job.
	backlogTasks = 16
)

func newBacklog(t *testing.T) *backlog {
	return &backlog{
		scene: newScene(t, backlogWorkers), random: rand.New(rand.NewPCG(3, 3)), number: make(map[string]int64),
		endsAt: make(map[jobs.Ref]time.Time), worker: make(map[jobs.Ref]string), run: make(map[jobs.Ref]int),
	}
}

// arrive hands in a job whose estimate is off by half either way.
func (b *backlog) arrive(n int) {
	tasks := backlogTasks/4 + b.random.IntN(backlogTasks/2)
	step := func(after ...int) jobs.Step {
		return jobs.Step{
			Tasks: tasks, Size: jobs.Resources{MilliCPU: 32000 / backlogSlots, MemoryMB: 1000}, After: after,
			Estimate: time.Duration((0.5 + b.random.Float64()) * float64(backlogTask)),
		}
	}
	b.p.AddJob(testJob(testID(n), b.now, step(), step(0)), b.now)
	b.all++
}

// tick lets what is due end, plans, and carries the starts out.
func (b *backlog) tick() {
	for _, id := range []string{"i-00", "i-01", "i-02", "i-03", "i-04", "i-05", "i-06", "i-07"} {
		var running []RunningAttempt
		var ended []FinishedAttempt
		for r, at := range b.endsAt {
			switch {
			case b.worker[r] != id:
			case b.now.Before(at):
				running = append(running, RunningAttempt{Ref: r, Run: b.run[r], ProgressPercent: 50})
			default:
				b.number[id]++
				ended = append(ended, FinishedAttempt{Ref: r, Number: b.number[id], Run: b.run[r], Outcome: jobs.OutcomeDone})
				delete(b.endsAt, r)
			}
		}
		b.report(id, running, ended...)
	}
	for _, o := range b.plan()[OrderStart] {
		b.p.HandleStartResult(o, ResultAccepted, b.now)
		b.endsAt[o.Ref], b.worker[o.Ref], b.run[o.Ref] = b.now.Add(backlogTask), o.Worker, o.Run
	}
	b.after(backlogTick)
}

// count counts the jobs that were completed within twice their chain of two tasks, and a second.
func (b *backlog) count(endedAt map[string]time.Time) {
	q := testQueue()
	objective := time.Duration(q.Stretch*2*float64(backlogTask)) + q.TargetLatency
	for id, at := range endedAt {
		if at.Sub(b.p.Job(id).SubmittedAt) <= objective {
			b.inTime++
		}
	}
}

// TestOverloadFinishesWhatItHasBegun offers 1.5 times what the fleet can run for half a minute.
//
// By least slack alone all jobs progress together, and most miss their objective.
func TestOverloadFinishesWhatItHasBegun(t *testing.T) {
	const (
		offered = 1.5
		// wanted is the part of what the fleet could at best finish in time.
		wanted = 0.75
		length = 30 * time.Second
	)
	b := newBacklog(t)
	capacity := float64(backlogWorkers*backlogSlots) / backlogTasks
	every := time.Duration(float64(time.Second) / (offered * capacity))
	endedAt := make(map[string]time.Time)
	next := b.now
	begun := b.now
	for b.now.Sub(begun) < length {
		for !b.now.Before(next) {
			b.arrive(b.all + 1)
			next = next.Add(every)
		}
		b.tick()
		for n := 1; n <= b.all; n++ {
			id := testID(n)
			if _, seen := endedAt[id]; !seen && b.p.Job(id).State() == jobs.StateCompleted {
				endedAt[id] = b.now
			}
		}
	}
	b.count(endedAt)
	require.GreaterOrEqual(t, float64(b.inTime), wanted*float64(b.all)/offered, "of %d jobs %d met their objective", b.all, b.inTime)
}

package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

// backlog drives a planner with jobs of two steps that are submitted faster than the workers can run them.
type backlog struct {
	*simulation
	random     *rand.Rand
	lastNumber map[string]int64
	// finishesAt holds when each running attempt finishes, by task; worker and run hold the worker ID and the number of the
	// latest attempt.
	finishesAt map[jobs.Ref]time.Time
	worker     map[jobs.Ref]string
	run        map[jobs.Ref]int
	// metObjective counts the jobs that met their latency objective.
	metObjective int
	submitted    int
}

const (
	// backlogRunTime is the run time of a task, and backlogTick the time between two plans.
	backlogRunTime = time.Second
	backlogTick    = 100 * time.Millisecond
	// backlogWorkers is the number of workers, and backlogSlots the number of tasks that each worker runs at a time.
	backlogWorkers = 8
	backlogSlots   = 4
	// backlogTasks is the approximate mean number of tasks of a job.
	backlogTasks = 16
)

func newBacklog(t *testing.T) *backlog {
	return &backlog{
		simulation: newSimulation(t, backlogWorkers), random: rand.New(rand.NewPCG(3, 3)), lastNumber: make(map[string]int64),
		finishesAt: make(map[jobs.Ref]time.Time), worker: make(map[jobs.Ref]string), run: make(map[jobs.Ref]int),
	}
}

// submit submits a job whose estimated run time is wrong by up to half in either direction.
func (b *backlog) submit(n int) {
	tasks := backlogTasks/4 + b.random.IntN(backlogTasks/2)
	step := func(after ...int) jobs.Step {
		return jobs.Step{
			Tasks: tasks, Size: jobs.Resources{MilliCPU: 32000 / backlogSlots, MemoryMB: 1000}, After: after,
			Estimate: time.Duration((0.5 + b.random.Float64()) * float64(backlogRunTime)),
		}
	}
	b.p.AddJob(testJob(testID(n), b.now, step(), step(0)), b.now)
	b.submitted++
}

// tick finishes the attempts that are due, plans, and executes the starts.
func (b *backlog) tick() {
	for _, id := range []string{"i-00", "i-01", "i-02", "i-03", "i-04", "i-05", "i-06", "i-07"} {
		var running []RunningAttempt
		var finished []FinishedAttempt
		for r, at := range b.finishesAt {
			switch {
			case b.worker[r] != id:
			case b.now.Before(at):
				running = append(running, RunningAttempt{Ref: r, Run: b.run[r], ProgressPercent: 50})
			default:
				b.lastNumber[id]++
				finished = append(finished, FinishedAttempt{Ref: r, Number: b.lastNumber[id], Run: b.run[r], Outcome: jobs.OutcomeDone})
				delete(b.finishesAt, r)
			}
		}
		b.report(id, running, finished...)
	}
	for _, o := range b.plan()[OrderStart] {
		b.p.HandleStartResult(o, ResultAccepted, b.now)
		b.finishesAt[o.Ref], b.worker[o.Ref], b.run[o.Ref] = b.now.Add(backlogRunTime), o.Worker, o.Run
	}
	b.advance(backlogTick)
}

// countMetObjective counts the jobs that completed within their objective: twice the run time of two consecutive tasks,
// plus one second.
func (b *backlog) countMetObjective(completedAt map[string]time.Time) {
	q := testQueue()
	objective := time.Duration(q.Stretch*2*float64(backlogRunTime)) + q.TargetLatency
	for id, at := range completedAt {
		if at.Sub(b.p.Job(id).SubmittedAt) <= objective {
			b.metObjective++
		}
	}
}

// The test submits 1.5 times the load that the workers can run, for half a minute.
//
// If jobs are ordered only by their slack, all jobs progress at the same rate, and most jobs miss their objective.
func TestMostJobsWithinCapacityMeetTheirObjectiveUnderOverload(t *testing.T) {
	const (
		// offered is the submitted load as a multiple of the capacity.
		offered = 1.5
		// minFraction is the number of jobs that must meet their objective, as a fraction of the jobs that the capacity allows.
		minFraction = 0.75
		duration    = 30 * time.Second
	)
	b := newBacklog(t)
	capacity := float64(backlogWorkers*backlogSlots) / backlogTasks
	interval := time.Duration(float64(time.Second) / (offered * capacity))
	completedAt := make(map[string]time.Time)
	next := b.now
	startedAt := b.now
	for b.now.Sub(startedAt) < duration {
		for !b.now.Before(next) {
			b.submit(b.submitted + 1)
			next = next.Add(interval)
		}
		b.tick()
		for n := 1; n <= b.submitted; n++ {
			id := testID(n)
			if _, seen := completedAt[id]; !seen && b.p.Job(id).State() == jobs.StateCompleted {
				completedAt[id] = b.now
			}
		}
	}
	b.countMetObjective(completedAt)
	require.GreaterOrEqual(t, float64(b.metObjective), minFraction*float64(b.submitted)/offered, "of %d jobs %d met their objective", b.submitted, b.metObjective)
}

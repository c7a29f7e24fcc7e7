package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/locality"
)

// rackReplay runs tasks on simulated workers whose racks hold four workers of 32 cores each. Outside the rack of its data, or
// on several racks, a task takes offRack times as long.
type rackReplay struct {
	*simulation
	log     *lines
	offRack float64
	running map[jobs.Ref]*replayedTask
	number  int64
	// startedAt, worker and endedAt hold what happened to each task.
	startedAt map[jobs.Ref]time.Time
	worker    map[jobs.Ref]string
	endedAt   map[jobs.Ref]time.Time
	// silent holds the workers that do not respond.
	silent map[string]bool
	// inRack counts the starts of tasks in their rack.
	inRack int
	// took returns the run time of a task in its rack, nil if it is the estimate.
	took func(jobs.Ref) time.Duration
}

type replayedTask struct {
	order Order
	until time.Time
}

const testOffRack = 2.0

// newRackReplay returns a replay with a planner that knows the given factor; tasks take testOffRack times as long elsewhere
// whether or not the planner knows it.
func newRackReplay(t *testing.T, workers int, known float64) *rackReplay {
	t.Helper()
	s, l := newLoggedSimulation(t, workers)
	s.p.OffRackFactor = locality.Factor(known)
	return &rackReplay{
		simulation: s, log: l, offRack: testOffRack, running: make(map[jobs.Ref]*replayedTask), startedAt: make(map[jobs.Ref]time.Time),
		worker: make(map[jobs.Ref]string), endedAt: make(map[jobs.Ref]time.Time), silent: make(map[string]bool),
	}
}

// isInRack reports whether a task runs in the rack of its data, and a gang in one rack.
func (r *rackReplay) isInRack(o Order) bool {
	t := r.p.Job(o.Job).Task(o.Ref)
	if t.Spec.RackSensitive {
		racks := make(map[string]bool)
		for _, x := range r.p.Job(o.Job).Tasks[o.Occurrence][o.Step] {
			racks[r.p.workers[x.Worker].Labels[1]] = true
		}
		return len(racks) == 1
	}
	return r.p.workers[o.Worker].hasLabel(t.Spec.DataRack)
}

// step lets 50 ms pass: workers report, tasks end, and the owner plans.
func (r *rackReplay) step() {
	r.Helper()
	r.advance(50 * time.Millisecond)
	running, finished := make(map[string][]RunningAttempt), make(map[string][]FinishedAttempt)
	l := slices.SortedFunc(maps.Keys(r.running), func(a, b jobs.Ref) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	for _, ref := range l {
		x := r.running[ref]
		w := x.order.Worker
		switch {
		case r.silent[w]:
		case x.until.After(r.now):
			running[w] = append(running[w], RunningAttempt{Ref: ref, Run: x.order.Run})
		default:
			r.number++
			finished[w] = append(finished[w], FinishedAttempt{Ref: ref, Number: r.number, Run: x.order.Run, Outcome: jobs.OutcomeDone})
			r.endedAt[ref] = r.now
			delete(r.running, ref)
		}
	}
	for _, w := range r.p.workerList {
		if r.silent[w.ID] {
			r.p.SyncFailed(w.ID, false, r.now)
			continue
		}
		r.report(w.ID, running[w.ID], finished[w.ID]...)
	}
	for _, o := range r.plan()[OrderStart] {
		r.start(o)
	}
}

func (r *rackReplay) start(o Order) {
	r.p.HandleStartResult(o, ResultAccepted, r.now)
	d := r.p.Job(o.Job).Task(o.Ref).Spec.Estimate
	if r.took != nil {
		d = r.took(o.Ref)
	}
	if r.isInRack(o) {
		r.inRack++
	} else {
		d = time.Duration(r.offRack * float64(d))
	}
	r.running[o.Ref] = &replayedTask{order: o, until: r.now.Add(d)}
	r.startedAt[o.Ref], r.worker[o.Ref] = r.now, o.Worker
}

func (r *rackReplay) runFor(d time.Duration) {
	r.Helper()
	for u := r.now.Add(d); r.now.Before(u); {
		r.step()
	}
}

// fill adds job 1, whose tasks fill the workers of rack-0 for the given time.
func (r *rackReplay) fill(d time.Duration) *jobs.Job {
	r.Helper()
	j := testJob(testID(1), r.now, jobs.Step{Tasks: 16, Size: jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, Estimate: d, Label: "rack-0"})
	r.p.AddJob(j, r.now)
	r.step()
	require.Equal(r, 16, j.Assigned())
	return j
}

// dataStep returns a step whose data are in rack-0.
func dataStep(n int, d time.Duration) jobs.Step {
	return jobs.Step{Tasks: n, Size: jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, Estimate: d, DataRack: "rack-0"}
}

// add adds a job of one step.
func (r *rackReplay) add(n int, s jobs.Step) *jobs.Job {
	q := testQueue()
	q.TargetLatency = 10 * time.Second
	j := jobs.New(jobs.Spec{ID: testID(n), Queue: q, Steps: []jobs.Step{s}, SubmittedAt: r.now})
	r.p.AddJob(j, r.now)
	return j
}

// lastEnd returns when the last task of a completed job ended.
func (r *rackReplay) lastEnd(j *jobs.Job) time.Time {
	r.Helper()
	require.Equal(r, jobs.StateCompleted, j.State())
	var last time.Time
	for ref, at := range r.endedAt {
		if ref.Job == j.ID {
			last = laterOf(last, at)
		}
	}
	return last
}

// Nothing waited for its rack, so that tasks took twice as long elsewhere although the rack had places soon.
func TestTaskWaitsForAPlaceInAHotRackIfThatPays(t *testing.T) {
	end := func(known float64) time.Duration {
		r := newRackReplay(t, 16, known)
		r.fill(600 * time.Millisecond)
		begin := r.now
		j := r.add(2, dataStep(8, 2*time.Second))
		r.runFor(6 * time.Second)
		if known > 1 {
			l := r.log.with(t, "RackWaitEnd")
			require.Len(t, l, 8)
			for _, x := range l {
				require.Equal(t, true, x["InRack"])
				require.Greater(t, x["Gain"], 1000.0)
			}
			c := r.p.TakeCounts()
			require.Equal(t, []int{8, 8, 0}, []int{c.RackWaits, c.RackWaitsPaid, c.RackWaitsUnpaid})
		}
		return r.lastEnd(j).Sub(begin)
	}
	require.LessOrEqual(t, end(testOffRack), 2800*time.Millisecond)
	require.GreaterOrEqual(t, end(0), 4*time.Second, "without a known factor no task waits")
}

// Many tasks that want one rack would all wait for the few places in it.
func TestTasksBeyondThePlacesOfARackStartElsewhereAtOnce(t *testing.T) {
	r := newRackReplay(t, 32, testOffRack)
	r.fill(600 * time.Millisecond)
	at := r.now
	j := r.add(2, dataStep(60, 900*time.Millisecond))
	r.step()
	waiting := 0
	for _, x := range j.Tasks[0][0] {
		if x.State == jobs.TaskWaiting {
			waiting++
		}
	}
	require.Equal(t, 16, waiting, "as many as there will be places while a wait pays")
	require.Equal(t, 44, j.Assigned())
	r.runFor(4 * time.Second)
	require.LessOrEqual(t, r.lastEnd(j).Sub(at), 2*time.Second)
}

// A place that goes to a task which can run nowhere else is none for a task that could start elsewhere now.
func TestPlacesOfTasksThatFoundNoWorkerAreNotWaitedFor(t *testing.T) {
	r := newRackReplay(t, 16, testOffRack)
	r.fill(600 * time.Millisecond)
	bound := dataStep(16, time.Second)
	bound.Label = "rack-0"
	r.add(2, bound)
	j := r.add(3, dataStep(4, 1200*time.Millisecond))
	r.step()
	require.Equal(t, 4, j.Assigned())
	require.Empty(t, r.log.with(t, "WaitForRack"))
}

// A forecast that a plan made before it started tasks in the rack would promise their places to others.
func TestStartsOfAPlanAreInItsForecasts(t *testing.T) {
	r := newRackReplay(t, 16, testOffRack)
	r.fillRack(1, "rack-0", 12, 600*time.Millisecond)
	r.step()
	large := dataStep(4, 3*time.Second)
	large.Size.MilliCPU = 16000
	r.add(2, large)
	bound := dataStep(4, 3100*time.Millisecond)
	bound.Label = "rack-0"
	started := r.add(3, bound)
	j := r.add(4, dataStep(8, 3200*time.Millisecond))
	r.step()
	require.Equal(t, 4, started.Assigned())
	require.Equal(t, 4, j.Assigned(), "one place is left on each of the four workers")
}

// A wait for a rack whose tasks run on for longer than expected must not keep a job from running.
func TestJobIsNotIdleForLongWhileItsRackStaysFull(t *testing.T) {
	r := newRackReplay(t, 16, testOffRack)
	r.took = func(x jobs.Ref) time.Duration {
		if x.Job == testID(1) {
			return time.Hour
		}
		return 10 * time.Second
	}
	r.fill(300 * time.Millisecond)
	at := r.now
	j := r.add(2, dataStep(4, 10*time.Second))
	r.step()
	require.Zero(t, j.Assigned())
	require.NotEmpty(t, r.log.with(t, "WaitForRack"))
	r.runFor(2100 * time.Millisecond)
	require.Equal(t, 4, j.Assigned())
	for _, x := range j.Tasks[0][0] {
		require.LessOrEqual(t, r.startedAt[x.Ref].Sub(at), 2*time.Second+50*time.Millisecond)
	}
	require.Equal(t, 4, r.p.TakeCounts().RackWaitsUnpaid)
}

// Capacity that a waiting task does not use is free for others, and so is the place in the rack until the task takes it.
func TestWaitingTaskKeepsNoCapacityIdle(t *testing.T) {
	r := newRackReplay(t, 8, testOffRack)
	r.fill(600 * time.Millisecond)
	j := r.add(2, dataStep(4, 2*time.Second))
	r.step()
	require.Zero(t, j.Assigned())
	other := r.add(3, jobs.Step{Tasks: 16, Size: jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, Estimate: time.Second})
	r.step()
	require.Equal(t, 16, other.Assigned())
}

func TestTaskStartsElsewhereOnceItsRackIsLost(t *testing.T) {
	r := newRackReplay(t, 16, testOffRack)
	r.fill(time.Second)
	j := r.add(2, dataStep(4, 3*time.Second))
	r.step()
	require.Zero(t, j.Assigned())
	require.NotEmpty(t, r.log.with(t, "WaitForRack"), "the tasks wait")
	for _, id := range []string{"i-00", "i-01", "i-02", "i-03"} {
		r.silent[id] = true
	}
	r.step()
	require.Equal(t, 4, j.Assigned())
	require.Equal(t, 4, r.p.TakeCounts().RackWaitsUnpaid)
	gone := dataStep(1, 3*time.Second)
	gone.DataRack = "rack-99"
	k := r.add(3, gone)
	r.step()
	require.Equal(t, 1, k.Assigned(), "a rack that does not exist")
}

// The deadline is in the owner's memory; waits under successive owners would add up.
func TestWaitsUnderSuccessiveOwnersDoNotAddUp(t *testing.T) {
	r := newRackReplay(t, 16, testOffRack)
	r.took = func(jobs.Ref) time.Duration { return time.Hour }
	filler := r.fill(300 * time.Millisecond)
	at := r.now
	j := r.add(2, dataStep(4, 10*time.Second))
	for owner := 0; j.Assigned() == 0; owner++ {
		require.Less(t, owner, 10)
		r.runFor(700 * time.Millisecond)
		if j.Assigned() > 0 {
			break
		}
		require.NotEmpty(t, r.log.with(t, "WaitForRack"), "owner %d", owner)
		r.replaceOwner(filler, j)
	}
	require.LessOrEqual(t, r.startedAt[j.Tasks[0][0][0].Ref].Sub(at), 2*time.Second+100*time.Millisecond)
}

// replaceOwner lets a new planner take over all workers and the given jobs.
func (r *rackReplay) replaceOwner(l ...*jobs.Job) {
	r.Helper()
	p := New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, OffRackFactor: r.p.OffRackFactor, Logger: zerolog.New(r.log)}, r.now)
	var w []WorkerInfo
	for _, x := range r.p.workerList {
		w = append(w, x.WorkerInfo)
	}
	r.p = p
	p.SetWorkers(w, r.now)
	for _, j := range l {
		p.AddJob(j, r.now)
	}
}

func TestMissingFactorIsLoggedOnceAndNothingWaits(t *testing.T) {
	for _, f := range []float64{0, 0.7} {
		r := newRackReplay(t, 16, f)
		r.fill(600 * time.Millisecond)
		j := r.add(2, dataStep(8, 2*time.Second))
		k := r.add(3, dataStep(8, 2*time.Second))
		r.step()
		require.Equal(t, 16, j.Assigned()+k.Assigned())
		r.add(4, dataStep(8, 2*time.Second))
		r.runFor(time.Second)
		require.Len(t, r.log.with(t, "NoWaitForRack"), 1)
	}
	r := newRackReplay(t, 16, 0)
	r.add(1, plainStep(4))
	r.step()
	require.Empty(t, r.log.with(t, "NoWaitForRack"), "no step asks for a rack")
}

// rackGang returns a gang that should be in one rack.
func rackGang(n int, d time.Duration) jobs.Step {
	return jobs.Step{Tasks: n, Size: jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, Estimate: d, Gang: true, RackSensitive: true}
}

// Label a, which all racks share, came before the racks' own labels in sorted order: a gang of 6 was split 4 and 2 although it
// fitted into one rack.
func TestRackSensitiveGangIsPlacedInOneRackIfItFits(t *testing.T) {
	r := newRackReplay(t, 8, 0)
	r.p.AddJob(testJob(testID(1), r.now, jobs.Step{Tasks: 1, Size: jobs.Resources{MilliCPU: 16000, MemoryMB: 1000}, Estimate: time.Minute, Label: "rack-1"}), r.now)
	r.p.AddJob(testJob(testID(2), r.now, jobs.Step{Tasks: 1, Size: jobs.Resources{MilliCPU: 16000, MemoryMB: 1000}, Estimate: time.Minute, Label: "rack-0"}), r.now)
	r.step()
	j := r.add(3, rackGang(6, time.Second))
	r.step()
	require.Equal(t, 6, j.Assigned())
	racks := make(map[string]int)
	for _, x := range j.Tasks[0][0] {
		racks[r.p.workers[x.Worker].Labels[1]]++
	}
	require.Len(t, racks, 1)
}

// fillRack adds a job of some tasks in a rack, which has 16 places for them.
func (r *rackReplay) fillRack(n int, rack string, tasks int, d time.Duration) {
	r.Helper()
	s := jobs.Step{Tasks: tasks, Size: jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, Estimate: d, Label: rack}
	r.p.AddJob(testJob(testID(n), r.now, s), r.now)
}

func TestGangWaitsForARackInWhichItSoonFits(t *testing.T) {
	end := func(known float64) time.Duration {
		r := newRackReplay(t, 8, known)
		r.fillRack(1, "rack-0", 12, 600*time.Millisecond)
		r.fillRack(2, "rack-1", 12, time.Minute)
		r.step()
		at := r.now
		j := r.add(3, rackGang(8, 2*time.Second))
		r.runFor(6 * time.Second)
		return r.lastEnd(j).Sub(at)
	}
	require.LessOrEqual(t, end(testOffRack), 2800*time.Millisecond)
	require.GreaterOrEqual(t, end(0), 4*time.Second)
}

func TestGangWiderThanARackDoesNotWait(t *testing.T) {
	r := newRackReplay(t, 12, testOffRack)
	r.fillRack(1, "rack-0", 16, 600*time.Millisecond)
	r.step()
	wide := r.add(2, rackGang(17, 2*time.Second))
	r.step()
	require.Equal(t, 17, wide.Assigned())
	require.Empty(t, r.log.with(t, "WaitForRack"))
}

// A step without a rack, and one whose rack has places, are placed as before.
func TestStepsThatNeedNoWaitArePlacedAtOnce(t *testing.T) {
	r := newRackReplay(t, 16, testOffRack)
	r.fill(600 * time.Millisecond)
	j := r.add(2, plainStep(5))
	other := dataStep(4, time.Second)
	other.DataRack = "rack-2"
	k := r.add(3, other)
	r.step()
	require.Equal(t, 5, j.Assigned())
	require.Equal(t, 4, k.Assigned())
	for _, x := range k.Tasks[0][0] {
		require.True(t, r.p.workers[x.Worker].hasLabel("rack-2"))
	}
	require.Empty(t, r.log.with(t, "WaitForRack"))
	require.Empty(t, r.p.racks.forecasts, "no forecast is made if no step asks for it")
}

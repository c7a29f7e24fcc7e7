package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// testTailBound is the latency bound of all services in tests, and simulatedIdleTail the tail latency of an idle service
	// in a colocationSimulation, in milliseconds.
	testTailBound     = 45 * time.Millisecond
	simulatedIdleTail = 10.0
	// simulationStep is the time between two reports of a worker in a colocationSimulation.
	simulationStep = 450 * time.Millisecond
	// heavyInterference is the simulated interference of a best-effort image with a service image whose name ends in the same
	// character, and lightInterference that of any other pair.
	heavyInterference = 6.0
	lightInterference = 0.1
)

// colocationSimulation drives a planner with synthetic load that resembles the load on the users' instances: services whose
// load fluctuates, and best-effort images that interfere strongly with some of the services only.
type colocationSimulation struct {
	*simulation
	random *rand.Rand
	// loadPhase holds the phase of the fluctuating load of each service job, in radians, by job ID.
	loadPhase map[string]float64
	// lastNumber holds the sequence number of the latest finished attempt, by worker ID.
	lastNumber map[string]int64
	// serviceSteps counts the simulation steps of all service tasks, overBoundSteps those in which a service task was over its
	// latency bound, and finishedTasks the finished best-effort tasks.
	overBoundSteps int
	serviceSteps   int
	finishedTasks  int
	// speedPercent holds the speed limit of each best-effort task, and workSeconds the work that the task has done, in seconds
	// at full speed.
	speedPercent map[jobs.Ref]int
	workSeconds  map[jobs.Ref]float64
}

func newColocationSimulation(t *testing.T, workers int) *colocationSimulation {
	t.Helper()
	s := &simulation{T: t, now: time.Unix(1_700_000_000, 0)}
	s.p = New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, Logger: zerolog.Nop()}, s.now)
	s.setWorkers(workers)
	return &colocationSimulation{
		simulation: s, random: rand.New(rand.NewPCG(7, 7)), loadPhase: make(map[string]float64), lastNumber: make(map[string]int64),
		speedPercent: make(map[jobs.Ref]int), workSeconds: make(map[jobs.Ref]float64),
	}
}

// trueInterference returns the simulated interference of a best-effort image with a service image.
func trueInterference(service, image string) float64 {
	if service[len(service)-1] == image[len(image)-1] {
		return heavyInterference
	}
	return lightInterference
}

func (c *colocationSimulation) addService(n int, image string) {
	id := testID(1000 + n)
	c.loadPhase[id] = c.random.Float64() * 2 * math.Pi
	q := testQueue()
	q.Name = "services"
	c.p.AddJob(jobs.New(jobs.Spec{ID: id, Queue: q, SubmittedAt: c.now, Steps: []jobs.Step{{
		Tasks: 4, Size: jobs.Resources{MilliCPU: 6000, MemoryMB: 8000}, LongRunning: true, Image: image, TailBound: testTailBound,
	}}}), c.now)
}

func (c *colocationSimulation) addBatch(n int, image string) {
	q := testQueue()
	q.Name, q.Priority, q.TargetLatency = "batch", 2, 10*time.Second
	c.p.AddJob(jobs.New(jobs.Spec{ID: testID(n), Queue: q, SubmittedAt: c.now, Steps: []jobs.Step{{
		Tasks: 10, Size: jobs.Resources{MilliCPU: 3500, MemoryMB: 4000}, BestEffort: true, Image: image, Estimate: 2 * time.Second, Checkpoints: true,
	}}}), c.now)
}

// executeOrders plans and lets the workers execute the orders to start, throttle and stop tasks.
func (c *colocationSimulation) executeOrders() {
	x := c.plan()
	for _, o := range x[OrderStart] {
		c.p.HandleStartResult(o, ResultAccepted, c.now)
		c.speedPercent[o.Ref] = fullSpeed
	}
	for _, o := range x[OrderThrottle] {
		c.speedPercent[o.Ref] = o.SpeedPercent
	}
	for _, o := range x[OrderStop] {
		c.p.HandleStopResult(o, ResultAccepted, c.now)
		c.finishAttempt(o.Worker, o.Ref, o.Run, jobs.OutcomeStopped)
	}
}

func (c *colocationSimulation) finishAttempt(worker string, ref jobs.Ref, run int, outcome jobs.AttemptOutcome) {
	c.lastNumber[worker]++
	c.report(worker, c.runningAttempts(worker, ref), FinishedAttempt{Ref: ref, Number: c.lastNumber[worker], Run: run, Outcome: outcome})
}

// runningAttempts returns the running attempts that a worker reports, except that of the given task.
func (c *colocationSimulation) runningAttempts(id string, without jobs.Ref) []RunningAttempt {
	w := c.p.workers[id]
	var l []RunningAttempt
	for _, a := range w.attemptList {
		ref := a.task.Ref
		if ref == without || a.phase != phaseRunning {
			continue
		}
		l = append(l, RunningAttempt{Ref: ref, Run: a.run, ProgressPercent: 50, Sample: c.sample(w, a)})
	}
	return l
}

// sample returns the simulated sample of an attempt: the CPU use of a best-effort task in thousandths of a core, or the tail
// latency of a service in milliseconds.
func (c *colocationSimulation) sample(w *worker, a *attempt) float64 {
	if a.task.Spec.BestEffort {
		return float64(a.task.Spec.Size.MilliCPU*c.speedPercent[a.task.Ref]) / fullSpeed
	}
	t := c.now.Sub(c.p.takeoverAt).Seconds()
	z := 0.42 * (1 + 0.5*math.Sin(2*math.Pi*t/10+c.loadPhase[a.task.Job]))
	s := 1.0
	for _, b := range w.attemptList {
		if b.task.Spec.BestEffort && b.phase == phaseRunning {
			s += trueInterference(a.task.Spec.Image, b.task.Spec.Image) * c.sample(w, b) / float64(w.Capacity.MilliCPU)
		}
	}
	return math.Round(simulatedIdleTail / max(1-z*s, 0.02))
}

// step advances the time by simulationStep, finishes the best-effort tasks that have done their work, lets every worker
// report, plans, and executes the orders.
func (c *colocationSimulation) step() {
	c.advance(simulationStep)
	for _, w := range c.p.workerList {
		id := w.ID
		for _, a := range slices.Clone(w.attemptList) {
			ref := a.task.Ref
			if a.phase != phaseRunning {
				continue
			}
			if a.task.Spec.LongRunning {
				c.serviceSteps++
				if c.sample(w, a) > float64(testTailBound/time.Millisecond) {
					c.overBoundSteps++
				}
				continue
			}
			c.workSeconds[ref] += simulationStep.Seconds() * float64(c.speedPercent[ref]) / fullSpeed
			if c.workSeconds[ref] >= 2 {
				c.finishedTasks++
				c.finishAttempt(id, ref, a.run, jobs.OutcomeDone)
			}
		}
		c.report(id, c.runningAttempts(id, jobs.Ref{}))
	}
	c.executeOrders()
}

const (
	// maxOverBoundFraction is the fraction of the time that services may be over their latency bounds. More than
	// minFinishedTasks of the 600 batch tasks have to finish.
	maxOverBoundFraction = 0.03
	minFinishedTasks     = 540
)

// runMixedFleet simulates services of three images and batch tasks of four images. Each of the first three batch images
// interferes strongly with one service image, and the fourth only lightly with every service image.
func runMixedFleet(t *testing.T) *colocationSimulation {
	t.Helper()
	r := newColocationSimulation(t, 12)
	for n := range 13 {
		r.addService(n, fmt.Sprintf("service-%d", n%3))
	}
	r.executeOrders()
	n := 0
	for k := range 120 {
		if k%2 == 0 {
			n++
			r.addBatch(n, fmt.Sprintf("batch-%d", n%4))
		}
		r.step()
	}
	return r
}

// Batch tasks that are placed and run without regard to interference keep services over their bounds for most of the time.
func TestServicesMostlyMeetBoundsWhileMostBatchTasksFinish(t *testing.T) {
	r := runMixedFleet(t)
	require.Less(t, float64(r.overBoundSteps)/float64(r.serviceSteps), maxOverBoundFraction, "fraction of the time over the bound")
	require.Greater(t, r.finishedTasks, minFinishedTasks, "finished batch tasks")
}

// With a model that is reset before it learns, at least one of the targets must be missed under the same load. Otherwise the
// simulation would not test the model.
func TestTargetsAreMissedWithoutLearnedInterference(t *testing.T) {
	r := newColocationSimulation(t, 12)
	for n := range 13 {
		r.addService(n, fmt.Sprintf("service-%d", n%3))
	}
	r.executeOrders()
	for n := range 60 {
		r.addBatch(n+1, fmt.Sprintf("batch-%d", n%4))
		r.p.interference = newInterferenceModel()
		r.step()
		r.p.interference = newInterferenceModel()
		r.step()
	}
	require.False(t, float64(r.overBoundSteps)/float64(r.serviceSteps) < maxOverBoundFraction && r.finishedTasks > minFinishedTasks, "over the bound %d of %d steps, finished %d tasks", r.overBoundSteps, r.serviceSteps, r.finishedTasks)
}

func TestInterferenceIsLearnedPerImagePair(t *testing.T) {
	r := runMixedFleet(t)
	for i := range 3 {
		s := r.p.interference.sensitivityOf(fmt.Sprintf("service-%d", i))
		heavy := s.pair(fmt.Sprintf("batch-%d", i))
		light := s.pair(fmt.Sprintf("batch-%d", (i+1)%3))
		require.Greater(t, heavy.Mean, minInterference, "service %d", i)
		require.Less(t, light.Mean, heavy.Mean/2, "service %d", i)
	}
}

func TestSnapshotRestoresInterference(t *testing.T) {
	r := runMixedFleet(t)
	b, err := r.p.PrepareSnapshot(r.now)
	require.NoError(t, err)
	p := New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, Logger: zerolog.Nop()}, r.now)
	require.NoError(t, p.RestoreSnapshot(b))
	for i, s := range r.p.interference.sensitivities {
		for f, e := range s.pairs {
			require.InDelta(t, e.Mean, p.interference.sensitivityOf(i).pair(f).Mean, 1e-9)
		}
	}
	require.Error(t, p.RestoreSnapshot([]byte("\xc1 no record")))
}

// A service may be over its bound although the model predicts no interference from a co-located best-effort image. Tasks of
// this image must be paused nevertheless.
func TestServiceOverItsBoundPausesACoLocatedTask(t *testing.T) {
	s := newSimulation(t, 1)
	service := jobs.Step{Tasks: 1, Size: jobs.Resources{MilliCPU: 6000, MemoryMB: 1000}, LongRunning: true, Image: "service", TailBound: testTailBound}
	s.p.AddJob(testJob(testID(1), s.now, service), s.now)
	s.p.AddJob(testJob(testID(2), s.now, jobs.Step{Tasks: 1, Size: jobs.Resources{MilliCPU: 2000, MemoryMB: 100}, BestEffort: true, Image: "batch", Estimate: time.Minute}), s.now)
	s.p.interference.sensitivityOf("service").pairs["batch"] = &estimate{0, minVariance}
	var l []RunningAttempt
	for _, o := range s.plan()[OrderStart] {
		s.p.HandleStartResult(o, ResultAccepted, s.now)
		l = append(l, RunningAttempt{Ref: o.Ref, Run: o.Run, Sample: 100})
	}
	require.Len(t, l, 2)
	percent := fullSpeed
	for range 8 {
		s.advance(300 * time.Millisecond)
		s.report("i-00", l)
		for _, o := range s.plan()[OrderThrottle] {
			percent = o.SpeedPercent
		}
	}
	require.Zero(t, percent)
}

// Without the reserve, long-running tasks fill all workers, and run-to-completion tasks wait for seconds.
func TestReserveKeepsCapacityForRunToCompletionTasks(t *testing.T) {
	s := newSimulation(t, 4)
	service := jobs.Step{Tasks: 40, Size: jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, LongRunning: true, Image: "service", TailBound: testTailBound}
	s.p.AddJob(testJob(testID(1), s.now, service), s.now)
	for _, o := range s.plan()[OrderStart] {
		s.p.HandleStartResult(o, ResultAccepted, s.now)
	}
	s.p.AddJob(testJob(testID(2), s.now, plainStep(4)), s.now)
	require.Len(t, s.plan()[OrderStart], 4)
}

// The reserve was a fraction of each worker, in which a task of 18 cores never fitted: the largest jobs of a kind were served half
// as often as the others.
func TestLargeRunToCompletionTaskFitsBesideServices(t *testing.T) {
	s := newSimulation(t, 10)
	service := jobs.Step{Tasks: 46, Size: jobs.Resources{MilliCPU: 6000, MemoryMB: 1000}, LongRunning: true, Image: "service", TailBound: testTailBound}
	s.p.AddJob(testJob(testID(1), s.now, service), s.now)
	l := s.plan()[OrderStart]
	require.Len(t, l, 46, "services use 86 % of the fleet")
	for _, o := range l {
		s.p.HandleStartResult(o, ResultAccepted, s.now)
	}
	large := plainStep(1)
	large.Size.MilliCPU = 18000
	s.p.AddJob(testJob(testID(2), s.now, large), s.now)
	require.Len(t, s.plan()[OrderStart], 1)
}

// A long-running task must not wait longer than reserveWaitDuration while two tasks of the same size fit.
func TestLongRunningTaskUsesTheReserveAfterWaiting(t *testing.T) {
	s := newSimulation(t, 2)
	service := jobs.Step{Tasks: 60, Size: jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, LongRunning: true, Image: "service", TailBound: testTailBound}
	s.p.AddJob(testJob(testID(1), s.now, service), s.now)
	require.Len(t, s.plan()[OrderStart], 58, "all but the reserve of 8 % of 64 cores is used")
	s.advance(reserveWaitDuration)
	s.report("i-00", nil)
	s.report("i-01", nil)
	require.NotEmpty(t, s.plan()[OrderStart])
}

// A new owner does not know the speed limits of tasks that an earlier owner started. It must send speed limits again, or
// paused tasks stay paused.
func TestSpeedOfARestoredTaskIsSetAgain(t *testing.T) {
	s := newSimulation(t, 1)
	j := testJob(testID(1), s.now, jobs.Step{Tasks: 1, Size: jobs.Resources{MilliCPU: 2000, MemoryMB: 100}, BestEffort: true, Image: "batch"})
	require.True(t, j.Assign(j.Tasks[0][0][0], "i-00", testIncarnation, s.now))
	s.p = New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, Logger: zerolog.Nop()}, s.now)
	s.p.SetWorkers([]WorkerInfo{testWorker(0)}, s.now)
	s.p.AddJob(j, s.now)
	s.advance(time.Second)
	s.report("i-00", []RunningAttempt{{Ref: j.Tasks[0][0][0].Ref, Run: 1}})
	l := s.plan()[OrderThrottle]
	require.Len(t, l, 1)
	require.Equal(t, fullSpeed, l[0].SpeedPercent)
}

// Tasks that are nearly done or keep no checkpoints are relocated after a longer time than other tasks, but must not stay
// paused on their worker.
func TestPausedTaskIsEventuallyRelocated(t *testing.T) {
	for name, c := range map[string]struct {
		checkpoints bool
		percent     int
	}{"nearly done": {true, 95}, "without checkpoints": {false, 50}, "started": {true, 30}} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 2)
			s.p.AddJob(testJob(testID(2), s.now, jobs.Step{
				Tasks: 1, Size: jobs.Resources{MilliCPU: 2000, MemoryMB: 100}, BestEffort: true, Image: "batch", Checkpoints: c.checkpoints,
			}), s.now)
			o := s.plan()[OrderStart][0]
			s.p.HandleStartResult(o, ResultAccepted, s.now)
			a := s.p.workers[o.Worker].attempts[o.Ref]
			a.speedPercent, a.progressPercent, a.throttledSince = 0, c.percent, s.now
			moved := false
			for range 14 {
				s.advance(400 * time.Millisecond)
				s.report("i-00", reportedBy(a, "i-00", o))
				s.report("i-01", reportedBy(a, "i-01", o))
				s.p.relocateThrottled(s.now)
				moved = moved || a.stopping
			}
			require.True(t, moved)
		})
	}
}

// reportedBy returns the running attempts that a worker reports: the attempt a if the start order o was for the worker with
// the given ID, and none otherwise.
func reportedBy(a *attempt, id string, o Order) []RunningAttempt {
	if o.Worker != id {
		return nil
	}
	return []RunningAttempt{{Ref: o.Ref, Run: o.Run, ProgressPercent: a.progressPercent}}
}

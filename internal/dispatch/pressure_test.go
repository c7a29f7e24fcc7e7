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
	// replayBound is the bound of all services of the replay, and replayIdle the tail of an idle one.
	replayBound = 45 * time.Millisecond
	replayIdle  = 10.0
	// replayStep is the time between two reports of a worker.
	replayStep = 450 * time.Millisecond
	// heavyPressure and lightPressure are the true pressures of the replay.
	heavyPressure = 6.0
	lightPressure = 0.1
)

// replay drives a planner with the load that was met on the users' instances: services whose load swings, and
// best-effort images of which each presses on some services only.
type replay struct {
	*scene
	random *rand.Rand
	swing  map[string]float64
	number map[string]int64
	// over and total count the time of long-running tasks, in steps; done counts best-effort tasks.
	over  int
	total int
	done  int
	paced map[jobs.Ref]int
	work  map[jobs.Ref]float64
}

func newReplay(t *testing.T, workers int) *replay {
	t.Helper()
	s := &scene{T: t, now: time.Unix(1_700_000_000, 0)}
	s.p = New(Config{Lease: testLease, StoreLossGrace: testDetached, Logger: zerolog.Nop()}, s.now)
	s.list(workers)
	return &replay{
		scene: s, random: rand.New(rand.NewPCG(7, 7)), swing: make(map[string]float64), number: make(map[string]int64),
		paced: make(map[jobs.Ref]int), work: make(map[jobs.Ref]float64),
	}
}

// presses returns the true pressure of a best-effort image on a service.
func presses(service, image string) float64 {
	if service[len(service)-1] == image[len(image)-1] {
		return heavyPressure
	}
	return lightPressure
}

func (r *replay) service(n int, image string) {
	id := testID(1000 + n)
	r.swing[id] = r.random.Float64() * 2 * math.Pi
	q := testQueue()
	q.Name = "services"
	r.p.AddJob(jobs.New(jobs.Spec{ID: id, Queue: q, SubmittedAt: r.now, Steps: []jobs.Step{{
		Tasks: 4, Size: jobs.Resources{MilliCPU: 6000, MemoryMB: 8000}, LongRunning: true, Image: image, TailBound: replayBound,
	}}}), r.now)
}

func (r *replay) batch(n int, image string) {
	q := testQueue()
	q.Name, q.Priority, q.TargetLatency = "batch", 2, 10*time.Second
	r.p.AddJob(jobs.New(jobs.Spec{ID: testID(n), Queue: q, SubmittedAt: r.now, Steps: []jobs.Step{{
		Tasks: 10, Size: jobs.Resources{MilliCPU: 3500, MemoryMB: 4000}, BestEffort: true, Image: image, Estimate: 2 * time.Second, Checkpoints: true,
	}}}), r.now)
}

// carry lets the workers do what they were told.
func (r *replay) carry() {
	x := r.plan()
	for _, o := range x[OrderStart] {
		r.p.HandleStartResult(o, ResultAccepted, r.now)
		r.paced[o.Ref] = fullPace
	}
	for _, o := range x[OrderThrottle] {
		r.paced[o.Ref] = o.SpeedPercent
	}
	for _, o := range x[OrderStop] {
		r.p.HandleStopResult(o, ResultAccepted, r.now)
		r.end(o.Worker, o.Ref, o.Run, jobs.OutcomeStopped)
	}
}

func (r *replay) end(worker string, ref jobs.Ref, run int, how jobs.AttemptOutcome) {
	r.number[worker]++
	r.report(worker, r.figures(worker, ref), FinishedAttempt{Ref: ref, Number: r.number[worker], Run: run, Outcome: how})
}

// figures returns what a worker reports, without one task that has ended.
func (r *replay) figures(id string, without jobs.Ref) []RunningAttempt {
	w := r.p.workers[id]
	var l []RunningAttempt
	for _, a := range w.list {
		ref := a.task.Ref
		if ref == without || a.phase != phaseRunning {
			continue
		}
		l = append(l, RunningAttempt{Ref: ref, Run: a.run, ProgressPercent: 50, Sample: r.load(w, a)})
	}
	return l
}

// load returns the true figure of a task.
func (r *replay) load(w *worker, a *attempt) float64 {
	if a.task.Spec.BestEffort {
		return float64(a.task.Spec.Size.MilliCPU*r.paced[a.task.Ref]) / fullPace
	}
	t := r.now.Sub(r.p.takenAt).Seconds()
	z := 0.42 * (1 + 0.5*math.Sin(2*math.Pi*t/10+r.swing[a.task.Job]))
	s := 1.0
	for _, b := range w.list {
		if b.task.Spec.BestEffort && b.phase == phaseRunning {
			s += presses(a.task.Spec.Image, b.task.Spec.Image) * r.load(w, b) / float64(w.Capacity.MilliCPU)
		}
	}
	return math.Round(replayIdle / max(1-z*s, 0.02))
}

// step lets time pass, tasks end, and every worker report.
func (r *replay) step() {
	r.after(replayStep)
	for _, w := range r.p.list {
		id := w.ID
		for _, a := range slices.Clone(w.list) {
			ref := a.task.Ref
			if a.phase != phaseRunning {
				continue
			}
			if a.task.Spec.LongRunning {
				r.total++
				if r.load(w, a) > float64(replayBound/time.Millisecond) {
					r.over++
				}
				continue
			}
			r.work[ref] += replayStep.Seconds() * float64(r.paced[ref]) / fullPace
			if r.work[ref] >= 2 {
				r.done++
				r.end(id, ref, a.run, jobs.OutcomeDone)
			}
		}
		r.report(id, r.figures(id, jobs.Ref{}))
	}
	r.carry()
}

const (
	// mostOver is the part of the time that services may be over their bounds, and leastDone the batch tasks of 600
	// that have to be done.
	mostOver  = 0.03
	leastDone = 540
)

// mixedFleet plays services of three images and batch work of four, one of which presses on none.
func mixedFleet(t *testing.T) *replay {
	t.Helper()
	r := newReplay(t, 12)
	for n := range 13 {
		r.service(n, fmt.Sprintf("service-%d", n%3))
	}
	r.carry()
	n := 0
	for k := range 120 {
		if k%2 == 0 {
			n++
			r.batch(n, fmt.Sprintf("batch-%d", n%4))
		}
		r.step()
	}
	return r
}

// Batch work that fills a fleet of services, placed blindly, held the services over their bounds for most of the time.
func TestBatchAndServicesAreBothServed(t *testing.T) {
	r := mixedFleet(t)
	require.Less(t, float64(r.over)/float64(r.total), mostOver, "part of the time over the bound")
	require.Greater(t, r.done, leastDone, "batch tasks done")
}

// The same load with a model that never learns shows that the replay needs the mechanism.
func TestReplayNeedsTheLearnedPressures(t *testing.T) {
	r := newReplay(t, 12)
	for n := range 13 {
		r.service(n, fmt.Sprintf("service-%d", n%3))
	}
	r.carry()
	for n := range 60 {
		r.batch(n+1, fmt.Sprintf("batch-%d", n%4))
		r.p.pressure = newPressure()
		r.step()
		r.p.pressure = newPressure()
		r.step()
	}
	require.False(t, float64(r.over)/float64(r.total) < mostOver && r.done > leastDone, "over %d of %d, done %d", r.over, r.total, r.done)
}

func TestPressuresAreLearnedByPair(t *testing.T) {
	r := mixedFleet(t)
	for i := range 3 {
		s := r.p.pressure.of(fmt.Sprintf("service-%d", i))
		heavy := s.pair(fmt.Sprintf("batch-%d", i))
		light := s.pair(fmt.Sprintf("batch-%d", (i+1)%3))
		require.Greater(t, heavy.Mean, leastPressure, "service %d", i)
		require.Less(t, light.Mean, heavy.Mean/2, "service %d", i)
	}
}

func TestWhatWasLearnedOutlivesTheOwner(t *testing.T) {
	r := mixedFleet(t)
	b, err := r.p.EncodeSnapshot(r.now)
	require.NoError(t, err)
	p := New(Config{Lease: testLease, StoreLossGrace: testDetached, Logger: zerolog.Nop()}, r.now)
	require.NoError(t, p.RestoreSnapshot(b))
	for i, s := range r.p.pressure.images {
		for f, e := range s.pairs {
			require.InDelta(t, e.Mean, p.pressure.of(i).pair(f).Mean, 1e-9)
		}
	}
	require.Error(t, p.RestoreSnapshot([]byte("\xc1 no record")))
}

// A service that is over its bound beside images that are not known to press must not stay there.
func TestServiceOverItsBoundStopsAllBesideIt(t *testing.T) {
	s := newScene(t, 1)
	service := jobs.Step{Tasks: 1, Size: jobs.Resources{MilliCPU: 6000, MemoryMB: 1000}, LongRunning: true, Image: "service", TailBound: replayBound}
	s.p.AddJob(testJob(testID(1), s.now, service), s.now)
	s.p.AddJob(testJob(testID(2), s.now, jobs.Step{Tasks: 1, Size: jobs.Resources{MilliCPU: 2000, MemoryMB: 100}, BestEffort: true, Image: "batch", Estimate: time.Minute}), s.now)
	s.p.pressure.of("service").pairs["batch"] = &estimate{0, leastVariance}
	var l []RunningAttempt
	for _, o := range s.plan()[OrderStart] {
		s.p.HandleStartResult(o, ResultAccepted, s.now)
		l = append(l, RunningAttempt{Ref: o.Ref, Run: o.Run, Sample: 100})
	}
	require.Len(t, l, 2)
	pace := fullPace
	for range 8 {
		s.after(300 * time.Millisecond)
		s.report("i-00", l)
		for _, o := range s.plan()[OrderThrottle] {
			pace = o.SpeedPercent
		}
	}
	require.Zero(t, pace)
}

// Long-running tasks that fill a fleet left short work waiting for seconds.
func TestShortWorkFindsRoomBesideLongRunningWork(t *testing.T) {
	s := newScene(t, 4)
	service := jobs.Step{Tasks: 40, Size: jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, LongRunning: true, Image: "service", TailBound: replayBound}
	s.p.AddJob(testJob(testID(1), s.now, service), s.now)
	for _, o := range s.plan()[OrderStart] {
		s.p.HandleStartResult(o, ResultAccepted, s.now)
	}
	s.p.AddJob(testJob(testID(2), s.now, plainStep(4)), s.now)
	require.Len(t, s.plan()[OrderStart], 4)
}

// A long-running task may not wait for longer beside room for two of its size.
func TestLongRunningTaskTakesFromTheReserveInTheEnd(t *testing.T) {
	s := newScene(t, 2)
	service := jobs.Step{Tasks: 2, Size: jobs.Resources{MilliCPU: 31000, MemoryMB: 1000}, LongRunning: true, Image: "service", TailBound: replayBound}
	s.p.AddJob(testJob(testID(1), s.now, service), s.now)
	require.Empty(t, s.plan()[OrderStart])
	s.after(reserveWait)
	s.report("i-00", nil)
	s.report("i-01", nil)
	require.NotEmpty(t, s.plan()[OrderStart])
}

// A new owner took the paces of tasks that it found for full ones, and left them standing still.
func TestPaceOfAnInheritedTaskIsSetAnew(t *testing.T) {
	s := newScene(t, 1)
	j := testJob(testID(1), s.now, jobs.Step{Tasks: 1, Size: jobs.Resources{MilliCPU: 2000, MemoryMB: 100}, BestEffort: true, Image: "batch"})
	require.True(t, j.Assign(j.Tasks[0][0][0], "i-00", testLife, s.now))
	s.p = New(Config{Lease: testLease, StoreLossGrace: testDetached, Logger: zerolog.Nop()}, s.now)
	s.p.SetWorkers([]WorkerInfo{member(0)}, s.now)
	s.p.AddJob(j, s.now)
	s.after(time.Second)
	s.report("i-00", []RunningAttempt{{Ref: j.Tasks[0][0][0].Ref, Run: 1}})
	l := s.plan()[OrderThrottle]
	require.Len(t, l, 1)
	require.Equal(t, fullPace, l[0].SpeedPercent)
}

// Tasks that were nearly done, or keep no checkpoints, stood still beside a service until the end of the day.
func TestTaskThatStandsStillIsMovedInTheEnd(t *testing.T) {
	for name, c := range map[string]struct {
		checkpoints bool
		percent     int
	}{"nearly done": {true, 95}, "without checkpoints": {false, 50}, "begun": {true, 30}} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, 2)
			s.p.AddJob(testJob(testID(2), s.now, jobs.Step{
				Tasks: 1, Size: jobs.Resources{MilliCPU: 2000, MemoryMB: 100}, BestEffort: true, Image: "batch", Checkpoints: c.checkpoints,
			}), s.now)
			o := s.plan()[OrderStart][0]
			s.p.HandleStartResult(o, ResultAccepted, s.now)
			a := s.p.workers[o.Worker].attempts[o.Ref]
			a.pace, a.percent, a.slowSince = 0, c.percent, s.now
			moved := false
			for range 14 {
				s.after(400 * time.Millisecond)
				s.report("i-00", held(a, "i-00", o))
				s.report("i-01", held(a, "i-01", o))
				s.p.relocate(s.now)
				moved = moved || a.stopping
			}
			require.True(t, moved)
		})
	}
}

func held(a *attempt, id string, o Order) []RunningAttempt {
	if o.Worker != id {
		return nil
	}
	return []RunningAttempt{{Ref: o.Ref, Run: o.Run, ProgressPercent: a.percent}}
}

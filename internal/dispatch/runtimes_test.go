package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

// runTasks runs n jobs of one task one after another, each of which takes the given time and begins at a checkpoint if there is one.
func (s *simulation) runTasks(first, n int, step jobs.Step, took time.Duration, checkpoint string) {
	s.Helper()
	for i := range n {
		j := testJob(testID(first+i), s.now, step)
		j.Tasks[0][0][0].Checkpoint = checkpoint
		s.p.AddJob(j, s.now)
		o := s.plan()[OrderStart][0]
		s.p.HandleStartResult(o, ResultAccepted, s.now)
		s.advance(took)
		s.report(o.Worker, nil, FinishedAttempt{Ref: o.Ref, Number: int64(first + i), Run: o.Run, Outcome: jobs.OutcomeDone})
	}
}

func (s *simulation) typical(step jobs.Step) time.Duration {
	return s.p.typicalRunTime(testJob(testID(9999), s.now, step), 0, 0)
}

// An attempt that resumed from a checkpoint counted as a whole run, so that the estimates of its queue became too short.
func TestResumedAttemptIsNoSampleOfRunTimes(t *testing.T) {
	s := newSimulation(t, 1)
	step := plainStep(1)
	step.Estimate, step.Checkpoints = 10*time.Second, true
	s.runTasks(1, 20, step, time.Second, "90%")
	require.Zero(t, s.p.runTimes.Samples("queue"))
	require.Equal(t, 10*time.Second, s.typical(step))
	s.runTasks(100, 20, step, 2*time.Second, "")
	require.Equal(t, 20, s.p.runTimes.Samples("queue"))
	require.InDelta(t, 2, s.typical(step).Seconds(), 0.05)
}

// An attempt that an earlier owner started has run for longer than its new owner saw.
func TestInheritedAttemptIsNoSampleOfRunTimes(t *testing.T) {
	s := newSimulation(t, 1)
	j := testJob(testID(1), s.now, plainStep(1))
	require.True(t, j.Assign(j.Tasks[0][0][0], "i-00", testIncarnation, s.now))
	s.p = New(Config{Lease: testLease, StoreLossGrace: testStoreLossGrace, Logger: zerolog.Nop()}, s.now)
	s.p.AddJob(j, s.now)
	ref := j.Tasks[0][0][0].Ref
	s.report("i-00", []RunningAttempt{{Ref: ref, Run: 1}})
	s.advance(100 * time.Millisecond)
	s.report("i-00", nil, FinishedAttempt{Ref: ref, Number: 1, Run: 1, Outcome: jobs.OutcomeDone})
	require.Equal(t, jobs.StateCompleted, j.State())
	require.Zero(t, s.p.runTimes.Samples("queue"))
	require.Empty(t, s.p.progressRates)
}

func TestMeasuredRateTakesPrecedenceOverTheQueue(t *testing.T) {
	s := newSimulation(t, 1)
	j := testJob(testID(1), s.now, plainStep(2), plainStep(1))
	s.p.AddJob(j, s.now)
	s.p.progressRates[StepRef{Job: j.ID}] = &progressRate{percent: 500, seconds: 23}
	require.Equal(t, 4*time.Second, s.p.typicalRunTime(j, 0, 0), "five tasks of 4.6 s and one of the queue's second")
	require.Equal(t, time.Second, s.p.typicalRunTime(j, 0, 1), "the other step has not progressed")
	u := s.p.urgency(j, 0, s.now)
	require.Equal(t, s.p.runTimesOf(j, 0)(&j.Steps[0]), 4*time.Second)
	require.Equal(t, 5*time.Second, u.slack, "twice the path of 4 s and 1 s, less the path")
}

// The first percent of a step's progress is a whole percent or none, and would make its tasks seem to last for ever.
func TestFirstProgressOfAStepTellsLittle(t *testing.T) {
	s := newSimulation(t, 1)
	j := testJob(testID(1), s.now, plainStep(2))
	s.p.progressRates[StepRef{Job: j.ID}] = &progressRate{percent: 1, seconds: 1.3}
	require.InDelta(t, 2.3, s.p.typicalRunTime(j, 0, 0).Seconds(), 0.1)
}

// Progress that jumps must not make a job's remaining work vanish or last for ever.
func TestMeasuredRunTimeIsBounded(t *testing.T) {
	s := newSimulation(t, 1)
	j := testJob(testID(1), s.now, plainStep(1), jobs.Step{Tasks: 1})
	for _, x := range []struct {
		rate progressRate
		want time.Duration
	}{
		{progressRate{percent: 1e6, seconds: 2}, time.Second / maxMeasuredFactor},
		{progressRate{percent: 1e-9, seconds: 1e9}, time.Second * maxMeasuredFactor},
		{progressRate{percent: 0, seconds: 1e9}, time.Second},
		{progressRate{percent: math.NaN(), seconds: 2}, time.Second},
	} {
		s.p.progressRates[StepRef{Job: j.ID}] = &x.rate
		require.Equal(t, x.want, s.p.typicalRunTime(j, 0, 0))
	}
	s.p.progressRates[StepRef{Job: j.ID, Step: 1}] = &progressRate{percent: 1e-300, seconds: 1e300}
	require.Positive(t, s.p.typicalRunTime(j, 0, 1))
}

// A task that had exceeded its estimate was expected to end within 500 ms at any time, so that reservations counted on it.
func TestExpectedEndOfALongTask(t *testing.T) {
	s := newSimulation(t, 1)
	for i := range 99 {
		d := time.Second
		if i%33 == 0 {
			d = 7 * time.Second
		}
		s.runTasks(1+i, 1, plainStep(1), d, "")
	}
	s.p.AddJob(testJob(testID(500), s.now, plainStep(1)), s.now)
	o := s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultAccepted, s.now)
	a := s.p.workers["i-00"].attempts[o.Ref]
	require.InDelta(t, 1.18, s.p.expectedEnd(a, s.now).Sub(s.now).Seconds(), 0.1)
	s.advance(2 * time.Second)
	require.InDelta(t, 5, s.p.expectedEnd(a, s.now).Sub(s.now).Seconds(), 0.1)
}

// The own progress of an attempt tells more of its end than the run times of others do.
func TestExpectedEndFollowsTheProgressOfTheAttempt(t *testing.T) {
	s := newSimulation(t, 1)
	s.p.AddJob(testJob(testID(1), s.now, plainStep(1)), s.now)
	o := s.plan()[OrderStart][0]
	s.p.HandleStartResult(o, ResultAccepted, s.now)
	for n := range 5 {
		s.advance(time.Second)
		s.report(o.Worker, []RunningAttempt{{Ref: o.Ref, Run: o.Run, ProgressPercent: 10 * (n + 1)}})
	}
	a := s.p.workers["i-00"].attempts[o.Ref]
	require.InDelta(t, 5, s.p.expectedEnd(a, s.now).Sub(s.now).Seconds(), 0.1)
	s.report(o.Worker, []RunningAttempt{{Ref: o.Ref, Run: o.Run, ProgressPercent: -7}})
	require.False(t, s.p.expectedEnd(a, s.now).Before(s.now), "progress that goes back")
	s.advance(time.Hour)
	require.True(t, s.p.expectedEnd(a, s.now).After(s.now), "an end that has passed")
}

func TestRunTimesArePassedOnToTheNextOwner(t *testing.T) {
	s := newSimulation(t, 1)
	s.runTasks(1, 40, plainStep(1), 3*time.Second, "")
	b, err := s.p.EncodeRunTimes()
	require.NoError(t, err)
	again, err := s.p.EncodeRunTimes()
	require.NoError(t, err)
	require.Nil(t, again, "nothing has changed")
	snapshot, err := s.p.PrepareSnapshot(s.now)
	require.NoError(t, err)
	for name, restore := range map[string]func(p *Planner){
		"record": func(p *Planner) {
			require.NoError(t, p.RestoreRunTimes(b))
			require.NoError(t, p.RestoreSnapshot(snapshot))
		},
		"snapshot of earlier versions": func(p *Planner) { require.NoError(t, p.RestoreSnapshot(snapshot)) },
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Config{Lease: testLease, Logger: zerolog.Nop()}, s.now)
			restore(p)
			j := testJob(testID(1), s.now, plainStep(1))
			require.InDelta(t, 2.8, p.typicalRunTime(j, 0, 0).Seconds(), 0.25)
		})
	}
	require.Error(t, s.p.RestoreRunTimes([]byte("broken")))
}

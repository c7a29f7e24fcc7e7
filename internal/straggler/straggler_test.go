package straggler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// evidence returns the evidence of attempts with the given paces.
func evidence(l ...float64) Evidence {
	var e Evidence
	for _, x := range l {
		e.Add(Pace{Ratio: x})
	}
	return e
}

// Where 3 tasks in 100 run seven times as long, about a sixth of the running attempts are long.
var manyLong = Fleet{LongFraction: 0.17}

// fewLong is a fleet without long tasks.
var fewLong = Fleet{LongFraction: minLongFraction}

func TestCauseOfASlowAttempt(t *testing.T) {
	slow := Pace{Ratio: 0.14}
	for name, x := range map[string]struct {
		worker     Worker
		pace       Pace
		bestEffort bool
		fleet      Fleet
		want       Cause
	}{
		"normal":                          {Worker{Reserved: evidence(1, 1)}, Pace{Ratio: 1}, false, manyLong, CauseNone},
		"one beside others":               {Worker{Reserved: evidence(0.14, 1, 1)}, slow, false, fewLong, CauseLongTask},
		"two of many":                     {Worker{Reserved: evidence(0.14, 0.14, 1, 1, 0.9)}, slow, false, manyLong, CauseLongTask},
		"all of five":                     {Worker{Reserved: evidence(0.2, 0.2, 0.2, 0.2, 0.2)}, slow, false, manyLong, CauseSlowWorker},
		"all but one of six":              {Worker{Reserved: evidence(0.2, 0.2, 0.2, 0.2, 0.2, 1)}, slow, false, fewLong, CauseSlowWorker},
		"alone where long tasks are many": {Worker{Reserved: evidence(0.14)}, slow, false, manyLong, CauseLongTask},
		"alone where there are none":      {Worker{Reserved: evidence(0.14)}, slow, false, fewLong, CauseSlowWorker},
		"alone, slower than long tasks":   {Worker{Reserved: Evidence{Unexplained: 1}}, Pace{Unexplained: true}, false, manyLong, CauseSlowWorker},
		"best effort beside others":       {Worker{Reserved: evidence(1, 1, 1), BestEffort: evidence(0.2, 0.2, 0.2, 0.2)}, slow, true, manyLong, CauseHeavyNeighbours},
		"one best effort of many":         {Worker{Reserved: evidence(1, 1), BestEffort: evidence(0.2, 1, 1)}, slow, true, manyLong, CauseLongTask},
		"best effort on a slow worker":    {Worker{Reserved: evidence(0.2, 0.2), BestEffort: evidence(0.2, 0.2)}, slow, true, manyLong, CauseSlowWorker},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, x.want, x.worker.Cause(x.pace, x.bestEffort, x.fleet), "probability %.2f", x.worker.SlowProbability(x.fleet))
		})
	}
}

func TestPaceInBetweenTellsNothing(t *testing.T) {
	require.True(t, evidence(0.5, 0.41, 0.59).IsEmpty())
	require.Equal(t, Evidence{Slow: 1, Normal: 1}, evidence(0.39, 0.6))
}

// A fleet of slow workers must not make slow workers count as usual, nor a few attempts as many.
func TestLongFractionIsBounded(t *testing.T) {
	require.InDelta(t, minLongFraction, longFraction(Evidence{}), 1e-9)
	require.InDelta(t, minLongFraction, longFraction(Evidence{Normal: 1000}), 1e-9)
	require.InDelta(t, maxLongFraction, longFraction(Evidence{Slow: 1000}), 1e-9)
	require.Less(t, longFraction(Evidence{Slow: 1}), 0.1)
	require.InDelta(t, 0.17, longFraction(Evidence{Slow: 170, Normal: 820}), 0.01)
}

func TestGainOfAMove(t *testing.T) {
	for name, x := range map[string]struct {
		move Move
		min  float64
		max  float64
	}{
		"slow worker":                     {Move{Remaining: 2, Repeated: 2, Cost: 1, Pace: 0.2, UsualPace: 1, SlowWorker: 1}, 3.3, 3.4},
		"slow worker, nearly done":        {Move{Remaining: 0.1, Repeated: 2, Cost: 1, Pace: 0.2, UsualPace: 1, SlowWorker: 1}, 0.1, 0.2},
		"long task":                       {Move{Remaining: 2, Repeated: 2, Cost: 1, Pace: 0.2, UsualPace: 1, SlowWorker: 0}, 0.9, 1},
		"long task, without a checkpoint": {Move{Remaining: 1, Repeated: 2, Cost: 1, Pace: 0.2, UsualPace: 1, SlowWorker: 0}, 0.4, 0.5},
		"no progress":                     {Move{Remaining: 2, Repeated: 2, Cost: 1, UsualPace: 1, SlowWorker: 1}, 60, 70},
		"broken figures":                  {Move{Remaining: 2, Repeated: 2, Cost: 1, Pace: -1, UsualPace: -1, SlowWorker: 1}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			require.GreaterOrEqual(t, x.move.Gain(), x.min)
			require.LessOrEqual(t, x.move.Gain(), x.max)
		})
	}
}

func TestProbabilityIsANumberForAnyEvidence(t *testing.T) {
	for _, w := range []Worker{{}, {Reserved: Evidence{Slow: 1e6}}, {Reserved: Evidence{Normal: 1e6}}, {BestEffort: Evidence{Unexplained: 1e6, Normal: 1e6}}} {
		x := w.SlowProbability(manyLong)
		require.False(t, math.IsNaN(x))
		require.GreaterOrEqual(t, x, 0.0)
		require.LessOrEqual(t, x, 1.0)
	}
}

package locality_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/locality"
)

// evidence returns evidence for a task of 1 s in a rack with a place at the given time, with a factor of 2 and much slack.
func evidence(now, at time.Time) locality.Evidence {
	return locality.Evidence{
		Now: now, Factor: 2, Took: time.Second, Place: locality.Place{At: at, End: at.Add(time.Second)}, Slack: time.Minute, From: now,
	}
}

func TestTaskWaitsOnlyWhileThatPays(t *testing.T) {
	w, ok := locality.Decide(evidence(testNow, in(600)), locality.Wait{})
	require.True(t, ok)
	require.Equal(t, locality.Wait{Since: testNow, Deadline: in(900), PlaceAt: in(600), EndInRack: in(1600), EndElsewhere: in(2000)}, w)
	_, ok = locality.Decide(evidence(testNow, in(980)), locality.Wait{})
	require.False(t, ok, "the gain is within the error of the estimates")
	_, ok = locality.Decide(evidence(testNow, in(1500)), locality.Wait{})
	require.False(t, ok)
}

func TestDeadlineIsAnInstantThatStaysWhileTheEvidenceDoes(t *testing.T) {
	w, ok := locality.Decide(evidence(testNow, in(400)), locality.Wait{})
	require.True(t, ok)
	for _, ms := range []int{100, 300, 500} {
		w, ok = locality.Decide(evidence(in(ms), in(450)), w)
		require.True(t, ok)
		require.Equal(t, in(600), w.Deadline)
	}
	_, ok = locality.Decide(evidence(in(600), in(450)), w)
	require.False(t, ok, "the deadline has passed")
}

func TestChangedEvidenceDecidesTheDeadlineAgain(t *testing.T) {
	w, ok := locality.Decide(evidence(testNow, in(400)), locality.Wait{})
	require.True(t, ok)
	w, ok = locality.Decide(evidence(in(300), in(700)), w)
	require.True(t, ok)
	require.Equal(t, in(900), w.Deadline)
	_, ok = locality.Decide(evidence(in(310), in(1700)), w)
	require.False(t, ok)
}

// Estimates of tasks that run on for long promise a place soon at each plan.
func TestPlacesThatAreAlwaysNearEndTheWait(t *testing.T) {
	for _, took := range []time.Duration{500 * time.Millisecond, time.Second, 10 * time.Second, 100 * time.Hour} {
		var w locality.Wait
		ms, ok := 0, true
		for ; ok; ms += 50 {
			e := evidence(in(ms), in(ms+300))
			e.Took, e.Place.End = took, in(ms+300).Add(took)
			w, ok = locality.Decide(e, w)
			require.LessOrEqual(t, ms, 2000)
		}
		require.Less(t, time.Duration(ms-100)*time.Millisecond, took)
	}
}

// Waits of a task that end and begin again must not add up to more.
func TestLaterWaitsOfATaskCountFromTheFirst(t *testing.T) {
	e := evidence(testNow, in(1900))
	e.Took, e.Place.End = 5*time.Second, in(6900)
	w, ok := locality.Decide(e, locality.Wait{})
	require.True(t, ok)
	w.Deadline, w.PlaceAt = time.Time{}, time.Time{}
	e.Now, e.From, e.Place.At, e.Place.End = in(1500), in(1500), in(2100), in(7100)
	_, ok = locality.Decide(e, w)
	require.False(t, ok)
	e.Place.At, e.Place.End = in(1900), in(6900)
	w, ok = locality.Decide(e, w)
	require.True(t, ok)
	require.Equal(t, in(2000), w.Deadline)
}

func TestWaitNeverPassesTheObjectiveThatAStartElsewhereMeets(t *testing.T) {
	e := evidence(testNow, in(400))
	e.Slack = 1500 * time.Millisecond
	w, ok := locality.Decide(e, locality.Wait{})
	require.True(t, ok)
	require.Equal(t, in(500), w.Deadline, "a start elsewhere at 0.5 s ends 1 s later than one in the rack")
	e.Slack = 1300 * time.Millisecond
	_, ok = locality.Decide(e, locality.Wait{})
	require.False(t, ok, "the place comes after the last start elsewhere that is in time")
	e.Slack = 900 * time.Millisecond
	_, ok = locality.Decide(e, locality.Wait{})
	require.True(t, ok, "only the rack is in time")
}

func TestMissingFactorMeansNoWait(t *testing.T) {
	for _, f := range []locality.Factor{0, 1, 0.5, -2, locality.Factor(math.NaN()), locality.Factor(math.Inf(1))} {
		e := evidence(testNow, in(100))
		e.Factor = f
		_, ok := locality.Decide(e, locality.Wait{})
		require.False(t, ok, "factor %v", f)
	}
	e := evidence(testNow, in(100))
	e.Took, e.Place.End = 0, in(100)
	_, ok := locality.Decide(e, locality.Wait{})
	require.False(t, ok, "a task without an estimate")
}

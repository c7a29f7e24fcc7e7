package locality_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/locality"
)

var testNow = time.Unix(1_800_000_000, 0)

func in(ms int) time.Time { return testNow.Add(time.Duration(ms) * time.Millisecond) }

func size(milliCPU int) locality.Size {
	return locality.Size{Resources: jobs.Resources{MilliCPU: milliCPU, MemoryMB: 100}}
}

// busy returns a worker with room for one task of 1000 thousandths of a core when each of its attempts ends.
func busy(ends ...int) locality.Worker {
	w := locality.Worker{}
	for _, ms := range ends {
		w.Ends = append(w.Ends, locality.End{At: in(ms), Size: size(1000)})
	}
	return w
}

func need(took time.Duration) locality.Need {
	return locality.Need{Fit: size(1000), Take: size(1000), Took: took}
}

// Tasks that want one rack would all wait for the same place.
func TestEachClaimGetsALaterPlace(t *testing.T) {
	f := locality.NewForecast([]locality.Worker{busy(400, 900), busy(600)}, testNow)
	n := need(500 * time.Millisecond)
	for _, ms := range []int{400, 600, 900, 900, 1100, 1400, 1400, 1600, 1900, 1900} {
		p, ok := f.Next(n)
		require.True(t, ok)
		require.Equal(t, in(ms), p.At)
		f.Claim(p, n)
	}
	_, ok := f.Next(n)
	require.False(t, ok, "no place within the longest wait is left")
}

func TestPlaceOnASlowWorkerEndsLater(t *testing.T) {
	slow := busy(200)
	slow.Speed = 0.25
	f := locality.NewForecast([]locality.Worker{slow, busy(900)}, testNow)
	p, ok := f.Next(need(time.Second))
	require.True(t, ok)
	require.Equal(t, 1, p.Worker)
	require.Equal(t, in(1900), p.End)
}

func TestWorkerThatATaskMayNotUseHasNoPlaceForIt(t *testing.T) {
	f := locality.NewForecast([]locality.Worker{busy(200), busy(900)}, testNow)
	n := need(time.Second)
	n.MayUse = func(i int) bool { return i == 1 }
	p, ok := f.Next(n)
	require.True(t, ok)
	require.Equal(t, 1, p.Worker)
	_, ok = locality.NewForecast(nil, testNow).Next(n)
	require.False(t, ok, "a rack that does not exist has no places")
}

func TestEndsAfterTheLongestWaitMakeNoPlace(t *testing.T) {
	f := locality.NewForecast([]locality.Worker{busy(2001)}, testNow)
	_, ok := f.Next(need(time.Second))
	require.False(t, ok)
}

func TestBestEffortTaskNeedsSpareCPU(t *testing.T) {
	w := locality.Worker{Free: locality.Size{Resources: jobs.Resources{MemoryMB: 1000}, SpareMilliCPU: 300}}
	w.Ends = []locality.End{{At: in(700), Size: locality.Size{SpareMilliCPU: 2000}}}
	f := locality.NewForecast([]locality.Worker{w}, testNow)
	n := locality.Need{Took: time.Second}
	n.Fit.SpareMilliCPU, n.Take.SpareMilliCPU = 600, 1000
	p, ok := f.Next(n)
	require.True(t, ok)
	require.Equal(t, in(700), p.At)
}

func TestGangGetsTheTimeAtWhichAllItsTasksFit(t *testing.T) {
	f := locality.NewForecast([]locality.Worker{busy(300, 800), busy(500, 600)}, testNow)
	n := need(time.Second)
	p, ok := f.NextForAll(n, 3, 10)
	require.True(t, ok)
	require.Equal(t, in(600), p.At)
	p, ok = f.NextForAll(n, 2, 1)
	require.True(t, ok)
	require.Equal(t, in(500), p.At)
	_, ok = f.NextForAll(n, 3, 1)
	require.False(t, ok)
	_, ok = f.NextForAll(n, 5, 10)
	require.False(t, ok, "the gang is wider than the rack")
}

package runtimes

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"currantknot.dev/currantknot/internal/jobs"
)

// tolerance is the precision of a ratio in a histogram, with a margin.
const tolerance = 0.01

func step(estimate time.Duration) *jobs.Step { return &jobs.Step{Tasks: 1, Estimate: estimate} }

// requireRatio requires that a run time is a multiple of an estimate.
func requireRatio(t *testing.T, ratio float64, estimate, d time.Duration) {
	t.Helper()
	require.InEpsilon(t, ratio, float64(d)/float64(estimate), tolerance)
}

// observeTail adds n samples of which 3 in 100 run seven times as long as their estimate.
func observeTail(e *Estimator, s *jobs.Step, n int) {
	for i := range n {
		d := s.Estimate
		if i%100 == 0 || i%100 == 33 || i%100 == 66 {
			d *= 7
		}
		e.Observe("q", s, d)
	}
}

func TestEstimatesCountAsRightWithoutSamples(t *testing.T) {
	e := New()
	require.Equal(t, 2*time.Second, e.Quantile("q", step(2*time.Second), 0.5))
	require.Equal(t, time.Second, e.Remaining("q", step(2*time.Second), time.Second))
	require.Zero(t, e.Quantile("q", step(0), 0.5))
	require.Zero(t, e.Samples("q"))
}

// A single sample must not stand for its queue.
func TestFewSamplesDoNotReplaceTheEstimates(t *testing.T) {
	e := New()
	s := step(time.Second)
	for range 3 {
		e.Observe("q", s, 9*time.Second)
	}
	requireRatio(t, 1, time.Second, e.Quantile("q", s, 0.5))
	for range 20 {
		e.Observe("q", s, 9*time.Second)
	}
	requireRatio(t, 9, time.Second, e.Quantile("q", s, 0.5))
}

// A mean of the ratios would be 1.18 for all tasks, of which none runs that long.
func TestTailDoesNotMoveTheMedian(t *testing.T) {
	e := New()
	s := step(time.Second)
	observeTail(e, s, 600)
	requireRatio(t, 1, time.Second, e.Quantile("q", s, 0.5))
	requireRatio(t, 7, time.Second, e.Quantile("q", s, 0.99))
	require.InDelta(t, 1.18, e.Factors()["q"], 0.05)
	require.Equal(t, 600, e.Samples("q"))
}

// A task that has run longer than most is one of the tail, and not about to end.
func TestRemainingTimeIsConditional(t *testing.T) {
	e := New()
	s := step(time.Second)
	observeTail(e, s, 600)
	require.InDelta(t, 0.68, e.Remaining("q", s, 500*time.Millisecond).Seconds(), 0.06)
	require.InDelta(t, 5.5, e.Remaining("q", s, 1500*time.Millisecond).Seconds(), 0.1)
	require.Equal(t, 4*time.Second, e.Remaining("q", s, 8*time.Second), "longer than all that is known")
	require.Equal(t, unknownRemaining, e.Remaining("q", step(0), 0))
}

func TestRecentSamplesWeighMore(t *testing.T) {
	e := New()
	s := step(time.Second)
	for range 20_000 {
		e.Observe("q", s, time.Second)
	}
	for range memorySamples {
		e.Observe("q", s, 3*time.Second)
	}
	requireRatio(t, 3, time.Second, e.Quantile("q", s, 0.5))
}

// Weights grow with each sample and must not overflow.
func TestWeightsStayBounded(t *testing.T) {
	d := newDistribution()
	for range 100_000 {
		d.observe(2)
	}
	require.InDelta(t, memorySamples, d.effectiveSamples(), 2)
	require.LessOrEqual(t, d.weight, float64(maxWeight)*2)
	require.InEpsilon(t, 2, d.quantile(0.5), tolerance)
}

// If a queue's estimates are off by half in both directions, long estimates are too long and short ones too short.
func TestSizeClassTakesPrecedenceOnceKnown(t *testing.T) {
	e := New()
	short, long := step(800*time.Millisecond), step(2400*time.Millisecond)
	for range minClassSamples {
		e.Observe("q", short, 1600*time.Millisecond)
		e.Observe("q", long, 1600*time.Millisecond)
	}
	requireRatio(t, 2, short.Estimate, e.Quantile("q", short, 0.5))
	requireRatio(t, 2.0/3, long.Estimate, e.Quantile("q", long, 0.5))
	requireRatio(t, 1, time.Hour, e.Quantile("q", step(time.Hour), 0.5))
}

func TestQueuesDoNotAffectEachOther(t *testing.T) {
	e := New()
	for range 100 {
		e.Observe("wrong", step(time.Second), time.Hour)
	}
	require.Equal(t, time.Second, e.Quantile("right", step(time.Second), 0.5))
}

// Estimates and run times come from callers and workers, and may be anything.
func TestBadInputHasABoundedEffect(t *testing.T) {
	e := New()
	for _, s := range []*jobs.Step{step(0), step(-time.Second), step(1), step(math.MaxInt64), {LongRunning: true, Estimate: time.Second}} {
		for _, d := range []time.Duration{math.MinInt64, -time.Second, 0, 1, math.MaxInt64} {
			e.Observe("q", s, d)
			for _, x := range []time.Duration{e.Quantile("q", s, 0.5), e.Quantile("q", s, 0), e.Quantile("q", s, 1), e.Remaining("q", s, d)} {
				require.GreaterOrEqual(t, x, time.Duration(0))
				require.LessOrEqual(t, x, MaxRunTime)
			}
		}
	}
	require.Equal(t, 10, e.Samples("q"), "no samples of steps without an estimate")
	for range memorySamples {
		e.Observe("q", step(time.Second), time.Second)
	}
	requireRatio(t, 1, time.Second, e.Quantile("q", step(time.Second), 0.5))
}

// Names of queues come from submissions.
func TestNumberOfQueuesIsBounded(t *testing.T) {
	e := New()
	for n := range maxQueues + 1 {
		e.Observe(string(rune('a'))+time.Duration(n).String(), step(time.Second), time.Second)
	}
	require.Len(t, e.queues, maxQueues)
}

func TestNextOwnerRestoresTheDistributions(t *testing.T) {
	e := New()
	s := step(time.Second)
	observeTail(e, s, 600)
	require.True(t, e.HasChanged())
	b, err := e.Encode()
	require.NoError(t, err)
	require.Less(t, len(b), 400)
	require.False(t, e.HasChanged())
	n := New()
	require.NoError(t, n.Restore(b))
	require.Equal(t, 600, n.Samples("q"))
	requireRatio(t, 1, time.Second, n.Quantile("q", s, 0.5))
	requireRatio(t, 7, time.Second, n.Quantile("q", s, 0.99))
	require.InDelta(t, 5.5, n.Remaining("q", s, 1500*time.Millisecond).Seconds(), 0.1)
	for range 2 * maxRestoredSamples {
		n.Observe("q", s, 2*time.Second)
	}
	requireRatio(t, 2, time.Second, n.Quantile("q", s, 0.5))
}

func TestEstimatorWithoutSamplesHasNoRecord(t *testing.T) {
	b, err := New().Encode()
	require.NoError(t, err)
	require.Nil(t, b)
}

// The record of many queues must stay well below the limit of the store.
func TestRecordIsBounded(t *testing.T) {
	e := New()
	r := rand.New(rand.NewPCG(1, 1))
	for n := range 100 {
		for range 200 {
			e.Observe(time.Duration(n).String(), step(time.Duration(1+r.IntN(5000))*time.Millisecond), time.Duration(1+r.IntN(5000))*time.Millisecond)
		}
	}
	b, err := e.Encode()
	require.NoError(t, err)
	require.Less(t, len(b), 64<<10)
}

// A later version may add fields to the record, and a broken record must do no harm.
func TestRecordsOfOtherVersionsAndBrokenRecords(t *testing.T) {
	later, err := msgpack.Marshal(map[string]any{"Zone": "x", "Queues": []map[string]any{
		{"Queue": "later", "Samples": 50, "Ratios": []int{2000}, "Weights": []int{7}, "Half": true},
		{"Queue": "unequal", "Samples": 50, "Ratios": []int{2000, 3000}, "Weights": []int{7}},
		{"Queue": "empty", "Samples": 50},
		{"Queue": "negative", "Samples": -50, "Ratios": []int{2000}, "Weights": []int{7}},
		{"Queue": "class", "SizeClass": 77, "Samples": 50, "Ratios": []int{2000}, "Weights": []int{7}},
		{"Queue": "large", "Samples": 50, "Ratios": []uint32{math.MaxUint32}, "Weights": []uint32{math.MaxUint32}},
	}})
	require.NoError(t, err)
	e := New()
	require.NoError(t, e.Restore(later))
	requireRatio(t, 2, time.Second, e.Quantile("later", step(time.Second), 0.5))
	for _, q := range []string{"unequal", "empty", "negative", "class"} {
		requireRatio(t, 1, time.Second, e.Quantile(q, step(time.Second), 0.5))
	}
	require.LessOrEqual(t, e.Quantile("large", step(time.Second), 0.5), MaxRunTime)
	var x *RecordError
	require.ErrorAs(t, e.Restore([]byte("broken")), &x)
}

// Earlier versions stored one mean ratio for each queue.
func TestFactorsOfEarlierVersions(t *testing.T) {
	e := New()
	e.Observe("known", step(time.Second), time.Second)
	for q, x := range map[string]float64{"q": 1.5, "known": 9, "zero": 0, "nan": math.NaN(), "infinite": math.Inf(1)} {
		e.RestoreFactor(q, x)
	}
	requireRatio(t, 1.5, time.Second, e.Quantile("q", step(time.Second), 0.5))
	for _, q := range []string{"known", "zero", "nan", "infinite"} {
		requireRatio(t, 1, time.Second, e.Quantile(q, step(time.Second), 0.5))
	}
}

func FuzzRestore(f *testing.F) {
	e := New()
	observeTail(e, step(time.Second), 100)
	b, err := e.Encode()
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		e := New()
		if e.Restore(b) != nil {
			return
		}
		s := step(time.Second)
		e.Observe("q", s, time.Second)
		require.LessOrEqual(t, e.Quantile("q", s, 0.5), MaxRunTime)
		require.LessOrEqual(t, e.Remaining("q", s, time.Second), MaxRunTime)
	})
}

// BenchmarkQuantile looks up the median as a plan does, with a sample for every 16 lookups.
func BenchmarkQuantile(b *testing.B) {
	e := New()
	s := step(time.Second)
	r := rand.New(rand.NewPCG(1, 1))
	n := 0
	for b.Loop() {
		n++
		if n%16 == 0 {
			e.Observe("queue", s, time.Duration(float64(time.Second)*(0.5+r.ExpFloat64())))
		}
		e.Quantile("queue", s, 0.5)
	}
}

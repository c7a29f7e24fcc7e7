package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/account"
)

var testStart = time.Unix(1_700_000_000, 0)

func ratesWith(a ...account.Account) *Rates {
	r := NewRates()
	r.SetWeights(NewWeights(a))
	return r
}

// addEvery adds n jobs of an account, named a0, a1 and so on, at an interval.
func addEvery(r *Rates, account string, n int, d time.Duration) {
	for i := range n {
		r.Add(account, fmt.Sprintf("%s%d", account, i), testStart.Add(time.Duration(i)*d))
	}
}

func beyond(r *Rates, account string, n int) int {
	k := 0
	for i := range n {
		if r.IsBeyond(fmt.Sprintf("%s%d", account, i)) {
			k++
		}
	}
	return k
}

// Guards against jobs at exactly the rate that rounding puts beyond it.
func TestNoJobAtTheRateIsBeyondIt(t *testing.T) {
	for _, w := range []float64{0.3, 1, 3, 7, 18, 590} {
		r := ratesWith(account.Account{Name: "a", Weight: w})
		addEvery(r, "a", 3000, time.Duration(float64(time.Second)/w)+1)
		require.Zero(t, beyond(r, "a", 3000), "weight %v", w)
	}
}

func TestJobsBeyondTheRateAreThoseWithoutAToken(t *testing.T) {
	r := ratesWith(account.Account{Name: "a", Weight: 10}, account.Account{Name: "b", Weight: 10}, account.Account{Name: "slow", Weight: 0.5})
	addEvery(r, "a", 400, 25*time.Millisecond)
	require.InDelta(t, 400-10-100, beyond(r, "a", 400), 1, "a burst of 10, then 10 of 40 a second")
	require.False(t, r.IsBeyond("a9"))
	addEvery(r, "b", 10, 0)
	require.Zero(t, beyond(r, "b", 10), "one second's worth at once")
	addEvery(r, "slow", 3, time.Second)
	require.False(t, r.IsBeyond("slow0"), "at least one job")
	require.True(t, r.IsBeyond("slow1"))
	require.False(t, r.IsBeyond("slow2"))
}

// Guards against owners that disagree since they learn of the jobs in another order or of some of them late.
func TestRatesDoNotDependOnTheOrderInWhichJobsAreAdded(t *testing.T) {
	x := rand.New(rand.NewPCG(3, 4))
	type job struct {
		id string
		at time.Time
	}
	var l []job
	for i := range 500 {
		l = append(l, job{fmt.Sprintf("%04d", i), testStart.Add(time.Duration(x.IntN(40)) * 250 * time.Millisecond)})
	}
	want := ratesWith(account.Account{Name: "a", Weight: 20})
	for _, j := range l {
		want.Add("a", j.id, j.at)
	}
	for range 5 {
		x.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
		got := ratesWith(account.Account{Name: "a", Weight: 20})
		for i, j := range l {
			got.Add("a", j.id, j.at)
			if i%50 == 0 {
				got.IsBeyond(j.id)
			}
		}
		n := 0
		for _, j := range l {
			require.Equal(t, want.IsBeyond(j.id), got.IsBeyond(j.id), j.id)
			if got.IsBeyond(j.id) {
				n++
			}
		}
		require.NotZero(t, n)
	}
}

// Guards against jobs that change sides when records of earlier jobs are removed, and against memory for removed jobs.
func TestRemovedJobsKeepTheirEffectOnLaterOnes(t *testing.T) {
	r, full := ratesWith(account.Account{Name: "a", Weight: 5}), ratesWith(account.Account{Name: "a", Weight: 5})
	for i := range 300 {
		at := testStart.Add(time.Duration(i) * 90 * time.Millisecond)
		id := fmt.Sprint(i)
		r.Add("a", id, at)
		full.Add("a", id, at)
		require.Equal(t, full.IsBeyond(id), r.IsBeyond(id), id)
		if i >= 10 {
			r.Remove(fmt.Sprint((i - 10) ^ 1))
		}
	}
	require.Less(t, len(r.accounts["a"].sorted), 20)
	for i := range 300 {
		r.Remove(fmt.Sprint(i))
	}
	require.Empty(t, r.accounts)
	require.Empty(t, r.jobs)
}

// Guards against an owner that keeps decisions by earlier weights, on which a later owner would decide otherwise.
func TestChangedWeightsDecideAgain(t *testing.T) {
	r := ratesWith(account.Account{Name: "a", Weight: 5})
	addEvery(r, "a", 100, 100*time.Millisecond)
	require.NotZero(t, beyond(r, "a", 100))
	r.SetWeights(NewWeights([]account.Account{{Name: "a", Weight: 10}}))
	require.Zero(t, beyond(r, "a", 100))
	r.SetWeights(NewWeights(nil))
	require.Zero(t, beyond(r, "a", 100), "no accounts are configured")
}

// Guards against a weight that operators got wrong, or that is gone, being read as 0 or as unlimited.
func TestMissingAndNegativeWeightsCountAsTheSmallest(t *testing.T) {
	w := NewWeights([]account.Account{{Name: "a", Weight: 18}, {Name: "b", Weight: 2.5}, {Name: "c", Weight: -3}, {Name: "d"}, {Name: "e", Weight: 9}, {Name: "e", Weight: 7}})
	for n, x := range map[string]float64{"a": 18, "b": 2.5, "c": 2.5, "d": 2.5, "gone": 2.5, "e": 7} {
		require.InDelta(t, x, w.Of(n), 0, n)
	}
	none := NewWeights([]account.Account{{Name: "a", Weight: -1}})
	require.InDelta(t, 1, none.Of("a"), 0)
}

// Guards against a takeover that sorts the jobs of an account once for each of them.
func BenchmarkRatesOfAllRecords(b *testing.B) {
	const n = 200_000
	x := rand.New(rand.NewPCG(5, 6))
	order := x.Perm(n)
	for b.Loop() {
		r := ratesWith(account.Account{Name: "a", Weight: 100})
		for _, i := range order {
			r.Add("a", fmt.Sprint(i), testStart.Add(time.Duration(i)*time.Millisecond))
		}
		r.IsBeyond("0")
	}
}

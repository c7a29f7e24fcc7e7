package locality_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantknot.dev/currantknot/internal/locality"
)

// Whatever the forecasts say, a task must not wait beyond the longest wait, what its rack saves, or its objective if a start
// elsewhere met that when the task was last let wait.
func TestWaitsAreBoundedForAnyEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		took := time.Duration(rapid.IntRange(0, 20000).Draw(t, "run time")) * time.Millisecond
		factor := locality.Factor(rapid.Float64Range(0, 5).Draw(t, "factor"))
		slack := time.Duration(rapid.IntRange(-5000, 20000).Draw(t, "slack")) * time.Millisecond
		loss := factor.Loss(took)
		var w locality.Wait
		now, began := testNow, time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "plans") {
			e := locality.Evidence{Now: now, Factor: factor, Took: took, Slack: slack - now.Sub(testNow), From: now}
			e.Place.At = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "place")) * time.Millisecond)
			e.Place.End = e.Place.At.Add(took)
			x, ok := locality.Decide(e, w)
			if ok {
				w = x
				if began.IsZero() {
					began = now
				}
				require.Less(t, now.Sub(began), min(locality.MaxWait, loss))
				require.False(t, w.Deadline.After(began.Add(min(locality.MaxWait, loss))))
				require.True(t, w.Deadline.After(now))
				if e.Slack >= loss {
					require.False(t, w.Deadline.After(now.Add(e.Slack-loss)), "a start elsewhere at the deadline must meet the objective")
				}
				require.True(t, e.Place.End.Before(now.Add(took+loss)), "the rack must be earlier")
			}
			now = now.Add(time.Duration(rapid.IntRange(10, 200).Draw(t, "interval")) * time.Millisecond)
		}
	})
}

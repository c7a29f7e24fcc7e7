package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The record of a job's suspicions grew with its tasks without bound, until no store took it (review, case 6).
func TestSuspicionsOfAJobAreBoundedAndTheHeaviestAreKept(t *testing.T) {
	j := New(Spec{ID: "00000000000000b1", Steps: []Step{{Tasks: MaxTasks}}})
	l := j.Tasks[0][0]
	for _, x := range l {
		j.RecordLoss(x, Loss{Worker: "i-0fe646574a", Address: "10.3.64.17:8407", Incarnation: 1, RanFor: time.Second})
	}
	heaviest := l[MaxTasks-1]
	for n := range 2 * maxStoredLosses {
		j.RecordLoss(heaviest, Loss{Worker: fmt.Sprint(n), Incarnation: int64(n + 1), Crashed: true, Isolated: true})
	}
	b, changed, err := j.EncodeSuspicions()
	require.NoError(t, err)
	require.True(t, changed)
	require.LessOrEqual(t, len(b), maxSuspicionBytes+1<<10)
	o := New(Spec{ID: j.ID, Steps: j.Steps})
	require.NoError(t, o.RestoreSuspicions(b))
	require.True(t, o.Tasks[0][0][MaxTasks-1].Suspicion.IsProbableCause())
	require.Positive(t, o.Tasks[0][0][0].Suspicion.Losses)
}

// The workers at which the attempts of a task that lasts failed grew its record for as long as the task was there.
func TestFailuresOfALongRunningTaskAreBounded(t *testing.T) {
	j := New(Spec{ID: "00000000000000b2", Steps: []Step{{Tasks: 1, LongRunning: true}}})
	x := j.Tasks[0][0][0]
	now := time.Now()
	for n := range 100 {
		j.Assign(x, fmt.Sprint(n), 1, now)
		j.FinishAttempt(x, x.Run, OutcomeFailed, "")
	}
	require.Len(t, x.FailedAt, maxStoredLosses)
	require.Contains(t, x.FailedAt, "99")
}

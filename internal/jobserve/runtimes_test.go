package jobserve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/jobs"
)

// finishTasks lets n jobs of one task run on a worker one after another, for two seconds each, and returns the keys of the
// committed records.
func finishTasks(t *testing.T, o *Owner, n int, now time.Time) []string {
	t.Helper()
	var keys []string
	o.planner.SetWorkers([]dispatch.WorkerInfo{{ID: "i-00", Address: "10.0.0.0:80", Pool: "pool", Incarnation: 1, Capacity: jobs.Resources{MilliCPU: 4000, MemoryMB: 4000}}}, now)
	number := int64(0)
	for range n {
		number++
		id := "00000000000000a" + string(rune('0'+number))
		s := jobs.Step{Tasks: 1, Size: jobs.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second}
		o.planner.AddJob(jobs.New(jobs.Spec{ID: id, Queue: jobs.Queue{Name: "queue", Pool: "pool", MaxAttempts: 3}, Steps: []jobs.Step{s}, SubmittedAt: now}), now)
		r := dispatch.Report{Worker: "i-00", Incarnation: 1, RequestedAt: now}
		o.planner.HandleReport(r, now)
		o.planner.Plan(now)
		changed, orders := o.planner.TakeChanges()
		_, err := o.encodeRecords(changed, now)
		require.NoError(t, err)
		for _, x := range o.planner.OrdersCommitted(orders, now) {
			o.planner.HandleStartResult(x, dispatch.ResultAccepted, now)
			now = now.Add(2 * time.Second)
			r.RequestedAt = now
			r.Finished = []dispatch.FinishedAttempt{{Ref: x.Ref, Number: number, Run: x.Run, Outcome: jobs.OutcomeDone}}
			o.planner.HandleReport(r, now)
		}
		changed, _ = o.planner.TakeChanges()
		l, err := o.encodeRecords(changed, now)
		require.NoError(t, err)
		for _, x := range l {
			keys = append(keys, x.Key)
		}
	}
	return keys
}

// The run times are a record of their own, which owners of earlier versions ignore, and are written only now and then.
func TestRunTimesAreStoredNowAndThen(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	o := newIdleOwner(t, "i-09", now)
	n := 0
	for _, k := range finishTasks(t, o, 9, now) {
		require.False(t, k != runTimesKey && jobOfKey(k) == runTimesKey)
		if k == runTimesKey {
			n++
		}
	}
	require.False(t, jobs.IsID(runTimesKey))
	require.Equal(t, 2, n, "in 18 s")
}

// A record that the store refuses would end the owner.
func TestRunTimesThatAreTooLargeAreNotStored(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	o := newIdleOwner(t, "i-09", now)
	o.AppendLimits.RecordBytes = maxKeyBytes + recordOverheadBytes + 1
	require.NotContains(t, finishTasks(t, o, 3, now), runTimesKey)
}

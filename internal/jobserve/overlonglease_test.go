package jobserve

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/dispatch"
)

// acceptingWorkers are workers that accept each order.
type acceptingWorkers struct{ *fakeWorkers }

func (acceptingWorkers) Execute(context.Context, FencedOrder) (dispatch.OrderResult, error) {
	time.Sleep(time.Millisecond)
	return dispatch.ResultAccepted, nil
}

// respondReborn lets the worker respond as its next incarnation to a call that grants no lease.
func (f *syncFixture) respondReborn(t *testing.T) {
	f.workers.setResponse(func(Sync) (dispatch.Report, error) { return dispatch.Report{Incarnation: testIncarnation + 1}, nil })
	_, err := f.sync(t.Context(), f.nextSync(f.worker, 1, false), time.Now().Add(time.Second))
	require.NoError(t, err)
}

// The next incarnation of a worker executed a start, or a sync call without a response, whose lease was dated by the clock of the former
// one: the owner counted a shorter lease than the worker held.
func TestOwnerCountsTheCallsThatALaterIncarnationMayHaveExecuted(t *testing.T) {
	for name, call := range map[string]func(t *testing.T, f *syncFixture){
		"start": func(t *testing.T, f *syncFixture) {
			f.executeAtWorker(t.Context(), dispatch.Order{Kind: dispatch.OrderStart, Worker: f.worker.ID, Address: f.worker.Address, Incarnation: testIncarnation})
		},
		"sync without a response": func(t *testing.T, f *syncFixture) {
			require.NotZero(t, f.nextSync(f.worker, 0, false).LeaseCall)
		},
		"none": func(*testing.T, *syncFixture) {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSyncFixture(t)
				f.Workers, f.planner.MaxLease = acceptingWorkers{f.workers}, 2*testLease
				_, err := f.sync(t.Context(), f.nextSync(f.worker, 0, true), time.Now().Add(time.Second))
				require.NoError(t, err)
				time.Sleep(time.Minute)
				call(t, f)
				f.respondReborn(t)
				require.Equal(t, name != "none", f.planner.HasOverlongChanged())
			})
		})
	}
}

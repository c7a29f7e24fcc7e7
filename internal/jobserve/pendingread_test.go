package jobserve

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// After an outage, starts waited for reads on dead connections although commits got through again.
func TestReadIsRepeatedOnceTheStoreRespondsToAnotherCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentStore{fakeStore: &fakeStore{records: make(map[Partition][]Record)}}
		r := NewReplica(s, zerolog.Nop())
		require.NoError(t, r.Refresh(t.Context(), time.Now()))
		s.silent.Store(true)
		until := time.Now().Add(requestsPollTimeout)
		done := make(chan error, 1)
		go func() { done <- r.Follow(t.Context(), PartitionRequests, time.Now(), until) }()
		time.Sleep(requestsPollTimeout + retryDelay)
		s.silent.Store(false)
		r.AbandonOverdueRead(time.Second)
		synctest.Wait()
		require.Empty(t, done, "a response is not overdue yet where calls take a second")
		time.Sleep(overdueLatencies * storeDelay)
		r.AbandonOverdueRead(storeDelay / 2)
		time.Sleep(2 * storeDelay)
		require.NotEmpty(t, done)
		require.NoError(t, <-done)
	})
}

func TestEndedReadIsNotAbandoned(t *testing.T) {
	var p pendingRead
	p.abandonOverdue(0)
	c, end := p.begin(t.Context(), time.Now().Add(-time.Minute), time.Hour)
	end()
	p.abandonOverdue(0)
	require.ErrorIs(t, c.Err(), context.Canceled)
	c, end = p.begin(t.Context(), time.Now(), time.Hour)
	defer end()
	p.abandonOverdue(0)
	require.NoError(t, c.Err())
}

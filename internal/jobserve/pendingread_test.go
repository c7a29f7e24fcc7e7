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
		time.Sleep(2 * overdueLatencies * storeDelay)
		r.AbandonOverdueRead(storeDelay)
		time.Sleep(2 * storeDelay)
		require.NotEmpty(t, done)
		require.NoError(t, <-done)
	})
}

// A read of a long list on a busy instance was abandoned each time, so that the list was never read.
func TestSlowReadIsAbandonedOnlyOnce(t *testing.T) {
	const (
		duration  = 800 * time.Millisecond
		heartbeat = 10 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		var p pendingRead
		abandoned := 0
		for range 10 {
			c, end := p.begin(t.Context(), time.Now(), time.Minute)
			for u := time.Now().Add(duration); time.Now().Before(u) && c.Err() == nil; time.Sleep(heartbeat) {
				p.abandonOverdue(heartbeat)
			}
			if c.Err() != nil {
				abandoned++
			}
			end(c.Err())
		}
		require.Equal(t, 1, abandoned)
	})
}

func TestEndedReadIsNotAbandoned(t *testing.T) {
	var p pendingRead
	p.abandonOverdue(0)
	_, end := p.begin(t.Context(), time.Now().Add(-time.Minute), time.Hour)
	end(context.DeadlineExceeded)
	p.abandonOverdue(0)
	c, end := p.begin(t.Context(), time.Now(), time.Hour)
	p.abandonOverdue(0)
	require.NoError(t, c.Err())
	end(nil)
}

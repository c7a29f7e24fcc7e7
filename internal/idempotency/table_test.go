package idempotency_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/idempotency"
)

var now = time.Unix(1_800_000_000, 0)

func TestKeyIsNewOnce(t *testing.T) {
	k := idempotency.NewTable()
	d := now.Add(time.Second)
	s, _ := k.Ask("k", "a", d, now)
	require.Equal(t, idempotency.New, s)
	s, _ = k.Ask("k", "b", d, now)
	require.Equal(t, idempotency.Asking, s)
	k.Run("k", "a", d)
	s, _ = k.Ask("k", "b", d, now)
	require.Equal(t, idempotency.Running, s)
	k.Finish("k", "a", &idempotency.Answer{Status: 201}, now)
	s, a := k.Ask("k", "b", d, now.Add(idempotency.Memory-time.Second))
	require.Equal(t, idempotency.Done, s)
	require.Equal(t, 201, a.Status)
	s, _ = k.Ask("k", "b", d, now.Add(idempotency.Memory+time.Second))
	require.Equal(t, idempotency.New, s, "a key is removed after its retention time")
}

func TestUnfinishedRequestCountsAsRunAfterItsDeadline(t *testing.T) {
	k := idempotency.NewTable()
	k.Run("k", "a", now.Add(time.Second))
	s, a := k.Peek("k", now.Add(time.Minute))
	require.Equal(t, idempotency.Done, s)
	require.Nil(t, a)
}

func TestOnlyTheClaimingInstanceReleasesAKey(t *testing.T) {
	k := idempotency.NewTable()
	_, _ = k.Ask("k", "a", now.Add(time.Second), now)
	k.Drop("k", "b")
	require.Equal(t, 1, k.Len())
	k.Drop("k", "a")
	require.Zero(t, k.Len())
	k.Finish("k", "a", nil, now)
	k.Drop("k", "a")
	require.Equal(t, 1, k.Len(), "the key of a request that has run is kept")
}

func TestClaimedKeyOutlivesTheListLag(t *testing.T) {
	k := idempotency.NewTable()
	_, _ = k.Ask("k", "a", now.Add(time.Millisecond), now)
	s, _ := k.Ask("k", "b", now.Add(time.Minute), now.Add(5*time.Second))
	require.Equal(t, idempotency.Asking, s)
	s, _ = k.Peek("k", now)
	require.Equal(t, idempotency.New, s, "the request of a key that is only claimed has not run")
}

// A late message that the request is running, from an instance that does not know of its completion, must not change
// the state of the key back to running.
func TestFinishedRequestDoesNotRunAgain(t *testing.T) {
	x := idempotency.NewTable()
	n := time.Now()
	x.Run("k", "a", n.Add(time.Second))
	require.Equal(t, []idempotency.Item{{Key: "k", Entry: "a", Until: n.Add(time.Second)}}, x.Known(n))
	x.Finish("k", "a", nil, n)
	x.Run("k", "a", n.Add(time.Second))
	s, _ := x.Peek("k", n)
	require.Equal(t, idempotency.Done, s)
	require.Equal(t, []idempotency.Item{{Key: "k", Entry: "a"}}, x.Known(n))
}

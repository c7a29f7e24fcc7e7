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
	s, _ := k.Claim("k", "a", d, now)
	require.Equal(t, idempotency.New, s)
	s, _ = k.Claim("k", "b", d, now)
	require.Equal(t, idempotency.Claimed, s)
	k.MarkRunning("k", "a", d)
	s, _ = k.Claim("k", "b", d, now)
	require.Equal(t, idempotency.Running, s)
	k.Finish("k", "a", &idempotency.RecordedResponse{Status: 201}, now)
	s, a := k.Claim("k", "b", d, now.Add(idempotency.Retention-time.Second))
	require.Equal(t, idempotency.Done, s)
	require.Equal(t, 201, a.Status)
	s, _ = k.Claim("k", "b", d, now.Add(idempotency.Retention+time.Second))
	require.Equal(t, idempotency.New, s, "a key is removed after its retention time")
}

func TestUnfinishedRequestCountsAsRunAfterItsDeadline(t *testing.T) {
	k := idempotency.NewTable()
	k.MarkRunning("k", "a", now.Add(time.Second))
	s, a := k.Lookup("k", now.Add(time.Minute))
	require.Equal(t, idempotency.Done, s)
	require.Nil(t, a)
}

func TestOnlyTheClaimingInstanceReleasesAKey(t *testing.T) {
	k := idempotency.NewTable()
	_, _ = k.Claim("k", "a", now.Add(time.Second), now)
	k.Release("k", "b")
	require.Equal(t, 1, k.Len())
	k.Release("k", "a")
	require.Zero(t, k.Len())
	k.Finish("k", "a", nil, now)
	k.Release("k", "a")
	require.Equal(t, 1, k.Len(), "the key of a request that has run is kept")
}

func TestClaimedKeyOutlivesTheListLag(t *testing.T) {
	k := idempotency.NewTable()
	_, _ = k.Claim("k", "a", now.Add(time.Millisecond), now)
	s, _ := k.Claim("k", "b", now.Add(time.Minute), now.Add(5*time.Second))
	require.Equal(t, idempotency.Claimed, s)
	s, _ = k.Lookup("k", now)
	require.Equal(t, idempotency.New, s, "Lookup returns New for a claimed key")
}

// A late message that the request is running, from an instance that does not know of its completion, must not change
// the state of the key back to running.
func TestFinishedKeyStaysDone(t *testing.T) {
	x := idempotency.NewTable()
	n := time.Now()
	x.MarkRunning("k", "a", n.Add(time.Second))
	require.Equal(t, []idempotency.KeyRecord{{Key: "k", Instance: "a", RunningUntil: n.Add(time.Second)}}, x.RunningAndDoneKeys(n))
	x.Finish("k", "a", nil, n)
	x.MarkRunning("k", "a", n.Add(time.Second))
	s, _ := x.Lookup("k", n)
	require.Equal(t, idempotency.Done, s)
	require.Equal(t, []idempotency.KeyRecord{{Key: "k", Instance: "a"}}, x.RunningAndDoneKeys(n))
}

// Clients that send a new key with each request made the table take all memory: it keeps each for ten minutes, with its response.
func TestFullTableRecordsNoResponses(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	x := idempotency.NewTable()
	x.Limit = 10_000
	response := func() *idempotency.RecordedResponse {
		return &idempotency.RecordedResponse{Status: 200, Header: map[string][]string{"A": {"b"}}, Body: make([]byte, 4000)}
	}
	for _, k := range []string{"a", "b", "c"} {
		require.False(t, x.IsFull(now))
		x.MarkRunning(k, "i", now.Add(time.Second))
		x.Finish(k, "i", response(), now)
	}
	require.True(t, x.IsFull(now))
	x.MarkRunning("d", "i", now.Add(time.Second))
	x.Finish("d", "i", response(), now)
	s, r := x.Lookup("d", now)
	require.Equal(t, idempotency.Done, s, "a key is kept although its response is not")
	require.Nil(t, r)
	_, r = x.Lookup("a", now)
	require.NotNil(t, r)
	require.False(t, x.IsFull(now.Add(idempotency.Retention+2*time.Second)))
	require.Zero(t, x.Bytes())
}

func TestMemoryOfReplacedAndReleasedKeysIsReturned(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	x := idempotency.NewTable()
	for range 3 {
		x.Claim("a", "i", now.Add(time.Second), now)
		x.MarkRunning("a", "i", now.Add(time.Second))
	}
	require.Less(t, x.Bytes(), 300)
	x.Release("a", "i")
	require.Zero(t, x.Bytes())
}

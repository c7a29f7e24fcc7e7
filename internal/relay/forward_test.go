package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"currantknot.dev/currantknot/internal/jobserve"
	"currantknot.dev/currantknot/internal/storepath"
)

// fakeAppender records forwarded appends and fails with err; if release is set, appends wait for it.
type fakeAppender struct {
	mu      sync.Mutex
	records []jobserve.Record
	err     error
	release chan struct{}
}

func (f *fakeAppender) append(ctx context.Context, l []jobserve.Record) error {
	f.mu.Lock()
	f.records = append(f.records, l...)
	err, release := f.err, f.release
	f.mu.Unlock()
	if release != nil {
		select {
		case <-release:
		case <-ctx.Done():
			return jobserve.ErrOutcomeUnknown
		}
	}
	return err
}

// connectForwarder connects an instance that forwards to the harness' owner.
func (h *harness) connectForwarder(f *fakeAppender) (*Agent, func()) {
	h.Helper()
	h.pool.Append = f.append
	_, a, stop := h.connectRelay("r", "north")
	a.SetAppender(h.address)
	h.eventually(func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.sessions[h.address] != nil
	})
	return a, stop
}

var forwarded = []jobserve.Record{{Key: "s/1", Value: []byte("spec")}, {Key: "c/2", Value: []byte{1}}}

func TestRecordsAreForwarded(t *testing.T) {
	h := newHarness(t)
	f := &fakeAppender{}
	a, _ := h.connectForwarder(f)
	sent, err := a.Forward(t.Context(), forwarded)
	require.True(t, sent)
	require.NoError(t, err)
	require.Equal(t, forwarded, f.records)
}

// Only a rejection of all records may be reported as such; anything else leaves the outcome unknown.
func TestOutcomeOfForwardedRecordsIsTrue(t *testing.T) {
	h := newHarness(t)
	f := &fakeAppender{err: jobserve.ErrNotAccepted}
	a, stop := h.connectForwarder(f)
	var e *jobserve.StoreError
	_, err := a.Forward(t.Context(), forwarded)
	require.ErrorAs(t, err, &e)
	require.True(t, e.NotApplied)
	f.mu.Lock()
	f.err = jobserve.ErrOutcomeUnknown
	f.mu.Unlock()
	_, err = a.Forward(t.Context(), forwarded)
	require.ErrorAs(t, err, &e)
	require.False(t, e.NotApplied)
	f.mu.Lock()
	f.err, f.release = nil, make(chan struct{})
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = a.Forward(ctx, forwarded)
	require.ErrorAs(t, err, &e)
	require.False(t, e.NotApplied, "the caller of the append has left, and the append goes on")
	time.AfterFunc(50*time.Millisecond, stop)
	sent, err := a.Forward(t.Context(), forwarded)
	require.True(t, sent)
	require.ErrorAs(t, err, &e)
	require.False(t, e.NotApplied, "the connection was lost")
	close(f.release)
}

func TestRecordsAreNotForwardedWithoutAConnection(t *testing.T) {
	h := newHarness(t)
	a, stop := h.connectForwarder(&fakeAppender{})
	stop()
	h.eventually(func() bool {
		sent, err := a.Forward(t.Context(), forwarded)
		return !sent && err == nil
	})
	a.SetAppender("")
	sent, err := a.Forward(t.Context(), forwarded)
	require.False(t, sent)
	require.NoError(t, err)
}

// reachOf returns what the harness' owner has said to a relay about its path to the store, and until when it is avoided.
func (h *harness) reachOf(a *Agent) storepath.Peer {
	l := a.Peers()
	if len(l) == 0 {
		return storepath.Peer{}
	}
	require.Equal(h, h.address, l[0].Address)
	return l[0]
}

func TestPeersTellWhetherTheyReachTheStore(t *testing.T) {
	h := newHarness(t)
	h.reach.Store(int64(storepath.ReachesStore))
	a, _ := h.connectForwarder(&fakeAppender{})
	h.eventually(func() bool { return h.reachOf(a).Reach == storepath.ReachesStore })
	h.reach.Store(int64(storepath.ReachesNothing))
	h.eventually(func() bool { return h.reachOf(a).Reach == storepath.ReachesNothing })
	sent, err := a.Forward(t.Context(), forwarded)
	require.NoError(t, err)
	require.False(t, sent, "an instance that does not reach the store appends for nobody")
}

// Instances of earlier versions say nothing, and read frames with the new field.
func TestReachOfEarlierVersionsIsUnknown(t *testing.T) {
	h := newHarness(t)
	a, _ := h.connectForwarder(&fakeAppender{})
	require.Equal(t, storepath.ReachUnknown, h.reachOf(a).Reach)
	b, err := msgpack.Marshal(&toRelay{Echo: 1, OwnerTime: 2, Owner: "owner", Reach: storepath.ReachesStore})
	require.NoError(t, err)
	var earlier struct {
		Echo      time.Duration
		OwnerTime time.Duration `msgpack:"At"`
		Owner     string
	}
	require.NoError(t, msgpack.Unmarshal(b, &earlier))
	require.Equal(t, "owner", earlier.Owner)
	b, err = msgpack.Marshal(&toRelay{Echo: 1, OwnerTime: 2})
	require.NoError(t, err)
	require.NotContains(t, string(b), "Reach", "the field is optional")
}

// A peer whose append failed was used again at once, also if it does not reach the store.
func TestPeerIsAvoidedAfterAFailedAppend(t *testing.T) {
	h := newHarness(t)
	f := &fakeAppender{}
	a, stop := h.connectForwarder(f)
	sent, err := a.HandOver(t.Context(), h.address, forwarded)
	require.True(t, sent)
	require.NoError(t, err)
	require.Zero(t, h.reachOf(a).AvoidUntil)
	f.mu.Lock()
	f.release = make(chan struct{})
	f.mu.Unlock()
	time.AfterFunc(50*time.Millisecond, stop)
	sent, err = a.HandOver(t.Context(), h.address, forwarded)
	require.True(t, sent)
	var e *jobserve.StoreError
	require.ErrorAs(t, err, &e)
	require.False(t, e.NotApplied, "the peer was lost in the middle of the append")
	a.mu.Lock()
	defer a.mu.Unlock()
	require.Greater(t, time.Until(a.avoidUntil[h.address]), avoidPeriod/2)
	close(f.release)
}

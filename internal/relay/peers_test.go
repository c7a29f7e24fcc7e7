package relay

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"currantknot.dev/currantknot/internal/jobserve"
	"currantknot.dev/currantknot/internal/storepath"
)

// peersFixture is an owner and a relay, both of which append for each other.
type peersFixture struct {
	*harness
	owner, relay                 *Node
	ownerAppender, relayAppender *fakeAppender
	stop                         func()
}

func newPeersFixture(t *testing.T) *peersFixture {
	f := &peersFixture{harness: newHarness(t), ownerAppender: &fakeAppender{}, relayAppender: &fakeAppender{}}
	f.relayAppend = f.relayAppender.append
	a, stop := f.connectForwarder(f.ownerAppender)
	f.stop = stop
	f.owner = &Node{Pool: f.pool, Agent: NewAgent(Hello{Name: "owner"}, &fakeWorkers{}, zerolog.Nop())}
	f.relay = &Node{Pool: NewPool(&fakeWorkers{}, 1, zerolog.Nop()), Agent: a}
	return f
}

// awaitReach waits until both say about the other that it reaches the store, or not.
func (f *peersFixture) awaitReach(r storepath.Reach) {
	f.Helper()
	f.reach.Store(int64(r))
	for _, n := range []*Node{f.owner, f.relay} {
		f.eventually(func() bool {
			l := n.Peers()
			return len(l) == 1 && l[0].Reach == r
		})
	}
}

func TestPeersTellWhetherTheyReachTheStore(t *testing.T) {
	f := newPeersFixture(t)
	f.awaitReach(storepath.ReachesStore)
	require.Equal(t, "r", f.owner.Peers()[0].Name)
	require.Equal(t, "owner", f.relay.Peers()[0].Name)
	f.awaitReach(storepath.ReachesNothing)
	sent, err := f.relay.Forward(t.Context(), forwarded)
	require.NoError(t, err)
	require.False(t, sent, "an instance that does not reach the store appends for nobody")
	sent, err = f.relay.HandOver(t.Context(), "owner", forwarded)
	require.NoError(t, err)
	require.False(t, sent)
}

// An owner that was cut off from the store soon after its start knew no other member, although all were connected to it.
func TestRecordsAreHandedOverInBothDirections(t *testing.T) {
	f := newPeersFixture(t)
	f.awaitReach(storepath.ReachesStore)
	sent, err := f.owner.HandOver(t.Context(), "r", forwarded)
	require.True(t, sent)
	require.NoError(t, err)
	require.Equal(t, forwarded, f.relayAppender.records)
	sent, err = f.relay.HandOver(t.Context(), "owner", forwarded)
	require.True(t, sent)
	require.NoError(t, err)
	require.Equal(t, forwarded, f.ownerAppender.records)
}

func TestRejectionByAPeerIsToldFromAnUnknownOutcome(t *testing.T) {
	f := newPeersFixture(t)
	f.awaitReach(storepath.ReachesStore)
	f.relayAppender.err = &jobserve.RejectedError{}
	_, err := f.owner.HandOver(t.Context(), "r", forwarded)
	var e *jobserve.StoreError
	require.ErrorAs(t, err, &e)
	require.True(t, e.NotApplied)
	f.relayAppender.mu.Lock()
	f.relayAppender.err = jobserve.ErrOutcomeUnknown
	f.relayAppender.mu.Unlock()
	_, err = f.owner.HandOver(t.Context(), "r", forwarded)
	require.ErrorAs(t, err, &e)
	require.False(t, e.NotApplied)
}

// A peer whose append failed was used again at once, also if it does not reach the store.
func TestPeerIsAvoidedAfterAFailedAppend(t *testing.T) {
	f := newPeersFixture(t)
	f.awaitReach(storepath.ReachesStore)
	sent, err := f.relay.HandOver(t.Context(), "owner", forwarded)
	require.True(t, sent)
	require.NoError(t, err)
	require.Zero(t, f.relay.Peers()[0].AvoidUntil)
	f.ownerAppender.mu.Lock()
	f.ownerAppender.release = make(chan struct{})
	f.ownerAppender.mu.Unlock()
	time.AfterFunc(50*time.Millisecond, f.stop)
	sent, err = f.relay.HandOver(t.Context(), "owner", forwarded)
	require.True(t, sent)
	var e *jobserve.StoreError
	require.ErrorAs(t, err, &e)
	require.False(t, e.NotApplied, "the peer was lost in the middle of the append")
	require.Greater(t, time.Until(f.relay.avoided.get("owner")), avoidPeriod/2)
	close(f.ownerAppender.release)
}

// Instances of earlier versions say nothing, and read frames with the new fields.
func TestReachOfEarlierVersionsIsUnknown(t *testing.T) {
	f := newPeersFixture(t)
	f.awaitReach(storepath.ReachUnknown)
	b, err := msgpack.Marshal(&toRelay{Echo: 1, OwnerTime: 2, Owner: "owner", Reach: storepath.ReachesStore})
	require.NoError(t, err)
	var earlier struct {
		Echo      time.Duration
		OwnerTime time.Duration `msgpack:"At"`
		Owner     string
	}
	require.NoError(t, msgpack.Unmarshal(b, &earlier))
	require.Equal(t, "owner", earlier.Owner)
	for _, m := range []any{&toRelay{Echo: 1, OwnerTime: 2}, &toOwner{Ping: 1}} {
		b, err = msgpack.Marshal(m)
		require.NoError(t, err)
		require.NotContains(t, string(b), "Reach", "the field is optional")
	}
}

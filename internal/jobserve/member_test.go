package jobserve

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// fakeGroup is a Store that implements only Join and Members.
type fakeGroup struct {
	Store

	mu         sync.Mutex
	membership Membership
	members    []string
	// silent means that joins get no response.
	silent bool
	// unanswered is the number of joins that get no response before one does.
	unanswered int
}

func (f *fakeGroup) Join(ctx context.Context, _ int64, _ time.Duration) (Membership, error) {
	if f.isLost() {
		<-ctx.Done()
		return Membership{}, &StoreError{Call: "join", Cause: ctx.Err()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.membership, nil
}

// isLost reports whether the next join gets no response.
func (f *fakeGroup) isLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unanswered--
	return f.silent || f.unanswered >= 0
}

func (f *fakeGroup) Members(context.Context) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members, nil
}

// set replaces the members and begins a new generation.
func (f *fakeGroup) set(next bool, members []Identity) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.membership = Membership{Generation: f.membership.Generation + 1, NextOwner: next}
	f.members = nil
	for _, m := range members {
		f.members = append(f.members, m.String())
	}
}

func (f *fakeGroup) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

func (f *fakeGroup) setUnanswered(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unanswered = n
}

// memberFixture is a member whose renewals the test triggers one at a time.
type memberFixture struct {
	*testing.T
	member    *Member
	group     *fakeGroup
	incumbent string
	// respondedAt is the time of the latest response of the incumbent, from which on it is silent.
	respondedAt time.Time
	// refusedAt is from when on the incumbent's instance refuses connections.
	refusedAt time.Time
	// stopOwner makes the running owner return.
	stopOwner chan struct{}
}

func newMemberFixture(t *testing.T) *memberFixture {
	f := &memberFixture{T: t, group: &fakeGroup{}, stopOwner: make(chan struct{})}
	x := testIdentity(1, 0.4)
	f.member = NewMember(MemberConfig{
		Store: f.group, Identity: x, Logger: zerolog.Nop(), OnGroup: func(group, string) {},
		Incumbent:    func(context.Context) (Claim, error) { return Claim{Identity: f.incumbent}, nil },
		SilentSince:  func(string) time.Time { return f.respondedAt },
		RefusedSince: func(string) time.Time { return f.refusedAt },
		RunOwner: func(ctx context.Context, _ Claim) {
			f.incumbent = x.String()
			select {
			case <-ctx.Done():
			case <-f.stopOwner:
			}
		},
	})
	t.Cleanup(func() { f.member.stopOwner("the test ends") })
	return f
}

// renew changes the group and renews the membership.
func (f *memberFixture) renew(next bool, members ...Identity) {
	f.group.set(next, members)
	f.member.renew(f.Context())
}

func TestFirstOwnerIsElectedByTheStore(t *testing.T) {
	f := newMemberFixture(t)
	f.renew(false, testIdentity(1, 0.4))
	require.False(t, f.member.IsOwner())
	f.renew(true, testIdentity(1, 0.4))
	require.True(t, f.member.IsOwner())
}

// The ownership moved when members joined or left, and each move delayed the jobs by a second.
func TestOwnerStaysWhileItIsAMember(t *testing.T) {
	f := newMemberFixture(t)
	f.renew(true, testIdentity(1, 0.4))
	f.renew(false, testIdentity(1, 0.4), testIdentity(2, 0.4))
	require.True(t, f.member.IsOwner())
}

func TestNextOwnerWaitsUntilTheIncumbentHasLeft(t *testing.T) {
	f := newMemberFixture(t)
	f.incumbent = testIdentity(2, 0.4).String()
	f.renew(true, testIdentity(1, 0.4), testIdentity(2, 0.4))
	require.False(t, f.member.IsOwner())
	f.renew(true, testIdentity(1, 0.4))
	require.True(t, f.member.IsOwner())
}

// The store named a process that had been killed, whose joins it executed late, and no member took over.
func TestMemberTakesOverIfTheNextOwnerDoesNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemberFixture(t)
		f.incumbent = testIdentity(2, 0.4).String()
		f.renew(false, testIdentity(1, 0.4), testIdentity(3, 0.4))
		require.False(t, f.member.IsOwner(), "the next owner comes first")
		time.Sleep(takeoverPatience)
		f.incumbent = testIdentity(3, 0.4).String()
		f.renew(false, testIdentity(1, 0.4))
		require.False(t, f.member.IsOwner(), "the patience begins anew with each owner")
		time.Sleep(memberLease + 2*takeoverPatience)
		f.renew(false, testIdentity(1, 0.4))
		require.True(t, f.member.IsOwner())
	})
}

// renewFor renews the membership every renewInterval with the given members.
func (f *memberFixture) renewFor(d time.Duration, members ...Identity) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(renewInterval) {
		f.renew(true, members...)
	}
}

// The store still listed a killed owner, because it executed its joins late.
func TestSilentOwnerIsReplacedWhileJoinsMayBeExecutedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemberFixture(t)
		l := []Identity{testIdentity(1, 0.4), testIdentity(2, 0.4)}
		f.incumbent, f.respondedAt = l[1].String(), time.Now()
		f.renewFor(2*maxSilence, l...)
		require.False(t, f.member.IsOwner(), "the store has answered each call, so that its list is right")
		f.group.setUnanswered(1)
		f.respondedAt = time.Now()
		f.renewFor(maxSilence, l...)
		require.False(t, f.member.IsOwner())
		f.renewFor(2*renewInterval, l...)
		require.True(t, f.member.IsOwner())
	})
}

// A killed owner whose instance refuses connections was waited for as long as one that is only silent.
func TestOwnerThatRefusesConnectionsIsReplacedSooner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemberFixture(t)
		l := []Identity{testIdentity(1, 0.4), testIdentity(2, 0.4)}
		f.incumbent, f.respondedAt = l[1].String(), time.Now()
		f.renewFor(2*maxSilence, l...)
		f.group.setUnanswered(1)
		f.respondedAt, f.refusedAt = time.Now(), time.Now()
		f.renewFor(maxRefusal, l...)
		require.False(t, f.member.IsOwner())
		f.renewFor(2*renewInterval, l...)
		require.True(t, f.member.IsOwner())
	})
}

// Relays connected to a new owner only once the store listed it, so that one that was killed before had never responded.
func TestIncumbentThatTheStoreDoesNotListIsMadeKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemberFixture(t)
		var known string
		f.member.OnGroup = func(_ group, incumbent string) { known = incumbent }
		f.incumbent = testIdentity(2, 0.4).String()
		f.renew(false, testIdentity(1, 0.4))
		require.Equal(t, f.incumbent, known)
	})
}

func TestInstanceThatWasCutOffTrustsTheStoreAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemberFixture(t)
		l := []Identity{testIdentity(1, 0.4), testIdentity(2, 0.4)}
		f.incumbent, f.respondedAt = l[1].String(), time.Now()
		f.renewFor(2*maxSilence, l...)
		f.respondedAt = time.Now()
		f.group.setSilent(true)
		f.renewFor(2*maxSilence, l...)
		f.group.setSilent(false)
		f.renewFor(time.Second, l...)
		require.False(t, f.member.IsOwner(), "its connection to the owner may not be restored yet")
	})
}

func TestFormerOwnerDoesNotTakeOverFromASilentOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemberFixture(t)
		l := []Identity{testIdentity(1, 0.4), testIdentity(2, 0.4)}
		f.renewFor(2*maxSilence, l[0])
		f.stopOwner <- struct{}{}
		synctest.Wait()
		f.incumbent, f.respondedAt = l[1].String(), time.Now()
		f.group.setUnanswered(1)
		f.renewFor(maxSilence+time.Second, l...)
		require.False(t, f.member.IsOwner())
	})
}

func TestLaterProcessOnTheOwnersInstanceMeansThatTheOwnerIsGone(t *testing.T) {
	f := newMemberFixture(t)
	f.incumbent = testIdentity(2, 0.4).String()
	restarted := testIdentity(2, 0.4)
	restarted.Start += "0"
	f.renew(true, testIdentity(1, 0.4), testIdentity(2, 0.4), restarted)
	require.True(t, f.member.IsOwner())
}

// A member that had just joined took over, and was replaced at once, because killed members still held its partitions.
func TestNewOwnerStaysAlthoughTheStoreDoesNotListItYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemberFixture(t)
		f.incumbent = testIdentity(2, 0.4).String()
		f.renew(false, testIdentity(1, 0.4))
		f.incumbent = testIdentity(3, 0.4).String()
		f.renewFor(memberLease, testIdentity(1, 0.4))
		require.False(t, f.member.IsOwner())
		f.renewFor(time.Second, testIdentity(1, 0.4))
		require.True(t, f.member.IsOwner(), "it is gone")
	})
}

// A process that restarted on the incumbent's instance has a new identity, so the incumbent is gone.
func TestRestartedIncumbentIsReplaced(t *testing.T) {
	f := newMemberFixture(t)
	f.incumbent = testIdentity(2, 0.4).String()
	restarted := testIdentity(2, 0.4)
	restarted.Start = "later"
	f.renew(true, testIdentity(1, 0.4), restarted)
	require.True(t, f.member.IsOwner())
}

// After all instances had been restarted together, the jobs had no owner until the memberships of their former processes ended.
func TestRestartedOwnerTakesOverAtOnce(t *testing.T) {
	f := newMemberFixture(t)
	former := testIdentity(1, 0.4)
	former.Start = ""
	f.incumbent = former.String()
	f.renew(false, former, testIdentity(2, 0.4))
	require.True(t, f.member.IsOwner())
}

// A member that had just started replaced an owner that had just taken over, since killed members still held its partitions.
func TestOwnerThatJustStartedIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemberFixture(t)
		f.incumbent = NewIdentity("node-02", 0.4, "10.0.0.2:7720", time.Now()).String()
		f.renewFor(memberLease, testIdentity(1, 0.4))
		require.False(t, f.member.IsOwner())
		f.renewFor(time.Second, testIdentity(1, 0.4))
		require.True(t, f.member.IsOwner(), "it is gone")
	})
}

func TestIncumbentRestartsItsOwner(t *testing.T) {
	f := newMemberFixture(t)
	f.renew(true, testIdentity(1, 0.4))
	f.stopOwner <- struct{}{}
	require.Eventually(t, func() bool { return !f.member.IsOwner() }, time.Minute, time.Millisecond)
	f.renew(false, testIdentity(1, 0.4))
	require.True(t, f.member.IsOwner())
	f.stopOwner <- struct{}{}
	require.Eventually(t, func() bool { return !f.member.IsOwner() }, time.Minute, time.Millisecond)
	f.incumbent = testIdentity(2, 0.4).String()
	f.renew(false, testIdentity(1, 0.4), testIdentity(2, 0.4))
	require.False(t, f.member.IsOwner(), "another process has taken over")
}

// The store executed a join after the member had left: the membership was revived, and nobody renewed it.
func TestMemberStaysWhileItsJoinMayStillBeExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemberFixture(t)
		l := []Identity{testIdentity(1, 0.4), testIdentity(2, 0.8), testIdentity(3, 0.8), testIdentity(4, 0.8)}
		f.group.setSilent(true)
		f.renew(false, l...)
		f.group.setSilent(false)
		f.renew(false, l...)
		time.Sleep(longestLateDelay)
		require.False(t, f.member.isRedundant(t.Context()))
		time.Sleep(2 * time.Second)
		require.True(t, f.member.isRedundant(t.Context()))
	})
}

// A member waited 0.9 s for each response, so that three that were lost in a row ended its membership.
func TestLostResponseDelaysARenewalByLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemberFixture(t)
		f.group.setUnanswered(2)
		startedAt := time.Now()
		f.renew(false, testIdentity(1, 0.4))
		require.True(t, f.member.MayBecomeOwner(), "the renewal has succeeded")
		require.Less(t, time.Since(startedAt), 700*time.Millisecond)
		f.group.set(false, []Identity{testIdentity(2, 0.8), testIdentity(3, 0.8), testIdentity(4, 0.8)})
		require.False(t, f.member.isRedundant(t.Context()), "the lost joins may still be executed")
	})
}

// longestLateDelay is the longest time from a call without a response to its execution that was seen.
const longestLateDelay = 6 * time.Second

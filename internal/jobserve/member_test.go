package jobserve

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// fakeGroup is a Store that implements only the group membership.
type fakeGroup struct {
	Store

	mu         sync.Mutex
	membership Membership
	members    []string
}

func (f *fakeGroup) Join(context.Context, int64, time.Duration) (Membership, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.membership, nil
}

func (f *fakeGroup) Members(context.Context) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members, nil
}

// memberFixture is a member whose renewals the test triggers one at a time.
type memberFixture struct {
	*testing.T
	member    *Member
	group     *fakeGroup
	incumbent string
	// stopOwner makes the running owner return.
	stopOwner chan struct{}
}

func newMemberFixture(t *testing.T) *memberFixture {
	s := &memberFixture{T: t, group: &fakeGroup{}, stopOwner: make(chan struct{})}
	x := testIdentity(1, 0.4)
	s.member = NewMember(MemberConfig{
		Store: s.group, Identity: x, Logger: zerolog.Nop(), OnGroup: func(group) {},
		Incumbent: func(context.Context) (string, error) { return s.incumbent, nil },
		RunOwner: func(ctx context.Context) {
			s.incumbent = x.String()
			select {
			case <-ctx.Done():
			case <-s.stopOwner:
			}
		},
	})
	t.Cleanup(func() { s.member.stopOwner("the test ends") })
	return s
}

// renew changes the group and renews the membership.
func (s *memberFixture) renew(next bool, members ...Identity) {
	s.group.membership = Membership{Generation: s.group.membership.Generation + 1, Next: next}
	s.group.members = nil
	for _, m := range members {
		s.group.members = append(s.group.members, m.String())
	}
	s.member.renew(s.Context())
}

func TestFirstOwnerIsTheOneThatTheStoreNames(t *testing.T) {
	s := newMemberFixture(t)
	s.renew(false, testIdentity(1, 0.4))
	require.False(t, s.member.IsOwner())
	s.renew(true, testIdentity(1, 0.4))
	require.True(t, s.member.IsOwner())
}

// Members that joined or left moved the ownership, and each move stopped the scheduling of jobs for a second.
func TestOwnerStaysWhileItIsAMember(t *testing.T) {
	s := newMemberFixture(t)
	s.renew(true, testIdentity(1, 0.4))
	s.renew(false, testIdentity(1, 0.4), testIdentity(2, 0.4))
	require.True(t, s.member.IsOwner())
}

func TestNextOwnerWaitsUntilTheIncumbentIsGone(t *testing.T) {
	s := newMemberFixture(t)
	s.incumbent = testIdentity(2, 0.4).String()
	s.renew(true, testIdentity(1, 0.4), testIdentity(2, 0.4))
	require.False(t, s.member.IsOwner())
	s.renew(true, testIdentity(1, 0.4))
	require.True(t, s.member.IsOwner())
}

// A process that restarted on the incumbent's instance has a new identity, so the incumbent is gone.
func TestIncumbentThatBeganAnewIsGone(t *testing.T) {
	s := newMemberFixture(t)
	s.incumbent = testIdentity(2, 0.4).String()
	restarted := testIdentity(2, 0.4)
	restarted.Start = "later"
	s.renew(true, testIdentity(1, 0.4), restarted)
	require.True(t, s.member.IsOwner())
}

func TestIncumbentWhoseOwnerEndedBeginsAgain(t *testing.T) {
	s := newMemberFixture(t)
	s.renew(true, testIdentity(1, 0.4))
	s.stopOwner <- struct{}{}
	require.Eventually(t, func() bool { return !s.member.IsOwner() }, time.Minute, time.Millisecond)
	s.renew(false, testIdentity(1, 0.4))
	require.True(t, s.member.IsOwner())
	s.stopOwner <- struct{}{}
	require.Eventually(t, func() bool { return !s.member.IsOwner() }, time.Minute, time.Millisecond)
	s.incumbent = testIdentity(2, 0.4).String()
	s.renew(false, testIdentity(1, 0.4), testIdentity(2, 0.4))
	require.False(t, s.member.IsOwner(), "another process has taken over")
}

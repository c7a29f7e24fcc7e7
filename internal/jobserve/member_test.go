package jobserve

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// fakeGroup is a store of which only the group is used.
type fakeGroup struct {
	Store

	mu      sync.Mutex
	answer  Membership
	members []string
}

func (f *fakeGroup) Join(context.Context, int64, time.Duration) (Membership, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answer, nil
}

func (f *fakeGroup) Members(context.Context) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members, nil
}

// memberScene is a member whose renewals are made one by one.
type memberScene struct {
	*testing.T
	member    *Member
	group     *fakeGroup
	incumbent string
	// stop ends the owner that runs.
	stop chan struct{}
}

func newMemberScene(t *testing.T) *memberScene {
	s := &memberScene{T: t, group: &fakeGroup{}, stop: make(chan struct{})}
	x := testIdentity(1, 0.4)
	s.member = NewMember(MemberConfig{
		Store: s.group, Identity: x, Logger: zerolog.Nop(), Seen: func(group) {},
		Incumbent: func(context.Context) (string, error) { return s.incumbent, nil },
		Own: func(ctx context.Context) {
			s.incumbent = x.String()
			select {
			case <-ctx.Done():
			case <-s.stop:
			}
		},
	})
	t.Cleanup(func() { s.member.end("the test ends") })
	return s
}

// renew renews the membership as the group has become.
func (s *memberScene) renew(next bool, members ...Identity) {
	s.group.answer = Membership{Generation: s.group.answer.Generation + 1, Next: next}
	s.group.members = nil
	for _, m := range members {
		s.group.members = append(s.group.members, m.String())
	}
	s.member.renew(s.Context())
}

func TestFirstOwnerIsTheOneThatTheStoreNames(t *testing.T) {
	s := newMemberScene(t)
	s.renew(false, testIdentity(1, 0.4))
	require.False(t, s.member.IsOwner())
	s.renew(true, testIdentity(1, 0.4))
	require.True(t, s.member.IsOwner())
}

// Members that came and went moved the ownership, and each move cost the jobs a second.
func TestOwnerStaysWhileItIsAMember(t *testing.T) {
	s := newMemberScene(t)
	s.renew(true, testIdentity(1, 0.4))
	s.renew(false, testIdentity(1, 0.4), testIdentity(2, 0.4))
	require.True(t, s.member.IsOwner())
}

func TestNextOwnerWaitsUntilTheIncumbentIsGone(t *testing.T) {
	s := newMemberScene(t)
	s.incumbent = testIdentity(2, 0.4).String()
	s.renew(true, testIdentity(1, 0.4), testIdentity(2, 0.4))
	require.False(t, s.member.IsOwner())
	s.renew(true, testIdentity(1, 0.4))
	require.True(t, s.member.IsOwner())
}

// A process that began anew at the incumbent's instance has another identity.
func TestIncumbentThatBeganAnewIsGone(t *testing.T) {
	s := newMemberScene(t)
	s.incumbent = testIdentity(2, 0.4).String()
	again := testIdentity(2, 0.4)
	again.Start = "later"
	s.renew(true, testIdentity(1, 0.4), again)
	require.True(t, s.member.IsOwner())
}

func TestIncumbentWhoseOwnerEndedBeginsAgain(t *testing.T) {
	s := newMemberScene(t)
	s.renew(true, testIdentity(1, 0.4))
	s.stop <- struct{}{}
	require.Eventually(t, func() bool { return !s.member.IsOwner() }, time.Minute, time.Millisecond)
	s.renew(false, testIdentity(1, 0.4))
	require.True(t, s.member.IsOwner())
	s.stop <- struct{}{}
	require.Eventually(t, func() bool { return !s.member.IsOwner() }, time.Minute, time.Millisecond)
	s.incumbent = testIdentity(2, 0.4).String()
	s.renew(false, testIdentity(1, 0.4), testIdentity(2, 0.4))
	require.False(t, s.member.IsOwner(), "another process took over")
}

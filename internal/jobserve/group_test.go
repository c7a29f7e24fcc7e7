package jobserve

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testIdentity(n int, processors float64) Identity {
	return NewIdentity(fmt.Sprintf("node-%02d", n), processors, fmt.Sprintf("10.0.0.%d:7720", n), time.Unix(int64(n), 0))
}

func TestIdentityRoundTrip(t *testing.T) {
	x := testIdentity(3, 0.16)
	require.Equal(t, x, parseIdentity(x.String()))
	require.Equal(t, Identity{Name: "foreign"}, parseIdentity("foreign"))
}

// All 41 instances were lost together and joined the group again, and one with little CPU became the owner of the jobs of 350
// workers. Members must leave until the three with the most CPU remain.
func TestGroupKeepsTheMembersWithMostCPU(t *testing.T) {
	var g group
	for n := range 41 {
		p := 0.11
		if n%8 == 0 {
			p = 0.8
		}
		g = append(g, testIdentity(n, p))
	}
	for changed := true; changed; {
		changed = false
		for i, x := range g {
			if g.isRedundant(x, i == 1) {
				g = append(g[:i:i], g[i+1:]...)
				changed = true
				break
			}
		}
	}
	require.Len(t, g, targetMembers)
	for _, x := range g {
		require.InDelta(t, 0.8, x.Processors, 1e-9)
	}
}

func TestEqualInstancesDoNotReplaceMembers(t *testing.T) {
	g := group{testIdentity(5, 0.4), testIdentity(6, 0.4), testIdentity(7, 0.4)}
	require.False(t, g.needsMember(testIdentity(1, 0.4)))
	for _, x := range g {
		require.False(t, g.isRedundant(x, false))
	}
	restarted := testIdentity(5, 0.4)
	restarted.Start += "0"
	require.True(t, g.needsMember(restarted), "its earlier process no longer runs")
	require.True(t, g.needsMember(testIdentity(1, 0.8)), "an instance with more CPU joins")
	require.True(t, g[:2].needsMember(testIdentity(1, 0.1)), "an instance with less CPU joins a group that is too small")
}

func TestOwnerYieldsOnlyToMembersWithMoreCPU(t *testing.T) {
	g := group{testIdentity(1, 0.4), testIdentity(2, 0.4), testIdentity(3, 0.4), testIdentity(4, 0.4)}
	require.True(t, g.isRedundant(g[3], false))
	require.False(t, g.isRedundant(g[3], true))
	small := testIdentity(9, 0.1)
	require.True(t, append(g, small).isRedundant(small, true))
	require.True(t, group{g[0], small}.isRedundant(small, true), "one member with more CPU is enough")
}

func TestNextOwnerIsAMemberWithMostCPU(t *testing.T) {
	a, b, small := testIdentity(1, 0.8), testIdentity(2, 0.8), testIdentity(3, 0.11)
	require.True(t, group{a, b}.isNextOwner(b, "", true), "members of similar CPU leave it to the store")
	require.False(t, group{a, b}.isNextOwner(a, "", false))
	mixed := group{a, b, small}
	require.False(t, mixed.isNextOwner(small, "", true))
	require.True(t, mixed.isNextOwner(a, "", false))
	require.False(t, mixed.isNextOwner(b, "", true))
	require.True(t, mixed.isNextOwner(b, a.String(), false), "the incumbent that is still listed does not count")
	require.True(t, group{small}.isNextOwner(small, "", true))
}

func TestAppenderIsAStrongMemberThatSeldomOwnsTheJobs(t *testing.T) {
	a, b, small := testIdentity(1, 0.8), testIdentity(2, 0.8), testIdentity(3, 0.11)
	g := group{a, small, b}
	require.Equal(t, b.Address, g.appender(small))
	require.Equal(t, b.Address, g.appender(a))
	require.Empty(t, g.appender(b), "it appends by itself")
	require.Empty(t, group{}.appender(a))
}

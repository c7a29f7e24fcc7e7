package jobserve

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// simulatedGroup deals the partitions of a topic to members as the platform's store does, and keeps the newest claim.
type simulatedGroup struct {
	// latency is the duration of each call.
	latency time.Duration

	mu         sync.Mutex
	generation int64
	members    map[string]time.Time
	// targets and holders hold, by partition, to whom it is dealt and who has it.
	targets [simulatedPartitions]string
	holders [simulatedPartitions]string
	claim   Claim
	// takeovers is the number of claims, and claimants holds who made them.
	takeovers int
	claimants []string
	// cut holds the members whose calls fail.
	cut map[string]bool
}

// errCut is the error of a call by a member that is cut off from the store.
var errCut = errors.New("cut off")

// isCut reports whether the calls of a member fail.
func (g *simulatedGroup) isCut(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut[name]
}

const simulatedPartitions = 12

// simulatedMember is the store as one member sees it.
type simulatedMember struct {
	Store
	*simulatedGroup
	name string
}

func (g *simulatedGroup) deal() {
	g.generation++
	l := slices.Sorted(maps.Keys(g.members))
	for i, h := range g.holders {
		g.targets[i] = ""
		if len(l) > 0 {
			g.targets[i] = l[i%len(l)]
		}
		if _, ok := g.members[h]; !ok {
			g.holders[i] = g.targets[i]
		}
	}
}

func (g *simulatedGroup) expire() {
	n := len(g.members)
	maps.DeleteFunc(g.members, func(_ string, t time.Time) bool { return time.Now().After(t) })
	if len(g.members) < n {
		g.deal()
	}
}

func (m *simulatedMember) Join(_ context.Context, generation int64, lease time.Duration) (Membership, error) {
	time.Sleep(m.latency)
	if m.isCut(m.name) {
		return Membership{}, errCut
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	_, known := m.members[m.name]
	m.members[m.name] = time.Now().Add(lease)
	if !known {
		m.deal()
	}
	for i, h := range m.holders {
		if h == m.name && generation >= m.generation {
			m.holders[i] = m.targets[i]
		}
	}
	return Membership{m.generation, m.holders[0] == m.name && m.targets[0] == m.name}, nil
}

func (m *simulatedMember) Leave(context.Context) error {
	time.Sleep(m.latency)
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.members[m.name]; ok {
		delete(m.members, m.name)
		m.deal()
	}
	return nil
}

func (m *simulatedMember) Members(context.Context) ([]string, error) {
	time.Sleep(m.latency)
	if m.isCut(m.name) {
		return nil, errCut
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	l := slices.Clone(m.holders[:])
	slices.Sort(l)
	return slices.DeleteFunc(slices.Compact(l), func(s string) bool { return s == "" }), nil
}

func (g *simulatedGroup) newest(context.Context) (Claim, error) {
	time.Sleep(g.latency)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.claim, nil
}

// own claims the jobs, and runs until the context ends or another has claimed them.
func (m *simulatedMember) own(ctx context.Context, predecessor Claim) {
	sleep(ctx, m.latency)
	m.mu.Lock()
	if !m.claim.isSameOwnership(predecessor) {
		m.mu.Unlock()
		return
	}
	c := Claim{Identity: m.name, Epoch: predecessor.Epoch + 1}
	m.claim = c
	m.takeovers++
	m.claimants = append(m.claimants, m.name)
	m.mu.Unlock()
	for ctx.Err() == nil {
		if x, _ := m.newest(ctx); x != c {
			return
		}
		sleep(ctx, renewInterval)
	}
}

// startMembers runs a member for each number of processors, all started together, and stops them when the test ends.
func startMembers(t *testing.T, g *simulatedGroup, processors []float64) {
	ctx, cancel := context.WithCancel(t.Context())
	var w sync.WaitGroup
	for i, n := range processors {
		x := testIdentity(i, n)
		s := &simulatedMember{simulatedGroup: g, name: x.String()}
		m := NewMember(MemberConfig{
			Store: s, Identity: x, Logger: zerolog.Nop(), OnGroup: func(group, string) {}, RunOwner: s.own, Incumbent: g.newest,
			SilentSince:  func(string) time.Time { return time.Time{} },
			RefusedSince: func(string) time.Time { return time.Time{} },
		})
		w.Go(func() { m.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		w.Wait()
		time.Sleep(joinTimeout)
	})
}

// While the store was slow, each join was repeated, and the one that was given up kept the member from leaving.
func TestManyInstancesThatStartTogetherElectOneOwner(t *testing.T) {
	for _, latency := range []time.Duration{30 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &simulatedGroup{latency: latency, members: make(map[string]time.Time)}
				startMembers(t, g, slices.Repeat([]float64{0.4}, 40))
				time.Sleep(10 * time.Second)
				g.mu.Lock()
				n := g.takeovers
				require.NotZero(t, n)
				require.LessOrEqual(t, len(g.members), targetMembers+1)
				g.mu.Unlock()
				time.Sleep(time.Minute)
				g.mu.Lock()
				defer g.mu.Unlock()
				require.Equal(t, n, g.takeovers, "the owner stays")
			})
		})
	}
}

// The owner and another strong member were cut off from the store. All weak instances joined at once, the store named one of them
// as the next owner, and it kept the jobs of 350 workers for 13 s although two strong members were left.
func TestStrongMemberSucceedsWhenOthersAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const strong = 0.8
		g := &simulatedGroup{latency: 10 * time.Millisecond, members: make(map[string]time.Time), cut: make(map[string]bool)}
		// The store deals the first partition to the first member by name, which is a weak one if there is any.
		startMembers(t, g, append(slices.Repeat([]float64{0.11}, 34), slices.Repeat([]float64{strong}, 6)...))
		time.Sleep(10 * time.Second)
		g.mu.Lock()
		first := g.claim.Identity
		g.cut[first] = true
		for m := range g.members {
			if m != first {
				g.cut[m] = true
				break
			}
		}
		g.mu.Unlock()
		time.Sleep(6 * time.Second)
		g.mu.Lock()
		defer g.mu.Unlock()
		require.NotEqual(t, first, g.claim.Identity)
		for _, c := range g.claimants {
			require.InDelta(t, strong, parseIdentity(c).Processors, 1e-9, c)
		}
	})
}

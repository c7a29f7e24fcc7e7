package jobserve

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// memberLease is the time without a renewal after which the store assigns this instance's partition to another.
	memberLease = 2500 * time.Millisecond
	// renewInterval is the time between two renewals of the membership.
	renewInterval = 300 * time.Millisecond
	// groupPollInterval is the time between two reads of the group by an instance outside it.
	groupPollInterval = 700 * time.Millisecond
	// redundancyCheckInterval is the time between two checks by a member whether the group has enough others.
	redundancyCheckInterval = 1500 * time.Millisecond
	// ownershipCheckInterval is the time between two checks whether this instance should own the jobs, in addition to the
	// checks when the group changes.
	ownershipCheckInterval = 900 * time.Millisecond
	// targetMembers is the number of instances that the group needs for the jobs to get a new owner when one is lost.
	// With more members, replacing any instance would change the group and with it the owner.
	targetMembers = 3
	// maxJoinJitter is the longest random delay of the first read of the group; it prevents all instances from
	// joining when they start together.
	maxJoinJitter = 200 * time.Millisecond
	// oneCoreJoinDelay is the join delay of an instance with one processor. The delay is inversely proportional to the number
	// of processors, up to maxJoinDelay, so that instances with more CPU join first.
	oneCoreJoinDelay = 150 * time.Millisecond
	maxJoinDelay     = 2 * time.Second
	// joinTimeout bounds one call that joins or reads the group, or reads the incumbent or the worker list.
	joinTimeout = 900 * time.Millisecond
	// leaveTimeout bounds the call that gives up the membership.
	leaveTimeout = 700 * time.Millisecond
)

// MemberConfig holds the dependencies and callbacks of a member.
type MemberConfig struct {
	Store    Store
	Identity Identity
	Logger   zerolog.Logger
	// RunOwner owns the jobs until its context ends or another owner has taken over.
	RunOwner func(ctx context.Context)
	// OnGroup is called with the group after each read of it.
	OnGroup func(group)
	// Incumbent returns the identity of the process that last became the owner, empty if there was none.
	Incumbent func(ctx context.Context) (string, error)
}

// Member maintains this instance's membership of the group and runs the owner while this instance is elected.
//
// The store names one member as the next owner, and may name another whenever
// members join or leave. The incumbent remains the owner for as long as it is a
// member; the next owner takes over once the incumbent has left the group. If
// two instances believe that they are the owner, fencing rejects the older one.
type Member struct {
	MemberConfig
	// renewedAt is the start of the latest successful renewal, in nanoseconds since 1970.
	renewedAt  atomic.Int64
	suspension *suspensionDetector

	// joined means that the store may hold a membership of this instance.
	joined bool
	// redundancyCheckedAt and ownershipCheckedAt are the times of the latest checks.
	redundancyCheckedAt time.Time
	ownershipCheckedAt  time.Time
	// usedStartDelay means that this instance has been needed before. The first time, the delay at the start of Run suffices;
	// each later time the instance waits for joinDelay and checks again.
	usedStartDelay bool
	joinDelay      time.Duration
	generation     int64
	// startedOwner means that this process has owned the jobs, or tried to.
	startedOwner bool

	mu          sync.Mutex
	cancelOwner context.CancelFunc
	ownerDone   chan struct{}
}

// NewMember returns a member whose join delay is shorter the more CPU it has, because the owner has the most work.
func NewMember(c MemberConfig) *Member {
	d := maxJoinDelay
	if c.Identity.Processors > 0 {
		d = min(d, time.Duration(float64(oneCoreJoinDelay)/c.Identity.Processors))
	}
	return &Member{MemberConfig: c, joinDelay: d, suspension: newSuspensionDetector()}
}

// Run keeps the instance in the group while the group needs it, until the context ends.
func (m *Member) Run(ctx context.Context) {
	sleep(ctx, m.joinDelay+rand.N(maxJoinJitter))
	for ctx.Err() == nil {
		switch {
		case !m.joined && !m.isNeededAfterDelay(ctx):
			sleep(ctx, groupPollInterval)
			continue
		case m.joined && m.isRedundant(ctx):
			m.Logger.Info().Str("Decision", "Leave").Msg("the group has enough other members")
			m.leave()
			continue
		}
		m.renew(ctx)
		sleep(ctx, renewInterval)
	}
	if m.joined {
		m.leave()
	}
}

// isNeededAfterDelay reports whether the group needs this instance even after instances with more CPU had time to join.
func (m *Member) isNeededAfterDelay(ctx context.Context) bool {
	if !m.isNeeded(ctx) {
		return false
	}
	if !m.usedStartDelay {
		m.usedStartDelay = true
		return true
	}
	sleep(ctx, m.joinDelay)
	return m.isNeeded(ctx)
}

// isNeeded reports whether the group should gain this instance.
func (m *Member) isNeeded(ctx context.Context) bool {
	l, ok := m.fetchGroup(ctx)
	if !ok {
		return false
	}
	needed := l.needsMember(m.Identity)
	if needed {
		m.Logger.Info().Int("Members", len(l)).Str("Decision", "Join").Msg("the group needs this instance")
	}
	return needed
}

// isRedundant checks at intervals whether the group has enough members without this instance; between checks it returns false.
func (m *Member) isRedundant(ctx context.Context) bool {
	if time.Since(m.redundancyCheckedAt) < redundancyCheckInterval {
		return false
	}
	m.redundancyCheckedAt = time.Now()
	l, ok := m.fetchGroup(ctx)
	return ok && l.isRedundant(m.Identity, m.IsOwner())
}

// fetchGroup reads the group from the store, and reports whether that succeeded.
func (m *Member) fetchGroup(ctx context.Context) (group, bool) {
	c, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	names, err := m.Store.Members(c)
	if err != nil {
		if ctx.Err() == nil {
			m.Logger.Warn().Err(err).Str("Decision", "LookFailed").Msg("members of the group were not read")
		}
		return nil, false
	}
	g := newGroup(names)
	m.OnGroup(g)
	return g, true
}

// renew renews the membership and starts the owner if this instance is elected; after a suspension it first stops the owner.
func (m *Member) renew(ctx context.Context) {
	m.joined = true
	if m.suspension.detect() {
		m.Logger.Warn().Str("Decision", "Suspended").Msg("the instance was suspended; it gives up the ownership")
		m.stopOwner("the instance was suspended")
	}
	start := time.Now()
	c, cancel := context.WithTimeout(ctx, joinTimeout)
	x, err := m.Store.Join(c, m.generation, memberLease)
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			m.Logger.Warn().Err(err).Int64("Generation", m.generation).Str("Decision", "JoinFailed").Msg("membership was not renewed")
		}
		return
	}
	m.renewedAt.Store(start.UnixNano())
	changed := x.Generation != m.generation
	if changed {
		m.Logger.Info().Int64("Generation", x.Generation).Bool("Next", x.NextOwner).Str("Decision", "Joined").Msg("membership changed")
	}
	m.generation = x.Generation
	if changed || time.Since(m.ownershipCheckedAt) >= ownershipCheckInterval {
		m.checkOwnership(ctx, x.NextOwner)
	}
}

// checkOwnership starts the owner if this instance is elected: either the store names it as the next owner and the incumbent
// is no longer a member, or it is the incumbent itself.
func (m *Member) checkOwnership(ctx context.Context, next bool) {
	if m.IsOwner() || !next && !m.startedOwner {
		return
	}
	m.ownershipCheckedAt = time.Now()
	c, cancel := context.WithTimeout(ctx, joinTimeout)
	incumbent, err := m.Incumbent(c)
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			m.Logger.Warn().Err(err).Str("Decision", "IncumbentUnknown").Msg("the incumbent owner was not read")
		}
		return
	}
	if incumbent != m.Identity.String() && (!next || incumbent != "" && m.isMember(ctx, incumbent)) {
		return
	}
	m.Logger.Info().Str("Incumbent", incumbent).Int64("Generation", m.generation).Str("Decision", "Own").Msg("this instance is elected to own the jobs")
	m.startOwner(ctx)
}

// isMember reports whether a process is in the group; it returns true if the group cannot be read.
func (m *Member) isMember(ctx context.Context, identity string) bool {
	g, ok := m.fetchGroup(ctx)
	return !ok || slices.Contains(g, parseIdentity(identity))
}

// RenewedAt returns the start of the latest successful renewal.
func (m *Member) RenewedAt() time.Time { return time.Unix(0, m.renewedAt.Load()) }

// IsOwner reports whether this instance runs the owner.
func (m *Member) IsOwner() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isOwnerRunning()
}

// isOwnerRunning reports whether the owner was started and has not returned; m.mu is held.
func (m *Member) isOwnerRunning() bool {
	if m.cancelOwner == nil {
		return false
	}
	select {
	case <-m.ownerDone:
		return false
	default:
		return true
	}
}

// startOwner runs the owner in a new goroutine.
func (m *Member) startOwner(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startedOwner = true
	c, cancel := context.WithCancel(ctx)
	d := make(chan struct{})
	m.cancelOwner, m.ownerDone = cancel, d
	go func() {
		defer close(d)
		defer cancel()
		m.RunOwner(c)
	}()
}

// stopOwner stops the owner and waits until it has returned.
func (m *Member) stopOwner(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelOwner == nil {
		return
	}
	m.cancelOwner()
	<-m.ownerDone
	m.cancelOwner = nil
	m.Logger.Info().Str("Decision", "OwnershipEnded").Str("Reason", reason).Msg("this instance no longer owns the jobs")
}

// leave stops the owner and gives up the membership.
func (m *Member) leave() {
	m.stopOwner("the instance leaves the group")
	c, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	m.joined, m.generation = false, 0
	if err := m.Store.Leave(c); err != nil {
		m.Logger.Warn().Err(err).Msg("membership was not given up; it will expire")
	}
}

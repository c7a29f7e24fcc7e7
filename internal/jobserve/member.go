package jobserve

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// memberLease is the duration of a membership; the store removes this instance from the group unless it renews in this time.
	memberLease = 2500 * time.Millisecond
	// renewInterval is the time between two renewals of the membership.
	renewInterval = 300 * time.Millisecond
	// groupPollInterval is the time between two reads of the group by an instance outside it.
	groupPollInterval = 700 * time.Millisecond
	// redundancyCheckInterval is the time between two checks by a member whether the group has enough members without that member.
	redundancyCheckInterval = 1500 * time.Millisecond
	// ownershipCheckInterval is the time between two checks whether this instance should own the jobs, in addition to the
	// checks when the group changes.
	ownershipCheckInterval = 900 * time.Millisecond
	// targetMembers is the number of members that the group needs. With three, a member is left to become the owner when two
	// are lost together. In a larger group, the store could elect an instance with little CPU, and the replacement of
	// instances would change the group, and thus the next owner, more often.
	targetMembers = 3
	// maxJoinJitter is the longest random delay of the first read of the group. The random delays prevent instances that start
	// together from all joining.
	maxJoinJitter = 200 * time.Millisecond
	// oneCoreJoinDelay is the join delay of an instance with one processor. The delay is inversely proportional to the number
	// of processors, up to maxJoinDelay, so that instances with more CPU join first.
	oneCoreJoinDelay = 150 * time.Millisecond
	maxJoinDelay     = 2 * time.Second
	// joinTimeout bounds one call that joins or reads the group, or reads the incumbent or the worker list.
	joinTimeout = 900 * time.Millisecond
	// lateCallWindow is the time after which the store no longer executes a call without a response.
	lateCallWindow = 7 * time.Second
	// takeoverPatience is the time for which the jobs are without an owner after which a member takes over that the store does
	// not name as the next owner.
	takeoverPatience = 800 * time.Millisecond
	// joinDelayDivisor is the ratio of the join delay to the time that a member adds to takeoverPatience, so that members with
	// more CPU take over first.
	joinDelayDivisor = 4
	// maxSilence is the time without a response from the incumbent's process after which its membership is not trusted while
	// the store may execute joins late. It is longer than a renewal gap, so that a lost connection is restored in it.
	maxSilence = 3500 * time.Millisecond
	// maxRefusal is the time of refused connections after which the incumbent's process has ended, as maxSilence is for silence. An
	// instance that runs accepts connections, so that a few refused attempts suffice.
	maxRefusal = 1200 * time.Millisecond
	// maxRenewalGap is the time between two responses to renewals after which this instance may have been cut off.
	maxRenewalGap = 2200 * time.Millisecond
	// lateMembershipWindow is the time after a join without a response in which the store may list a process that no longer runs.
	lateMembershipWindow = lateCallWindow + memberLease
	// leaveTimeout bounds the call that gives up the membership.
	leaveTimeout = 700 * time.Millisecond
	// resignDelay is how long an instance stays out of the group after the store has refused all commits of its owner.
	resignDelay = 10 * time.Second
)

// MemberConfig holds the dependencies and callbacks of a member.
type MemberConfig struct {
	Store    Store
	Identity Identity
	Logger   zerolog.Logger
	// RunOwner runs the owner until its context ends, another owner has taken over, or the owner fails.
	RunOwner func(ctx context.Context, predecessor Claim)
	// OnGroup is called after each successful read of the group from the store, with the group and the identity of the incumbent,
	// which is empty if it is not known.
	OnGroup func(g group, incumbent string)
	// Incumbent reads the newest claim.
	Incumbent func(ctx context.Context) (Claim, error)
	// SilentSince returns from when on a process has not responded although this instance tried to reach it, zero if it never
	// responded.
	SilentSince func(identity string) time.Time
	// RefusedSince returns from when on the instance of a process has refused all connections, zero if it has not.
	RefusedSince func(identity string) time.Time
}

// Member maintains this instance's membership of the group and runs the owner while this instance is elected.
//
// The store names one member as the next owner, and may name another whenever
// members join or leave. The incumbent remains the owner for as long as it is a
// member; the next owner takes over once the incumbent has left the group. Other
// members take over if the next owner does not, because the store may name a
// process that no longer runs. If two instances run an owner, the store and the
// workers reject the owner with the lower epoch.
//
// While calls get no response, the store may execute joins of a process that no
// longer runs, and list it as a member for longer than all of these calls take. Then
// the incumbent also counts as gone if its process has stopped responding to this
// instance, or if a later process of its instance is a member.
type Member struct {
	MemberConfig
	// renewed means that a renewal has succeeded since this instance last left the group.
	renewed atomic.Bool
	// resigned means that the owner of this instance stopped since the store refuses its commits, and that this instance is to leave
	// the group.
	resigned atomic.Bool
	// unansweredAt is the end of the latest join without a response, which the store may still execute; nil if there was none.
	unansweredAt atomic.Pointer[time.Time]
	// joins are the joins that wait for a response.
	joins      sync.WaitGroup
	suspension *suspensionDetector

	// joined means that the store may hold a membership of this instance.
	joined bool
	// redundancyCheckedAt and ownershipCheckedAt are the times of the latest checks.
	redundancyCheckedAt time.Time
	ownershipCheckedAt  time.Time
	// checkedBefore means that Run has checked before whether the group needs this instance. The first time, the delay at the
	// start of Run suffices; each later time the instance waits for joinDelay and checks again.
	checkedBefore bool
	joinDelay     time.Duration
	generation    int64
	// vacantAfter is the claim whose owner is outside the group, and vacantSince the time at which that was first seen, zero if
	// the newest owner is a member.
	vacantAfter Claim
	vacantSince time.Time
	// incumbent is the claim that was read last, if knowsIncumbent.
	incumbent      Claim
	knowsIncumbent bool
	// answeredAt is the time of the latest response to a renewal, renewingSince the first of the responses without a gap up to it,
	// and ownedAt the start of the latest renewal while this instance ran the owner.
	answeredAt    time.Time
	renewingSince time.Time
	ownedAt       time.Time
	// startedOwner means that this process has owned the jobs, or tried to.
	startedOwner bool

	mu          sync.Mutex
	cancelOwner context.CancelFunc
	ownerDone   chan struct{}
}

// NewMember returns a member that Run starts. The more CPU the instance has, the shorter is its join delay, because the owner
// has the most work.
func NewMember(c MemberConfig) *Member {
	d := maxJoinDelay
	if c.Identity.Processors > 0 {
		d = min(d, time.Duration(float64(oneCoreJoinDelay)/c.Identity.Processors))
	}
	return &Member{MemberConfig: c, joinDelay: d, suspension: newSuspensionDetector()}
}

// Run keeps this instance in the group while the group needs it. When the context ends, Run stops the owner and leaves.
func (m *Member) Run(ctx context.Context) {
	sleep(ctx, m.joinDelay+rand.N(maxJoinJitter))
	for ctx.Err() == nil {
		switch {
		case m.resigned.Swap(false):
			m.Logger.Warn().Dur("For", resignDelay).Str("Decision", "Resign").Msg("leaving the group: the store refuses the commits of this instance")
			m.leave()
			sleep(ctx, resignDelay)
			continue
		case !m.joined && !m.isNeededAfterDelay(ctx):
			sleep(ctx, groupPollInterval)
			continue
		case m.joined && m.isRedundant(ctx):
			m.Logger.Info().Str("Decision", "Leave").Msg("leaving the group: it has enough other members")
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

// Resign makes this instance leave the group for resignDelay, so that another one owns the jobs.
func (m *Member) Resign() { m.resigned.Store(true) }

// isNeededAfterDelay reports whether the group needs this instance even after instances with more CPU had time to join.
func (m *Member) isNeededAfterDelay(ctx context.Context) bool {
	first := !m.checkedBefore
	m.checkedBefore = true
	if !first {
		if !m.isNeeded(ctx) {
			return false
		}
		sleep(ctx, m.joinDelay)
	}
	return m.isNeeded(ctx)
}

// isNeeded reports whether the group should gain this instance; it returns false if the group cannot be read.
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

// isRedundant reports whether the group has enough members without this instance. It reads the group at intervals, and returns
// false between two reads and if a read fails. It also returns false while the store may execute a join late, since that would
// add this instance to the group again after it has left.
func (m *Member) isRedundant(ctx context.Context) bool {
	if m.hasUnansweredSince(lateCallWindow) || time.Since(m.redundancyCheckedAt) < redundancyCheckInterval {
		return false
	}
	m.redundancyCheckedAt = time.Now()
	l, ok := m.fetchGroup(ctx)
	if !ok || !l.isRedundant(m.Identity, m.IsOwner()) {
		return false
	}
	m.joins.Wait()
	return !m.hasUnansweredSince(lateCallWindow)
}

// fetchGroup reads the group from the store, passes it to OnGroup, and reports whether the read succeeded.
func (m *Member) fetchGroup(ctx context.Context) (group, bool) {
	c, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	names, err := m.Store.Members(c)
	if err != nil {
		if ctx.Err() == nil {
			m.Logger.Warn().Err(err).Str("Decision", "LookFailed").Msg("failed to read the members of the group that elects the owner")
		}
		return nil, false
	}
	g := newGroup(names)
	m.OnGroup(g, m.currentIncumbent())
	return g, true
}

// currentIncumbent returns the identity of the process that the latest claim names. It is empty outside the group, where claims
// are not read.
func (m *Member) currentIncumbent() string {
	if !m.joined || !m.knowsIncumbent {
		return ""
	}
	return m.incumbent.Identity
}

// renew joins the group or renews the membership, and starts the owner if this instance is elected. After a suspension of the
// instance, it first stops the owner.
func (m *Member) renew(ctx context.Context) {
	m.joined = true
	if m.suspension.detect() {
		m.Logger.Warn().Str("Decision", "Suspended").Msg("the instance was suspended; it gives up the ownership of the jobs if it has it")
		m.stopOwner("the instance was suspended")
	}
	start := time.Now()
	g := m.generation
	x, err := callRepeatedly(ctx, joinTimeout, m.joins.Go, func(c context.Context) (Membership, error) { return m.join(c, g) })
	if err != nil {
		if ctx.Err() == nil {
			m.Logger.Warn().Err(err).Int64("Generation", g).Str("Decision", "JoinFailed").Msg("renewal of the membership failed")
		}
		return
	}
	m.recordRenewal(start)
	changed := x.Generation != g
	if changed {
		m.Logger.Info().Int64("Generation", x.Generation).Bool("Next", x.NextOwner).Str("Decision", "Joined").Msg("the group has a new generation")
	}
	m.generation = x.Generation
	if !m.IsOwner() && m.isCheckDue(x.NextOwner, changed) {
		m.checkOwnership(ctx, x.NextOwner)
	}
}

// join makes one call to join the group, and records when it got no response.
func (m *Member) join(ctx context.Context, generation int64) (Membership, error) {
	x, err := m.Store.Join(ctx, generation, memberLease)
	if err != nil && !isNotApplied(err) {
		now := time.Now()
		m.unansweredAt.Store(&now)
	}
	return x, err
}

// hasUnansweredSince reports whether a join got no response within the given time before now.
func (m *Member) hasUnansweredSince(d time.Duration) bool {
	t := m.unansweredAt.Load()
	return t != nil && time.Since(*t) <= d
}

// recordRenewal records a successful renewal that began at start.
func (m *Member) recordRenewal(start time.Time) {
	now := time.Now()
	if now.Sub(m.answeredAt) > maxRenewalGap {
		m.renewingSince = now
	}
	m.answeredAt = now
	m.renewed.Store(true)
	if m.IsOwner() {
		m.ownedAt = start
	}
}

// isCheckDue reports whether to check if this instance is elected.
func (m *Member) isCheckDue(next, changed bool) bool {
	if changed || !m.vacantSince.IsZero() || m.isSilent(m.incumbent.Identity) {
		return true
	}
	return (next || m.startedOwner) && time.Since(m.ownershipCheckedAt) >= ownershipCheckInterval
}

// MayBecomeOwner reports whether this instance is in the group, as far as it knows, and does not run the owner.
func (m *Member) MayBecomeOwner() bool { return m.renewed.Load() && !m.IsOwner() }

// IsOwner reports whether this instance runs the owner.
func (m *Member) IsOwner() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isOwnerRunning()
}

// isOwnerRunning reports whether startOwner was called and RunOwner has not returned since; m.mu is held.
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
func (m *Member) startOwner(ctx context.Context, predecessor Claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startedOwner = true
	c, cancel := context.WithCancel(ctx)
	d := make(chan struct{})
	m.cancelOwner, m.ownerDone = cancel, d
	go func() {
		defer close(d)
		defer cancel()
		m.RunOwner(c, predecessor)
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
	// A join that arrives after the call to leave would add this instance again.
	m.joins.Wait()
	c, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	m.joined, m.generation = false, 0
	m.renewed.Store(false)
	if err := m.Store.Leave(c); err != nil {
		m.Logger.Warn().Err(err).Msg("the call to leave the group failed; a membership that remains will expire")
	}
}

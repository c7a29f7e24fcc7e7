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
	// memberLease is the silence after which the store gives this instance's part to another.
	memberLease = 2500 * time.Millisecond
	// joinEvery is the time between two renewals of the membership.
	joinEvery = 300 * time.Millisecond
	// lookEvery is the time between two looks at the group by an instance outside it.
	lookEvery = 700 * time.Millisecond
	// reviewEvery is the time between two questions of a member whether the group has enough others.
	reviewEvery = 1500 * time.Millisecond
	// considerEvery is the time between two questions whether it is this instance's turn to own the jobs, beside those when
	// the group changes.
	considerEvery = 900 * time.Millisecond
	// wantedMembers is the number of instances that the group needs, so that the jobs find an owner when one is lost.
	// More would change the group, and with it the owner, whenever any instance is replaced.
	wantedMembers = 3
	// firstLook is the longest random delay of the first look, so that not all instances join when all start.
	firstLook = 200 * time.Millisecond
	// weakness over an instance's processors is how long it leaves it to stronger ones to join, up to mostPatience.
	weakness     = 150 * time.Millisecond
	mostPatience = 2 * time.Second
	// joinTimeout bounds one renewal.
	joinTimeout = 900 * time.Millisecond
	// leaveTimeout bounds the call that gives the membership up.
	leaveTimeout = 700 * time.Millisecond
)

// MemberConfig holds what a member needs.
type MemberConfig struct {
	Store    Store
	Identity Identity
	Logger   zerolog.Logger
	// Own owns the jobs until its context ends or another owner has taken over.
	Own func(ctx context.Context)
	// Seen is told of the group whenever it was looked at.
	Seen func(group)
	// Incumbent returns the identity of the process that took the jobs over last, empty where there was none.
	Incumbent func(ctx context.Context) (string, error)
}

// Member keeps this instance in the group and runs the owner when it is this instance's turn.
//
// The store names one member as the next owner, and names another whenever
// members come and go. The present owner goes on for as long as it is a member:
// the next one takes over when the incumbent is none any more. Fences keep the
// jobs safe if two believe to be the owner.
type Member struct {
	MemberConfig
	// contactAt is the instant of the latest renewal that was answered, in nanoseconds since 1970.
	contactAt atomic.Int64
	suspends  *suspensions

	// joined tells that the store may hold a membership of this instance.
	joined bool
	// reviewedAt is when the instance last asked whether it is superfluous, and consideredAt whether it is its turn.
	reviewedAt   time.Time
	consideredAt time.Time
	// looked tells that the first look was waited for already.
	looked     bool
	patience   time.Duration
	generation int64
	// begun tells that this process has owned the jobs, or tried to.
	begun bool

	mu      sync.Mutex
	stop    context.CancelFunc
	stopped chan struct{}
}

// NewMember returns a member; the owner has most to do, so that instances with more processors join first.
func NewMember(c MemberConfig) *Member {
	p := mostPatience
	if c.Identity.Processors > 0 {
		p = min(p, time.Duration(float64(weakness)/c.Identity.Processors))
	}
	return &Member{MemberConfig: c, patience: p, suspends: newSuspensions()}
}

// Run keeps the instance in the group while that needs it, until the context ends.
func (m *Member) Run(ctx context.Context) {
	pause(ctx, m.patience+rand.N(firstLook))
	for ctx.Err() == nil {
		switch {
		case !m.joined && !m.isStillNeeded(ctx):
			pause(ctx, lookEvery)
			continue
		case m.joined && m.isSuperfluous(ctx):
			m.Logger.Info().Str("Decision", "Leave").Msg("the group has enough other members")
			m.leave()
			continue
		}
		m.renew(ctx)
		pause(ctx, joinEvery)
	}
	if m.joined {
		m.leave()
	}
}

// isStillNeeded tells whether the group needs this instance, also after stronger ones had time to join.
func (m *Member) isStillNeeded(ctx context.Context) bool {
	if !m.isNeeded(ctx) {
		return false
	}
	if !m.looked {
		m.looked = true
		return true
	}
	pause(ctx, m.patience)
	return m.isNeeded(ctx)
}

// isNeeded tells whether the group has too few members that are not weaker than this instance.
func (m *Member) isNeeded(ctx context.Context) bool {
	l, ok := m.look(ctx)
	if !ok {
		return false
	}
	needed := l.isNeeded(m.Identity)
	if needed {
		m.Logger.Info().Int("Members", len(l)).Str("Decision", "Join").Msg("the group needs this instance")
	}
	return needed
}

// isSuperfluous tells, from time to time, whether the group has enough members without this instance.
func (m *Member) isSuperfluous(ctx context.Context) bool {
	if time.Since(m.reviewedAt) < reviewEvery {
		return false
	}
	m.reviewedAt = time.Now()
	l, ok := m.look(ctx)
	return ok && l.isSuperfluous(m.Identity, m.IsOwner())
}

func (m *Member) look(ctx context.Context) (group, bool) {
	c, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	names, err := m.Store.Members(c)
	if err != nil {
		if ctx.Err() == nil {
			m.Logger.Warn().Err(err).Str("Decision", "LookFailed").Msg("members of the group are not known")
		}
		return nil, false
	}
	g := newGroup(names)
	m.Seen(g)
	return g, true
}

// renew keeps the membership and begins or ends the ownership that follows from it.
func (m *Member) renew(ctx context.Context) {
	m.joined = true
	if m.suspends.passed() {
		m.Logger.Warn().Str("Decision", "Suspended").Msg("the instance stood still; what it owned is given up")
		m.end("the instance stood still")
	}
	begun := time.Now()
	c, cancel := context.WithTimeout(ctx, joinTimeout)
	x, err := m.Store.Join(c, m.generation, memberLease)
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			m.Logger.Warn().Err(err).Int64("Generation", m.generation).Str("Decision", "JoinFailed").Msg("membership not renewed")
		}
		return
	}
	m.contactAt.Store(begun.UnixNano())
	changed := x.Generation != m.generation
	if changed {
		m.Logger.Info().Int64("Generation", x.Generation).Bool("Next", x.Next).Str("Decision", "Joined").Msg("membership changed")
	}
	m.generation = x.Generation
	if changed || time.Since(m.consideredAt) >= considerEvery {
		m.consider(ctx, x.Next)
	}
}

// consider begins to own the jobs if it is this instance's turn: the store names it as the next owner and the incumbent is
// no member any more, or it is the incumbent itself.
func (m *Member) consider(ctx context.Context, next bool) {
	if m.IsOwner() || !next && !m.begun {
		return
	}
	m.consideredAt = time.Now()
	c, cancel := context.WithTimeout(ctx, joinTimeout)
	who, err := m.Incumbent(c)
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			m.Logger.Warn().Err(err).Str("Decision", "IncumbentUnknown").Msg("the present owner is not known")
		}
		return
	}
	if who != m.Identity.String() && (!next || who != "" && m.isMember(ctx, who)) {
		return
	}
	m.Logger.Info().Str("Incumbent", who).Int64("Generation", m.generation).Str("Decision", "Own").Msg("it is this instance's turn to own the jobs")
	m.begin(ctx)
}

// isMember tells whether a process is in the group, as far as is known.
func (m *Member) isMember(ctx context.Context, identity string) bool {
	g, ok := m.look(ctx)
	return !ok || slices.Contains(g, parseIdentity(identity))
}

// RenewedAt returns the instant of the latest renewal that was answered.
func (m *Member) RenewedAt() time.Time { return time.Unix(0, m.contactAt.Load()) }

// IsOwner tells whether this instance runs the owner.
func (m *Member) IsOwner() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isRunning()
}

func (m *Member) isRunning() bool {
	if m.stop == nil {
		return false
	}
	select {
	case <-m.stopped:
		return false
	default:
		return true
	}
}

// begin starts the owner.
func (m *Member) begin(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begun = true
	c, cancel := context.WithCancel(ctx)
	d := make(chan struct{})
	m.stop, m.stopped = cancel, d
	go func() {
		defer close(d)
		defer cancel()
		m.Own(c)
	}()
}

// end stops the owner and waits for it.
func (m *Member) end(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stop == nil {
		return
	}
	m.stop()
	<-m.stopped
	m.stop = nil
	m.Logger.Info().Str("Decision", "OwnershipEnded").Str("Reason", reason).Msg("this instance no longer owns the jobs")
}

func (m *Member) leave() {
	m.end("the instance stops")
	c, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	m.joined, m.generation = false, 0
	if err := m.Store.Leave(c); err != nil {
		m.Logger.Warn().Err(err).Msg("membership not given up; it will lapse")
	}
}

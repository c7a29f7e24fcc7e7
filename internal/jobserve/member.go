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
	// memberLease is the silence after which the store gives this instance's part to another.
	memberLease = 2500 * time.Millisecond
	// joinEvery is the time between two renewals of the membership.
	joinEvery = 300 * time.Millisecond
	// lookEvery is the time between two looks at the group by an instance outside it.
	lookEvery = 700 * time.Millisecond
	// reviewEvery is the time between two questions of a member whether the group has enough others.
	reviewEvery = 1500 * time.Millisecond
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

// Member keeps this instance in the group and runs the owner while the store names it.
type Member struct {
	store  Store
	logger zerolog.Logger
	run    func(ctx context.Context, epoch int64)
	// seen is told of the group whenever it was looked at.
	seen func(group)
	// contactAt is the instant of the latest renewal that was answered, in nanoseconds since 1970.
	contactAt atomic.Int64
	suspends  *suspensions

	// joined tells that the store may hold a membership of this instance.
	joined bool
	// identity is how the group names this instance, and reviewedAt when it last asked whether it is superfluous.
	identity   Identity
	reviewedAt time.Time
	// looked tells that the first look was waited for already.
	looked     bool
	patience   time.Duration
	generation int64
	// terms counts the ownerships within a generation, so that each has an epoch of its own.
	terms int64

	mu      sync.Mutex
	stop    context.CancelFunc
	stopped chan struct{}
}

// NewMember returns a member that runs the function while this instance is the owner; the owner has most to do, so that
// instances with more processors join first.
func NewMember(s Store, x Identity, l zerolog.Logger, run func(ctx context.Context, epoch int64), seen func(group)) *Member {
	p := mostPatience
	if x.Processors > 0 {
		p = min(p, time.Duration(float64(weakness)/x.Processors))
	}
	return &Member{store: s, logger: l, run: run, seen: seen, identity: x, patience: p, suspends: newSuspensions()}
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
			m.logger.Info().Str("Decision", "Leave").Msg("the group has enough other members")
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
	needed := l.isNeeded(m.identity)
	if needed {
		m.logger.Info().Int("Members", len(l)).Str("Decision", "Join").Msg("the group needs this instance")
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
	return ok && l.isSuperfluous(m.identity, m.IsOwner())
}

func (m *Member) look(ctx context.Context) (group, bool) {
	c, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	names, err := m.store.Members(c)
	if err != nil {
		if ctx.Err() == nil {
			m.logger.Warn().Err(err).Str("Decision", "LookFailed").Msg("members of the group are not known")
		}
		return nil, false
	}
	g := newGroup(names)
	m.seen(g)
	return g, true
}

// renew keeps the membership and begins or ends the ownership that follows from it.
func (m *Member) renew(ctx context.Context) {
	m.joined = true
	if m.suspends.passed() {
		m.logger.Warn().Str("Decision", "Suspended").Msg("the instance stood still; what it owned is given up")
		m.end("the instance stood still")
	}
	begun := time.Now()
	c, cancel := context.WithTimeout(ctx, joinTimeout)
	x, err := m.store.Join(c, m.generation, memberLease)
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			m.logger.Warn().Err(err).Int64("Generation", m.generation).Str("Decision", "JoinFailed").Msg("membership not renewed")
		}
		return
	}
	m.contactAt.Store(begun.UnixNano())
	if x.Generation != m.generation {
		m.logger.Info().Int64("Generation", x.Generation).Bool("Owner", x.Owner).Str("Decision", "Joined").Msg("membership changed")
	}
	m.generation = x.Generation
	if !x.Owner {
		if m.end("the store named another owner") {
			// The next owner may begin once the store hears of the new generation from this one.
			m.renew(ctx)
		}
		return
	}
	m.begin(ctx, x.Generation)
}

// ContactAt returns the instant of the latest renewal that was answered.
func (m *Member) ContactAt() time.Time { return time.Unix(0, m.contactAt.Load()) }

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

// termsPerGeneration is the number of epochs that one generation has room for.
const termsPerGeneration = 1 << 12

// begin starts the owner under a new epoch unless it runs.
func (m *Member) begin(ctx context.Context, generation int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isRunning() {
		return
	}
	m.terms = (m.terms + 1) % termsPerGeneration
	epoch := generation*termsPerGeneration + m.terms
	c, cancel := context.WithCancel(ctx)
	d := make(chan struct{})
	m.stop, m.stopped = cancel, d
	go func() {
		defer close(d)
		defer cancel()
		m.run(c, epoch)
	}()
}

// end stops the owner, waits for it, and tells whether there was one.
func (m *Member) end(reason string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stop == nil {
		return false
	}
	m.stop()
	<-m.stopped
	m.stop = nil
	m.logger.Info().Str("Decision", "OwnershipEnded").Str("Reason", reason).Msg("this instance no longer owns the jobs")
	return true
}

func (m *Member) leave() {
	m.end("the instance stops")
	c, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	m.joined, m.generation = false, 0
	if err := m.store.Leave(c); err != nil {
		m.logger.Warn().Err(err).Msg("membership not given up; it will lapse")
	}
}

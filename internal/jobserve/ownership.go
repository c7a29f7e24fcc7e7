package jobserve

import (
	"context"
	"slices"
	"time"
)

// checkOwnership starts the owner if this instance is elected. The instance is elected if its process or an earlier one of the
// instance is the incumbent, or if the jobs are vacant and this instance is the next owner or the next owner had time to take over.
func (m *Member) checkOwnership(ctx context.Context, next bool) {
	m.ownershipCheckedAt = time.Now()
	c, cancel := context.WithTimeout(ctx, joinTimeout)
	incumbent, err := m.Incumbent(c)
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			m.Logger.Warn().Err(err).Str("Decision", "IncumbentUnknown").Msg("failed to read which process is the current owner")
		}
		return
	}
	replaced := m.knowsIncumbent && !m.incumbent.isSameOwnership(incumbent) || startedRecently(incumbent, m.ownershipCheckedAt)
	m.incumbent, m.knowsIncumbent = incumbent, true
	x := parseIdentity(incumbent.Identity)
	if x != m.Identity && !m.Identity.isLaterProcessOf(x) && !m.maySucceed(ctx, incumbent, replaced, next) {
		return
	}
	m.Logger.Info().Str("Incumbent", incumbent.Identity).Int64("Generation", m.generation).Str("Decision", "Own").Msg("this instance is elected to own the jobs")
	m.startOwner(ctx, incumbent)
}

// startedRecently reports whether the process of a claim has started so recently that the store may not list it as a member yet:
// lost members keep their partitions for as long as their membership lasts.
func startedRecently(c Claim, now time.Time) bool {
	t, ok := parseIdentity(c.Identity).startedAt()
	return ok && now.Sub(t).Abs() < memberLease
}

// maySucceed reports whether the jobs are vacant and this instance is the next owner or the next owner had time to take over.
func (m *Member) maySucceed(ctx context.Context, incumbent Claim, replaced, next bool) bool {
	g, ok := m.fetchGroup(ctx)
	if !ok {
		return false
	}
	vacant := m.vacantFor(g, incumbent, replaced)
	return vacant >= 0 && (g.isNextOwner(m.Identity, incumbent.Identity, next) || vacant >= m.patience(incumbent.Identity))
}

// patience returns the time that the next owner has to take over before this instance does, if it is not the next owner. Nobody
// waits for the next owner if the incumbent is silent, because the store may name the incumbent itself.
func (m *Member) patience(incumbent string) time.Duration {
	d := m.joinDelay / joinDelayDivisor
	if m.isSilent(incumbent) {
		return d
	}
	return takeoverPatience + d
}

// vacantFor returns for how long the incumbent has been seen outside the group, negative if it is in the group. An incumbent that
// has just replaced another has memberLease more, since the store lists a new member only once others have given up partitions.
func (m *Member) vacantFor(g group, incumbent Claim, replaced bool) time.Duration {
	if incumbent.Identity != "" && m.isRunningMember(g, incumbent.Identity) {
		m.vacantSince = time.Time{}
		return -1
	}
	if m.vacantSince.IsZero() || !m.vacantAfter.isSameOwnership(incumbent) {
		m.vacantAfter, m.vacantSince = incumbent, time.Now()
		if replaced {
			m.vacantSince = m.vacantSince.Add(memberLease)
		}
	}
	return time.Since(m.vacantSince)
}

// isRunningMember reports whether a process is in the group and seems to run.
func (m *Member) isRunningMember(g group, identity string) bool {
	x := parseIdentity(identity)
	return slices.Contains(g, x) && !g.hasLaterProcess(x) && !m.isSilent(identity)
}

// isSilent reports whether a process has stopped responding to this instance, or refuses connections, while the store may list members that no longer
// run. It returns false on an instance that has owned the jobs shortly before, so that two instances without a connection to
// each other do not take over from each other in turn.
func (m *Member) isSilent(identity string) bool {
	now := time.Now()
	if !m.hasUnansweredSince(lateMembershipWindow) || now.Sub(m.ownedAt) <= lateMembershipWindow || now.Sub(m.renewingSince) <= maxSilence {
		return false
	}
	silent, refused := m.SilentSince(identity), m.RefusedSince(identity)
	return !silent.IsZero() && now.Sub(silent) > maxSilence || !refused.IsZero() && now.Sub(refused) > maxRefusal
}

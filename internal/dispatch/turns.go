package dispatch

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/quota"
)

// turns places the candidates of a plan, each when its turn comes.
type turns struct {
	p   *Planner
	now time.Time
	// isolated holds the steps with tasks that may run only isolated.
	isolated []*candidateStep
}

// placeSteps assigns the ready tasks of all steps: sound ones in the given order, and then those that may run only isolated.
//
// A task of an account that has used less than half of its share for starvedAfter
// goes first within its priority, and that of the account that has waited so for
// longest first. By the order of ranks alone, it could wait for ever behind new
// jobs of many accounts; without the delay, accounts that come and go would
// replace the order of ranks. A step
// is put off from where its account is over its share of the pool. If it is over
// its share only for a while, the others of the step's rank go first; if its
// whole work is far more than its share, all others go first, of any priority.
// Jobs beyond the rate of their account come after both.
func (p *Planner) placeSteps(l []candidateStep, now time.Time) {
	t := turns{p: p, now: now}
	for rest := pointers(slices.Clone(l)); len(rest) > 0; {
		n := countSame(rest, func(a, b *candidateStep) bool { return a.beyondRate == b.beyondRate })
		t.placeOneRate(rest[:n])
		rest = rest[n:]
	}
	for _, c := range t.isolated {
		p.guard(c.job, func() {
			p.placeIsolated(c, now)
			p.requestAdvice(c, now)
		})
	}
}

// placeOneRate places the steps of jobs within the rates, or those of jobs beyond them.
func (t *turns) placeOneRate(l []*candidateStep) {
	var far []*candidateStep
	for len(l) > 0 {
		n := countSame(l, func(a, b *candidateStep) bool { return a.job.Queue.Priority == b.job.Queue.Priority })
		far = append(far, t.placeOnePriority(l[:n])...)
		l = l[n:]
	}
	t.placeUpTo(quota.FarOver, far)
}

// placeOnePriority places the steps of one priority, and returns those whose accounts are far over their shares.
func (t *turns) placeOnePriority(l []*candidateStep) []*candidateStep {
	if !t.p.accounts.inUse() {
		return t.placeUpTo(quota.Within, l)
	}
	var under, far []*candidateStep
	for _, c := range l {
		if t.p.accounts.isStarved(c.job, t.now) {
			under = append(under, c)
		}
	}
	slices.SortStableFunc(under, func(a, b *candidateStep) int {
		return t.p.accounts.underFrom(a.job).Compare(t.p.accounts.underFrom(b.job))
	})
	t.placeUpTo(quota.Under, under)
	for len(l) > 0 {
		n := countSame(l, func(a, b *candidateStep) bool { return a.rank() == b.rank() })
		putOff := t.placeUpTo(quota.Within, l[:n])
		far = append(far, t.placeUpTo(quota.Over, putOff)...)
		l = l[n:]
	}
	return far
}

// placeUpTo places the steps whose accounts are at most at a level, and returns those that it put off.
func (t *turns) placeUpTo(x quota.Level, l []*candidateStep) []*candidateStep {
	var putOff []*candidateStep
	for _, c := range l {
		if c.hadTurn {
			continue
		}
		c.level = x
		t.place(c)
		c.hadTurn = !c.isPutOff
		if c.isPutOff {
			putOff = append(putOff, c)
		}
	}
	return putOff
}

func (t *turns) place(c *candidateStep) {
	if t.p.aside[c.job.ID] {
		return
	}
	t.p.guard(c.job, func() {
		if s := t.p.placeCandidate(c, t.now); s != nil {
			t.isolated = append(t.isolated, s)
		}
		t.p.requestAdvice(c, t.now)
	})
}

// putOff reports whether a step has to wait for others since its account is further over its share than those whose turn it is.
func (p *Planner) putOff(c *candidateStep) bool {
	c.isPutOff = p.accounts.level(c.job) > c.level
	return c.isPutOff
}

// countSame returns the number of the first steps that are like the first one.
func countSame(l []*candidateStep, same func(a, b *candidateStep) bool) int {
	n := slices.IndexFunc(l, func(c *candidateStep) bool { return !same(l[0], c) })
	if n < 0 {
		return len(l)
	}
	return n
}

func pointers(l []candidateStep) []*candidateStep {
	r := make([]*candidateStep, len(l))
	for i := range l {
		r[i] = &l[i]
	}
	return r
}

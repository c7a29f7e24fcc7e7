package dispatch

import (
	"time"

	"github.com/rs/zerolog"
)

// startTransit is the maximum time that a start spends on the network.
const startTransit = leaseMargin

// StartBounds holds the longest times from a change in the store to the last start at a worker that ignores the change; a bound
// of 0 is none.
type StartBounds struct {
	// WorkerDrain counts from an entry of a worker that says that the worker is draining.
	WorkerDrain time.Duration
	// DomainDrain counts from an operator's request to drain a failure domain.
	DomainDrain time.Duration
	// Cancellation counts from the cancellation of a job.
	Cancellation time.Duration
	// Configuration counts from a change of the accounts' caps. It bounds starts only while the configuration has accounts or a job
	// belongs to one.
	Configuration time.Duration
}

// Views holds, for each thing in the store that a start depends on, the time as of which the planner knows it: the beginning of
// the latest read that reached the end of what the store held.
type Views struct {
	// Workers is for the list of workers, Operators for the drained failure domains, maintenance waves and configuration, and Requests for the
	// submissions and cancellations of jobs.
	Workers   time.Time
	Operators time.Time
	Requests  time.Time
}

// logAges adds the ages of the views to a log line.
func (v Views) logAges(e *zerolog.Event, now time.Time) *zerolog.Event {
	return e.Int64("ListAge", now.Sub(v.Workers).Milliseconds()).Int64("OperatorsAge", now.Sub(v.Operators).Milliseconds()).Int64("RequestsAge", now.Sub(v.Requests).Milliseconds())
}

// usualViewAge is the age up to which a view of operators or requests is usual, since both are read by polls of up to a second.
const usualViewAge = 2 * time.Second

// logStart adds the age of the list of workers to the line of a start, and the ages of the other views if they are unusual, since
// an owner writes several hundred such lines a second.
func (v Views) logStart(e *zerolog.Event, now time.Time) *zerolog.Event {
	e.Int64("ListAge", now.Sub(v.Workers).Milliseconds())
	if d := now.Sub(v.Operators); d > usualViewAge {
		e.Int64("OperatorsAge", d.Milliseconds())
	}
	if d := now.Sub(v.Requests); d > usualViewAge {
		e.Int64("RequestsAge", d.Milliseconds())
	}
	return e
}

// startsUntil returns the time by which starts that rest on the views must be sent, zero if there is no bound.
func (v Views) startsUntil(b StartBounds) time.Time {
	var t time.Time
	limit := func(at time.Time, bound time.Duration) {
		if u := at.Add(bound - startTransit); bound > 0 && (t.IsZero() || u.Before(t)) {
			t = u
		}
	}
	limit(v.Workers, b.WorkerDrain)
	limit(v.Operators, b.DomainDrain)
	limit(v.Operators, b.Configuration)
	limit(v.Requests, b.Cancellation)
	return t
}

// SetViews sets as of when the planner knows what starts depend on. While that is too long ago, the planner starts nothing.
func (p *Planner) SetViews(v Views, now time.Time) {
	p.views, p.startsUntil = v, v.startsUntil(p.startBounds())
	outdated := p.areViewsOutdated(now)
	if outdated == p.startsHeld {
		return
	}
	p.startsHeld = outdated
	if outdated {
		v.logAges(p.Logger.Warn(), now).Str("Decision", "StartsHeld").Msg("no task is started by lists that are too old")
		return
	}
	v.logAges(p.Logger.Info(), now).Str("Decision", "StartsResumed").Msg("lists are recent enough to start tasks")
}

// startBounds returns the bounds that are in force.
func (p *Planner) startBounds() StartBounds {
	b := p.StartBounds
	if !p.accounts.inUse() {
		b.Configuration = 0
	}
	return b
}

// areViewsOutdated reports whether a start that is sent now would rest on views that are too old.
func (p *Planner) areViewsOutdated(now time.Time) bool {
	return !p.startsUntil.IsZero() && !now.Before(p.startsUntil)
}

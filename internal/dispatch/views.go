package dispatch

import (
	"time"

	"github.com/rs/zerolog"
)

// Views holds, for each thing in the store that a start depends on, the time as of which the planner knows it: the beginning of
// the latest read that reached the end of what the store held.
type Views struct {
	// Workers is for the list of workers, Operators for the drained failure domains and maintenance waves, and Requests for the
	// submissions and cancellations of jobs.
	Workers   time.Time
	Operators time.Time
	Requests  time.Time
}

// SetViews sets as of when the planner knows what starts depend on.
func (p *Planner) SetViews(v Views) { p.views = v }

// logAges adds the ages of the views to a log line.
func (v Views) logAges(e *zerolog.Event, now time.Time) *zerolog.Event {
	return e.Dur("ListAge", now.Sub(v.Workers)).Dur("OperatorsAge", now.Sub(v.Operators)).Dur("RequestsAge", now.Sub(v.Requests))
}

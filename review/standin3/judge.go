package main

import (
	"slices"
	"time"
)

// span is a time in which nothing of a job ran.
type span struct {
	from time.Time
	to   time.Time
}

func (s span) length() time.Duration { return s.to.Sub(s.from) }

// longestIdle returns the longest span between two instants in which no run was there for which match reports true.
func (w *world) longestIdle(match func(task string) bool, from, to time.Time) span {
	var longest span
	running := 0
	idleFrom := from
	note := func(until time.Time) {
		if until.After(to) {
			until = to
		}
		if x := (span{idleFrom, until}); running == 0 && x.length() > longest.length() {
			longest = x
		}
	}
	for _, e := range w.history() {
		if !match(e.task) {
			continue
		}
		switch {
		case e.how == "":
			note(e.at)
			running++
		case running > 0:
			running--
			if running == 0 {
				idleFrom = e.at
				if idleFrom.Before(from) {
					idleFrom = from
				}
			}
		}
	}
	note(to)
	return longest
}

// mostUsed returns the most processor time, in thousandths of a core, that runs took at any instant of a span.
func (w *world) mostUsed(s span) int {
	used, most := 0, 0
	for _, e := range w.history() {
		if e.at.After(s.to) {
			break
		}
		x, _ := w.stepOf(e.task)
		cpu, _ := x.reserved()
		if e.how != "" {
			cpu = -cpu
		}
		if !e.at.Before(s.from) {
			most = max(most, used)
		}
		used += cpu
	}
	return max(most, used)
}

// isCompleted reports whether all tasks of a job ended done by an instant.
func (w *world) isCompleted(j *job, at time.Time) bool {
	var done []string
	for _, e := range w.history() {
		if jobOf(e.task) == j.id && e.how == "done" && !e.at.After(at) && !slices.Contains(done, e.task) {
			done = append(done, e.task)
		}
	}
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return len(done) >= n
}

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// adviceWorkers is the number of workers that one call for advice names.
	adviceWorkers = 30
	// adviceRetry is the pause after a call for advice that failed.
	adviceRetry = 250 * time.Millisecond
	// permitMargin is kept of the validity of a permit for the way of the start.
	permitMargin = 400 * time.Millisecond
)

// StepRef names a step of one occurrence of a job.
type StepRef struct {
	Job        string
	Occurrence int
	Step       int
}

// permit lets a worker run the tasks of a step.
type permit struct {
	text  string
	until time.Time
	life  int64
}

// advice is what is known of the workers that may run a step.
type advice struct {
	// asked holds the lives of the workers that were asked about.
	asked   map[string]int64
	permits map[string]permit
	pending bool
	retryAt time.Time
}

func (p *Planner) adviceOf(r StepRef) *advice {
	a := p.advice[r]
	if a == nil {
		a = &advice{asked: make(map[string]int64), permits: make(map[string]permit)}
		p.advice[r] = a
	}
	return a
}

// permitted returns the permit of a worker for a step; a step of a queue without advice needs none.
func (p *Planner) permitted(w *worker, j *jobs.Job, r StepRef, now time.Time) (string, bool) {
	if !j.Queue.NeedsPermit {
		return "", true
	}
	x, ok := p.adviceOf(r).permits[w.ID]
	return x.text, ok && x.life == w.Incarnation && now.Add(permitMargin).Before(x.until)
}

// askAdvice orders a call about workers that have room for the step and whose answer is not known, or no longer valid.
func (p *Planner) askAdvice(c *candidate, now time.Time) {
	t := c.tasks[0]
	r := StepRef{t.Job, t.Occurrence, t.Step}
	a := p.adviceOf(r)
	if a.pending || now.Before(a.retryAt) {
		return
	}
	var l []*worker
	for _, w := range p.list {
		if p.isEligible(w, c.job, c.step, now) && w.free().CanFit(c.step.Reserved()) && !p.isCrowded(w, c, t) && a.mayHelp(w) {
			l = append(l, w)
		}
	}
	if len(l) == 0 {
		return
	}
	slices.SortFunc(l, func(x, y *worker) int {
		return cmp.Or(cmp.Compare(y.free().MilliCPU, x.free().MilliCPU), cmp.Compare(x.ID, y.ID))
	})
	o := Order{Kind: OrderAdvise, Ref: t.Ref}
	for _, w := range l[:min(len(l), adviceWorkers)] {
		o.Candidates = append(o.Candidates, w.ID)
	}
	a.pending = true
	p.orders = append(p.orders, o)
}

// mayHelp tells whether a worker may run the step as far as is known: it was not asked about, or once had a permit.
func (a *advice) mayHelp(w *worker) bool {
	if _, ok := a.permits[w.ID]; ok {
		return true
	}
	l, ok := a.asked[w.ID]
	return !ok || l != w.Incarnation
}

// Permit is an answer of the adviser about one worker.
type Permit struct {
	Worker string
	Token  string
}

// HandleAdvice takes in the answer to a call for advice; ok tells whether there was one.
func (p *Planner) HandleAdvice(o Order, l []Permit, until time.Time, ok bool, now time.Time) {
	a := p.adviceOf(StepRef{o.Job, o.Occurrence, o.Step})
	a.pending = false
	if !ok {
		a.retryAt = now.Add(adviceRetry)
		return
	}
	for _, id := range o.Candidates {
		if w := p.workers[id]; w != nil {
			a.asked[id] = w.Incarnation
			delete(a.permits, id)
		}
	}
	for _, x := range l {
		if w := p.workers[x.Worker]; w != nil {
			a.permits[x.Worker] = permit{x.Token, until, w.Incarnation}
		}
	}
	p.Logger.Info().Str("Task", o.String()).Int("Asked", len(o.Candidates)).Int("Permitted", len(l)).Time("Until", until).Str("Decision", "Advised").Msg("adviser answered")
}

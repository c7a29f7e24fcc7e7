package dispatch

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// maxAdviceCalls is the most advice requests in flight. The advisor handles the calls of an instance one after another, so that
	// more of them only make each answer later.
	maxAdviceCalls = 4
	// slowAdvice is the time from a request to its answer from which on fewer requests are made at a time. Permits count from their
	// request, so that those of a late answer are not valid for long enough to be used.
	slowAdvice = time.Second
)

// adviceRequest is a request for permits that a plan wants to make.
type adviceRequest struct {
	advice     *advice
	task       jobs.Ref
	candidates []*worker
}

// adviceCalls limits the advice requests in flight, and then the workers that each of them names, by how late the answers are.
type adviceCalls struct {
	inFlight int
	// withheld is by how many requests the limit is below maxAdviceCalls.
	withheld int
	// maxNamed is how many workers a request may name, 0 if maxAdviceCandidates.
	maxNamed int
}

// limit returns how many requests may be in flight, at least one.
func (c *adviceCalls) limit() int { return maxAdviceCalls - c.withheld }

// candidates returns how many workers a request may name, at least one.
func (c *adviceCalls) candidates() int {
	if c.maxNamed == 0 {
		return maxAdviceCandidates
	}
	return c.maxNamed
}

// end records the end of a request that named some workers and took the given time; ok is false if it failed.
func (c *adviceCalls) end(named int, took time.Duration, ok bool) {
	c.inFlight = max(0, c.inFlight-1)
	inTime := ok && took < slowAdvice
	switch {
	case inTime && c.candidates() < maxAdviceCandidates:
		c.maxNamed = min(2*c.maxNamed, maxAdviceCandidates)
	case inTime:
		c.withheld = max(0, c.withheld-1)
	case c.limit() > 1:
		c.withheld = maxAdviceCalls - c.limit()/2
	default:
		c.maxNamed = max(1, min(named, c.candidates())/2)
	}
}

// forget records the end of a request about a job that has finished, of which it is not known how long it took.
func (c *adviceCalls) forget() { c.inFlight = max(0, c.inFlight-1) }

// sendAdviceRequests orders the requests that the plan wants to make as far as the limit allows. Steps whose latest request was longest
// ago come first, so that none waits for ever behind others that need new permits again and again. What is left out is requested by a
// later plan, if it is still wanted.
func (p *Planner) sendAdviceRequests(now time.Time) {
	l := p.adviceRequests
	p.adviceRequests = nil
	slices.SortStableFunc(l, func(x, y adviceRequest) int { return x.advice.requestedAt.Compare(y.advice.requestedAt) })
	for _, r := range l {
		if p.adviceCalls.inFlight >= p.adviceCalls.limit() {
			return
		}
		if r.advice.pending == nil {
			p.sendAdviceRequest(r, now)
		}
	}
}

// sendAdviceRequest orders a request.
func (p *Planner) sendAdviceRequest(r adviceRequest, now time.Time) {
	o := Order{Kind: OrderAdvise, Ref: r.task}
	r.advice.pending, r.advice.requestedAt = make(map[string]int64), now
	for _, w := range r.candidates[:min(len(r.candidates), p.adviceCalls.candidates())] {
		o.Candidates = append(o.Candidates, w.ID)
		r.advice.pending[w.ID] = w.Incarnation
	}
	p.adviceCalls.inFlight++
	p.orders = append(p.orders, o)
}

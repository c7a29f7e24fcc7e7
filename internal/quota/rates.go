package quota

import (
	"cmp"
	"slices"
	"time"
)

// rateTolerance is the part of a token that may be missing, so that rounding puts no job beyond a rate that it meets exactly.
const rateTolerance = 1e-6

// Rates tells which jobs were submitted beyond the rate of their account.
//
// Each account has a token bucket over the submission times of its jobs, which
// fills by the account's weight a second and holds as much as comes in one
// second, at least one token. A job that finds no token is beyond the rate and
// takes none. Jobs count in the order of submission time and ID, whatever the
// order in which they are added, so that owners with the same jobs and weights
// agree. A bucket is full before the first job that is known of its account.
type Rates struct {
	weights  Weights
	accounts map[string]*arrivals
	jobs     map[string]*submission
}

// submission is a job of an account.
type submission struct {
	id string
	bucket
	beyond  bool
	removed bool
	account *arrivals
}

// bucket is the state of a token bucket after a job at a time.
type bucket struct {
	at     time.Time
	tokens float64
}

// arrivals holds the jobs of an account.
type arrivals struct {
	name string
	// sorted holds the jobs in their order, of which settled are decided, and added those that are not in it yet.
	sorted  []*submission
	settled int
	added   []*submission
	// before is the state of the bucket after the latest job that was dropped, if hasBefore is set.
	before    bucket
	hasBefore bool
}

// NewRates returns rates without accounts, by which no job is beyond its rate.
func NewRates() *Rates {
	return &Rates{accounts: make(map[string]*arrivals), jobs: make(map[string]*submission)}
}

// SetWeights replaces the weights, which decide on all jobs again.
func (r *Rates) SetWeights(w Weights) {
	for _, a := range r.accounts {
		if r.weights.Of(a.name) != w.Of(a.name) {
			a.settled = 0
		}
	}
	r.weights = w
}

// Add adds a job of an account; a job without an account is never beyond a rate.
func (r *Rates) Add(account, id string, submittedAt time.Time) {
	if account == "" || r.jobs[id] != nil {
		return
	}
	a := r.accounts[account]
	if a == nil {
		a = &arrivals{name: account}
		r.accounts[account] = a
	}
	s := &submission{id: id, bucket: bucket{at: submittedAt}, account: a}
	a.added = append(a.added, s)
	r.jobs[id] = s
}

// Remove drops a job whose record is removed. What is decided of other jobs stays.
func (r *Rates) Remove(id string) {
	s := r.jobs[id]
	if s == nil {
		return
	}
	delete(r.jobs, id)
	a := s.account
	r.settle(a)
	s.removed = true
	n := 0
	for n < len(a.sorted) && a.sorted[n].removed {
		a.before, a.hasBefore = a.sorted[n].bucket, true
		n++
	}
	a.sorted, a.settled = a.sorted[n:], a.settled-n
	if len(a.sorted) == 0 {
		delete(r.accounts, a.name)
	}
}

// IsBeyond reports whether a job was submitted beyond the rate of its account.
func (r *Rates) IsBeyond(id string) bool {
	s := r.jobs[id]
	if s == nil || r.weights.IsEmpty() {
		return false
	}
	r.settle(s.account)
	return s.beyond
}

// settle decides on the jobs that were added, and again on those after them.
func (r *Rates) settle(a *arrivals) {
	if len(a.added) > 0 {
		a.insertAdded()
	}
	if a.settled == len(a.sorted) {
		return
	}
	rate := r.weights.Of(a.name)
	b, ok := a.bucketBefore(a.settled)
	for ; a.settled < len(a.sorted); a.settled++ {
		s := a.sorted[a.settled]
		s.tokens = max(rate, 1)
		if ok {
			s.tokens = min(s.tokens, b.tokens+rate*s.at.Sub(b.at).Seconds())
		}
		s.beyond = s.tokens < 1-rateTolerance
		if !s.beyond {
			s.tokens--
		}
		b, ok = s.bucket, true
	}
}

// insertAdded moves the added jobs to their places among the sorted ones.
func (a *arrivals) insertAdded() {
	slices.SortFunc(a.added, compareSubmissions)
	i, _ := slices.BinarySearchFunc(a.sorted, a.added[0], compareSubmissions)
	isLast := i == len(a.sorted)
	a.sorted = append(a.sorted, a.added...)
	if !isLast {
		slices.SortFunc(a.sorted[i:], compareSubmissions)
	}
	a.settled = min(a.settled, i)
	a.added = nil
}

// bucketBefore returns the state of the bucket before the sorted job i, and whether there was a job.
func (a *arrivals) bucketBefore(i int) (bucket, bool) {
	if i == 0 {
		return a.before, a.hasBefore
	}
	return a.sorted[i-1].bucket, true
}

func compareSubmissions(a, b *submission) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
}

package routing

import (
	"slices"
	"time"
)

// fairQueue lets the waiting requests of client accounts take turns.
type fairQueue struct {
	accounts map[string][]*Request
	// turns lists the accounts with waiting requests; the first is next.
	turns []string
	size  int
}

func newFairQueue() *fairQueue { return &fairQueue{accounts: make(map[string][]*Request)} }

func (q *fairQueue) push(r *Request) {
	if len(q.accounts[r.ClientAccount]) == 0 {
		q.turns = append(q.turns, r.ClientAccount)
	}
	q.accounts[r.ClientAccount] = append(q.accounts[r.ClientAccount], r)
	q.size++
}

// ahead returns how many requests will be served before a new one of the account.
func (q *fairQueue) ahead(account string) int {
	n := len(q.accounts[account])
	t := 0
	for _, a := range q.turns {
		t += min(len(q.accounts[a]), n+1)
	}
	if n == 0 {
		return t
	}
	return t - 1
}

// pop removes and returns the next request that the function accepts, nil where there is none.
func (q *fairQueue) pop(accept func(*Request) bool) *Request {
	for i, a := range q.turns {
		l := q.accounts[a]
		k := slices.IndexFunc(l, accept)
		if k < 0 {
			continue
		}
		r := l[k]
		q.turns = slices.Delete(q.turns, i, i+1)
		q.setAccount(a, slices.Delete(l, k, k+1))
		return r
	}
	return nil
}

// setAccount replaces the requests of an account that is not in turns, and puts it last.
func (q *fairQueue) setAccount(a string, l []*Request) {
	q.size--
	if len(l) == 0 {
		delete(q.accounts, a)
		return
	}
	q.accounts[a] = l
	q.turns = append(q.turns, a)
}

// remove drops the request and reports whether it was waiting.
func (q *fairQueue) remove(r *Request) bool {
	l := q.accounts[r.ClientAccount]
	k := slices.Index(l, r)
	if k < 0 {
		return false
	}
	q.size--
	l = slices.Delete(l, k, k+1)
	if len(l) > 0 {
		q.accounts[r.ClientAccount] = l
		return true
	}
	delete(q.accounts, r.ClientAccount)
	i := slices.Index(q.turns, r.ClientAccount)
	q.turns = slices.Delete(q.turns, i, i+1)
	return true
}

// expired removes and returns the requests that can't be answered any more at the instant.
func (q *fairQueue) expired(at time.Time) []*Request {
	var x []*Request
	for _, l := range q.accounts {
		for _, r := range l {
			if r.Deadline.Before(at) {
				x = append(x, r)
			}
		}
	}
	for _, r := range x {
		q.remove(r)
	}
	return x
}

package routing

import (
	"slices"
	"time"
)

// fairQueue serves the waiting requests of client accounts in round-robin order.
type fairQueue struct {
	// accounts holds the waiting requests by client account.
	accounts map[string][]*Request
	// accountOrder lists the accounts with waiting requests in the order in which they are served.
	accountOrder []string
	// size is the number of waiting requests.
	size int
}

func newFairQueue() *fairQueue { return &fairQueue{accounts: make(map[string][]*Request)} }

func (q *fairQueue) push(r *Request) {
	if len(q.accounts[r.ClientAccount]) == 0 {
		q.accountOrder = append(q.accountOrder, r.ClientAccount)
	}
	q.accounts[r.ClientAccount] = append(q.accounts[r.ClientAccount], r)
	q.size++
}

// requestsAhead returns the number of requests that would be served before a new request of the account.
func (q *fairQueue) requestsAhead(account string) int {
	n := len(q.accounts[account])
	t := 0
	for _, a := range q.accountOrder {
		t += min(len(q.accounts[a]), n+1)
	}
	if n == 0 {
		return t
	}
	return t - 1
}

// pop removes and returns the next request for which accept returns true, or nil if there is none.
func (q *fairQueue) pop(accept func(*Request) bool) *Request {
	for i, a := range q.accountOrder {
		l := q.accounts[a]
		k := slices.IndexFunc(l, accept)
		if k < 0 {
			continue
		}
		r := l[k]
		q.accountOrder = slices.Delete(q.accountOrder, i, i+1)
		q.requeueRemaining(a, slices.Delete(l, k, k+1))
		return r
	}
	return nil
}

// requeueRemaining stores the requests l that remain of account a, after one request was removed and the account was
// removed from accountOrder. If any requests remain, it appends the account to accountOrder.
func (q *fairQueue) requeueRemaining(a string, l []*Request) {
	q.size--
	if len(l) == 0 {
		delete(q.accounts, a)
		return
	}
	q.accounts[a] = l
	q.accountOrder = append(q.accountOrder, a)
}

// remove deletes the request and reports whether it was waiting.
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
	i := slices.Index(q.accountOrder, r.ClientAccount)
	q.accountOrder = slices.Delete(q.accountOrder, i, i+1)
	return true
}

// removeExpired removes and returns the requests whose deadline is before the given time.
func (q *fairQueue) removeExpired(at time.Time) []*Request {
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

package jobserve

import (
	"errors"
	"maps"
	"sync"
	"time"

	"currantknot.dev/currantknot/internal/account"
)

// ErrUndecided means that it is not known yet whether there is a job: its submission is on its way, or got no answer. Callers receive
// the text of the error.
var ErrUndecided = errors.New("the submission of the job is not decided yet")

// undecidedJobs holds the jobs of which this instance does not know yet whether their submissions are stored.
type undecidedJobs struct {
	mu   sync.Mutex
	byID map[string]*undecidedJob
	// expireAt is when the jobs that are decided by then are next dropped.
	expireAt time.Time
}

// undecidedJob is a job that callers are submitting, or that the store may still execute the submission of until a time.
type undecidedJob struct {
	account string
	callers int
	until   time.Time
}

// begin records that a caller submits a job of an account.
func (u *undecidedJobs) begin(id, account string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(time.Now())
	x := u.byID[id]
	if x == nil {
		x = &undecidedJob{account: account}
		u.byID[id] = x
	}
	x.callers++
}

// end records the outcome of a submission that began.
func (u *undecidedJobs) end(id string, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	x := u.byID[id]
	x.callers--
	if errors.Is(err, ErrOutcomeUnknown) {
		x.until = now.Add(lateCallWindow)
	}
	if x.isDecided(now) {
		delete(u.byID, id)
	}
}

// contains reports whether a job that the caller may access is undecided.
func (u *undecidedJobs) contains(c account.Caller, id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	x := u.byID[id]
	return x != nil && !x.isDecided(time.Now()) && c.MayAccess(x.account)
}

// expire drops the decided jobs, at most once per lateCallWindow; u.mu is held.
func (u *undecidedJobs) expire(now time.Time) {
	if now.Before(u.expireAt) {
		return
	}
	u.expireAt = now.Add(lateCallWindow)
	maps.DeleteFunc(u.byID, func(_ string, x *undecidedJob) bool { return x.isDecided(now) })
}

// isDecided reports whether the store has, or never will have, the submission.
func (x *undecidedJob) isDecided(now time.Time) bool { return x.callers == 0 && !now.Before(x.until) }

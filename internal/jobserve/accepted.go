package jobserve

import (
	"maps"
	"time"

	"currantknot.dev/currantknot/internal/account"
	"currantknot.dev/currantknot/internal/jobs"
)

// acceptedJob is a job whose submission this instance has stored and its replica has not read yet.
type acceptedJob struct {
	account string
	// at is when the store acknowledged the submission.
	at time.Time
}

// RecordAccepted records that the submission of a job of an account is stored. Callers know the job from now on. It is scheduled only
// once the submission is read, since that tells whether it was the first with its ID.
func (r *Replica) RecordAccepted(id, account string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.specs[id]; !ok {
		r.accepted[id] = acceptedJob{account: account, at: time.Now()}
	}
}

// RecordCancelled records that the cancellation of a job is stored.
func (r *Replica) RecordCancelled(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled[id] = true
}

// AcceptedState returns the state of a job that this instance has accepted, whose submission the replica has not read, and which the
// caller may access.
func (r *Replica) AcceptedState(c account.Caller, id string) (jobs.State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.accepted[id]
	if !ok || !c.MayAccess(x.account) {
		return "", false
	}
	if r.cancelled[id] {
		return jobs.StateCancelled, true
	}
	return jobs.StatePending.Later(r.states[id]), true
}

// dropAccepted drops the accepted jobs that a read to the end, which began at the given time, would have found; r.mu is held.
func (r *Replica) dropAccepted(start time.Time) {
	maps.DeleteFunc(r.accepted, func(_ string, x acceptedJob) bool { return x.at.Before(start) })
}

package jobserve

import (
	"bytes"
	"context"
	"time"

	"currantknot.dev/currantknot/internal/account"
	"currantknot.dev/currantknot/internal/jobs"
)

// confirmTimeout bounds the append of confirmed submissions.
const confirmTimeout = time.Second

// MayAccess reports whether the replica holds the submission of a job and the caller may read and cancel the job. A job whose
// submission cannot be decoded belongs to nobody.
func (r *Replica) MayAccess(c account.Caller, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.specs[id]; !ok {
		return false
	}
	if c.Unchecked {
		return true
	}
	a, ok := r.account(id)
	return ok && c.MayAccess(a)
}

// account returns the client account of a job whose submission the replica holds, and whether it can be decoded; r.mu is held.
func (r *Replica) account(id string) (string, bool) {
	if a, ok := r.accounts[id]; ok {
		return a, true
	}
	s, ok := r.spec(id)
	if !ok {
		return "", false
	}
	r.accounts[id] = s.Account
	return s.Account, true
}

// applyRepeat applies a further submission of a job, which has no effect unless it confirms the first one; r.mu is held.
//
// The store keeps only the newest record of a key. If that is of another account
// than the first one, an instance that starts later would take the job for the
// other account's, so that the owner stores the first one again as confirmed. It
// does the same if another writer has replaced the submission by a malformed one.
func (r *Replica) applyRepeat(id string, v []byte) {
	if bytes.Equal(r.specs[id], v) && !r.contested[id] {
		return
	}
	s, err := decodeSubmission(id, v)
	_, held := r.spec(id)
	switch {
	case err != nil && held:
		r.contested[id] = true
		r.logger.Warn().Str("error", Excerpt(err.Error())).Str("Job", id).Int("Bytes", len(v)).Str("Decision", "KeepFirst").Msg("submission was replaced by a malformed one")
		return
	case err != nil:
		return
	}
	if s.Confirmed || !held {
		r.specs[id] = v
		delete(r.malformed, id)
		delete(r.accounts, id)
		delete(r.queues, id)
		delete(r.contested, id)
		return
	}
	if a, ok := r.account(id); ok && a != s.Account {
		r.contested[id] = true
		r.logger.Warn().Str("Job", id).Str("Account", a).Str("Other", s.Account).Str("Decision", "KeepFirst").Msg("another account submitted a job with the same ID")
	}
}

// contestedSubmissions returns the confirmed records of the contested jobs.
func (r *Replica) contestedSubmissions() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []Record
	for id := range r.contested {
		s, ok := r.spec(id)
		if !ok {
			continue
		}
		s.Confirmed = true
		if b, err := jobs.EncodeSpec(&s); err == nil {
			l = append(l, Record{Key: submissionPrefix + id, Value: b})
		}
	}
	return l
}

// confirmContested stores the first submissions of contested jobs again. It makes one attempt, since a late one could bring back a
// job that has been removed meanwhile; the next round makes another one.
func (o *Owner) confirmContested(ctx context.Context) {
	l := o.Replica.contestedSubmissions()
	if len(l) == 0 {
		return
	}
	c, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if _, err := o.Store.Append(c, PartitionRequests, l, nil); err != nil {
		o.Logger.Warn().Err(err).Int("Jobs", len(l)).Str("Decision", "ConfirmAgain").Msg("first submissions were not confirmed")
		return
	}
	o.Logger.Info().Int("Jobs", len(l)).Str("Decision", "Confirmed").Msg("first submissions of contested IDs were stored again")
}

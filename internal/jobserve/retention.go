package jobserve

import (
	"context"
	"time"
)

const (
	// retentionInterval is the time between two removal passes.
	retentionInterval = 5 * time.Second
	// retentionFactor is the ratio of the minimum time that records of a finished job are kept to the time for which callers
	// may query it.
	retentionFactor = 2
	// maxRemovalsPerPass is the maximum number of jobs that one pass removes.
	maxRemovalsPerPass = 200
)

// retention tracks finished jobs whose records are to be removed, so that the store does not fill up.
//
// The submission is removed first, and the progress once this instance has read
// that the submission is gone: progress without a submission has no effect, but
// a submission without progress would run again.
type retention struct {
	// queryDuration is how long callers may query a finished job; if it is 0, nothing is removed.
	queryDuration time.Duration
	// checkedAt is the time of the latest pass.
	checkedAt  time.Time
	finishedAt map[string]time.Time
	// removed holds the jobs whose submissions this owner has removed.
	removed map[string]bool
}

func newRetention(queryDuration time.Duration) *retention {
	return &retention{queryDuration: queryDuration, finishedAt: make(map[string]time.Time), removed: make(map[string]bool)}
}

// recordFinished records when jobs became terminal; a new owner counts from its takeover.
func (r *retention) recordFinished(l []jobState, now time.Time) {
	for _, x := range l {
		if _, ok := r.finishedAt[x.job]; !ok && x.state.IsTerminal() {
			r.finishedAt[x.job] = now
		}
	}
}

// isDue reports whether another pass is due, and records its time if so.
func (r *retention) isDue(now time.Time) bool {
	if r.queryDuration <= 0 || now.Sub(r.checkedAt) < retentionInterval {
		return false
	}
	r.checkedAt = now
	return true
}

// expired returns jobs whose submissions are to be removed.
func (r *retention) expired(now time.Time) []string {
	var l []string
	for id, at := range r.finishedAt {
		if len(l) == maxRemovalsPerPass {
			break
		}
		if !r.removed[id] && now.Sub(at) > retentionFactor*r.queryDuration {
			l = append(l, id)
		}
	}
	return l
}

// removeExpired removes the submissions of expired jobs, and the progress of jobs whose submissions are gone.
func (o *Owner) removeExpired(ctx context.Context, now time.Time) error {
	if !o.retention.isDue(now) {
		return nil
	}
	if err := o.removeProgress(ctx); err != nil {
		return err
	}
	l := o.retention.expired(now)
	if len(l) == 0 {
		return nil
	}
	var r []Record
	for _, id := range l {
		r = append(r, Record{Key: submissionPrefix + id}, Record{Key: cancelPrefix + id}, Record{Key: statePrefix + id})
	}
	c, cancel := context.WithTimeout(ctx, o.latency.timeout())
	defer cancel()
	if _, err := o.Store.Append(c, PartitionRequests, r, nil); err != nil {
		o.Logger.Warn().Err(err).Int("Jobs", len(l)).Str("Decision", "RetireLater").Msg("records of finished jobs were not removed")
		return nil
	}
	for _, id := range l {
		o.retention.removed[id] = true
	}
	o.Logger.Info().Int("Jobs", len(l)).Dur("KeptFor", retentionFactor*o.retention.queryDuration).Str("Decision", "Retire").Msg("submissions of finished jobs were removed")
	return nil
}

// removeProgress removes the progress of jobs whose submissions are gone.
func (o *Owner) removeProgress(ctx context.Context) error {
	var r []Record
	o.mu.Lock()
	for id := range o.retention.removed {
		if !o.Replica.Contains(id) && o.planner.RemoveJob(id) {
			r = append(r, Record{Key: id})
		}
	}
	o.mu.Unlock()
	for _, x := range r {
		delete(o.retention.removed, x.Key)
		delete(o.retention.finishedAt, x.Key)
	}
	return o.commit(ctx, r)
}

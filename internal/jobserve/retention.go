package jobserve

import (
	"context"
	"time"
)

const (
	// retentionInterval is the minimum time between two passes that remove records.
	retentionInterval = 5 * time.Second
	// retentionFactor is the multiple of queryDuration for which the records of a finished job are kept at least.
	retentionFactor = 2
	// maxRemovalsPerPass is the maximum number of jobs whose submissions one pass removes.
	maxRemovalsPerPass = 200
)

// retention tracks finished jobs whose records are to be removed, so that the store does not fill up.
//
// The submission is removed first, and the progress once this instance has read
// that the submission is gone: progress without a submission has no effect, but
// a job whose submission remains without its progress would run again.
type retention struct {
	// queryDuration is how long callers may query a finished job; if it is 0, nothing is removed.
	queryDuration time.Duration
	// checkedAt is the time of the latest pass.
	checkedAt time.Time
	// finishedAt holds, by job ID, when this owner recorded the job as finished.
	finishedAt map[string]time.Time
	// removed holds the IDs of the jobs whose submissions this owner has removed, but not yet their progress.
	removed map[string]bool
}

func newRetention(queryDuration time.Duration) *retention {
	return &retention{queryDuration: queryDuration, finishedAt: make(map[string]time.Time), removed: make(map[string]bool)}
}

// recordFinished records the time at which jobs finished; for a job that finished before a takeover, this is the time of the
// takeover.
func (r *retention) recordFinished(l []jobState, now time.Time) {
	for _, x := range l {
		if _, ok := r.finishedAt[x.job]; !ok && x.state.IsTerminal() {
			r.finishedAt[x.job] = now
		}
	}
}

// beginPass reports whether another pass is due, and then records now as the time of the latest pass.
func (r *retention) beginPass(now time.Time) bool {
	if r.queryDuration <= 0 || now.Sub(r.checkedAt) < retentionInterval {
		return false
	}
	r.checkedAt = now
	return true
}

// expired returns the IDs of jobs whose submissions this pass is to remove.
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

// removeExpired runs a pass if one is due: it removes the progress of jobs whose submissions are gone, and then the other
// records of expired jobs.
func (o *Owner) removeExpired(ctx context.Context, now time.Time) error {
	if !o.retention.beginPass(now) {
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
		if o.Replica.FailureReason(id) != "" {
			r = append(r, Record{Key: reasonPrefix + id})
		}
	}
	c, cancel := context.WithTimeout(ctx, o.latency.timeout())
	defer cancel()
	if _, err := o.Store.Append(c, PartitionRequests, r, nil); err != nil {
		o.Logger.Warn().Err(err).Int("Jobs", len(l)).Str("Decision", "RetireLater").Msg("removal of the records of finished jobs was not confirmed")
		return nil
	}
	for _, id := range l {
		o.retention.removed[id] = true
	}
	o.Logger.Info().Int("Jobs", len(l)).Dur("KeptFor", retentionFactor*o.retention.queryDuration).Str("Decision", "Retire").Msg("records of finished jobs were removed")
	return nil
}

// removeProgress removes the progress of jobs whose submissions are gone and whose attempts have all finished.
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
	for _, k := range o.Replica.staleProgressKeys() {
		r = append(r, Record{Key: k})
	}
	return o.commit(ctx, r)
}

package jobserve

import (
	"context"
	"time"
)

const (
	// retireEvery is the time between two looks at the jobs that have ended.
	retireEvery = 5 * time.Second
	// retireAfter times the time for which callers may ask for an ended job is how long its records are kept at least.
	retireAfter = 2
	// retireAtOnce bounds the jobs that one look removes.
	retireAtOnce = 200
)

// retirement removes the records of jobs that ended long ago, so that the store does not fill up.
//
// A submission goes first. Its progress follows once this instance has read
// that it is gone: progress without a submission is nothing, but a submission
// without progress would run again.
type retirement struct {
	keep time.Duration
	// at is the instant of the latest look.
	at      time.Time
	endedAt map[string]time.Time
	// removed holds the jobs whose submissions were removed.
	removed map[string]bool
}

func newRetirement(keep time.Duration) *retirement {
	return &retirement{keep: keep, endedAt: make(map[string]time.Time), removed: make(map[string]bool)}
}

// note notes the jobs that have ended; a new owner counts from its takeover.
func (r *retirement) note(l []jobState, now time.Time) {
	for _, x := range l {
		if _, ok := r.endedAt[x.job]; !ok && x.state.IsTerminal() {
			r.endedAt[x.job] = now
		}
	}
}

// isDue tells whether it is time for another look.
func (r *retirement) isDue(now time.Time) bool {
	if r.keep <= 0 || now.Sub(r.at) < retireEvery {
		return false
	}
	r.at = now
	return true
}

// old returns jobs whose submissions are to be removed.
func (r *retirement) old(now time.Time) []string {
	var l []string
	for id, at := range r.endedAt {
		if len(l) == retireAtOnce {
			break
		}
		if !r.removed[id] && now.Sub(at) > retireAfter*r.keep {
			l = append(l, id)
		}
	}
	return l
}

// retire removes the submissions of jobs that ended long ago, and the progress of those that are gone.
func (o *Owner) retire(ctx context.Context, now time.Time) error {
	if !o.retirement.isDue(now) {
		return nil
	}
	if err := o.dropProgress(ctx); err != nil {
		return err
	}
	l := o.retirement.old(now)
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
		o.Logger.Warn().Err(err).Int("Jobs", len(l)).Str("Decision", "RetireLater").Msg("ended jobs were not removed")
		return nil
	}
	for _, id := range l {
		o.retirement.removed[id] = true
	}
	o.Logger.Info().Int("Jobs", len(l)).Dur("KeptFor", retireAfter*o.retirement.keep).Str("Decision", "Retire").Msg("submissions of ended jobs were removed")
	return nil
}

// dropProgress removes the progress of jobs whose submissions are gone.
func (o *Owner) dropProgress(ctx context.Context) error {
	var r []Record
	o.mu.Lock()
	for id := range o.retirement.removed {
		if !o.Replica.Contains(id) && o.planner.Forget(id) {
			r = append(r, Record{Key: id})
		}
	}
	o.mu.Unlock()
	for _, x := range r {
		delete(o.retirement.removed, x.Key)
		delete(o.retirement.endedAt, x.Key)
	}
	return o.commit(ctx, r)
}

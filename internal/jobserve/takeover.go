package jobserve

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantknot.dev/currantknot/internal/dispatch"
)

// takeOver fences the former owner and builds the planner from the store's records. It retries until an attempt succeeds, a
// newer owner has taken over, or the context ends. An attempt that fails leaves what it has loaded to the next one.
func (o *Owner) takeOver(ctx context.Context) error {
	start := time.Now()
	o.Replica.DropProgress()
	for {
		c, cancel := context.WithTimeout(ctx, takeoverTimeout)
		err := o.tryTakeOver(c)
		cancel()
		if err == nil {
			n, u := o.planner.HeldAttempts()
			o.Logger.Info().Int64("Epoch", o.epoch).Dur("Took", time.Since(start)).Int("Attempts", n).Int("AtUnlisted", u).Str("Decision", "TookOver").Msg("this instance now owns the jobs")
			return nil
		}
		if errors.Is(err, ErrFenced) || ctx.Err() != nil {
			return err
		}
		o.Logger.Warn().Err(err).Int64("Epoch", o.epoch).Msg("takeover failed; it is retried")
		sleep(ctx, storeBackoff)
	}
}

// tryTakeOver makes one attempt to take over. The first successful append of a record that names this process as the owner
// gives the epoch: the end offset after the record, so that no two ownerships share an epoch.
func (o *Owner) tryTakeOver(ctx context.Context) error {
	if o.epoch == 0 {
		n, err := o.Store.Append(ctx, PartitionRequests, []Record{{Key: ownerKey, Value: []byte(o.Identity)}}, nil)
		if err != nil {
			return fmt.Errorf("write the owner record: %w", err)
		}
		o.epoch = n
	}
	end, err := o.Store.Append(ctx, PartitionProgress, nil, &Writer{Epoch: o.epoch})
	if err != nil {
		return fmt.Errorf("fence the former owner: %w", err)
	}
	if err := o.Replica.LoadAll(ctx); err != nil {
		return err
	}
	w, err := o.Directory.ListWorkers(ctx)
	if err != nil {
		return fmt.Errorf("list workers: %w", err)
	}
	now := time.Now()
	p := dispatch.New(dispatch.Config{
		Lease: o.Lease, StoreLossGrace: o.StoreLossGrace, LastCommitAt: o.lastCommitAt(end, now), MaintenanceDelay: o.MaintenanceDelay, Logger: o.Logger,
	}, now)
	if b := o.Replica.Progress(snapshotKey); b != nil {
		if err := p.RestoreSnapshot(b); err != nil {
			o.Logger.Warn().Err(err).Msg("snapshot was not restored; learned estimates are lost")
		}
	}
	p.SetDrainedDomains(o.State.DrainedDomains())
	p.SetWorkers(w, now)
	l := o.Replica.Jobs()
	states := statesOf(l)
	for _, j := range l {
		p.AddJob(j, now)
	}
	for _, id := range o.Replica.Cancelled() {
		p.Cancel(id, now)
	}
	o.planner, o.restoredStates = p, states
	return nil
}

// lastCommitAt returns the time by which the latest commit of an earlier owner was certainly made, given the end of the
// progress partition at which the earlier owners were fenced.
func (o *Owner) lastCommitAt(end int64, now time.Time) time.Time {
	t, ok := o.LastCommit(end)
	if !ok {
		t = now
	}
	o.Logger.Info().Int64("Epoch", o.epoch).Bool("Seen", ok).Dur("Age", now.Sub(t)).Str("Decision", "LastCommit").Msg("leases of earlier owners are counted from their latest commit")
	return t
}

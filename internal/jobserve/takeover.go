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
		err := o.tryTakeOver(ctx)
		if err == nil {
			n, u := o.planner.HeldAttempts()
			o.Logger.Info().Int64("Epoch", o.epoch).Dur("Took", time.Since(start)).Dur("ListAge", o.workersAt.Age()).Int("Attempts", n).Int("AtUnlisted", u).Str("Decision", "TookOver").Msg("this instance now owns the jobs")
			return nil
		}
		if errors.Is(err, ErrFenced) || ctx.Err() != nil {
			return err
		}
		o.Logger.Warn().Err(err).Int64("Epoch", o.epoch).Msg("takeover failed; it is retried")
		sleep(ctx, storeBackoff)
		if err := o.checkNewest(ctx); err != nil {
			return err
		}
	}
}

// checkNewest returns ErrFenced if another process has claimed the jobs since; it returns nil if the claims cannot be read.
func (o *Owner) checkNewest(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, takeoverCallTimeout)
	defer cancel()
	x, err := o.Replica.RefreshClaim(c)
	if err == nil && x.Epoch > max(o.epoch, o.Predecessor.Epoch) && x.Identity != o.Identity {
		return fmt.Errorf("take over after %s: %w", x.Identity, ErrFenced)
	}
	return nil
}

// claim appends the claim of this process after that of the predecessor, which gives the epoch. It returns ErrFenced if another
// process has claimed the jobs first.
func (o *Owner) claim(ctx context.Context) error {
	if o.Predecessor.Epoch == 0 {
		c, cancel := context.WithTimeout(ctx, takeoverTimeout)
		err := o.Replica.Refresh(c, time.Now())
		cancel()
		if err != nil {
			return err
		}
	}
	// Owners of earlier versions, which may run during an upgrade, have offsets in the requests as their epochs.
	x := Claim{Identity: o.Identity, Epoch: dispatch.NextEpoch(max(o.Predecessor.Epoch, o.Replica.requestsOffset()))}
	_, err := callRepeatedly(ctx, takeoverCallTimeout, inBackground, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.Store.AppendAt(ctx, PartitionOwners, o.Predecessor.EndOffset, []Record{x.record()})
	})
	if errors.Is(err, ErrConflict) {
		err = o.checkClaimed(ctx, x)
	}
	if err != nil {
		return fmt.Errorf("claim the jobs: %w", err)
	}
	o.epoch = x.Epoch
	return nil
}

// checkClaimed returns nil if a call without a response has appended the claim, and ErrFenced if there is another claim.
func (o *Owner) checkClaimed(ctx context.Context, x Claim) error {
	ctx, cancel := context.WithTimeout(ctx, takeoverCallTimeout)
	defer cancel()
	newest, err := o.Replica.RefreshClaim(ctx)
	if err == nil && !newest.isSameOwnership(x) {
		err = ErrFenced
	}
	return err
}

// fence makes the store refuse the commits of former owners, and returns the end of the progress partition.
func (o *Owner) fence(ctx context.Context) (int64, error) {
	end, err := callRepeatedly(ctx, takeoverCallTimeout, inBackground, func(ctx context.Context) (int64, error) {
		return o.Store.Append(ctx, PartitionProgress, nil, &Writer{Epoch: o.epoch})
	})
	if err != nil {
		return 0, fmt.Errorf("fence the former owner: %w", err)
	}
	return end, nil
}

// tryTakeOver makes one attempt to take over.
func (o *Owner) tryTakeOver(ctx context.Context) error {
	if o.epoch == 0 {
		if err := o.claim(ctx); err != nil {
			return err
		}
	}
	end, err := o.fence(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	if err := o.Replica.LoadAll(ctx); err != nil {
		return err
	}
	w, err := o.Directory.ListWorkers(ctx)
	if err != nil {
		return fmt.Errorf("list workers: %w", err)
	}
	now := time.Now()
	last := lastCommitRecord(o.Replica.ProgressRecords(commitKey), end)
	p := dispatch.New(dispatch.Config{
		Epoch: o.epoch, Lease: o.Lease, MaxLease: o.MaxLease, StoreLossGrace: o.StoreLossGrace, LastCommitAt: o.lastCommitAt(end, last, now), GrantsEndedAt: o.grantsEndedAt(last), MaintenanceDelay: o.MaintenanceDelay, WorkersRestart: o.WorkersRestart, StartBounds: o.StartBounds, OffRackFactor: o.OffRackFactor, Logger: o.Logger,
	}, now)
	if b := o.Replica.Progress(runTimesKey); b != nil {
		if err := p.RestoreRunTimes(b); err != nil {
			o.Logger.Warn().Err(err).Msg("run times were not restored; their means are taken from the snapshot")
		}
	}
	if b := o.Replica.Joined(snapshotKey); b != nil {
		if err := p.RestoreSnapshot(b); err != nil {
			o.Logger.Warn().Err(err).Msg("snapshot was not restored; learned estimates are lost")
		}
	}
	p.SetDrainedDomains(o.State.DrainedDomains())
	p.SetWorkers(w.Workers, now)
	l := o.Replica.Jobs()
	states := statesOf(l)
	for _, j := range l {
		p.AddJob(j, now)
	}
	for _, id := range o.Replica.Cancelled() {
		p.Cancel(id, now)
	}
	p.RestoreInheritedLeases(last.InheritedLeases)
	o.planner, o.restoredStates, o.workersAt = p, states, w.CurrentAt
	return nil
}

// lastCommitAt returns the time by which the latest commit of an earlier owner was certainly sent, given the end of the
// progress partition at which the earlier owners were fenced and the commit record there.
func (o *Owner) lastCommitAt(end int64, last commitRecord, now time.Time) time.Time {
	c := o.Commits.atTakeover(end, last, now)
	o.Logger.Info().Int64("Epoch", o.epoch).Bool("Seen", c.source != sourceNone).Str("Source", string(c.source)).Dur("Age", now.Sub(c.at)).Str("Decision", "LastCommit").Msg("leases of earlier owners are counted from their latest commit")
	return c.at
}

// grantsEndedAt returns a time from which on the predecessor certainly granted no lease, zero if none is known: if the predecessor was
// an earlier process of this instance, at the same address, and made the latest commit, it had ended when this process listened there.
func (o *Owner) grantsEndedAt(last commitRecord) time.Time {
	self, former := parseIdentity(o.Identity), parseIdentity(o.Predecessor.Identity)
	if last.Epoch != o.Predecessor.Epoch || !self.isLaterProcessOf(former) || self.Address != former.Address {
		return time.Time{}
	}
	o.Logger.Info().Int64("Epoch", o.epoch).Dur("Age", time.Since(o.ListeningSince)).Str("Decision", "GrantsEnded").Msg("the former owner was an earlier process of this instance, and granted no lease since this one started")
	return o.ListeningSince
}

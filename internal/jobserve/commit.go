package jobserve

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/bootclock"
)

// CommitRefusedError reports that the store refuses every commit of an owner, however small, for a reason that will not pass.
type CommitRefusedError struct {
	Epoch int64
	Cause error
}

// Error returns the epoch of the owner and the cause.
func (e *CommitRefusedError) Error() string {
	return fmt.Sprintf("the store refuses all commits with epoch %d: %v", e.Epoch, e.Cause)
}

// Unwrap returns the cause.
func (e *CommitRefusedError) Unwrap() error { return e.Cause }

// commit appends progress records, in several appends if they are too large for one. It sets refused to those that the store refuses
// for a reason that will not pass, and stores the others: one record that the store never takes must not keep the rest from it.
func (o *Owner) commit(ctx context.Context, r []Record) error {
	n, err := maxCommitRecordBytes(o.inherited)
	if err != nil {
		return fmt.Errorf("encode commit record: %w", err)
	}
	l := o.AppendLimits
	l.AppendBytes = l.appendBytes() - n
	o.refused = nil
	for _, b := range l.batches(r) {
		if err := o.commitAccepted(ctx, b); err != nil {
			return err
		}
	}
	return nil
}

// commitAccepted appends a batch. If the store refuses it, it appends the halves of the batch by themselves, down to the records that
// the store refuses, which it adds to refused. It returns a *CommitRefusedError if the store also refuses a commit without any of them.
func (o *Owner) commitAccepted(ctx context.Context, batch []Record) error {
	err := o.commitBatch(ctx, batch)
	if !isRefused(err) {
		return err
	}
	if len(batch) == 0 {
		return &CommitRefusedError{o.epoch, err}
	}
	first, second := halves(batch)
	if len(second) > 0 {
		if err := o.commitAccepted(ctx, first); err != nil {
			return err
		}
		return o.commitAccepted(ctx, second)
	}
	k := baseKey(batch[0].Key)
	if o.refused == nil {
		o.refused = make(map[string]error)
	}
	o.refused[k] = err
	o.Metrics.Add(metricRefusedRecords, "", 1)
	o.Logger.Error().Err(err).Str("Key", k).Int("Parts", len(batch)).Int("Bytes", recordBytes(batch)).Int64("Epoch", o.epoch).Str("Decision", "RecordRefused").Msg("the store refuses a record for a reason that will not pass; the others are stored without it")
	return o.commitAccepted(ctx, nil)
}

// halves divides a batch between two jobs, or between the records of the only job; second is empty if all records are parts of one.
func halves(batch []Record) (first, second []Record) {
	for _, keyOf := range []func(string) string{jobOfKey, baseKey} {
		var groups []int
		for i := range batch {
			if i == 0 || keyOf(batch[i].Key) != keyOf(batch[i-1].Key) {
				groups = append(groups, i)
			}
		}
		if len(groups) > 1 {
			n := groups[len(groups)/2]
			return batch[:n], batch[n:]
		}
	}
	return batch, nil
}

// commitBatch makes one append, ended by a commit record, and retries until the store has it, the store refuses it for a reason that
// will not pass, another owner has taken over, the sequence of this one has broken off, so that it has to take over again, or the context
// ends.
//
// A success extends the time in which leases are granted, from the start of the first attempt: a later attempt may succeed
// without a new append, after the store has executed an earlier one. A refused append leaves its sequence number to the next one,
// since no attempt of it can have been executed.
func (o *Owner) commitBatch(ctx context.Context, batch []Record) error {
	o.sequence++
	w := &Writer{Epoch: o.epoch, Sequence: o.sequence}
	firstAt, sentAt := bootclock.Now(), time.Now()
	c := commitRecord{Epoch: o.epoch, SentAt: firstAt, InheritedLeases: o.inherited}
	last, err := c.record()
	if err != nil {
		return fmt.Errorf("encode commit record: %w", err)
	}
	r := append(slices.Clip(batch), last)
	for {
		start := time.Now()
		call, cancel := context.WithTimeout(ctx, o.latency.timeout())
		end, err := o.Store.Append(call, PartitionProgress, r, w)
		cancel()
		if !isNotApplied(err) {
			o.latency.observe(time.Since(start))
		}
		switch {
		case err == nil:
			o.committedAt = start
			o.extendGrants(firstAt)
			o.Commits.observeOwn(end, c, sentAt)
			o.abandonOverdueReads(time.Since(start))
			o.Replica.ApplyCommitted(r, end-int64(len(r)))
			o.Metrics.Add(metricCommits, "", len(r))
			return nil
		case errors.Is(err, ErrFenced), errors.Is(err, ErrOutOfSequence):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		case isRefused(err):
			o.sequence--
			return err
		}
		o.Logger.Warn().Err(err).Int64("Epoch", o.epoch).Int64("Sequence", o.sequence).Int("Records", len(r)).Msg("commit was not confirmed; it is retried")
		sleep(ctx, storeBackoff)
	}
}

// extendGrants lets the owner grant leases until StoreLossGrace after the start of a commit.
func (o *Owner) extendGrants(start time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.grantsUntil = start + o.StoreLossGrace
}

// mayGrantLeases reports whether the owner committed recently enough to grant leases; o.mu is held.
func (o *Owner) mayGrantLeases() bool { return bootclock.Now() < o.grantsUntil }

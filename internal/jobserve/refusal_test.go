package jobserve

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/jobs"
)

// The limits of a limitedStore.
const (
	limitedRecordBytes = 16 << 10
	limitedAppendBytes = 64 << 10
)

// limitedStore is a fakeStore that refuses records over its limits with status 400, as the platform's store does.
type limitedStore struct {
	fakeStore

	// refusesAll makes it refuse each append of a writer with records.
	refusesAll bool
	refusals   int
}

func newLimitedStore() *limitedStore {
	return &limitedStore{fakeStore: fakeStore{records: make(map[Partition][]Record)}}
}

func (f *limitedStore) Append(ctx context.Context, p Partition, l []Record, w *Writer) (int64, error) {
	tooLarge := slices.ContainsFunc(l, func(r Record) bool {
		return len(r.Key)+len(r.Value)+recordOverheadBytes > limitedRecordBytes
	})
	if tooLarge || recordBytes(l) > limitedAppendBytes || f.refusesAll && w != nil && len(l) > 0 {
		time.Sleep(storeDelay)
		f.refusals++
		return 0, &StoreError{Call: "append", Status: http.StatusBadRequest, NotApplied: true, Refused: true}
	}
	return f.fakeStore.Append(ctx, p, l, w)
}

// newLimitedOwner returns an owner of a limitedStore.
func newLimitedOwner(s Store) *Owner {
	r := NewReplica(s, zerolog.Nop())
	c := OwnerConfig{
		Store: s, Replica: r, State: &OperatorState{}, Commits: new(CommitWatch), StoreLossGrace: storeLossGrace, Metrics: NewMetrics(), Logger: zerolog.Nop(),
		AppendLimits: AppendLimits{RecordBytes: limitedRecordBytes, AppendBytes: limitedAppendBytes},
	}
	return &Owner{OwnerConfig: c, epoch: dispatch.NextEpoch(0), planner: dispatch.New(dispatch.Config{Logger: zerolog.Nop()}, time.Now())}
}

// lostJob returns a job of many tasks under each of which a worker was lost.
func lostJob(tasks int) *jobs.Job {
	j := jobs.New(jobs.Spec{ID: "00000000000000c1", Steps: []jobs.Step{{Tasks: tasks}}})
	for _, t := range j.Tasks[0][0] {
		j.RecordLoss(t, jobs.Loss{Worker: fmt.Sprintf("i-%010x", t.Index%100), Address: "10.3.64.17:8407", Incarnation: 1770450095605, Crashed: true})
	}
	return j
}

// A job of 2,000 tasks under lost workers made its owner repeat a refused commit without end, so that nothing ran for anybody (review,
// case 6).
func TestSuspicionsOfManyTasksDoNotStopTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedStore()
		o := newLimitedOwner(s)
		r, err := o.encodeRecords([]*jobs.Job{lostJob(300), jobs.New(jobs.Spec{ID: "00000000000000c2", Steps: []jobs.Step{{Tasks: 1}}})}, time.Now())
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.NoError(t, o.commit(ctx, r))
		require.Zero(t, s.refusals)
		require.Empty(t, o.refused)

		restored := jobs.New(jobs.Spec{ID: "00000000000000c1", Steps: []jobs.Step{{Tasks: 300}}})
		o.Replica.mu.Lock()
		o.Replica.restoreSuspicions(restored)
		o.Replica.mu.Unlock()
		n := 0
		restored.ForEachSuspicion(func(*jobs.Task) { n++ })
		require.Equal(t, 300, n, "the next owner knows all suspicions")
	})
}

// A record that the store never takes is left out, and everything else of the cycle is stored.
func TestRefusedRecordDoesNotKeepTheOthersFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedStore()
		o := newLimitedOwner(s)
		o.planner.AddJob(jobs.New(jobs.Spec{ID: "00000000000000c4", Steps: []jobs.Step{{Tasks: 1}}}), time.Now())
		large := make([]byte, limitedRecordBytes)
		r := []Record{
			{Key: "00000000000000c3", Value: []byte{1}},
			{Key: "00000000000000c4", Value: large},
			{Key: "00000000000000c5", Value: []byte{1}},
			{Key: suspicionPrefix + "00000000000000c5", Value: large},
			{Key: snapshotKey, Value: []byte{1}},
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.NoError(t, o.commit(ctx, r))
		require.Len(t, o.refused, 2)
		require.Contains(t, o.refused, "00000000000000c4")
		require.Contains(t, o.refused, suspicionPrefix+"00000000000000c5")
		for _, k := range []string{"00000000000000c3", "00000000000000c5", snapshotKey} {
			require.NotNil(t, o.Replica.Progress(k), k)
		}
		l := o.setRefusedAside([]jobState{{job: "00000000000000c3"}, {job: "00000000000000c4"}, {job: "00000000000000c5"}})
		require.Equal(t, []jobState{{job: "00000000000000c3"}, {job: "00000000000000c5"}}, l)
		require.Equal(t, 1, o.planner.Idle(time.Now()).SetAside)
		require.True(t, o.mayGrantLeases(), "the commit of the others grants leases")
		for i, x := range s.records[PartitionProgress] {
			require.Equal(t, int64(i), x.Offset)
		}
	})
}

// An owner of whose work nothing is stored stops and lets another instance take over.
func TestOwnerWhoseCommitsAreAllRefusedResigns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedStore()
		s.refusesAll = true
		resigned, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			RunOwner(t.Context(), OwnerConfig{
				Identity: "refused", Store: s, Replica: NewReplica(s, zerolog.Nop()), Workers: &fakeWorkers{}, Directory: fakeDirectory{}, State: &OperatorState{},
				Commits: new(CommitWatch), Lease: testLease, StoreLossGrace: storeLossGrace, Resign: func() { close(resigned) }, Metrics: NewMetrics(), Logger: zerolog.Nop(),
			})
		}()
		select {
		case <-resigned:
		case <-time.After(10 * time.Second):
			require.Fail(t, "the owner stays owner while nothing of its work is stored")
		}
		<-stopped
		// The replica's latest read outlives the owner.
		time.Sleep(time.Minute)
	})
}

// A submission that the store never takes was rejected together with all that were sent with it.
func TestRefusedSubmissionDoesNotRejectTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedStore()
		b := &batcher{store: s, logger: zerolog.Nop()}
		const records, refusedRecord = 100, 37
		var l []*pendingRecord
		for n := range records {
			size := 1
			if n == refusedRecord {
				size = limitedRecordBytes
			}
			l = append(l, b.enqueue(t.Context(), Record{Key: fmt.Sprintf("%s%016x", submissionPrefix, n), Value: make([]byte, size)}))
		}
		for n, p := range l {
			err := b.await(t.Context(), p)
			if n != refusedRecord {
				require.NoError(t, err)
				continue
			}
			var refused *RefusedRecordError
			require.ErrorAs(t, err, &refused)
			require.ErrorIs(t, err, ErrNotAccepted)
		}
		require.Len(t, s.records[PartitionRequests], records-1)
		require.Less(t, s.refusals, 10, "the record at fault is found by halves")
	})
}

// Two appends in one lifetime may have the same sequence number only if the store refused the first.
func TestRefusedCommitLeavesItsSequenceNumberToTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedStore()
		o := newLimitedOwner(s)
		require.NoError(t, o.commit(t.Context(), []Record{{Key: "00000000000000c6", Value: []byte{1}}}))
		require.Equal(t, int64(1), o.sequence)
		require.True(t, isRefused(o.commitBatch(t.Context(), []Record{{Key: "00000000000000c6", Value: make([]byte, limitedRecordBytes)}})))
		require.Equal(t, int64(1), o.sequence)
	})
}

// brokenSequence is a store that expects another sequence number.
type brokenSequence struct{ *limitedStore }

func (f brokenSequence) Append(ctx context.Context, p Partition, l []Record, w *Writer) (int64, error) {
	if w != nil && len(l) > 0 {
		time.Sleep(storeDelay)
		return 0, ErrOutOfSequence
	}
	return f.limitedStore.Append(ctx, p, l, w)
}

// An owner whose sequence of commits had broken off repeated the same commit without end.
func TestOwnerTakesOverAgainWhenItsSequenceHasBrokenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newLimitedOwner(brokenSequence{newLimitedStore()})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.ErrorIs(t, o.commit(ctx, []Record{{Key: "00000000000000c7", Value: []byte{1}}}), ErrOutOfSequence)
	})
}

package jobserve

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/account"
	"currantknot.dev/currantknot/internal/jobs"
)

var (
	callerA   = account.Caller{Account: "a"}
	callerB   = account.Caller{Account: "b"}
	unchecked = account.Caller{Unchecked: true}
)

// accountInstance is the service of one of several instances that share a store.
type accountInstance struct {
	*Service
	store *pagedStore
}

func newAccountInstance(t *testing.T, s *pagedStore) *accountInstance {
	t.Helper()
	r := NewReplica(s, zerolog.Nop())
	require.NoError(t, refreshFor(r, testPatience))
	return &accountInstance{NewService(s, r, nil, zerolog.Nop()), s}
}

// submitAs submits a job with the ID of testJob(0).
func (i *accountInstance) submitAs(t *testing.T, c account.Caller) error {
	t.Helper()
	return i.Submit(t.Context(), c, &jobs.Spec{ID: testJob(0), Queue: jobs.Queue{Name: "q"}, Steps: []jobs.Step{{Tasks: 1, Size: jobs.Resources{MilliCPU: 100}}}, SubmittedAt: time.Now()})
}

// requests returns the number of records in the requests partition.
func (i *accountInstance) requests() int {
	i.store.mu.Lock()
	defer i.store.mu.Unlock()
	return len(i.store.records[PartitionRequests])
}

// confirm lets the instance, as the owner, read all requests and confirm contested submissions.
func (i *accountInstance) confirm(t *testing.T) {
	t.Helper()
	require.NoError(t, refreshFor(i.replica, testPatience))
	(&Owner{OwnerConfig: OwnerConfig{Store: i.store, Replica: i.replica, Logger: zerolog.Nop()}}).confirmContested(t.Context())
}

// requireAccount checks to which of two accounts the job of testJob(0) belongs.
func (i *accountInstance) requireAccount(t *testing.T, mine, other account.Caller) {
	t.Helper()
	require.NoError(t, refreshFor(i.replica, testPatience))
	require.True(t, i.replica.MayAccess(mine, testJob(0)))
	require.False(t, i.replica.MayAccess(other, testJob(0)))
}

// Guards against jobs of one account that another one can read, cancel or tell from unknown ones.
func TestJobOfAnotherAccountIsUnknown(t *testing.T) {
	for name, c := range map[string]struct {
		owner  account.Caller
		caller account.Caller
		known  bool
	}{
		"own job":                         {callerA, callerA, true},
		"job of another account":          {callerA, callerB, false},
		"public route":                    {callerA, account.Caller{}, false},
		"own job through a public route":  {account.Caller{}, account.Caller{}, true},
		"job without an account":          {account.Caller{}, callerA, false},
		"no accounts any more":            {callerA, unchecked, true},
		"accounts since":                  {unchecked, callerA, false},
		"accounts since, a public route":  {unchecked, account.Caller{}, true},
		"no accounts, then and thereupon": {unchecked, unchecked, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newPagedStore(0)
			a, b := newAccountInstance(t, s), newAccountInstance(t, s)
			require.NoError(t, a.submitAs(t, c.owner))
			// A younger replica is not read again.
			time.Sleep(2 * maxStateAge)
			for _, i := range []*accountInstance{a, b} {
				n := i.requests()
				_, known, err := i.State(t.Context(), c.caller, testJob(0))
				require.NoError(t, err)
				require.Equal(t, c.known, known)
				known, err = i.Cancel(t.Context(), c.caller, testJob(0))
				require.NoError(t, err)
				require.Equal(t, c.known, known)
				require.Equal(t, c.known, i.requests() > n, "a cancellation was stored, or was not")
			}
		})
	}
}

// A job of another account must not be told from an unknown one while the store is silent, nor once it has finished.
func TestJobOfAnotherAccountIsUnknownWhileTheStoreIsSilent(t *testing.T) {
	s := newPagedStore(0)
	a := newAccountInstance(t, s)
	require.NoError(t, a.submitAs(t, callerA))
	a.replica.RecordCommittedState(testJob(0), jobs.StateCompleted, "")
	s.mu.Lock()
	s.lostReads = 1000
	s.mu.Unlock()
	time.Sleep(2 * maxStateAge)
	for _, id := range []string{testJob(0), testJob(1)} {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, known, err := a.State(ctx, callerB, id)
		cancel()
		require.False(t, known)
		require.ErrorIs(t, err, context.DeadlineExceeded)
	}
	_, known, err := a.State(t.Context(), callerA, testJob(0))
	require.NoError(t, err)
	require.True(t, known)
}

func TestRepeatIsOneJobOfItsFirstAccount(t *testing.T) {
	s := newPagedStore(0)
	a, b := newAccountInstance(t, s), newAccountInstance(t, s)
	require.NoError(t, a.submitAs(t, callerA))
	require.NoError(t, b.submitAs(t, callerA), "a repeat at an instance that has not read the first submission")
	require.NoError(t, a.submitAs(t, callerA))
	require.ErrorIs(t, a.submitAs(t, callerB), ErrOtherAccount)
	require.ErrorIs(t, b.submitAs(t, account.Caller{}), ErrOtherAccount)
	require.NoError(t, b.submitAs(t, unchecked), "an instance that does not know of accounts yet")
	require.Equal(t, 2, a.requests())
	for _, i := range []*accountInstance{a, b, newAccountInstance(t, s)} {
		i.requireAccount(t, callerA, callerB)
	}
}

// The second of two accounts was told that its job is accepted, since its instance had not read the submission of the first one.
func TestFirstOfTwoRecordsDecidesTheAccount(t *testing.T) {
	s := newPagedStore(0)
	a, b := newAccountInstance(t, s), newAccountInstance(t, s)
	require.NoError(t, a.submitAs(t, callerA))
	require.ErrorIs(t, b.submitAs(t, callerB), ErrOtherAccount)
	for _, i := range []*accountInstance{a, b} {
		i.requireAccount(t, callerA, callerB)
	}
}

func TestOneOfTwoConcurrentAccountsGetsTheJob(t *testing.T) {
	for range 50 {
		s := newPagedStore(0)
		l := []*accountInstance{newAccountInstance(t, s), newAccountInstance(t, s)}
		callers := []account.Caller{callerA, callerB}
		var err [2]error
		var g sync.WaitGroup
		for n, i := range l {
			g.Go(func() { err[n] = i.submitAs(t, callers[n]) })
		}
		g.Wait()
		first := 0
		if err[0] != nil {
			first = 1
		}
		require.NoError(t, err[first])
		require.ErrorIs(t, err[1-first], ErrOtherAccount)
		l[0].confirm(t)
		for _, i := range append(l, newAccountInstance(t, s)) {
			i.requireAccount(t, callers[first], callers[1-first])
		}
	}
}

// The store keeps the newest record of a key alone, so that instances which started later took the job for that of the second account.
func TestContestedJobKeepsItsAccountAfterALossOfAllInstances(t *testing.T) {
	s := newPagedStore(0)
	a, b := newAccountInstance(t, s), newAccountInstance(t, s)
	require.NoError(t, a.submitAs(t, callerA))
	require.ErrorIs(t, b.submitAs(t, callerB), ErrOtherAccount)
	misled := newAccountInstance(t, s)
	misled.requireAccount(t, callerB, callerA)
	a.confirm(t)
	for _, i := range []*accountInstance{a, b, misled, newAccountInstance(t, s)} {
		i.requireAccount(t, callerA, callerB)
		require.Empty(t, i.replica.contestedSubmissions())
	}
	n := a.requests()
	a.confirm(t)
	require.Equal(t, n, a.requests(), "a confirmed submission was stored again")
}

// A late submission of the second account, after the first one was confirmed, was confirmed again in each round.
func TestEachLateSubmissionIsConfirmedOnce(t *testing.T) {
	s := newPagedStore(0)
	a := newAccountInstance(t, s)
	require.NoError(t, a.submitAs(t, callerA))
	for range 3 {
		x := &jobs.Spec{ID: testJob(0), Account: "b", Queue: jobs.Queue{Name: "q"}, Steps: []jobs.Step{{Tasks: 1}}}
		b, err := jobs.EncodeSpec(x)
		require.NoError(t, err)
		s.put(PartitionRequests, submissionPrefix+testJob(0), b)
		n := a.requests()
		for range 3 {
			a.confirm(t)
			require.Equal(t, n+1, a.requests())
		}
	}
	newAccountInstance(t, s).requireAccount(t, callerA, callerB)
}

func TestRemovedJobIsNotContested(t *testing.T) {
	s := newPagedStore(0)
	a, b := newAccountInstance(t, s), newAccountInstance(t, s)
	require.NoError(t, a.submitAs(t, callerA))
	require.ErrorIs(t, b.submitAs(t, callerB), ErrOtherAccount)
	s.put(PartitionRequests, submissionPrefix+testJob(0), nil)
	n := a.requests()
	a.confirm(t)
	require.Equal(t, n, a.requests(), "a removed job was stored again")
	require.NoError(t, refreshFor(b.replica, testPatience))
	require.NoError(t, b.submitAs(t, callerB), "the ID is free again")
}

// An instance that appends and cannot read would otherwise accept nothing. The account is decided by the record all the same.
func TestSubmissionThatCannotBeReadBackIsAccepted(t *testing.T) {
	s := newPagedStore(0)
	a, b := newAccountInstance(t, s), newAccountInstance(t, s)
	require.NoError(t, a.submitAs(t, callerA))
	s.mu.Lock()
	s.lostReads = 1000
	s.mu.Unlock()
	start := time.Now()
	require.NoError(t, b.submitAs(t, callerB))
	require.GreaterOrEqual(t, time.Since(start), firstCheckTimeout)
	start = time.Now()
	x := &jobs.Spec{ID: testJob(1), Queue: jobs.Queue{Name: "q"}, Steps: []jobs.Step{{Tasks: 1}}}
	require.NoError(t, b.Submit(t.Context(), unchecked, x))
	require.Less(t, time.Since(start), firstCheckTimeout, "without accounts nothing is read back")
	s.mu.Lock()
	s.lostReads = 0
	s.mu.Unlock()
	a.requireAccount(t, callerA, callerB)
	b.requireAccount(t, callerA, callerB)
	require.ErrorIs(t, b.submitAs(t, callerB), ErrOtherAccount)
}

// A job that was accepted stays accepted when the cap is lowered below it, also at an instance that has not read its submission.
func TestJobThatNeverFitsIsRejectedUnlessItWasAccepted(t *testing.T) {
	s := newPagedStore(0)
	a, b := newAccountInstance(t, s), newAccountInstance(t, s)
	small := account.Caller{Account: "a", Cap: jobs.Resources{MilliCPU: 99}}
	var e *jobs.SpecError
	require.ErrorAs(t, a.submitAs(t, small), &e)
	require.Equal(t, "Steps[0]", e.Findings[0].Place)
	require.Zero(t, a.requests())
	require.NoError(t, a.submitAs(t, callerA))
	time.Sleep(2 * maxStateAge)
	for _, i := range []*accountInstance{a, b} {
		require.NoError(t, i.submitAs(t, small))
	}
	small.Account = "b"
	require.ErrorIs(t, b.submitAs(t, small), ErrOtherAccount)
}

func TestUndecodableSubmissionBelongsToNobody(t *testing.T) {
	s := newPagedStore(0)
	s.put(PartitionRequests, submissionPrefix+testJob(0), []byte{0xc1})
	i := newAccountInstance(t, s)
	require.False(t, i.replica.MayAccess(account.Caller{}, testJob(0)))
	require.False(t, i.replica.MayAccess(callerA, testJob(0)))
	require.True(t, i.replica.MayAccess(unchecked, testJob(0)))
}

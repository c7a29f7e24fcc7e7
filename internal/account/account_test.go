package account_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/account"
	"currantknot.dev/currantknot/internal/jobs"
)

// Guards against bad input that lets somebody in, and against findings that quote a key.
func TestBadAccountsLetNobodyIn(t *testing.T) {
	long := strings.Repeat("k", 513)
	for name, c := range map[string]struct {
		accounts []account.Account
		// places are those of the findings; accepted and refused are keys.
		places, accepted, refused []string
	}{
		"no fault":              {[]account.Account{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}}}, nil, []string{"k1", "k2", "k3"}, []string{"", "k", "k11", "K1"}},
		"no name":               {[]account.Account{{Keys: []string{"k1"}}, {Name: "b", Keys: []string{"k2"}}}, []string{"Accounts[0].Name"}, []string{"k2"}, []string{"k1"}},
		"empty key":             {[]account.Account{{Name: "a", Keys: []string{"", "k1"}}}, []string{"Accounts[0].Keys[0]"}, []string{"k1"}, []string{""}},
		"long key":              {[]account.Account{{Name: "a", Keys: []string{"k1", long}}}, []string{"Accounts[0].Keys[1]"}, []string{"k1"}, []string{long}},
		"longest key":           {[]account.Account{{Name: "a", Keys: []string{long[1:]}}}, nil, []string{long[1:]}, []string{long}},
		"key with a space":      {[]account.Account{{Name: "a", Keys: []string{"k 1"}}}, []string{"Accounts[0].Keys[0]"}, nil, []string{"k 1"}},
		"two with one name":     {[]account.Account{{Name: "a", Keys: []string{"k1"}}, {Name: "a", Keys: []string{"k2"}}}, []string{"Accounts[0].Name", "Accounts[1].Name"}, nil, []string{"k1", "k2"}},
		"key in two accounts":   {[]account.Account{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3", "k1"}}}, []string{"Accounts[0].Keys[0]", "Accounts[1].Keys[1]"}, []string{"k2", "k3"}, []string{"k1"}},
		"key in three accounts": {[]account.Account{{Name: "a", Keys: []string{"k1"}}, {Name: "b", Keys: []string{"k1"}}, {Name: "c", Keys: []string{"k1"}}}, []string{"Accounts[0].Keys[0]", "Accounts[1].Keys[0]", "Accounts[2].Keys[0]"}, nil, []string{"k1"}},
		"key of a refused name": {[]account.Account{{Keys: []string{"k1"}}, {Name: "b", Keys: []string{"k1"}}}, []string{"Accounts[0].Name", "Accounts[0].Keys[0]", "Accounts[1].Keys[0]"}, nil, []string{"k1"}},
		"key twice in one":      {[]account.Account{{Name: "a", Keys: []string{"k1", "k1"}}}, nil, []string{"k1"}, nil},
		"negative weight":       {[]account.Account{{Name: "a", Keys: []string{"k1"}, Weight: -2}}, []string{"Accounts[0].Weight"}, []string{"k1"}, nil},
		"negative cap":          {[]account.Account{{Name: "a", Keys: []string{"k1"}, Cap: jobs.Resources{MemoryMB: -1}}}, []string{"Accounts[0].Cap"}, []string{"k1"}, nil},
	} {
		l := account.Check(c.accounts)
		var places []string
		for _, f := range l {
			places = append(places, f.Place)
			for _, k := range c.refused {
				require.True(t, k == "" || len(k) < 3 || !strings.Contains(f.Reason, k), "%s: a finding contains a key", name)
			}
		}
		require.Equal(t, c.places, places, name)
		k := account.NewKeyring(c.accounts)
		for _, s := range c.accepted {
			_, ok := k.Lookup(s)
			require.True(t, ok, "%s: key %s is refused", name, s)
		}
		for _, s := range c.refused {
			a, ok := k.Lookup(s)
			require.False(t, ok, "%s: key %s is accepted", name, s)
			require.Empty(t, a, name)
		}
	}
}

func TestKeyringReturnsTheAccountOfAKey(t *testing.T) {
	k := account.NewKeyring([]account.Account{{Name: "a", Keys: []string{"k1"}, Weight: 2, Cap: jobs.Resources{MilliCPU: 7}}, {Name: "b", Keys: []string{"k2"}}})
	name, ok := k.Lookup("k2")
	require.True(t, ok)
	require.Equal(t, "b", name)
	a, ok := k.Account("a")
	require.True(t, ok)
	require.Equal(t, account.Account{Name: "a", Weight: 2, Cap: jobs.Resources{MilliCPU: 7}}, a)
	_, ok = k.Account("c")
	require.False(t, ok)
}

// A configuration whose accounts cannot be decoded has a keyring without keys, and one without accounts has none.
func TestKeyringsWithoutKeysAcceptNone(t *testing.T) {
	for _, k := range []*account.Keyring{nil, account.NewKeyring(nil)} {
		for _, s := range []string{"", "k"} {
			_, ok := k.Lookup(s)
			require.False(t, ok)
		}
		_, ok := k.Account("")
		require.False(t, ok)
	}
}

func TestDigestTellsKeysApart(t *testing.T) {
	require.Equal(t, "2c70e12b", account.Digest("key"))
	require.NotEqual(t, account.Digest("k1"), account.Digest("k2"))
}

// Guards against jobs that are accepted and wait for ever, and against jobs that are rejected although they run in waves.
func TestStepsThatNeverFitTheCapAreFound(t *testing.T) {
	capacity := jobs.Resources{MilliCPU: 1000, MemoryMB: 0, Accelerators: 4}
	for name, c := range map[string]struct {
		step jobs.Step
		fits bool
	}{
		"as large as the cap":     {jobs.Step{Tasks: 9, Size: jobs.Resources{MilliCPU: 1000, Accelerators: 4}}, true},
		"too much CPU":            {jobs.Step{Tasks: 1, Size: jobs.Resources{MilliCPU: 1001}}, false},
		"too many accelerators":   {jobs.Step{Tasks: 1, Size: jobs.Resources{Accelerators: 5}}, false},
		"memory is not bounded":   {jobs.Step{Tasks: 1, Size: jobs.Resources{MemoryMB: math.MaxInt}}, true},
		"best effort":             {jobs.Step{Tasks: 1, Size: jobs.Resources{MilliCPU: 1001}, BestEffort: true}, false},
		"gang as large as cap":    {jobs.Step{Tasks: 4, Gang: true, Size: jobs.Resources{MilliCPU: 250, Accelerators: 1}}, true},
		"gang too large":          {jobs.Step{Tasks: 4, Gang: true, Size: jobs.Resources{MilliCPU: 251}}, false},
		"gang with too many GPUs": {jobs.Step{Tasks: 5, Gang: true, Size: jobs.Resources{Accelerators: 1}}, false},
		"gang beyond all numbers": {jobs.Step{Tasks: 10000, Gang: true, Size: jobs.Resources{MilliCPU: math.MaxInt / 5000}}, false},
	} {
		err := account.CheckFit(capacity, &jobs.Spec{Steps: []jobs.Step{{Tasks: 1}, c.step}})
		if c.fits {
			require.NoError(t, err, name)
			continue
		}
		var e *jobs.SpecError
		require.ErrorAs(t, err, &e, name)
		require.Len(t, e.Findings, 1, name)
		require.Equal(t, "Steps[1]", e.Findings[0].Place, name)
	}
	s := &jobs.Spec{Steps: []jobs.Step{{Tasks: 1, Size: jobs.Resources{MilliCPU: 5000}}}}
	require.NoError(t, account.CheckFit(jobs.Resources{}, s), "there is no cap")
	require.NoError(t, account.CheckFit(jobs.Resources{MilliCPU: -1}, s), "the cap is a mistake of operators")
}

func TestUncheckedCallersMayAccessEveryJob(t *testing.T) {
	for _, c := range []struct {
		caller  account.Caller
		account string
		may     bool
	}{
		{account.Caller{Unchecked: true}, "", true},
		{account.Caller{Unchecked: true}, "a", true},
		{account.Caller{Account: "a"}, "a", true},
		{account.Caller{Account: "a"}, "b", false},
		{account.Caller{Account: "a"}, "", false},
		{account.Caller{}, "", true},
		{account.Caller{}, "a", false},
	} {
		require.Equal(t, c.may, c.caller.MayAccess(c.account), "%+v %q", c.caller, c.account)
	}
}

// manyAccounts returns n accounts with a key each.
func manyAccounts(n int) []account.Account {
	l := make([]account.Account, n)
	for i := range l {
		l[i] = account.Account{Name: fmt.Sprintf("account-%d", i), Keys: []string{fmt.Sprintf("%020d", i)}, Weight: 1}
	}
	return l
}

// The time of a lookup does not depend on the number of keys.
func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{20, 20000} {
		k := account.NewKeyring(manyAccounts(n))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				k.Lookup("00000000000000000007")
			}
		})
	}
}

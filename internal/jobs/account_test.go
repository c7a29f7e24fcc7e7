package jobs_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"currantknot.dev/currantknot/internal/jobs"
)

// accountSpec returns the spec of a small job of a client account.
func accountSpec(account string) *jobs.Spec {
	return &jobs.Spec{ID: "00000000000000aa", Account: account, Queue: jobs.Queue{Name: "q"}, Steps: []jobs.Step{{Tasks: 1}}}
}

// A job whose account got lost with the record would run outside the caps of its account.
func TestAccountIsStoredWithTheSubmission(t *testing.T) {
	b, err := jobs.EncodeSpec(accountSpec("scouts"))
	require.NoError(t, err)
	s, err := jobs.DecodeSpec(b)
	require.NoError(t, err)
	require.Equal(t, "scouts", s.Account)
}

// A confirmation that got lost would leave the job to the account that submitted its ID later.
func TestConfirmationIsStoredWithTheSubmission(t *testing.T) {
	for _, account := range []string{"", "scouts"} {
		x := accountSpec(account)
		x.Confirmed = true
		b, err := jobs.EncodeSpec(x)
		require.NoError(t, err)
		s, err := jobs.DecodeSpec(b)
		require.NoError(t, err)
		require.True(t, s.Confirmed)
		require.Equal(t, account, s.Account)
	}
}

// Instances of the earlier version read only the spec at the start of a record, and write nothing after it.
func TestSubmissionsOfBothVersionsAreReadable(t *testing.T) {
	without, err := jobs.EncodeSpec(accountSpec(""))
	require.NoError(t, err)
	s, err := jobs.DecodeSpec(without)
	require.NoError(t, err)
	require.Empty(t, s.Account)
	with, err := jobs.EncodeSpec(accountSpec("scouts"))
	require.NoError(t, err)
	require.True(t, bytes.HasPrefix(with, without))
	var earlier jobs.Spec
	require.NoError(t, msgpack.Unmarshal(with, &earlier))
	require.Equal(t, s, earlier)
}

func TestMalformedExtensionOfASubmissionIsAnError(t *testing.T) {
	b, err := jobs.EncodeSpec(accountSpec(""))
	require.NoError(t, err)
	_, err = jobs.DecodeSpec(append(b, 0xc1))
	var e *jobs.RecordError
	require.ErrorAs(t, err, &e)
}

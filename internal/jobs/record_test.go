package jobs_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"currantknot.dev/currantknot/internal/jobs"
)

// maxRecordOverheadBytes is the most that the record of a submission of two steps may have beyond its payload.
const maxRecordOverheadBytes = 200

func newTestSpec() *jobs.Spec {
	k := jobs.Step{Tasks: 20, Size: jobs.Resources{MilliCPU: 7000, MemoryMB: 13000}, Estimate: 2200 * time.Millisecond, Checkpoints: true, Image: "img-12"}
	l := k
	l.After = []int{0}
	return &jobs.Spec{
		ID: "00000000000000aa", Payload: strings.Repeat("x", 100), Steps: []jobs.Step{k, l}, SubmittedAt: time.UnixMilli(1767959416562),
		Queue: jobs.Queue{Name: "r-r2nqqdh", Pool: "zihu56a", Priority: 2, MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second},
	}
}

// The names of fields were the larger part of what an instance loads when it starts.
func TestSubmissionIsStoredWithoutFieldNames(t *testing.T) {
	s := newTestSpec()
	b, err := jobs.EncodeSpec(s)
	require.NoError(t, err)
	t.Logf("%d bytes", len(b))
	require.NotContains(t, string(b), "MemoryMB")
	require.LessOrEqual(t, len(b), len(s.Payload)+maxRecordOverheadBytes)
	x, err := jobs.DecodeSpec(b)
	require.NoError(t, err)
	require.True(t, x.SubmittedAt.Equal(s.SubmittedAt))
	x.SubmittedAt = s.SubmittedAt
	require.Equal(t, *s, x)
}

func TestSubmissionWithFieldNamesIsRead(t *testing.T) {
	s := newTestSpec()
	b, err := msgpack.Marshal(s)
	require.NoError(t, err)
	t.Logf("%d bytes", len(b))
	x, err := jobs.DecodeSpec(b)
	require.NoError(t, err)
	require.Equal(t, s.Steps, x.Steps)
	require.Equal(t, s.Queue, x.Queue)
}

package jobserve

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jobs"
)

// Progress of any size is stored in records that the store takes, and read again as it was; smaller progress leaves nothing of
// larger progress behind.
func TestProgressIsStoredInPartsAndJoined(t *testing.T) {
	r := NewReplica(nil, zerolog.Nop())
	o := &Owner{OwnerConfig: OwnerConfig{Replica: r, AppendLimits: AppendLimits{RecordBytes: 1000, AppendBytes: 5000}}}
	const id = "00000000000000b1"
	offset := int64(0)
	for _, n := range []int{10, 3000, 700, 738, 2000, 0, 1} {
		b := bytes.Repeat([]byte{byte(n)}, n)
		l := o.partRecords(id, b)
		for _, x := range l {
			require.LessOrEqual(t, len(x.Key)+len(x.Value)+recordOverheadBytes, 1000)
			require.Equal(t, id, jobOfKey(x.Key))
		}
		r.ApplyCommitted(l, offset)
		offset += int64(len(l))
		require.True(t, bytes.Equal(b, r.joined(id)), n)
	}
	require.Len(t, r.progress, 1)
}

func TestRecordsOfAJobAreAppendedTogether(t *testing.T) {
	var l []Record
	for n := range 20 {
		id := fmt.Sprintf("%016x", n)
		l = append(l, Record{Key: id, Value: make([]byte, 300)}, Record{Key: partKey(id, 1), Value: make([]byte, 300)}, Record{Key: suspicionPrefix + id, Value: make([]byte, 100)})
	}
	l = append(l, Record{Key: snapshotKey, Value: make([]byte, 900)})
	b := AppendLimits{AppendBytes: 2000}.batches(l)
	require.Greater(t, len(b), 5)
	first := make(map[string]int)
	n := 0
	for i, x := range b {
		size := 0
		for _, r := range x {
			size += len(r.Key) + len(r.Value) + recordOverheadBytes
			f, ok := first[jobOfKey(r.Key)]
			require.True(t, !ok || f == i, r.Key)
			first[jobOfKey(r.Key)] = i
			n++
		}
		require.LessOrEqual(t, size, 2000)
	}
	require.Equal(t, len(l), n)
	require.Empty(t, AppendLimits{}.batches(nil))
}

// A job whose state could not be kept was accepted, and then took the memory of each owner that loaded it.
func TestJobWithTooManyTasksInAllOccurrencesIsRefused(t *testing.T) {
	s := jobs.Spec{ID: "00000000000000b2", Steps: []jobs.Step{{Tasks: 9000}}, Times: 9000, Period: time.Second}
	var e *jobs.SpecError
	require.ErrorAs(t, s.Check(), &e)
	require.Equal(t, "Times", e.Findings[0].Place)
	s.Times = 2
	require.NoError(t, s.Check())
}

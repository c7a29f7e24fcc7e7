package record_test

import (
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/record"
)

func envelope() *record.Envelope {
	return &record.Envelope{
		ID: ulid.MustParse("01HZZZZZZZZZZZZZZZZZZZZZZZ"), Writer: "a", At: time.Unix(5, 6).UTC(),
		Records: []record.Record{{Release: &record.Release{Epoch: 3, Task: "j@1/0", Attempt: 2, Reason: record.ReleaseEvicted}}},
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	b, err := record.Encode(envelope())
	require.NoError(t, err)
	e, err := record.Decode(b)
	require.NoError(t, err)
	require.Equal(t, envelope().Records, e.Records)
	require.True(t, e.At.Equal(envelope().At))
}

func TestDecodeDistinguishesCorruptFromNewerVersion(t *testing.T) {
	b, err := record.Encode(envelope())
	require.NoError(t, err)
	for i := 1; i < len(b); i++ {
		c := append([]byte(nil), b...)
		c[i] ^= 0x40
		_, err := record.Decode(c)
		var x *record.CorruptError
		require.ErrorAs(t, err, &x, "byte %d", i)
	}
	b[0] = record.Version + 1
	_, err = record.Decode(b)
	var v *record.VersionError
	require.ErrorAs(t, err, &v)
	require.Equal(t, record.Version+1, v.Version)
}

func FuzzDecode(f *testing.F) {
	b, err := record.Encode(envelope())
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := record.Decode(data)
		if err != nil {
			return
		}
		_, err = record.Encode(e)
		require.NoError(t, err)
	})
}

package frame_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/frame"
)

// message is a message of two fields.
type message struct {
	Name  string
	Calls []call
}

// call is a large element of a list.
type call struct {
	Numbers [32]int64
}

// newFrame returns a frame with the given encoded message.
func newFrame(b []byte) *bytes.Reader {
	f := binary.BigEndian.AppendUint32(nil, uint32(len(b)))
	return bytes.NewReader(append(f, b...))
}

// unknownField returns a message with a field that the receiver does not know.
func unknownField(value []byte) []byte { return append([]byte{0x81, 0xa1, 'X'}, value...) }

func TestMessageIsReadAsWritten(t *testing.T) {
	var b bytes.Buffer
	m := message{"a", []call{{}, {}}}
	n, err := frame.Write(&b, &m)
	require.NoError(t, err)
	var x message
	read, err := frame.Read(&b, &x)
	require.NoError(t, err)
	require.Equal(t, n, read)
	require.Equal(t, m, x)
}

// One frame with a deeply nested field ended the process: the decoder calls itself for each level, and a stack overflow can't be
// recovered from.
func TestDeeplyNestedMessageDoesNotOverflowTheStack(t *testing.T) {
	for _, levels := range []int{9_000, 1_000_000, 16 << 20} {
		for _, open := range [][]byte{{0x91}, {0x81, 0xa0}} {
			var x message
			_, err := frame.Read(newFrame(unknownField(append(bytes.Repeat(open, levels), 0xc0))), &x)
			var e *frame.Error
			require.ErrorAs(t, err, &e)
		}
	}
}

// A frame of a few bytes that gives a list a length of billions made the process allocate memory for all of them.
func TestFalseLengthAllocatesNoMemory(t *testing.T) {
	for name, b := range map[string][]byte{
		"list":    append([]byte{0x81, 0xa5}, "Calls\xdd\xff\xff\xff\xff"...),
		"map":     unknownField([]byte{0xdf, 0xff, 0xff, 0xff, 0xff}),
		"text":    append([]byte{0x81, 0xa4}, "Name\xdb\xff\xff\xff\xff"...),
		"binary":  unknownField([]byte{0xc6, 0xff, 0xff, 0xff, 0xff}),
		"unused":  unknownField([]byte{0xc1}),
		"endless": {0xdf, 0x7f, 0xff, 0xff, 0xff},
	} {
		var x message
		_, err := frame.Read(newFrame(b), &x)
		var e *frame.Error
		require.ErrorAs(t, err, &e, name)
		require.Empty(t, x.Calls, name)
	}
}

// budgetReader is a connection with a budget for the messages on it.
type budgetReader struct {
	*bytes.Reader
	free int
}

// errNoRoom reports that a budget is spent.
var errNoRoom = errors.New("no room")

// Take implements frame.Budget.
func (r *budgetReader) Take(n int) error {
	if n > r.free {
		return errNoRoom
	}
	r.free -= n
	return nil
}

// Give implements frame.Budget.
func (r *budgetReader) Give(n int) { r.free += n }

// Connections that sent long frames and stopped took the memory of the process.
func TestFrameTakesRoomAsItArrives(t *testing.T) {
	const free = 1 << 20
	long, err := io.ReadAll(newFrame(unknownField(append([]byte{0xc6, 0, 4, 0, 0}, make([]byte, 1<<18)...))))
	require.NoError(t, err)
	for name, c := range map[string]struct {
		frame []byte
		free  int
		err   error
	}{
		"fits":            {long, free, nil},
		"does not fit":    {long, 1 << 18, errNoRoom},
		"cut short":       {long[:1<<17], free, io.ErrUnexpectedEOF},
		"only the length": {long[:4], 8 << 10, io.ErrUnexpectedEOF},
	} {
		r := &budgetReader{Reader: bytes.NewReader(c.frame), free: c.free}
		var x message
		_, err := frame.Read(r, &x)
		require.ErrorIs(t, err, c.err, name)
		require.Equal(t, c.free, r.free, "%s: all room is returned", name)
	}
}

package peer

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrameBytes bounds a frame; the largest carries the state of the document.
const MaxFrameBytes = 64 << 20

const lengthBytes = 4

// FrameError reports a frame that is no message.
type FrameError struct {
	Reason string
}

// Error returns the reason.
func (e *FrameError) Error() string { return "peer frame: " + e.Reason }

// WriteFrame writes a message and returns the number of bytes.
func WriteFrame(w io.Writer, m *Message) (int, error) {
	b, err := msgpack.Marshal(m)
	if err != nil {
		return 0, fmt.Errorf("encode peer message: %w", err)
	}
	if len(b) > MaxFrameBytes {
		return 0, &FrameError{Reason: fmt.Sprintf("%d bytes are more than %d", len(b), MaxFrameBytes)}
	}
	f := make([]byte, lengthBytes, lengthBytes+len(b))
	binary.BigEndian.PutUint32(f, uint32(len(b))) //nolint:gosec // bounded by MaxFrameBytes
	n, err := w.Write(append(f, b...))
	if err != nil {
		return n, fmt.Errorf("write peer frame: %w", err)
	}
	return n, nil
}

// ReadFrame reads a message and returns the number of bytes, or a *FrameError for what is none.
func ReadFrame(r io.Reader) (*Message, int, error) {
	var h [lengthBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, 0, fmt.Errorf("read peer frame: %w", err)
	}
	n := binary.BigEndian.Uint32(h[:])
	if n > MaxFrameBytes {
		return nil, lengthBytes, &FrameError{Reason: fmt.Sprintf("%d bytes are more than %d", n, MaxFrameBytes)}
	}
	b, err := readAll(r, int(n))
	if err != nil {
		return nil, lengthBytes, err
	}
	var m Message
	if err := msgpack.Unmarshal(b, &m); err != nil {
		return nil, lengthBytes + len(b), &FrameError{Reason: err.Error()}
	}
	return &m, lengthBytes + len(b), nil
}

// readAll reads n bytes in steps, so that a false length claims no memory.
func readAll(r io.Reader, n int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, fmt.Errorf("read peer frame: %w", err)
	}
	if len(b) < n {
		return nil, fmt.Errorf("read peer frame: %w", io.ErrUnexpectedEOF)
	}
	return b, nil
}

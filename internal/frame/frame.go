package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"currantknot.dev/currantknot/internal/msgpackcheck"
)

// MaxBytes is the maximum size of an encoded message. The largest message holds the state of the document.
const MaxBytes = 64 << 20

// lengthBytes is the size of the length before the message.
const lengthBytes = 4

// Error reports a message that is too long or a frame that does not decode to a message.
type Error struct {
	Reason string
}

// Error returns the reason.
func (e *Error) Error() string { return "frame: " + e.Reason }

// Write writes a message as a frame and returns the number of bytes written. It returns an *Error if the message is too
// long.
func Write(w io.Writer, m any) (int, error) {
	b, err := msgpack.Marshal(m)
	if err != nil {
		return 0, fmt.Errorf("encode message: %w", err)
	}
	if len(b) > MaxBytes {
		return 0, &Error{Reason: fmt.Sprintf("message of %d bytes exceeds the limit of %d bytes", len(b), MaxBytes)}
	}
	f := make([]byte, lengthBytes, lengthBytes+len(b))
	binary.BigEndian.PutUint32(f, uint32(len(b))) //nolint:gosec // bounded by MaxBytes
	n, err := w.Write(append(f, b...))
	if err != nil {
		return n, fmt.Errorf("write frame: %w", err)
	}
	return n, nil
}

// Read reads a message into the value that m points to and returns the number of bytes read. It returns an *Error if
// the frame is too long or does not decode.
func Read(r io.Reader, m any) (int, error) {
	var h [lengthBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return 0, fmt.Errorf("read frame: %w", err)
	}
	n := binary.BigEndian.Uint32(h[:])
	if n > MaxBytes {
		return lengthBytes, &Error{Reason: fmt.Sprintf("message of %d bytes exceeds the limit of %d bytes", n, MaxBytes)}
	}
	a := allowance{budget: budgetOf(r)}
	defer a.giveAll()
	b, err := readBody(r, int(n), &a)
	if err != nil {
		return lengthBytes, err
	}
	if err := msgpackcheck.Unmarshal(b, m); err != nil {
		return lengthBytes + len(b), &Error{Reason: err.Error()}
	}
	return lengthBytes + len(b), nil
}

// firstBufferBytes is the size of the first buffer for a message.
const firstBufferBytes = 4 << 10

// readBody reads n bytes. The buffer grows as data arrives, so that a false length does not allocate memory for data
// that never arrives, and its memory is taken from the allowance first.
func readBody(r io.Reader, n int, a *allowance) ([]byte, error) {
	var b []byte
	for len(b) < n {
		size := min(n, max(firstBufferBytes, 2*len(b)))
		if err := a.raise(messageCopies * size); err != nil {
			return nil, fmt.Errorf("read frame of %d bytes: %w", n, err)
		}
		x := make([]byte, size)
		copy(x, b)
		if _, err := io.ReadFull(r, x[len(b):]); err != nil {
			return nil, fmt.Errorf("read frame: %w", noEOF(err))
		}
		b = x
	}
	return b, nil
}

// noEOF returns the error for a message that is cut short.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

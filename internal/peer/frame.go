package peer

import (
	"io"

	"currantknot.dev/currantknot/internal/frame"
)

// WriteFrame writes a message and returns the number of bytes.
func WriteFrame(w io.Writer, m *Message) (int, error) { return frame.Write(w, m) }

// ReadFrame reads a message and returns the number of bytes, or a *frame.Error for what is none.
func ReadFrame(r io.Reader) (*Message, int, error) {
	var m Message
	n, err := frame.Read(r, &m)
	if err != nil {
		return nil, n, err
	}
	return &m, n, nil
}

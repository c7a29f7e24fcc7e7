package peer

import (
	"io"

	"currantknot.dev/currantknot/internal/frame"
)

// WriteFrame writes a message and returns the number of bytes written.
func WriteFrame(w io.Writer, m *Message) (int, error) { return frame.Write(w, m) }

// ReadFrame reads a message and returns it with the number of bytes read. It returns a *frame.Error if the frame is too
// long or does not decode.
func ReadFrame(r io.Reader) (*Message, int, error) {
	var m Message
	n, err := frame.Read(r, &m)
	if err != nil {
		return nil, n, err
	}
	return &m, n, nil
}

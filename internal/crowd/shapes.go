package crowd

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	// pieceBytes is the size of one piece of a body that is sent piece by piece, and pieceInterval the time between two.
	pieceBytes    = 4 << 10
	pieceInterval = 5 * time.Millisecond
	// batchBytes is the size of one write of a client that sends many small items.
	batchBytes = 64 << 10
)

// Request is the first line and the host of the requests of a shape.
type Request struct {
	// Line is the method and the path. If it contains %016x, the number of the client is put in.
	Line string
	Host string
}

// head returns the head of a request without its end.
func (r Request) head(client int) string {
	l := r.Line
	if strings.Contains(l, "%016x") {
		l = fmt.Sprintf(l, client)
	}
	return l + " HTTP/1.1\r\nHost: " + r.Host + "\r\n"
}

// Silent sends nothing.
func Silent(io.Writer, int) error { return nil }

// Raw sends the given bytes.
func Raw(b []byte) Shape {
	return func(w io.Writer, _ int) error {
		_, err := w.Write(b)
		return err
	}
}

// EmptyLines sends n bytes of empty lines and no request.
func EmptyLines(n int) Shape { return Raw(bytes.Repeat([]byte("\r\n"), n/2)) }

// HeaderField sends the head of a request with one field of n bytes that does not end.
func HeaderField(r Request, n int) Shape {
	return func(w io.Writer, client int) error {
		_, err := io.WriteString(w, r.head(client)+"X-Field: "+strings.Repeat("a", n))
		return err
	}
}

// HeaderFields sends a head of n bytes that does not end, of fields with values of the given size.
func HeaderFields(r Request, n, value int) Shape {
	var b bytes.Buffer
	v := strings.Repeat("a", value)
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:%s\r\n", i, v)
	}
	return func(w io.Writer, client int) error {
		_, err := io.WriteString(w, r.head(client)+b.String())
		return err
	}
}

// Body sends a request with a body of the given length, of which only the given bytes are sent.
func Body(r Request, length int, sent []byte) Shape {
	return func(w io.Writer, client int) error {
		if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", r.head(client), length); err != nil {
			return err
		}
		_, err := w.Write(sent)
		return err
	}
}

// BodyInPieces sends a body as Body does, in small pieces with pauses between them.
func BodyInPieces(r Request, length int, sent []byte) Shape {
	head := Body(r, length, nil)
	return func(w io.Writer, client int) error {
		if err := head(w, client); err != nil {
			return err
		}
		for b := sent; len(b) > 0; {
			n := min(len(b), pieceBytes)
			if _, err := w.Write(b[:n]); err != nil {
				return err
			}
			b = b[n:]
			time.Sleep(pieceInterval)
		}
		return nil
	}
}

// Chunks sends a request whose body has n bytes in chunks of the given size, without the last chunk and its last byte.
func Chunks(r Request, n, chunk int) Shape {
	var b bytes.Buffer
	for rest := n; rest > 0; rest -= chunk {
		c := min(rest, chunk)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", c, strings.Repeat(" ", c))
	}
	sent := b.Bytes()[:b.Len()-3]
	return func(w io.Writer, client int) error {
		if _, err := io.WriteString(w, r.head(client)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		_, err := w.Write(sent)
		return err
	}
}

// Requests sends n complete requests without a body one after the other, and does not wait for their responses.
func Requests(r Request, n int) Shape {
	return func(w io.Writer, client int) error {
		q := r.head(client) + "\r\n"
		per := max(1, batchBytes/len(q))
		for rest := n; rest > 0; rest -= per {
			if _, err := io.WriteString(w, strings.Repeat(q, min(rest, per))); err != nil {
				return err
			}
		}
		return nil
	}
}

// Repeat sends a shape several times on one connection.
func Repeat(times int, s Shape) Shape {
	return func(w io.Writer, client int) error {
		for range times {
			if err := s(w, client); err != nil {
				return err
			}
		}
		return nil
	}
}

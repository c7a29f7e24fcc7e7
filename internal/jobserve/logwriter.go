package jobserve

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// logBufferBytes bounds the log lines that wait for a slow reader.
	logBufferBytes = 1 << 20
	// logBytesPerSecond and logBurstBytes bound the volume of the log.
	logBytesPerSecond = 256 << 10
	logBurstBytes     = 2 << 20
	// logWriteBytes bounds one write, so that a reader that takes what a pipe holds finds whole lines.
	logWriteBytes = 4 << 10
	// logFlushEvery is the time in which lines gather for one write.
	logFlushEvery = 100 * time.Millisecond
)

// LogWriter writes log lines in the background, within a budget of bytes.
//
// It never blocks: a line that finds its buffer full or the budget spent is
// dropped and counted, and the count is written once there is room again.
type LogWriter struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu       sync.Mutex
	buffer   []byte
	budget   float64
	filledAt time.Time
	dropped  int
	total    int64
	closed   bool
}

// NewLogWriter returns a writer to out and starts it.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), budget: logBurstBytes, filledAt: time.Now()}
	go w.run()
	return w
}

// Write takes in one log line; it always succeeds.
func (w *LogWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.budget = min(logBurstBytes, w.budget+logBytesPerSecond*now.Sub(w.filledAt).Seconds())
	w.filledAt = now
	if len(w.buffer)+len(b) > logBufferBytes || float64(len(b)) > w.budget {
		w.dropped++
		w.total++
		return len(b), nil
	}
	if w.dropped > 0 {
		w.buffer = append(w.buffer, `{"level":"warn","Decision":"LinesDropped","Lines":`+strconv.Itoa(w.dropped)+"}\n"...)
		w.dropped = 0
	}
	w.budget -= float64(len(b))
	first := len(w.buffer) == 0
	w.buffer = append(w.buffer, b...)
	if first {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(b), nil
}

// Dropped returns the number of lines that were dropped since the start.
func (w *LogWriter) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close writes what has gathered, waiting for the reader until the given instant at the most.
func (w *LogWriter) Close(until time.Time) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}

func (w *LogWriter) run() {
	defer close(w.done)
	for range w.wake {
		if !w.isClosed() {
			time.Sleep(logFlushEvery)
		}
		b, last := w.take()
		for len(b) > 0 {
			n := wholeLines(b)
			// Nothing can be said about a log that cannot be written.
			_, _ = w.out.Write(b[:n])
			b = b[n:]
		}
		if last {
			return
		}
	}
}

// wholeLines returns the length of the lines at the beginning that one write takes.
func wholeLines(b []byte) int {
	if len(b) <= logWriteBytes {
		return len(b)
	}
	if n := bytes.LastIndexByte(b[:logWriteBytes], '\n'); n >= 0 {
		return n + 1
	}
	return len(b)
}

func (w *LogWriter) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

func (w *LogWriter) take() ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.buffer
	w.buffer = make([]byte, 0, len(b))
	return b, w.closed
}

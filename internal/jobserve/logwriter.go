package jobserve

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// logBufferBytes is the maximum size of the log lines that wait for a slow reader.
	logBufferBytes = 1 << 20
	// logBytesPerSecond and logBurstBytes are the rate and the burst size of the byte budget.
	logBytesPerSecond = 256 << 10
	logBurstBytes     = 2 << 20
	// logReservedBytes is the part of the budget that only warnings and errors may use, which tell causes and are few.
	logReservedBytes = 512 << 10
	// logWriteBytes is the maximum size of one write, unless a single line is longer. A write of this size to a pipe is atomic,
	// so that the reader of the pipe finds complete lines.
	logWriteBytes = 4 << 10
	// logFlushInterval is the time for which lines are collected before they are written.
	logFlushInterval = 100 * time.Millisecond
)

// LogWriter writes log lines in the background, within a budget of bytes.
//
// It never blocks: a line that arrives while the buffer is full or the budget is
// spent is dropped and counted. A part of the budget is kept for warnings. The count is written after the lines that were
// accepted before.
type LogWriter struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu     sync.Mutex
	buffer []byte
	// budget is the number of bytes that may be written now; it was last refilled at refilledAt.
	budget     float64
	refilledAt time.Time
	// dropped counts the lines dropped since a count was last written, droppedTotal those since the start.
	dropped      int
	droppedTotal int64
	closed       bool
}

// NewLogWriter returns a LogWriter to out and starts its goroutine.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), budget: logBurstBytes, refilledAt: time.Now()}
	go w.run()
	return w
}

// Write buffers or drops one log line of an ordinary level; it never fails.
func (w *LogWriter) Write(b []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, b) }

// WriteLevel implements zerolog.LevelWriter; it never fails.
func (w *LogWriter) WriteLevel(level zerolog.Level, b []byte) (int, error) {
	reserved := 0.0
	if level < zerolog.WarnLevel {
		reserved = logReservedBytes
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.budget = min(logBurstBytes, w.budget+logBytesPerSecond*now.Sub(w.refilledAt).Seconds())
	w.refilledAt = now
	if len(w.buffer)+len(b) > logBufferBytes || float64(len(b)) > w.budget-reserved {
		w.dropped++
		w.droppedTotal++
		return len(b), nil
	}
	wasEmpty := len(w.buffer) == 0
	w.appendDropped()
	w.budget -= float64(len(b))
	w.buffer = append(w.buffer, b...)
	if wasEmpty {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(b), nil
}

// appendDropped adds the line that counts dropped lines, if any; w.mu is held.
func (w *LogWriter) appendDropped() {
	if w.dropped == 0 {
		return
	}
	w.buffer = append(w.buffer, `{"level":"warn","Decision":"LinesDropped","Lines":`+strconv.Itoa(w.dropped)+"}\n"...)
	w.dropped = 0
}

// Dropped returns the number of dropped lines since the start.
func (w *LogWriter) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

// Close flushes the buffer, and waits for a slow reader until the given time at most.
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

// run writes the buffered lines until the writer is closed.
func (w *LogWriter) run() {
	defer close(w.done)
	for range w.wake {
		if !w.isClosed() {
			time.Sleep(logFlushInterval)
		}
		b, last := w.takeBuffer()
		for len(b) > 0 {
			n := completeLinesLen(b)
			// A failed write cannot be reported, because the log is the only place to report it.
			_, _ = w.out.Write(b[:n])
			b = b[n:]
		}
		if last {
			return
		}
	}
}

// completeLinesLen returns the length of the complete lines at the start of b that fit into one write. It returns the length of
// b if not even the first line fits.
func completeLinesLen(b []byte) int {
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

// takeBuffer returns and clears the buffer, with a count of the lines dropped since a count was last written, and reports
// whether the writer is closed.
func (w *LogWriter) takeBuffer() ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.appendDropped()
	b := w.buffer
	w.buffer = make([]byte, 0, len(b))
	return b, w.closed
}

package jobserve

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// blockedWriter blocks each write until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(b)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.String()
}

// A log reader that stopped must not block the process; lines are dropped and counted instead.
func TestLogNeverBlocksOnAStoppedReader(t *testing.T) {
	b := &blockedWriter{release: make(chan struct{})}
	w := NewLogWriter(b)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	start := time.Now()
	for range 4 * logBurstBytes / len(line) {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.Less(t, time.Since(start), time.Second)
	require.Positive(t, w.Dropped())
	close(b.release)
	require.Eventually(t, func() bool { return b.text() != "" }, 5*time.Second, 10*time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	_, err := w.Write([]byte("after\n"))
	require.NoError(t, err)
	w.Close(time.Now().Add(5 * time.Second))
	require.Contains(t, b.text(), `"Decision":"LinesDropped"`)
}

// The count waited for the next accepted line, so that lines dropped at the end were never counted.
func TestLogCountsTheLinesDroppedLast(t *testing.T) {
	b := &blockedWriter{release: make(chan struct{})}
	close(b.release)
	w := NewLogWriter(b)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for w.Dropped() == 0 {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	w.Close(time.Now().Add(5 * time.Second))
	require.Contains(t, b.text(), `"Decision":"LinesDropped"`)
}

// The line that counts dropped lines did not wake the writer, so that nothing was written from then on.
func TestLogGoesOnAfterDroppedLines(t *testing.T) {
	b := &blockedWriter{release: make(chan struct{})}
	close(b.release)
	w := NewLogWriter(b)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for w.Dropped() == 0 {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return len(w.buffered()) == 0 }, 5*time.Second, 10*time.Millisecond)
	_, err := w.Write([]byte("after\n"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return strings.HasSuffix(b.text(), "after\n") }, 5*time.Second, 10*time.Millisecond)
	require.Contains(t, b.text(), `"Decision":"LinesDropped"`)
}

// buffered returns the lines that wait to be written.
func (w *LogWriter) buffered() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return bytes.Clone(w.buffer)
}

func TestCloseFlushesTheLog(t *testing.T) {
	var b bytes.Buffer
	w := NewLogWriter(&b)
	for _, l := range []string{"one\n", "two\n", "three\n"} {
		_, err := w.Write([]byte(l))
		require.NoError(t, err)
	}
	w.Close(time.Now().Add(5 * time.Second))
	require.Equal(t, "one\ntwo\nthree\n", b.String())
}

// writeRecorder records each write separately.
type writeRecorder [][]byte

func (w *writeRecorder) Write(b []byte) (int, error) {
	*w = append(*w, bytes.Clone(b))
	return len(b), nil
}

// Lines were split when a write was larger than what the reader read at a time.
func TestEachWriteHoldsWholeLines(t *testing.T) {
	var l writeRecorder
	w := NewLogWriter(&l)
	line := strings.Repeat("y", 700) + "\n"
	for range 100 {
		_, err := w.Write([]byte(line))
		require.NoError(t, err)
	}
	w.Close(time.Now().Add(5 * time.Second))
	n := 0
	for _, b := range l {
		require.LessOrEqual(t, len(b), logWriteBytes)
		require.True(t, bytes.HasSuffix(b, []byte("\n")))
		n += bytes.Count(b, []byte("\n"))
	}
	require.Equal(t, 100, n)
}

// The lines on why a job was given up were dropped among thousands on what was started.
func TestWarningsAreKeptWhileOrdinaryLinesSpendTheBudget(t *testing.T) {
	var b bytes.Buffer
	w := NewLogWriter(&b)
	l := zerolog.New(w)
	text := strings.Repeat("x", 1000)
	for w.Dropped() == 0 {
		l.Info().Msg(text)
		if len(w.buffered()) > logBufferBytes/2 {
			time.Sleep(2 * logFlushInterval)
		}
	}
	l.Warn().Msg("the cause " + text)
	w.Close(time.Now().Add(time.Second))
	require.Contains(t, b.String(), "the cause")
}

package jobserve

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stuckReader blocks each write until it is released.
type stuckReader struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (r *stuckReader) Write(b []byte) (int, error) {
	<-r.release
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Buffer.Write(b)
}

func (r *stuckReader) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.String()
}

func TestLogNeverBlocksOnAReaderThatStops(t *testing.T) {
	r := &stuckReader{release: make(chan struct{})}
	w := NewLogWriter(r)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	begun := time.Now()
	for range 4 * logBurstBytes / len(line) {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.Less(t, time.Since(begun), time.Second)
	require.Positive(t, w.Dropped())
	close(r.release)
	require.Eventually(t, func() bool { return r.text() != "" }, 5*time.Second, 10*time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	_, err := w.Write([]byte("after\n"))
	require.NoError(t, err)
	w.Close(time.Now().Add(5 * time.Second))
	require.Contains(t, r.text(), `"Decision":"LinesDropped"`)
}

func TestLogIsWrittenWholeAtTheEnd(t *testing.T) {
	var b bytes.Buffer
	w := NewLogWriter(&b)
	for _, l := range []string{"one\n", "two\n", "three\n"} {
		_, err := w.Write([]byte(l))
		require.NoError(t, err)
	}
	w.Close(time.Now().Add(5 * time.Second))
	require.Equal(t, "one\ntwo\nthree\n", b.String())
}

// writes keeps each write apart.
type writes [][]byte

func (w *writes) Write(b []byte) (int, error) {
	*w = append(*w, bytes.Clone(b))
	return len(b), nil
}

// Lines were cut where a write was larger than what the reader took at a time.
func TestEachWriteHoldsWholeLines(t *testing.T) {
	var l writes
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

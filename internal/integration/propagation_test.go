package integration_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

var measure = flag.Bool("measure", false, "run the measurements whose results are in docs/CAPACITY.md")

// TestMeasurePropagation measures the time from the acceptance of an edit until it is in force on nine processes, and the
// bytes per second that each process sends to the others.
func TestMeasurePropagation(t *testing.T) {
	if !*measure {
		t.Skip("runs only with -measure")
	}
	c := newCluster(t, 9)
	h := hdrhistogram.New(1, 100_000, 3)
	sent := func() (b float64) {
		for _, p := range c.instances {
			b += p.metrics()["PeerSentBytes"]
		}
		return b / float64(len(c.instances))
	}
	sentBefore, start := sent(), time.Now()
	const edits = 60
	for n := range edits {
		c.editJobs(n + 1)
		editStart := time.Now()
		var next uint64
		for _, p := range c.instances {
			next = max(next, uint64(p.metrics()["DocumentNext"]))
		}
		for _, p := range c.instances {
			require.Eventually(t, func() bool { return uint64(p.metrics()["DocumentNext"]) >= next }, eventTimeout, time.Millisecond)
		}
		require.NoError(t, h.RecordValue(time.Since(editStart).Milliseconds()))
		time.Sleep(100 * time.Millisecond)
	}
	seconds := time.Since(start).Seconds()
	fmt.Printf("propagation to 9 processes: p50 %d ms, p99 %d ms, worst %d ms; each process sends %.0f B/s to its peers\n",
		h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max(), (sent()-sentBefore)/seconds)
	require.Less(t, h.Max(), propagationBound.Milliseconds())
}

package integration_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

var measure = flag.Bool("measure", false, "run the measurements that docs/CAPACITY.md gives")

// TestMeasurePropagation measures how long an accepted edit takes to be in force on nine processes, and what the processes tell each other.
func TestMeasurePropagation(t *testing.T) {
	if !*measure {
		t.Skip("a measurement")
	}
	c := newCluster(t, 9)
	h := hdrhistogram.New(1, 100_000, 3)
	sent := func() (b float64) {
		for _, m := range c.members {
			b += m.vars()["PeerSentBytes"]
		}
		return b / float64(len(c.members))
	}
	before, began := sent(), time.Now()
	const edits = 60
	for n := range edits {
		c.jobs(n + 1)
		a := time.Now()
		var next uint64
		for _, m := range c.members {
			next = max(next, uint64(m.vars()["DocumentNext"]))
		}
		for _, m := range c.members {
			require.Eventually(t, func() bool { return uint64(m.vars()["DocumentNext"]) >= next }, patience, time.Millisecond)
		}
		require.NoError(t, h.RecordValue(time.Since(a).Milliseconds()))
		time.Sleep(100 * time.Millisecond)
	}
	took := time.Since(began).Seconds()
	fmt.Printf("propagation to 9 processes: p50 %d ms, p99 %d ms, worst %d ms; peers send %.0f B/s a node\n",
		h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max(), (sent()-before)/took)
	require.Less(t, h.Max(), changeBound.Milliseconds())
}

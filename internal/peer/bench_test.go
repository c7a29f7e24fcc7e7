package peer_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"currantknot.dev/currantknot/internal/peer"
)

// BenchmarkHeartbeat measures the size of a heartbeat for different numbers of services.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{0, 10, 50, 100} {
		b.Run(fmt.Sprintf("demands=%d", n), func(b *testing.B) {
			h := &peer.Heartbeat{
				Name: "entry-1", Incarnation: time.Now().UnixNano(), Address: "10.1.2.3:7403", Domain: "kirtipur",
				DocumentNext: 1_000_000, At: time.Now(), LogConfirmedAt: time.Now(), Shards: map[int]uint64{3: 70_000, 12: 80_000},
				Demands: make(map[string]float32),
			}
			for i := range n {
				h.Demands[fmt.Sprintf("service-%03d", i)] = 7.5
			}
			var bytes int
			for b.Loop() {
				bytes, _ = peer.WriteFrame(io.Discard, &peer.Message{Heartbeat: h})
			}
			b.ReportMetric(float64(bytes), "B/heartbeat")
		})
	}
}

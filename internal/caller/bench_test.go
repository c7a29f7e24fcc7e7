package caller_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// runOpenLoop sends requests at a fixed rate (per second) for 3 s and reports the latency and this process's CPU time
// per request.
func runOpenLoop(b *testing.B, url string, rate int) {
	b.Helper()
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	h := hdrhistogram.New(1, 10_000_000, 3)
	const span = 3 * time.Second
	n := int(span.Seconds()) * rate
	took := make(chan time.Duration, n)
	var failed atomic.Int64
	before := cpuTime()
	began := time.Now()
	for i := range n {
		if d := time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))); d > 100*time.Microsecond {
			time.Sleep(d)
		}
		go func() {
			start := time.Now()
			s, err := c.Get(url) //nolint:noctx // a benchmark
			if err != nil {
				failed.Add(1)
				took <- 0
				return
			}
			_, _ = io.Copy(io.Discard, s.Body)
			s.Body.Close()
			if s.StatusCode != http.StatusOK {
				failed.Add(1)
			}
			took <- time.Since(start)
		}()
	}
	for range n {
		_ = h.RecordValue((<-took).Microseconds())
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(n), "cpu-us/request")
	b.ReportMetric(float64(failed.Load()), "failed")
	c.CloseIdleConnections()
}

// BenchmarkEntry compares requests through the handler with direct requests to the upstream; clients, handler and
// upstream share the process.
func BenchmarkEntry(b *testing.B) {
	u := make([]string, 65)
	for i := range u {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
		defer s.Close()
		u[i] = s.Listener.Addr().String()
	}
	srv := newServerFor(b, u...)
	for _, rate := range []int{1000, 5000, 10000} {
		for n, url := range map[string]string{"direct": "http://" + u[0] + "/s", "entry": srv.URL + "/s"} {
			b.Run(fmt.Sprintf("%s/%d", n, rate), func(b *testing.B) {
				runtime.GC()
				for b.Loop() {
					runOpenLoop(b, url, rate)
				}
			})
		}
	}
	require.NotEmpty(b, u)
}

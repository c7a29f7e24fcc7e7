package jobserve

import (
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the documentation")

func TestMetricsDocument(t *testing.T) {
	f := filepath.Join("..", "..", "docs", "JOBMETRICS.md")
	if *update {
		require.NoError(t, os.WriteFile(f, []byte(MetricsMarkdown()), 0o600))
	}
	b, err := os.ReadFile(f)
	require.NoError(t, err)
	require.Equal(t, MetricsMarkdown(), string(b), "run make docs")
}

func TestMetricsAreServedAsText(t *testing.T) {
	m := NewMetrics()
	m.Add(metricOrders, label("order", "Start", "answer", "accepted"), 2)
	m.Gauge(metricOwner, func() float64 { return 1 })
	m.Observe(metricStoreCalls, label("call", "append", "outcome", "ok"), time.Now().Add(-30*time.Millisecond))
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	b := w.Body.String()
	require.Contains(t, b, `currantknot_orders_total{order="Start",answer="accepted"} 2`)
	require.Contains(t, b, "currantknot_owner 1\n")
	require.Contains(t, b, `currantknot_store_call_seconds_bucket{call="append",outcome="ok",le="0.02"} 0`)
	require.Contains(t, b, `currantknot_store_call_seconds_bucket{call="append",outcome="ok",le="0.05"} 1`)
	require.Contains(t, b, `currantknot_store_call_seconds_count{call="append",outcome="ok"} 1`)
}

// Each method that a client made up was a series of its own, for which memory was taken for good.
func TestMethodsOfClientsMakeNoSeries(t *testing.T) {
	m := NewMetrics()
	h := instrumentHandler(m, http.NotFoundHandler())
	for n := range 1000 {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("M"+strconv.Itoa(n), "/", http.NoBody))
	}
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", http.NoBody))
	require.Len(t, m.histograms, 2)
}

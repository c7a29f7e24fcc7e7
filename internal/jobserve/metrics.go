package jobserve

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"currantknot.dev/currantknot/internal/limits"
)

// The names of the metrics; docs/JOBMETRICS.md describes them.
const (
	metricStoreCalls       = "currantknot_store_call_seconds"
	metricWorkerCalls      = "currantknot_worker_call_seconds"
	metricRequests         = "currantknot_request_seconds"
	metricCommits          = "currantknot_commit_records_total"
	metricRefusedRecords   = "currantknot_refused_records_total"
	metricOrders           = "currantknot_orders_total"
	metricFinishedAttempts = "currantknot_ends_total"
	metricTakeovers        = "currantknot_takeovers_total"
	metricOwner            = "currantknot_owner"
	metricRelays           = "currantknot_relays"
	metricReady            = "currantknot_ready"
	metricVersion          = "currantknot_configuration_version"
	metricStoreAge         = "currantknot_store_age_seconds"
	metricJobs             = "currantknot_jobs"
	metricHeldAttempts     = "currantknot_held_attempts"
	metricLostWorkers      = "currantknot_lost_workers_total"
	metricLostAttempts     = "currantknot_lost_attempts_total"
	metricProbableCauses   = "currantknot_probable_causes"
	metricSetAside         = "currantknot_jobs_set_aside"
	metricInterrupted      = "currantknot_interrupted_tasks"
	metricMalformed        = "currantknot_malformed_entries"
	metricInterruption     = "currantknot_longest_interruption_seconds"
	metricExclusion        = "currantknot_longest_exclusion_seconds"
	metricIsolating        = "currantknot_isolating_workers"
	metricWaitingTasks     = "currantknot_waiting_tasks"
	metricWorkersAge       = "currantknot_worker_list_age_seconds"
	metricOperatorsAge     = "currantknot_operators_age_seconds"
	metricRequestsAge      = "currantknot_requests_age_seconds"
	metricRefusedCalls     = "currantknot_refused_calls_total"
	metricLimited          = "currantknot_limited_total"
	metricConnections      = "currantknot_client_connections"
	metricRequestMemory    = "currantknot_request_memory_bytes"
	metricJobMemory        = "currantknot_job_memory_bytes"
	metricStorePath        = "currantknot_store_path_state"
	metricStorePathChanges = "currantknot_store_path_changes_total"
	metricStorePathRecords = "currantknot_store_path_records_total"
	metricRackWaits        = "currantknot_rack_waits_total"
	metricRackWaitsEnded   = "currantknot_rack_waits_ended_total"
	metricAccountCPU       = "currantknot_account_running_cores"
	metricAccountWaiting   = "currantknot_account_waiting_tasks"
	metricAccountShare     = "currantknot_account_dominant_share"
	metricAccountAtCap     = "currantknot_account_at_cap"
	metricLinesDropped     = "currantknot_log_lines_dropped_total"
)

// bucketBounds lists the upper bounds of the histogram buckets.
var bucketBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// Metrics holds the counters, gauges and histograms of an instance.
type Metrics struct {
	counters expvar.Map

	mu         sync.Mutex
	histograms map[string]*histogram
	gauges     map[string]func() float64
}

// NewMetrics returns a registry without any series.
func NewMetrics() *Metrics {
	return &Metrics{histograms: make(map[string]*histogram), gauges: make(map[string]func() float64)}
}

// Gauge registers a gauge whose value is the result of f.
func (m *Metrics) Gauge(name string, f func() float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[name] = f
}

// Set registers a gauge with a fixed value.
func (m *Metrics) Set(name string, n int) { m.Gauge(name, func() float64 { return float64(n) }) }

// SetSeries replaces all gauges of a metric with labels by those with the given values; labels are the keys.
func (m *Metrics) SetSeries(name string, values map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k := range m.gauges {
		if strings.HasPrefix(k, name+"{") {
			delete(m.gauges, k)
		}
	}
	for l, x := range values {
		m.gauges[series(name, l)] = func() float64 { return x }
	}
}

// Add adds n to a counter; label holds the pairs of name and quoted value, or is empty.
func (m *Metrics) Add(name, label string, n int) { m.counters.Add(series(name, label), int64(n)) }

// RefusalCause is why a call was refused for its key, as the value of a label.
type RefusalCause string

// The causes of refusals.
const (
	// RefusedMissing means that the call had no well-formed key.
	RefusedMissing RefusalCause = "missing"
	// RefusedUnknown means that the key is not in the configuration.
	RefusedUnknown RefusalCause = "unknown"
	// RefusedOutdated means that the configuration was too old to decide on the key.
	RefusedOutdated RefusalCause = "outdated"
)

// CountRefusedCall counts a call that was refused for its key.
func (m *Metrics) CountRefusedCall(c RefusalCause) {
	m.Add(metricRefusedCalls, label("reason", string(c)), 1)
}

// Limited implements inbound.Observer.
func (m *Metrics) Limited(listener string, r limits.Reason) {
	m.Add(metricLimited, label("listener", listener, "reason", string(r)), 1)
}

// Observe adds the time since the given time to a histogram.
func (m *Metrics) Observe(name, label string, since time.Time) {
	d := time.Since(since)
	k := series(name, label)
	m.mu.Lock()
	h := m.histograms[k]
	if h == nil {
		h = &histogram{name: name, label: label, buckets: make([]int64, len(bucketBounds))}
		m.histograms[k] = h
	}
	m.mu.Unlock()
	h.observe(d)
}

// series returns the name of a series: the metric and its labels.
func series(name, label string) string {
	if label == "" {
		return name
	}
	return name + "{" + label + "}"
}

// label formats alternating names and values as pairs of name and quoted value.
func label(pairs ...string) string {
	l := make([]string, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		l = append(l, fmt.Sprintf("%s=%q", pairs[i], pairs[i+1]))
	}
	return strings.Join(l, ",")
}

// histogram counts durations by bucket.
type histogram struct {
	name  string
	label string

	mu sync.Mutex
	// buckets counts, by index of bucketBounds, the durations up to that bound and above the previous one.
	buckets []int64
	count   int64
	sum     time.Duration
}

func (h *histogram) observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
	h.sum += d
	if i, _ := slices.BinarySearch(bucketBounds, d); i < len(h.buckets) {
		h.buckets[i]++
	}
}

func (h *histogram) write(w io.Writer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.label
	if l != "" {
		l += ","
	}
	var n int64
	for i, b := range bucketBounds {
		n += h.buckets[i]
		fmt.Fprintf(w, "%s_bucket{%sle=\"%g\"} %d\n", h.name, l, b.Seconds(), n)
	}
	fmt.Fprintf(w, "%s_bucket{%sle=\"+Inf\"} %d\n", h.name, l, h.count)
	fmt.Fprintf(w, "%s %g\n", series(h.name+"_sum", h.label), h.sum.Seconds())
	fmt.Fprintf(w, "%s %d\n", series(h.name+"_count", h.label), h.count)
}

// ServeHTTP writes all metrics in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.write(w)
}

func (m *Metrics) write(w io.Writer) {
	m.counters.Do(func(k expvar.KeyValue) { fmt.Fprintf(w, "%s %s\n", k.Key, k.Value) })
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range sortedKeys(m.gauges) {
		fmt.Fprintf(w, "%s %g\n", k, m.gauges[k]())
	}
	for _, k := range sortedKeys(m.histograms) {
		m.histograms[k].write(w)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	l := make([]string, 0, len(m))
	for k := range m {
		l = append(l, k)
	}
	slices.Sort(l)
	return l
}

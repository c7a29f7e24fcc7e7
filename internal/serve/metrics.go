package serve

import (
	"expvar"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	kitexpvar "github.com/go-kit/kit/metrics/expvar"

	"currantknot.dev/currantknot/internal/caller"
	"currantknot.dev/currantknot/internal/limits"
	"currantknot.dev/currantknot/internal/stream"
)

// instanceCount is the number of instances created in this process. All instances share one expvar table, so each
// instance after the first adds its number to the names of its metrics.
var instanceCount atomic.Int64

// latencyBuckets is the number of buckets of the latency histogram.
const latencyBuckets = 50

// metric describes one variable of /debug/vars.
type metric struct {
	name string
	help string
	// read returns the value of a gauge. It is nil for the metrics that caller.Handler updates.
	read func(*Instance) any
}

// metricTable returns all metrics. docs/METRICS.md is generated from it.
func metricTable() []metric {
	return []metric{
		{"Requests", "requests received from callers", nil},
		{"Answers", "requests whose complete response from an upstream was returned to the caller", nil},
		{"NotRun", "requests refused without having run", nil},
		{"Unknown", "requests with an unknown outcome", nil},
		{"Retries", "attempts after the first", nil},
		{"Aborted", "responses that ended early, with an error that the caller can see", nil},
		{"AnswerSeconds", "time from a request's arrival to the end of its response in seconds, as quantiles .p50 .p90 .p95 .p99", nil},
		{"IdempotencyKeys", "idempotency keys that the instance stores", func(i *Instance) any { return i.keys.table.Len() }},
		{"IdempotencyKeyBytes", "memory of the idempotency keys that the instance stores, with recorded responses", func(i *Instance) any { return i.keys.table.Bytes() }},
		{"LogAppends", "appends to the log, including retries", func(i *Instance) any { return i.logCounters().Appends }},
		{"LogAppendedBytes", "bytes appended to the log, including retries", func(i *Instance) any { return i.logCounters().AppendedBytes }},
		{"LogReadBytes", "bytes of entries read from the log", func(i *Instance) any { return i.logCounters().ReadBytes }},
		{"LogCorruptEntries", "log entries that did not decode and were skipped", func(i *Instance) any { return i.logCounters().CorruptEntries }},
		{"DocumentNext", "first offset of the document's stream that the instance has not applied", func(i *Instance) any { return i.document.Position().Next }},
		{"PeerSentBytes", "bytes sent to other instances", func(i *Instance) any { return i.mesh.Counters.SentBytes.Load() }},
		{"PeerReceivedBytes", "bytes received from other instances", func(i *Instance) any { return i.mesh.Counters.ReceivedBytes.Load() }},
		{"PeerBadFrames", "frames that did not decode; each closed its connection", func(i *Instance) any { return i.mesh.Counters.BadFrames.Load() }},
		{"Limited", "connections of clients that were closed, and requests that were refused, by listener and reason: `connections` and `memory` (no room), `keys` (the idempotency keys leave no room), `displaced` (the least progress while there was no room), `large_head`, `slow_head`, `idle`, `stalled_body`, `slow_body`, `unread_answer`", func(i *Instance) any { return i.metrics.limitedCounts() }},
		{"ClientConnections", "open connections of clients, by listener", func(i *Instance) any { return i.guards.connections() }},
		{"RequestMemoryBytes", "memory that the requests in progress take by their limits, by listener", func(i *Instance) any { return i.guards.requestMemory() }},
		{"OwnedShards", "placement shards that the instance owns", func(i *Instance) any { return len(i.ownedPlacement().Shards) }},
	}
}

// instanceMetrics holds the metrics of one instance.
type instanceMetrics struct {
	prefix string

	mu sync.Mutex
	// limited counts what guards closed and refused, by listener and reason.
	limited map[string]int64
}

// Limited implements inbound.Observer.
func (m *instanceMetrics) Limited(listener string, r limits.Reason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limited == nil {
		m.limited = make(map[string]int64)
	}
	m.limited[listener+"."+string(r)]++
}

// limitedCounts returns what guards closed and refused, by listener and reason.
func (m *instanceMetrics) limitedCounts() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.limited)
}

func newMetrics() *instanceMetrics {
	n := instanceCount.Add(1)
	if n == 1 {
		return &instanceMetrics{}
	}
	return &instanceMetrics{prefix: "Instance" + strconv.FormatInt(n, 10) + "."}
}

// publish adds the instance's gauges to /debug/vars.
func (m *instanceMetrics) publish(i *Instance) {
	for _, x := range metricTable() {
		if x.read != nil {
			expvar.Publish(m.prefix+x.name, expvar.Func(func() any { return x.read(i) }))
		}
	}
}

// caller returns the metrics of caller.Handler.
func (m *instanceMetrics) caller() caller.Metrics {
	c := func(name string) *kitexpvar.Counter { return kitexpvar.NewCounter(m.prefix + name) }
	return caller.Metrics{
		Requests:       c("Requests"),
		Responses:      c("Answers"),
		NotRun:         c("NotRun"),
		Unknown:        c("Unknown"),
		Retries:        c("Retries"),
		Aborted:        c("Aborted"),
		LatencySeconds: kitexpvar.NewHistogram(m.prefix+"AnswerSeconds", latencyBuckets),
	}
}

// logCounters returns the sums of the log counters over all streams that the instance currently follows. The other
// fields are those of the document's stream.
func (i *Instance) logCounters() stream.Position {
	s := i.document.Position()
	for _, r := range i.currentRunners() {
		p := r.follower.Position()
		s.Appends += p.Appends
		s.AppendedBytes += p.AppendedBytes
		s.ReadBytes += p.ReadBytes
		s.CorruptEntries += p.CorruptEntries
	}
	return s
}

// MetricsMarkdown returns the documentation of all metrics.
func MetricsMarkdown() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nServed at `/debug/vars` of the operators' address. Generated from `internal/serve/metrics.go` by `make docs`; a test\ncompares the two. Sums over streams include the streams that the instance currently follows.\n\n| name | meaning |\n|---|---|\n")
	for _, m := range metricTable() {
		fmt.Fprintf(&b, "| `%s` | %s |\n", m.name, m.help)
	}
	return b.String()
}

package serve

import (
	"expvar"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"

	kitexpvar "github.com/go-kit/kit/metrics/expvar"

	"currantknot.dev/currantknot/internal/caller"
	"currantknot.dev/currantknot/internal/stream"
)

// metricNames numbers the instances of one process, since expvar has one table for the process.
var instanceCount atomic.Int64

// latencyBuckets is the number of buckets of latency histograms.
const latencyBuckets = 50

// metric is one name of /debug/vars.
type metric struct {
	name string
	help string
	// read returns the value of a gauge, nil for the counters that the front keeps.
	read func(*Instance) any
}

// metricTable lists all metrics; docs/METRICS.md is made from it.
func metricTable() []metric {
	return []metric{
		{"Requests", "requests of callers", nil},
		{"Answers", "requests that an upstream's whole answer was passed on for", nil},
		{"NotRun", "requests refused as not run", nil},
		{"Unknown", "requests with an unknown outcome", nil},
		{"Retries", "attempts after the first", nil},
		{"Aborted", "answers that broke off, visibly for the caller", nil},
		{"AnswerSeconds", "time from a request's arrival to the end of its answer, as quantiles .p50 .p90 .p95 .p99", nil},
		{"IdempotencyKeys", "keys that are remembered", func(i *Instance) any { return i.keys.table.Len() }},
		{"LogAppends", "appends to the log, with repeats", func(i *Instance) any { return i.logCounters().Appends }},
		{"LogAppendedBytes", "bytes appended to the log, with repeats", func(i *Instance) any { return i.logCounters().AppendedBytes }},
		{"LogReadBytes", "bytes of entries read from the log", func(i *Instance) any { return i.logCounters().ReadBytes }},
		{"LogCorruptEntries", "entries that were no record and were skipped", func(i *Instance) any { return i.logCounters().CorruptEntries }},
		{"DocumentNext", "first offset of the document's stream that is not applied", func(i *Instance) any { return i.document.Position().Next }},
		{"PeerSentBytes", "bytes sent to other instances", func(i *Instance) any { return i.mesh.Counters.SentBytes.Load() }},
		{"PeerReceivedBytes", "bytes received from other instances", func(i *Instance) any { return i.mesh.Counters.ReceivedBytes.Load() }},
		{"PeerBadFrames", "frames that did not decode; each closed its connection", func(i *Instance) any { return i.mesh.Counters.BadFrames.Load() }},
		{"OwnedShards", "placement shards that the instance owns", func(i *Instance) any { return len(i.ownedPlacement().Shards) }},
	}
}

// instanceMetrics holds the metrics of one instance.
type instanceMetrics struct {
	prefix string
}

func newMetrics() *instanceMetrics {
	n := instanceCount.Add(1)
	if n == 1 {
		return &instanceMetrics{}
	}
	return &instanceMetrics{prefix: "Instance" + strconv.FormatInt(n, 10) + "."}
}

// publish adds the gauges of the instance to /debug/vars.
func (m *instanceMetrics) publish(i *Instance) {
	for _, x := range metricTable() {
		if x.read != nil {
			expvar.Publish(m.prefix+x.name, expvar.Func(func() any { return x.read(i) }))
		}
	}
}

// caller returns the metrics of the front.
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

// logUse sums the use of the log over all streams that the instance follows now.
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
	b.WriteString("# Metrics\n\nServed at `/debug/vars` of the operators' address. Made from `internal/serve/metrics.go` by `make docs`; a test\ncompares the two. Sums over streams hold those that the instance follows now.\n\n| name | meaning |\n|---|---|\n")
	for _, m := range metricTable() {
		fmt.Fprintf(&b, "| `%s` | %s |\n", m.name, m.help)
	}
	return b.String()
}

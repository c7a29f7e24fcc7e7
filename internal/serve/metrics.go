package serve

import (
	"strconv"
	"sync/atomic"

	"github.com/go-kit/kit/metrics"
	kitexpvar "github.com/go-kit/kit/metrics/expvar"

	"currantknot.dev/currantknot/internal/caller"
)

// metricNames numbers the instances of one process, since expvar has one table for the process.
var metricNames atomic.Int64

// latencyBuckets is the number of buckets of latency histograms.
const latencyBuckets = 50

// instanceMetrics holds the metrics of one instance.
type instanceMetrics struct {
	prefix string
}

func newMetrics() *instanceMetrics {
	n := metricNames.Add(1)
	if n == 1 {
		return &instanceMetrics{}
	}
	return &instanceMetrics{prefix: "Instance" + strconv.FormatInt(n, 10) + "."}
}

func (m *instanceMetrics) counter(name string) metrics.Counter {
	return kitexpvar.NewCounter(m.prefix + name)
}

// caller returns the metrics of the front.
func (m *instanceMetrics) caller() caller.Metrics {
	return caller.Metrics{
		Requests: m.counter("Requests"),
		Answers:  m.counter("Answers"),
		NotRun:   m.counter("NotRun"),
		Unknown:  m.counter("Unknown"),
		Retries:  m.counter("Retries"),
		Aborted:  m.counter("Aborted"),
		Seconds:  kitexpvar.NewHistogram(m.prefix+"AnswerSeconds", latencyBuckets),
	}
}

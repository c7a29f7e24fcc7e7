package jobserve

import (
	"fmt"
	"strings"
)

// metricHelp describes the metrics in the order of the page.
var metricHelp = []struct{ name, kind, help string }{
	{metricRequests, "histogram", "requests of callers, by method and status"},
	{metricStoreCalls, "histogram", "calls to the store, by call and outcome; reads include the wait for a record"},
	{metricWorkerCalls, "histogram", "calls to workers, by call and outcome; Sync includes the wait for an end"},
	{metricOrders, "counter", "orders that workers answered, by order and answer"},
	{metricEnds, "counter", "ends that workers listed, by how; an end is listed until it is acknowledged"},
	{metricCommits, "counter", "records of progress that the owner committed"},
	{metricTakeovers, "counter", "times that this instance began to own the jobs"},
	{metricOwner, "gauge", "1 while this instance owns the jobs"},
	{metricRelays, "gauge", "instances that call workers for this one"},
	{metricReady, "gauge", "1 while this instance tells the balancer that it is ready"},
	{metricVersion, "gauge", "version of the configuration in force"},
	{metricStoreAge, "gauge", "age of the last word from the store, in seconds"},
	{metricJobs, "gauge", "jobs that this instance knows"},
	{metricLinesDropped, "counter", "log lines dropped for the budget or a slow reader"},
}

// MetricsMarkdown returns the documentation of all metrics.
func MetricsMarkdown() string {
	var b strings.Builder
	b.WriteString("# Metrics of job instances\n\nServed as text at `--metrics-listen`. Made from `internal/jobserve/metricdoc.go` by `make docs`; a test\ncompares the two.\n\n")
	b.WriteString("| name | kind | meaning |\n|---|---|---|\n")
	for _, m := range metricHelp {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.name, m.kind, m.help)
	}
	return b.String()
}

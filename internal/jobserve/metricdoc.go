package jobserve

import (
	"fmt"
	"strings"
)

// metricHelp describes the metrics in the order of the generated page.
var metricHelp = []struct{ name, kind, help string }{
	{metricRequests, "histogram", "duration of callers' requests, by method and status"},
	{metricRefusedCalls, "counter", "calls that were refused for their API key, by reason: `missing` (none, or malformed), `unknown`, and `outdated` (the configuration of this instance is too old to tell)"},
	{metricLimited, "counter", "connections of clients that were closed, and requests that were refused, by listener and reason: `connections` and `memory` (no room), `jobs` (the jobs that are not finished leave no room), `displaced` (the least progress while there was no room), `large_head`, `slow_head`, `idle`, `stalled_body`, `slow_body`, `unread_answer`"},
	{metricConnections, "gauge", "open connections of clients, by listener"},
	{metricRequestMemory, "gauge", "memory that the requests in progress take by their limits, in bytes, by listener"},
	{metricJobMemory, "gauge", "memory of all jobs at their owner by their limit, in bytes"},
	{metricStoreCalls, "histogram", "duration of calls to the store, by call and outcome; reads include the long poll for a record"},
	{metricWorkerCalls, "histogram", "duration of calls to workers, by call and outcome; sync includes the long poll for a finished attempt"},
	{metricOrders, "counter", "orders to which workers responded, by order and result (label `answer`)"},
	{metricFinishedAttempts, "counter", "finished attempts that workers reported, by outcome (label `how`); each is reported again until it is acknowledged"},
	{metricCommits, "counter", "progress records that the owner committed"},
	{metricRefusedRecords, "counter", "records that the store refused for a reason that will not pass, such as their size; a line with `RecordRefused` names each"},
	{metricTakeovers, "counter", "times that this instance became the owner of the jobs"},
	{metricOwner, "gauge", "1 while this instance owns the jobs"},
	{metricRelays, "gauge", "instances that call workers for this one"},
	{metricReady, "gauge", "1 while this instance passes the readiness probe of the load balancer"},
	{metricVersion, "gauge", "version of the current configuration"},
	{metricStoreAge, "gauge", "time since the last response of the store, in seconds"},
	{metricStorePath, "gauge", "whether this instance reaches the store with appends: 0 up, 1 suspect, 2 down, 3 probing"},
	{metricStorePathChanges, "counter", "changes of the judgement of the path to the store, by calls (`all`, `appends`) and new state"},
	{metricStorePathRecords, "counter", "records of callers that were not simply appended, by outcome: `handed_over` to a peer, `rejected` at once, `unknown` to the caller"},
	{metricJobs, "gauge", "jobs in the replica of this instance"},
	{metricHeldAttempts, "gauge", "attempts that this owner keeps at workers that do not respond; 0 on other instances"},
	{metricWaitingTasks, "gauge", "tasks whose turn has come and for which the latest plan of this owner found no worker, or that wait for their rack; 0 on other instances"},
	{metricLostWorkers, "counter", "workers that were lost with attempts, by how this owner knows it (label `cause`)"},
	{metricLostAttempts, "counter", "attempts that were lost with their workers"},
	{metricProbableCauses, "gauge", "tasks that probably are what their lost workers crashed by, and that run only isolated, ever more seldom; 0 on other instances"},
	{metricIsolating, "gauge", "workers that get no other task while they run one under which workers were lost; 0 on other instances"},
	{metricInterrupted, "gauge", "long-running tasks that have had no run for 6 s or more, by reason: `SilentWorker`, `UnconfirmedStart`, `Suspect`, `SetAside`, `PassedOver`, or the count of a `Wait` line that is looked for last (`NoCapacity`, `Reservation`, ...); only at the owner"},
	{metricInterruption, "gauge", "longest time without a run of a long-running task, in seconds; 0 on other instances"},
	{metricExclusion, "gauge", "longest time for which a listed worker has got no tasks, in seconds, by reason: `Cordoned`, `EntryOfEarlierIncarnation`, `StaleIncarnation`, `Silent`, `Backoff`, `Isolating`, `Avoided`, `OldView`, `DrainingWorker`, `DrainedDomain`; only at the owner"},
	{metricMalformed, "gauge", "entries and records of another writer that are ignored, by kind: `Job` and `Operator` at each instance, `Worker` only at the owner"},
	{metricSetAside, "gauge", "jobs that made this owner panic, or whose progress the store refuses, and that are not scheduled any more; 0 on other instances"},
	{metricAccountCPU, "gauge", "cores that the attempts of an account use in full (label `account`); the 20 accounts with most, and the others together (`(rest)`); only at the owner, once a second"},
	{metricAccountWaiting, "gauge", "tasks of an account whose turn has come and that the latest plan did not place, for the same accounts"},
	{metricAccountShare, "gauge", "dominant share of an account: the largest of its fractions of the CPU, memory and accelerators of a pool; for the same accounts"},
	{metricAccountAtCap, "gauge", "1 if the latest plan passed over a task of an account since it was at its cap; for the same accounts, of the others their number"},
	{metricWorkersAge, "gauge", "age of the list of workers by which this owner starts tasks, in seconds; 0 on other instances"},
	{metricOperatorsAge, "gauge", "age of what this instance knows of operators' changes, in seconds"},
	{metricRequestsAge, "gauge", "age of what this instance knows of submissions and cancellations, in seconds"},
	{metricRackWaits, "counter", "waits of tasks and gangs for a place in their rack that began under this owner"},
	{metricRackWaitsEnded, "counter", "such waits that ended with a start, by whether the task was then expected to end earlier than by a start elsewhere at once (label `paid`, `true` or `false`)"},
	{metricLinesDropped, "counter", "log lines dropped because the byte budget was spent or the reader was slow"},
}

// MetricsMarkdown returns the documentation of all metrics as a Markdown page.
func MetricsMarkdown() string {
	var b strings.Builder
	b.WriteString("# Metrics of job instances\n\nServed as text at `--metrics-listen`. Made from `internal/jobserve/metricdoc.go` by `make docs`; a test\ncompares the two.\n\n")
	b.WriteString("| name | kind | meaning |\n|---|---|---|\n")
	for _, m := range metricHelp {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.name, m.kind, m.help)
	}
	return b.String()
}

// Package jobs holds the jobs that callers hand in: steps of tasks with an order, attempts at workers, and their ends.
//
// A Job is an aggregate: its methods keep the rules that no decision may break,
// such as one attempt of a task at a time, no start before the steps that it
// depends on are done, and no start beyond the budget of failed attempts. The
// package knows neither workers nor the log; it encodes what has to outlive a
// process as one record a job.
package jobs

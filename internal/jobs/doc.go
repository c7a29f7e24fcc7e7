// Package jobs models the jobs that callers submit: steps of tasks with dependencies, attempts on workers, and outcomes.
//
// A Job is an aggregate. Its methods enforce the invariants that no scheduling
// decision may violate, such as at most one attempt of a task at a time, no
// start before the steps that a task depends on are done, and no start in a job
// that has failed because MaxAttempts attempts of a run-to-completion task
// failed. The package depends neither on workers nor on the log; it encodes the
// state that must outlive a process as one record per job.
package jobs

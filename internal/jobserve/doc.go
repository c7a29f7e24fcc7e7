// Package jobserve accepts jobs at every instance and runs them from the one instance that owns them.
//
// Every instance appends submissions and cancellations to the store, and answers
// for the state of jobs from a Replica of the store's records. One instance at a
// time owns all jobs: the store's group membership names it. The Owner feeds a
// dispatch.Planner with reports of workers, commits what the planner changed, and
// only then carries its orders out. Whoever takes over fences the former owner in
// the store, reads the records to their end, and asks each worker what it runs.
//
// Lock order: Owner.mu before Replica.mu.
package jobserve

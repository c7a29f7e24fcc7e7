// Package jobserve accepts jobs at every instance and runs them from the one instance that owns them.
//
// Every instance appends submissions and cancellations to the store, and serves
// the state of jobs from a Replica of the store's records. One instance at a time
// owns all jobs; it is elected among the members of a group that the store keeps.
// The Owner passes reports of workers to a dispatch.Planner, commits the changes
// that the planner makes, and only then executes the planner's orders. A new owner fences the former one
// in the store, reads all records, and queries each worker for its attempts.
//
// Lock order: Owner.mu before Replica.mu.
package jobserve

// Package standin implements a small platform for tests and demonstrations.
//
// It serves the calls of package platform (to the log, the workers and the lists), runs
// service replicas as real HTTP servers on loopback, and injects the faults that a
// test or a control call selects. It also audits the system and records violations:
// a task that runs twice at the same time or starts after it has finished, a start
// order beyond the capacity of a worker, a resume from an old checkpoint, a write
// that runs twice, a request to an upstream that should no longer get any.
package standin

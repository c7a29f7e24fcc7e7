// Package standin implements a small platform for tests and demonstrations.
//
// It serves the log, the workers and the lists that package platform calls, runs
// service replicas as real HTTP upstreams on loopback, and injects faults that a
// control call sets. It also audits the system and records violations: a task that
// runs twice at the same time, a worker beyond its capacity, a resume from an old
// checkpoint, a write that runs twice.
package standin

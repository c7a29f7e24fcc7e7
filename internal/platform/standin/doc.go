// Package standin is a small platform for tests and demonstrations.
//
// It serves the log, the workers and the lists that package platform calls, runs
// service replicas as real HTTP upstreams on loopback, and lets faults be
// switched by a control call. It also audits what it sees: a task that runs in
// two places, a worker beyond its capacity, a resume from an old checkpoint, a
// write that arrives twice.
package standin

// Package relay distributes the owner's calls to workers over the other instances.
//
// Every instance runs an Agent, which keeps a connection to each instance that
// may own the jobs and executes the calls that arrive over it. The owner's Pool
// assigns one relay to each worker and keeps the assignment, so that connections
// to workers are reused; without a relay it calls the worker directly. All
// decisions, leases and fencing tokens stay with the owner.
//
// Instants are sent as readings of the owner's boot clock, which keeps counting
// while the instance is suspended. A relay converts them so that they may be early
// but never late: a lease expires no later than the owner assumes, and a call that
// arrives after its deadline is not made.
//
// Lock order: Pool.mu before link.mu.
package relay

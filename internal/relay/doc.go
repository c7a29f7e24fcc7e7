// Package relay shares the owner's calls to workers out over the other instances.
//
// Every instance runs an Agent, which keeps a connection to each instance that
// may own the jobs, and carries out the calls that come over it. The owner's
// Pool chooses one relay for each worker and keeps to it, so that the
// connections to workers last; without any relay it calls by itself. All
// decisions, leases and fences stay with the owner.
//
// Instants cross a connection on the owner's clock that goes on during
// suspensions. A relay reads them too early rather than too late: a lease ends
// no later than the owner believes, and a call that was held up is not made.
//
// Lock order: Pool.mu before link.mu.
package relay

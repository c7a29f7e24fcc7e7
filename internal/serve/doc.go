// Package serve implements the daemon: it connects the scheduler core to callers, operators, other instances, workers
// and the platform's log.
//
// An Instance owns the follower of the document, one runner for each placement
// shard, the router with the handler for callers, the mesh of instances, and the
// operators' server. Packages placement, routing and docstore make all
// decisions; this package executes them.
//
// Lock order: a follower's lock, then the lock of its state (placement.Owner or
// docstore.Store), then the router's lock, then the mesh's. No lock is held
// during a call to the platform, to an upstream or to another instance.
package serve

// Package serve implements the daemon: it connects the scheduler core to
// callers, operators, other instances, workers and the platform's log.
//
// An Instance holds the follower of the document, one runner for each placement
// shard that it owns or should own, the router with the handler for callers,
// the mesh of instances, and the operators' server. Packages placement, routing
// and docstore decide on tasks, requests and edits; this package executes their
// decisions. It decides itself which instance should own a shard and which
// instance decides on an idempotency key.
//
// Lock order: a follower's lock, then the lock of the shard's state
// (placement.Owner), then the router's lock, then the mesh's. No lock is held
// during a call to the platform, to an upstream or to another instance.
package serve

// Package serve is the daemon: it connects the core with its five faces.
//
// Instance owns the parts: the follower of the document, one runner for each
// placement shard, the router with the front for callers, the mesh of
// instances, and the operators' server. All decisions are made in packages
// placement, routing and docstore; this package carries them out.
//
// Lock order: a follower's lock, then the lock of its state (placement.Owner or
// docstore.Store), then the router's lock, then the mesh's. No lock is held
// during a call to the platform, to an upstream or to another instance.
package serve

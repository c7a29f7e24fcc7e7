// Package inbound opens the listeners of a process, and applies the limits of package limits to their connections.
//
// A Guard belongs to one listener. It counts, logs and closes what its ledger
// says. HTTP servers come from Guard.Server, so that heads, bodies, answers and
// idle connections are bounded in one place for all handlers; a protocol of
// frames takes room for each frame from its Conn.
package inbound

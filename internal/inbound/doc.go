// Package inbound opens the listeners of a process, and applies the limits of package limits to their connections.
//
// A Guard belongs to one listener. It counts, logs and closes what its ledger
// says. HTTP servers come from Guard.Server, so that slow heads, bodies that
// stop, answers that nobody reads and idle connections end in one place for all
// handlers.
package inbound

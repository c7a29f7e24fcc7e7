// Package limits decides which connections and requests of clients a process serves, so that no client takes the memory or the
// descriptors that the process needs. It does no I/O and has no clock.
//
// A Machine is what a process may use in all, and a Plan divides it among the
// listeners of the process. A Ledger keeps what the connections of one listener
// use: each connection is in a Phase, and holds room for the bytes of its request.
// The ledger refuses what does not fit, and says which connections to close:
// those whose phase has lasted too long, and, while there is no room, the one
// that makes the least progress. Room is returned when a request ends or its
// connection is closed, whatever the reason.
package limits

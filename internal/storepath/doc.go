// Package storepath judges whether an instance reaches the store, and chooses what becomes of a new record.
//
// A Path is a circuit breaker over a class of calls. It is judged by responses,
// never by sends: a call counts from the instant at which its response is due,
// which for a long poll is the end of the poll. The path is Down when a call is
// overdue and nothing else was answered for some time, or when several calls in a
// row were rejected or reset. A call that another call has outlived, because the
// latter was answered while the former was overdue, tells of its connection and
// not of the path. Slow responses are responses: the patience grows with the
// usual latency.
//
// An instance has two paths, one over all calls and one over appends, since a
// store may answer reads and not appends.
//
// The package does no I/O and reads no clock. The clock may step: a step, and the
// time in which the process did not run, count neither as silence nor as
// responses.
package storepath

// Package lease keeps the calls that may give a worker a longer lease than its owner counts.
//
// A call that grants a lease names its end by the clock of an incarnation of the
// worker. A later incarnation has the same ID and a clock that began anew: if it
// executes the call, the lease lasts for as long as the worker accepts any. It may
// do so whether or not a response arrives, and after newer calls, until it has
// responded to a call with a higher fencing token or the call is too old.
package lease

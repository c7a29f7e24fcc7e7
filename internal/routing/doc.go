// Package routing decides which upstream answers which request, and which requests are refused. It has no I/O.
//
// Requests wait in the entry, not at the upstream: a request is bound to an
// upstream only when one of the slots that this entry holds there is free (late
// binding). The slots of an upstream are divided between the entries in
// proportion to the demand that each publishes to its peers, so that together
// they send no upstream much more than its slots, without asking each other
// about a request.
//
// Within a service the waiting requests of client accounts take turns, so that
// the flood of one account delays only itself. A request that is not expected
// to be answered within its deadline is refused at once, and one whose deadline
// comes too near while it waits is refused then. Both were not run.
//
// Upstreams that fail or are far slower than the others are ejected for a while,
// never more than a part of a service's upstreams, and come back by slow start.
//
// Router takes events and the time as a value and answers with verdicts; who
// drives it carries them out.
package routing

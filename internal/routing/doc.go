// Package routing decides which upstream serves which request, and which requests are refused. It has no I/O.
//
// A slot allows one request in flight at an upstream. Under the slots policy,
// requests wait in the instance that received them, not at the upstream: a
// request is bound to an upstream only when one of the slots that the instance
// holds there is free (late binding). The slots of an upstream are divided
// between the instances in proportion to the demand that each publishes to its
// peers. All instances together thus send an upstream little more than its slots
// allow, without communicating about individual requests. The other policies bind
// each request on arrival.
//
// Within a service the waiting requests are served in round-robin order of their
// client accounts, so that a flood of requests of one account delays only that
// account. A request that is not expected to complete within its deadline is
// refused on arrival, and a waiting request is refused when too little time is
// left until its deadline. In both cases the request was not run.
//
// Upstreams that fail or are far slower than the others are ejected temporarily,
// never more than a fraction of a service's upstreams, and return with slow start.
//
// Router receives events and the current time as arguments and returns decisions;
// its caller executes them.
package routing

// Package upstream sends requests to upstreams over HTTP.
//
// Client guarantees two things that a plain http.Transport does not. First, a
// request is written to at most one connection: the transport's replays, which
// follow the failure of a connection that was idle before, are prevented, also for
// requests with an Idempotency-Key. The exception is the method TRACE, which
// package caller refuses. Second, a failed request is reported as not run only if
// no byte of it was written to a connection. To detect this, the client counts
// the bytes written to each connection.
package upstream

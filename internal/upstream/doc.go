// Package upstream sends requests to upstreams over HTTP.
//
// Client guarantees two things that a plain http.Transport does not. First, a
// request is written to at most one connection: the transport's replays after a
// stale connection are disabled, also for requests with an Idempotency-Key.
// Second, a failed request is reported as not run only if no byte of it was
// written to a connection; the client counts the bytes written to each connection.
package upstream

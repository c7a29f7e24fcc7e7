// Package upstream sends requests to upstreams over HTTP.
//
// Client guarantees two things that a plain http.Transport does not. A request
// is written to at most one connection: the transport's own replays after a
// stale connection are shut off, also for requests with an Idempotency-Key. And
// a failed request is called not run only if no byte of it was handed to a
// connection; the client counts the bytes of each connection to know.
package upstream

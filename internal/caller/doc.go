// Package caller serves the requests of callers over HTTP.
//
// Handler finds the service of a request by its path, gets an upstream from the
// router, sends the request there and copies the response. Each failure that
// Handler reports carries the outcome NotRun or Unknown of package outcome. If
// the upstream truncates a response, Handler aborts the caller's connection, so
// that the caller detects the truncation.
package caller

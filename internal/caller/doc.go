// Package caller serves the requests of callers over HTTP.
//
// Front classifies a request by its path, asks the router for an upstream,
// sends the request there and copies the answer. Each failed answer carries the
// outcome NotRun or Unknown of package outcome. An answer that breaks off at the
// upstream breaks off at the caller too, visibly: the connection is aborted.
package caller

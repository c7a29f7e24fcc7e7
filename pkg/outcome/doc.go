// Package outcome defines what a caller is told of a request that got no answer from an upstream.
//
// Each such answer carries the outcome in a header and, with its reason, in a
// JSON body. NotRun means that no byte of the request was handed to an
// upstream; it may be sent again at the instant that RetryAt names. Unknown
// means that an upstream may have run it.
package outcome

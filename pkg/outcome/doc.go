// Package outcome defines how a caller learns the outcome of a request that got no response from an upstream.
//
// The response to such a request has the outcome in a header, and the outcome
// and its reason in a JSON body. NotRun means that no byte of the request was
// sent to an upstream; the caller may send it again from the time RetryAt on.
// Unknown means that an upstream may have executed the request.
package outcome

// Package operator implements the HTTP API for operators and its client.
//
// Each kind of request has a file with the decoder that checks its input and
// the endpoint that calls the Backend. Bodies are JSON with keys in Pascal
// case. The response to an edit that would make the document invalid holds all
// findings with their positions.
package operator

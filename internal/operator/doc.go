// Package operator implements the HTTP API for operators and its client.
//
// There is one file for each kind of request; each checks its input and calls
// the Backend. Bodies are JSON with keys in Pascal case. The response to a
// refused edit holds all findings with their positions.
package operator

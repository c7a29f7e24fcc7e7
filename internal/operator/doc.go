// Package operator serves operators over HTTP and is the client of the commands.
//
// There is one file for each kind of request; each checks its input and calls
// the Backend. Bodies are JSON with keys in Pascal case. A refused edit carries
// all findings with their places.
package operator

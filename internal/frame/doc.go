// Package frame reads and writes messages between the project's own processes: msgpack behind a length of four bytes.
package frame

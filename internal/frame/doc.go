// Package frame reads and writes the messages that processes of this project exchange. A frame is a 4-byte big-endian
// length followed by a message in msgpack.
package frame

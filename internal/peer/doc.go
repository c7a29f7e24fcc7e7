// Package peer implements the protocol between the instances of the system.
//
// A frame over TCP is a 4-byte length and a Message in msgpack. Each instance
// keeps one connection to each of the others; it sends heartbeats and requests
// on it and reads the responses from it. A frame that is too long or does not
// decode closes the connection and is counted.
//
// Mesh holds the membership. Heartbeats show which instances are alive; the
// addresses to connect to come from the settings, from the platform's list of
// instances, which lags, and from heartbeats. A heartbeat holds the incarnation
// of its sender; one of an earlier incarnation is dropped. Correctness never
// depends on membership: it only decides which instance tries first and how
// slots are shared.
package peer

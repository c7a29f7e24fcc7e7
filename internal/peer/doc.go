// Package peer implements the protocol between the instances of the system.
//
// A frame over TCP is a 4-byte length and a Message in msgpack. Each instance
// keeps one outgoing connection to each other instance. It sends its heartbeats
// and requests on this connection and reads the responses from it. A frame that
// is too long or does not decode closes the connection and is counted.
//
// Mesh holds the membership. Heartbeats show which instances are alive; the
// addresses to connect to come from the settings, from the platform's list of
// instances, which lags, and from heartbeats. A heartbeat holds the incarnation
// of its sender; a heartbeat of an earlier incarnation is dropped. The
// membership only decides which instance tries first to claim a shard and how
// the instances share the slots for requests at the upstreams. The log decides
// which instance owns a shard.
package peer

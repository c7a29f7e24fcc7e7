// Package peer is the protocol between the instances of the system.
//
// Frames over TCP carry a length of four bytes and a Message in msgpack. Each
// instance keeps one connection to each of the others; it sends heartbeats and
// requests on it and reads answers from it. A frame that is too long or does
// not decode closes the connection and is counted.
//
// Mesh holds the membership: who is alive is known from heartbeats, whom to
// connect to from settings and from the platform's lagging list. A heartbeat
// carries the incarnation of its sender; one of an earlier incarnation is
// dropped. Nothing that must be agreed rests on membership: it only decides who
// tries first and how slots are shared.
package peer

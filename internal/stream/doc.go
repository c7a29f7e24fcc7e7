// Package stream replays one stream of the platform's log and commits records
// to it.
//
// A Follower replays a stream into a StateMachine, whose state depends on
// nothing but the records. Commit queues records; the queued records are
// appended together in one envelope (group commit). The outcome of each record
// is what the state machine decides when the envelope is read back at its
// offset. The response to the append itself decides nothing: if it is lost, the
// same envelope is appended again, and the state machine refuses the records of
// the second occurrence or ignores their repetition.
//
// Position.ConfirmedAt says how fresh the state is. It is the time at which the
// last successful read up to the end of the stream began: the state includes
// every record that the log had accepted by then. Callers that need a fresh
// state compare ConfirmedAt with their own limit.
//
// When the log's retention has removed entries that the follower has not read,
// the follower skips to the newest usable checkpoint and replays the entries
// that the checkpoint does not cover. If there is none, the follower is blocked
// until Restore is called. A checkpoint never changes the state of a follower
// that is already past it.
package stream

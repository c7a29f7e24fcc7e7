// Package stream replays one stream of the platform's log and commits records to it.
//
// A Follower replays a stream into a StateMachine, a deterministic state. Commit
// queues records; they are appended together (group commit). The outcome of each
// record is what the state machine decides when the envelope is read back at its
// offset. The response to the append itself decides nothing: if it is lost, the
// same envelope is appended again, and the state machine refuses the records of
// the second occurrence.
//
// ConfirmedAt says how fresh the state is: at that time the follower had applied
// every record that the log had accepted. Decisions that need a fresh state
// compare it with their own limit.
//
// When the log's retention has removed entries that the follower has not read,
// the follower skips to the newest checkpoint and replays from the offset that
// the checkpoint covers. A checkpoint never changes the state of a follower that
// is already past it.
package stream

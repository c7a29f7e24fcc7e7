// Package stream follows one stream of the platform's log and commits records to it.
//
// A Follower replays a stream into a Machine, a deterministic state. Commit
// queues records; they are appended together (group commit), and the outcome of
// each is what the machine decided when the envelope was read back at its
// offset. The reply to the append itself decides nothing: a lost reply leads to
// another append of the same envelope, whose records the machine then refuses.
//
// ConfirmedAt tells how fresh the state is: at that instant the follower held
// every record that the log had accepted. Decisions that need a fresh state
// compare it with a bound of their own.
//
// When retention has overtaken the follower, it skips to the newest checkpoint
// and replays from the offset that the checkpoint covers. A checkpoint never
// changes the state of a follower that is already past it.
package stream

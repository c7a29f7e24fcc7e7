// Package placement decides which task runs on which worker. It has no I/O.
//
// The tasks of one service or job form a group. An attempt of a task is committed
// to a worker by a Bind record, and leaves it by a Release record, after which the
// task waits for its next attempt unless it was cancelled, or by a Finish record.
//
// The workers and tasks of a document are split over shards. Each shard holds
// some racks and the tasks that hash to it, and has its own log stream. Shard is
// the state that the records of this stream determine: the owner, the attempts
// that are committed to workers, and the finished tasks. It refuses every record
// of a superseded epoch, every commitment beyond a worker's capacity and every
// second commitment of a task. Two instances that both consider themselves the
// owner therefore cannot commit a task twice: the order of the log decides.
//
// Owner drives one shard. Its inputs are events (records read back from the log,
// responses and reports of workers, views of the document) and the current time,
// passed as a value. Its outputs are records to commit and orders to send. An
// attempt is committed in the log before its start order is sent, and the start
// order carries an instant after which the worker refuses it. If no response to a
// start order arrives, the state of the attempt is unknown: the task returns to
// the queue only after the worker has reported on the attempt or the lease has
// certainly expired.
//
// The lease that an order grants is bounded by the instant at which the owner
// last confirmed its epoch. A new owner that cannot reach a worker waits for the
// full length of a lease from its own claim. After that, the worker has certainly
// stopped all attempts that an earlier owner started.
package placement

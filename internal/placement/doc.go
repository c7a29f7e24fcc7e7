// Package placement decides which task runs on which worker. It has no I/O.
//
// The tasks of one service or job form a group. A Bind record commits an attempt
// of a task to a worker. A Release record takes back the commitment; the task then
// waits for its next attempt, unless it was cancelled. A Finish record takes back
// the commitment of a task that has finished.
//
// The workers and tasks of a document are split over shards. Each shard holds
// the workers of some racks and the tasks that hash to the shard, and has its own
// log stream. A Claim record makes an instance the owner of the shard and starts a
// new epoch. Shard is the state that the records of the stream determine: the
// owner, the latest attempt of each unfinished task, and the finished tasks. Shard
// refuses every record of a superseded epoch, every commitment beyond a worker's
// capacity and every commitment of a task that is committed already or finished.
// Two instances that both consider themselves the owner therefore cannot commit a
// task twice: the order of the log decides.
//
// Owner drives one shard. Its inputs are events (records read back from the log,
// responses and reports of workers, views of the document) and the current time,
// passed as a value. Its outputs are records to commit and orders to send. An
// attempt is committed in the log before its start order is sent, and the start
// order carries an instant after which the worker refuses it. If no response to a
// start order arrives, the state of the attempt is unknown. The task then returns
// to the queue only after a report of the worker shows that the attempt does not
// run and never will, or after the lease of the worker has certainly expired.
//
// The length of a lease counts from an instant at which no other instance can have
// owned the shard, not from the sending of the order that grants the lease. A new
// owner that cannot reach a worker waits for the full length of a lease from its
// own first plan. After that, the worker has certainly stopped all attempts that
// an earlier owner started.
package placement

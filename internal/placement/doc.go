// Package placement decides which task runs on which worker. It has no I/O.
//
// A document is split over shards; each shard holds some racks and the tasks
// that hash to it, and has a log stream of its own. Shard is the deterministic
// state of that stream: who owns it, which attempt of which task is committed
// to which worker, and which tasks are finished. It refuses every record of a
// superseded epoch, every commitment beyond a worker's capacity and every
// second commitment of a task. Two owners that both believe to own the shard
// can therefore not commit anything twice: the log order decides.
//
// Owner drives one shard. It takes events (records read back, replies and
// reports of workers, views of the document) and the time as a value, and it
// answers with records to commit and orders to send. An attempt is committed in
// the log before its start is sent, and the start carries an instant after
// which the worker refuses it. A start without a reply leaves the attempt
// unknown: the task goes back to the queue only when the worker has answered
// for it or when its lease has surely ended.
//
// The lease that an order grants is bounded by the instant at which the owner
// last confirmed its epoch. A new owner that can't reach a worker waits for
// that bound, counted from its own claim, and then knows that the worker has
// ended whatever an earlier owner started.
package placement

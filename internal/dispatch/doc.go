// Package dispatch decides which task runs on which worker, in which order, and at which fraction of its full speed.
//
// A Planner holds all jobs of its owner and the state of the workers. It does
// no I/O: reports, responses and lists go in, orders and changed jobs come
// out. An order may be executed only after the changed jobs were committed, so
// that a later owner knows every attempt that may be running.
//
// An attempt whose start got no response may be running, and may still start.
// Until the worker reports it as finished, its task is released for another
// attempt only in these cases:
//   - the worker accepted a stop, and a later report of the same incarnation
//     does not list the attempt;
//   - the worker had reported the attempt, and then no longer reports it or
//     starts a new incarnation;
//   - the worker is unreachable, and its last lease has certainly expired;
//   - an earlier owner planned the start, and a report to this owner does not
//     list the attempt; from then on the worker refuses starts of earlier owners.
//
// A service is a task with a tail latency bound. An orphan is an attempt that a
// worker reports as running and that the planner does not hold. A wave is a set
// of instances whose maintenance operators request together.
package dispatch

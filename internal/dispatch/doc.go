// Package dispatch decides which task runs on which worker, in which order, and at which fraction of its full speed.
//
// A Planner holds all jobs of its owner and the state of the workers. It does
// no I/O: reports, responses and lists go in, orders and changed jobs come
// out. An order may be executed only after the changed jobs were committed, so
// that a later owner knows every attempt that may be running.
//
// An attempt whose start got no response is released only after the worker
// accepted a stop of it, reported a new incarnation, or can no longer hold a
// lease. A missing response alone does not show that the attempt is not running.
package dispatch

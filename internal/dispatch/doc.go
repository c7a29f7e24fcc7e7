// Package dispatch decides which task runs at which worker, in which order, and at which share of its speed.
//
// A Planner holds all jobs of its owner and what it knows of the workers. It
// does no I/O: reports, answers and lists go in, orders and changed jobs come
// out. An order may be carried out only after the changed jobs were committed,
// so that a later owner knows of each attempt that may be out.
//
// An attempt whose start got no answer is not taken back before a stop of it
// was answered, before its worker is known to have begun a new life, or before
// the lease of the worker has surely ended. Silence alone proves nothing.
package dispatch

// Package straggler tells why attempts of tasks progress slowly: since the task
// is long, since its worker is slow, or since its neighbours on the worker are
// heavy.
//
// The pace of an attempt is its progress relative to the usual progress of its
// step. A long task is slow beside others of its worker that are not. On a slow
// worker all are slow. Beside heavy neighbours the best-effort attempts, which
// get the CPU that others leave, are slow, and the rest is not. How much one slow
// attempt tells depends on how many are slow everywhere: where long tasks are
// frequent, several of them on one worker are no sign of a slow worker.
package straggler

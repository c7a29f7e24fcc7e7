// Package runtimes estimates how long tasks run, from the callers' estimates and the run times of earlier tasks.
//
// For each queue it keeps the distribution of the ratio of run time to estimate,
// in which recent samples weigh more. Where enough is known, a distribution for
// the order of magnitude of the estimate takes precedence: where estimates are
// off in both directions, long ones are mostly too long and short ones too short.
//
// Until a queue has samples, its estimates count as right. Everything is bounded,
// so that one wrong estimate or run time affects only its own queue, and that
// only as one sample.
package runtimes

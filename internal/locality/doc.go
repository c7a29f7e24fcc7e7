// Package locality decides whether a task waits for a place in the rack of its data or starts elsewhere at once.
//
// Elsewhere a task takes a known factor as long. A Forecast of a rack tells when
// its workers will have places, from what runs there and from the claims of the
// tasks that wait already. Decide compares the expected end after such a wait with
// the expected end elsewhere.
//
// A wait pays at most what the rack saves. No task therefore waits longer, in all,
// than the time that it would lose elsewhere, nor longer than MaxWait. A task that
// starts in its rack after a wait is expected to end no later than if it had
// started elsewhere at once.
//
// A waiting task holds nothing: others may take any place that it does not use. The
// package does no I/O and gets the time from its caller.
package locality

// Package platform speaks to the platform: its append-only log, its workers and its lagging lists.
//
// Client is the only adapter. It turns each call into one HTTP request with a
// deadline and each failure into an *Error that tells whether the call may have
// taken effect. It never repeats a call by itself; whoever makes the call knows
// whether a repeat is idempotent. The stand-in for tests and demonstrations is
// in the package standin below, and docs/PLATFORM.md states what both assume.
package platform

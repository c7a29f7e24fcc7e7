// Package platform is the client of the platform: its append-only log, its workers, and its lists of workers, upstreams
// and instances, which lag behind the actual state.
//
// Client is the only adapter. It turns each call into one HTTP request with a
// deadline and each failure into an *Error that reports whether the call may have
// taken effect. It never retries a call; only the caller knows whether a retry is
// idempotent. Package standin holds the stand-in platform for tests and
// demonstrations, and docs/PLATFORM.md states what both packages assume.
package platform

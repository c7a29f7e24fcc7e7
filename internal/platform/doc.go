// Package platform is the client of the platform that the serve command and the demonstration use: its append-only log,
// its workers, and its lists of workers, upstreams and instances, which lag behind the actual state. The jobs command runs
// on another platform; the top-level package of the same name is the adapter of that one.
//
// All calls to the platform go through Client. It turns each call into one HTTP request
// with a deadline and each failure into an *Error that reports whether the call may have
// taken effect. It never retries a call; only the caller knows whether the call is
// idempotent. Package standin holds the stand-in platform for tests and
// demonstrations, and docs/PLATFORM.md states what both packages assume.
package platform

// Package integration holds tests of real processes behind a fault-injecting proxy.
//
// The stand-in platform runs in the test; each instance is a process of the
// built binary that reaches the platform and the other instances through
// proxies of its own, which a test can cut.
package integration

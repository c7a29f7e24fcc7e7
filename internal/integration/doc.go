// Package integration holds tests of real processes behind fault-injecting proxies.
//
// The stand-in platform runs in the test process; each instance is a process of the
// built binary. It reaches the platform through its own proxy, and the other
// instances reach it through a second one. A test can stop either proxy to
// partition the instance.
package integration

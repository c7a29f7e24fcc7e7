// Package integration holds tests of real processes behind fault-injecting proxies.
//
// The stand-in platform runs in the test process; each instance is a process of the
// built binary. Each instance has two proxies: it reaches the platform through the
// first one, and the other instances reach it through the second one. A test can stop
// either proxy to partition the instance.
package integration

// Package bootclock reads the boot-time clock, which advances while the instance is suspended. The monotonic clock does
// not.
package bootclock

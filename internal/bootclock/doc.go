// Package bootclock reads the boot-time clock, which advances while the instance is suspended. The monotonic clock
// stops during that time.
package bootclock

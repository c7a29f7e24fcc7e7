// Package bootclock reads the clock that goes on while the instance is suspended, which the steady clock does not.
package bootclock

// Package decision stores the latest decisions of an instance and logs each of them in one line.
package decision

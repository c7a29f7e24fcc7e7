// Package decision stores the latest decisions of an instance. It logs each decision in one line.
package decision

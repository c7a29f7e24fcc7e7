// Package decision keeps the latest decisions of an instance and logs each in one line.
package decision

// Package demo runs the stand-in platform and three instances under load and faults, and prints a report.
package demo

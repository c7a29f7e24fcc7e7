// Package demo runs the stand-in platform and three instances under load and faults, and reports.
package demo

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes down what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	w       *bufio.Writer
	startAt time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path) //nolint:gosec // the caller names the file
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{file: f, w: bufio.NewWriter(f), startAt: time.Now()}, nil
}

// add writes a line with the time since the start of the case.
func (r *record) add(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.startAt).Seconds(), fmt.Sprintf(format, a...))
}

// seconds returns an instant as in the lines of the record.
func (r *record) seconds(t time.Time) float64 { return t.Sub(r.startAt).Seconds() }

// verdict writes the lines of a verdict, also to standard output, and returns the code.
func (r *record) verdict(code int, lines ...string) int {
	names := map[int]string{exitHeld: "HELD", exitBroken: "BROKEN", exitNotRun: "NOT RUN"}
	for _, l := range lines {
		r.add("%s: %s", names[code], l)
		fmt.Printf("%s: %s\n", names[code], l)
	}
	return code
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a case, one line an event, with the milliseconds since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path) //nolint:gosec // the folder of the case
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &recorder{file: f, start: time.Now()}, nil
}

// line writes a line.
func (r *recorder) line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7d "+format+"\n", append([]any{time.Since(r.start).Milliseconds()}, a...)...)
}

// say writes a line and prints it.
func (r *recorder) say(format string, a ...any) {
	r.line(format, a...)
	fmt.Printf(format+"\n", a...)
}

func (r *recorder) close() { _ = r.file.Close() }

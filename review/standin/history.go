package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// taskRun is one run of a task as its executor has seen it; endedAt is zero while it runs.
type taskRun struct {
	task     string
	run      int
	executor string
	labels   []string
	startAt  time.Time
	endedAt  time.Time
	how      string
	// ackedAt is when an acked_upto reached the end, zero before that.
	ackedAt time.Time
}

// history holds all runs, in the order of their starts.
type history struct {
	mu   sync.Mutex
	runs []*taskRun
	rec  *record
}

func (h *history) started(e *executor, task string, n int) *taskRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &taskRun{task: task, run: n, executor: e.name(), labels: e.labels, startAt: time.Now()}
	h.runs = append(h.runs, r)
	h.rec.add("executor %s %v: starts %s run %d", r.executor, r.labels, task, n)
	return r
}

func (h *history) ended(r *taskRun, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.endedAt, r.how = time.Now(), how
	h.rec.add("executor %s: %s run %d ends %s", r.executor, r.task, r.run, how)
}

// acknowledged records that an acked_upto has reached the end of a run.
func (h *history) acknowledged(r *taskRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.ackedAt = time.Now()
}

// of returns copies of the runs of the tasks whose names begin with a prefix.
func (h *history) of(prefix string) []taskRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l []taskRun
	for _, r := range h.runs {
		if strings.HasPrefix(r.task, prefix) {
			l = append(l, *r)
		}
	}
	return l
}

// count returns the number of runs.
func (h *history) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.runs)
}

// isRunning reports whether any task whose name begins with a prefix runs.
func (h *history) isRunning(prefix string) bool {
	for _, r := range h.of(prefix) {
		if r.endedAt.IsZero() {
			return true
		}
	}
	return false
}

// tell returns the runs in a few words.
func tell(l []taskRun, rec *record) string {
	var b strings.Builder
	for _, r := range l {
		how := "runs"
		if !r.endedAt.IsZero() {
			how = fmt.Sprintf("%s at %.1f", r.how, rec.seconds(r.endedAt))
		}
		fmt.Fprintf(&b, " [%s run %d at %s from %.1f, %s]", r.task, r.run, r.executor, rec.seconds(r.startAt), how)
	}
	return b.String()
}

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as clients hand it in.
type step struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu,omitempty"`
	MemMB      int    `json:"mem_mb,omitempty"`
	EstimateMs int    `json:"estimate_ms,omitempty"`
	After      []int  `json:"after,omitempty"`
	Persistent bool   `json:"persistent,omitempty"`
	Fills      bool   `json:"fills,omitempty"`
	Image      string `json:"image,omitempty"`
	TargetMs   int    `json:"target_ms,omitempty"`
	MayMiss    int    `json:"may_miss,omitempty"`
	Label      string `json:"required_label,omitempty"`
	MostEach   int    `json:"max_per_server,omitempty"`
	// duration is the time that a run takes, zero if it lasts, and how it ends.
	duration time.Duration
	how      string
}

// reserved returns the room that a task of the step takes.
func (s step) reserved() (cpu, mem int) {
	if s.Fills {
		return 0, s.MemMB
	}
	return s.CPU, s.MemMB
}

// job is a job that a client hands in.
type job struct {
	id       string
	Spec     string `json:"spec"`
	Steps    []step `json:"phases"`
	accepted time.Time
	// advised means that the job is of the queue whose steps need advice.
	advised bool
}

// event is the start or the end of a run.
type event struct {
	at       time.Time
	executor string
	task     string
	run      int
	// how is empty for a start.
	how string
}

// world holds what clients have handed in and what executors have run.
type world struct {
	record *record
	// late says for how long an order is held without an answer, nil if none is.
	late func(executor, path string, o order) time.Duration
	// tail returns the fifth field of a row of what runs, nil if that is 0.
	tail func(e *executor, r *run) int
	// onStop is called when an executor accepts a stop of a run.
	onStop func(executor, task string, run int)

	mu     sync.Mutex
	jobs   map[string]*job
	events []event
	// tickets holds until when each ticket is valid.
	tickets map[string]time.Time
}

func newWorld(r *record) *world {
	return &world{record: r, jobs: make(map[string]*job), tickets: make(map[string]time.Time)}
}

// add makes a job known before it is handed in.
func (w *world) add(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.id] = j
}

// jobOf returns the ID of the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// stepOf returns the step of a task, and false for a task that no client sent.
func (w *world) stepOf(task string) (step, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := strings.Split(task, ".")
	j := w.jobs[p[0]]
	if j == nil || len(p) != 4 {
		return step{}, false
	}
	n, err := strconv.Atoi(p[2])
	if err != nil || n < 0 || n >= len(j.Steps) {
		return step{}, false
	}
	return j.Steps[n], true
}

// fate returns how long a run takes and how it ends.
func (w *world) fate(task string, _ int) (time.Duration, string) {
	s, _ := w.stepOf(task)
	return s.duration, s.how
}

func (w *world) lateness(executor, path string, o order) time.Duration {
	if w.late == nil {
		return 0
	}
	d := w.late(executor, path, o)
	if d > 0 {
		w.record.printf("executor %s leaves %s of %s run %d unanswered and carries it out %v later", executor, path, o.Task, o.Run, d)
	}
	return d
}

func (w *world) sample(e *executor, r *run) int {
	if w.tail == nil {
		return 0
	}
	return w.tail(e, r)
}

func (w *world) started(executor, task string, n int, _ string, late bool) {
	w.note(event{at: time.Now(), executor: executor, task: task, run: n})
	w.record.printf("executor %s starts %s run %d%s", executor, task, n, suffix(late))
}

func suffix(late bool) string {
	if late {
		return " (late)"
	}
	return ""
}

func (w *world) stopped(executor, task string, n int) {
	w.record.printf("executor %s is told to stop %s run %d", executor, task, n)
	if w.onStop != nil {
		w.onStop(executor, task, n)
	}
}

func (w *world) paced(executor, task string, n, percent int, late bool) {
	w.record.printf("executor %s paces %s run %d at %d%s", executor, task, n, percent, suffix(late))
}

func (w *world) ended(executor, task string, n int, how string) {
	w.note(event{time.Now(), executor, task, n, how})
	w.record.printf("executor %s ends %s run %d: %s", executor, task, n, how)
}

func (w *world) note(e event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}

// history returns the events so far.
func (w *world) history() []event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]event(nil), w.events...)
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path) //nolint:gosec // the caller names the file
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// printf adds a line with the seconds since the beginning.
func (r *record) printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

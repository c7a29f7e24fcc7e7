package standin

import (
	"fmt"
	"sync"
	"time"

	"currantknot.dev/currantknot/internal/placement"
)

// Start describes the start of one attempt to run a task.
type Start struct {
	placement.TaskAttempt
	Worker        string
	FailureDomain string
	At            time.Time
}

// Audit holds the events and violations that the stand-in recorded.
type Audit struct {
	Starts []Start
	// Finished counts the attempts that finished a batch task.
	Finished int
	// WorkDone is the batch work done by all attempts that no longer run, as run time at full speed. Work done before
	// the checkpoint from which an attempt resumed is not counted again.
	WorkDone time.Duration
	// WorkLost is the work in WorkDone of the attempts that neither finished their task nor left a checkpoint.
	WorkLost time.Duration
	// Violations describes violated guarantees, at most maxViolations.
	Violations []string
	// Writes counts the executions of each POST request at upstreams, by the value of the request's IdentityHeader.
	Writes map[string]int
	// Appends and AppendedBytes count the entries appended to the log and the bytes of their data.
	Appends       int
	AppendedBytes int
}

// maxViolations bounds the number of violations that the audit keeps.
const maxViolations = 100

// auditor collects the audit.
type auditor struct {
	// mu guards the fields below.
	mu    sync.Mutex
	audit Audit
	// running holds the running attempt of each task, by the name of the task.
	running map[string]placement.TaskAttempt
	// finished holds the names of the finished batch tasks.
	finished map[string]bool
	// checkpoints holds the latest checkpoint of each task, by the name of the task.
	checkpoints map[string]string
}

func newAuditor() *auditor {
	return &auditor{
		audit:       Audit{Writes: make(map[string]int)},
		running:     make(map[string]placement.TaskAttempt),
		finished:    make(map[string]bool),
		checkpoints: make(map[string]string),
	}
}

// recordViolation records a violated guarantee; the caller holds mu.
func (a *auditor) recordViolation(format string, args ...any) {
	if len(a.audit.Violations) < maxViolations {
		a.audit.Violations = append(a.audit.Violations, fmt.Sprintf(format, args...))
	}
}

func (a *auditor) onStart(o placement.StartOrder, domain string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := placement.TaskAttempt{Task: o.Task, Attempt: o.Attempt}
	a.audit.Starts = append(a.audit.Starts, Start{t, o.Worker, domain, now})
	if r, ok := a.running[o.Task]; ok {
		a.recordViolation("task %s runs as attempt %d and %d", o.Task, r.Attempt, o.Attempt)
	}
	if a.finished[o.Task] {
		a.recordViolation("task %s started after it had finished", o.Task)
	}
	if c := a.checkpoints[o.Task]; c != "" && c != o.Checkpoint {
		a.recordViolation("task %s resumed from %q, its latest checkpoint is %q", o.Task, o.Checkpoint, c)
	}
	a.running[o.Task] = t
}

// onTerminate records the outcome of an attempt that no longer runs.
func (a *auditor) onTerminate(t *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, t.order.Task)
	if t.report.State == placement.TaskFinished {
		a.finished[t.order.Task] = true
		a.audit.Finished++
	}
	if t.order.Service != "" {
		return
	}
	a.audit.WorkDone += t.workDone - t.resumedFrom
	switch {
	case t.report.Checkpoint != "":
		a.checkpoints[t.order.Task] = t.report.Checkpoint
	case t.report.State != placement.TaskFinished:
		a.audit.WorkLost += t.workDone - t.resumedFrom
	}
}

func (a *auditor) onOvercommit(worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordViolation("worker %s was asked to run beyond its capacity", worker)
}

func (a *auditor) onLateRequest(upstream string, after time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordViolation("upstream %s got a request %s after it was listed as leaving", upstream, after)
}

func (a *auditor) onWrite(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.audit.Writes[id]++
	if a.audit.Writes[id] > 1 {
		a.recordViolation("write %s ran %d times", id, a.audit.Writes[id])
	}
}

// snapshot returns a copy of the audit without the counts of appends, which the log holds.
func (a *auditor) snapshot() Audit {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.audit
	c.Starts = append([]Start(nil), c.Starts...)
	c.Violations = append([]string(nil), c.Violations...)
	c.Writes = make(map[string]int, len(a.audit.Writes))
	for k, n := range a.audit.Writes {
		c.Writes[k] = n
	}
	return c
}

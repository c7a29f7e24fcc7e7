package standin

import (
	"fmt"
	"sync"
	"time"

	"currantknot.dev/currantknot/internal/placement"
)

// Start is one start of an attempt that the audit saw.
type Start struct {
	placement.TaskAttempt
	Worker        string
	FailureDomain string
	At            time.Time
}

// Audit is what the stand-in saw happen.
type Audit struct {
	Starts []Start
	// Finished counts the finished batch tasks.
	Finished int
	// WorkDone is the batch work done, and WorkLost the part of it that ended without a checkpoint.
	WorkDone time.Duration
	WorkLost time.Duration
	// Violations lists broken promises.
	Violations []string
	// Writes counts how often each non-idempotent request ran at an upstream, by its request identity.
	Writes map[string]int
	// Appends and AppendedBytes count what the log took.
	Appends       int
	AppendedBytes int
}

// maxViolations bounds the list of violations.
const maxViolations = 100

// auditor collects the audit.
type auditor struct {
	// mu guards the fields below.
	mu         sync.Mutex
	audit      Audit
	running    map[string]placement.TaskAttempt
	finished   map[string]bool
	checkpoint map[string]string
}

func newAuditor() *auditor {
	return &auditor{
		audit:      Audit{Writes: make(map[string]int)},
		running:    make(map[string]placement.TaskAttempt),
		finished:   make(map[string]bool),
		checkpoint: make(map[string]string),
	}
}

// violate notes a broken promise; the caller holds mu.
func (a *auditor) violate(format string, args ...any) {
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
		a.violate("task %s runs as attempt %d and %d", o.Task, r.Attempt, o.Attempt)
	}
	if a.finished[o.Task] {
		a.violate("task %s started after it had finished", o.Task)
	}
	if c := a.checkpoint[o.Task]; c != "" && c != o.Checkpoint {
		a.violate("task %s resumed from %q, its latest checkpoint is %q", o.Task, o.Checkpoint, c)
	}
	a.running[o.Task] = t
}

func (a *auditor) onEnd(t *attempt) {
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
	a.audit.WorkDone += t.done - t.from
	switch {
	case t.report.Checkpoint != "":
		a.checkpoint[t.order.Task] = t.report.Checkpoint
	case t.report.State != placement.TaskFinished:
		a.audit.WorkLost += t.done - t.from
	}
}

func (a *auditor) onOvercommit(worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.violate("worker %s was asked to run beyond its capacity", worker)
}

func (a *auditor) onLateRequest(upstream string, after time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.violate("upstream %s got a request %s after it was listed as leaving", upstream, after)
}

func (a *auditor) onWrite(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.audit.Writes[id]++
	if a.audit.Writes[id] > 1 {
		a.violate("write %s ran %d times", id, a.audit.Writes[id])
	}
}

// get returns a copy of the audit.
func (a *auditor) get() Audit {
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

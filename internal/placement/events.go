package placement

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/record"
)

// baseRetryDelay is half the backoff after the first failure of a task. That backoff doubles with each further failure
// up to maxRetryDelay.
const (
	baseRetryDelay = 500 * time.Millisecond
	maxRetryDelay  = time.Minute
)

// onBind handles a Bind record that was read back from the log.
func (o *Owner) onBind(at time.Time, b *record.Bind) {
	t := o.ensureTask(b.Task, at)
	// If the current view of the document does not hold the group, the attempt has to stop. If a later view holds the
	// group, rebuild clears the reason.
	if o.groups[t.spec.Group] == nil {
		t.stopReason = record.ReleaseCancelled
	}
	t.running = false
	t.sentAt = time.Time{}
	t.proposedAttempt = 0
	delete(o.ensureWorker(b.Worker).proposals, b.Task)
	o.dequeue(t)
	o.addAttempt(t, o.shard.Attempts[b.Task])
}

func (o *Owner) dequeue(t *task) {
	g := o.groups[t.spec.Group]
	if g == nil || !t.queued {
		return
	}
	t.queued = false
	g.queue = slices.DeleteFunc(g.queue, func(q *task) bool { return q == t })
}

// cancelProposal lets the owner propose a record again that was refused or whose outcome is unknown.
func (o *Owner) cancelProposal(r *record.Record) {
	switch {
	case r.Release != nil:
		o.clearProposedAttempt(r.Release.Task)
	case r.Finish != nil:
		o.clearProposedAttempt(r.Finish.Task)
	case r.Bind != nil:
		delete(o.ensureWorker(r.Bind.Worker).proposals, r.Bind.Task)
		if t := o.tasks[r.Bind.Task]; t != nil {
			t.proposedAttempt = 0
			if a := o.shard.Attempts[t.name]; a == nil || !a.IsBound() {
				o.enqueue(t)
			}
		}
	}
}

func (o *Owner) clearProposedAttempt(name string) {
	if t := o.tasks[name]; t != nil {
		t.proposedAttempt = 0
	}
}

// removeAttempt removes a released or finished attempt from the in-memory tables, and lets the worker forget the
// attempt once the worker would refuse a start of the attempt.
func (o *Owner) removeAttempt(t *task, attempt int) {
	if w := o.workers[t.worker]; w != nil {
		delete(w.tasks, t.name)
		w.adjustCounts(t, -1)
		w.allowForget(TaskAttempt{t.name, attempt}, t.startBefore.Add(o.Limits.Skew))
	}
	if g := o.groups[t.spec.Group]; g != nil {
		g.committed = g.committed.Sub(t.size)
	}
	delete(o.needsOrder, t.name)
	t.worker = ""
	t.running = false
	t.stopReason = ""
	t.proposedAttempt = 0
	t.sentAt = time.Time{}
}

// onRelease handles a Release record: it returns the task to the queue of its group, or drops the task if it was
// cancelled.
func (o *Owner) onRelease(at time.Time, r *record.Release) {
	t := o.tasks[r.Task]
	if t == nil {
		return
	}
	a := o.shard.Attempts[r.Task]
	o.removeAttempt(t, r.Attempt)
	if r.Reason == record.ReleaseCancelled {
		delete(o.tasks, r.Task)
		return
	}
	if r.Reason == record.ReleaseFailed {
		t.notBefore = at.Add(min(baseRetryDelay<<min(a.Failures, 10), maxRetryDelay))
	}
	t.queuedAt = at
	o.enqueue(t)
}

// onFinish handles a Finish record: it drops the task.
func (o *Owner) onFinish(r *record.Finish) {
	t := o.tasks[r.Task]
	if t == nil {
		return
	}
	o.removeAttempt(t, r.Attempt)
	delete(o.tasks, r.Task)
}

// OnReport handles a worker's response to a sync order that was sent at sentAt.
//
// A response counts only in the epoch of its sync order. A worker that has seen a
// later epoch returns an empty report. If such a report arrives when this instance
// owns the shard again, the report does not mean that the worker has no tasks.
func (o *Owner) OnReport(s SyncOrder, r WorkerReport, sentAt, now time.Time) []record.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.workers[r.Worker]
	if w == nil || !o.isOwner() || s.Epoch != o.shard.Epoch || r.Epoch != s.Epoch {
		return nil
	}
	w.sentAt = time.Time{}
	w.unresponsive = false
	seen := make(map[string]int, len(r.Tasks))
	var rs []record.Record
	for _, x := range r.Tasks {
		seen[x.Task] = max(seen[x.Task], x.Attempt)
		rs = append(rs, o.onTaskReport(w, x, now)...)
	}
	for n, t := range w.tasks {
		a := o.shard.Attempts[n]
		if r.SameRunning && t.running {
			continue
		}
		if seen[n] >= a.Attempt || !sentAt.After(a.StartBefore.Add(o.Limits.Skew)) {
			continue
		}
		rs = append(rs, o.proposeRelease(t, a, record.ReleaseNotStarted, "")...)
	}
	w.sampleShares(now)
	for _, u := range r.Usage {
		o.onUsage(w, u, now)
	}
	return rs
}

// OnTask handles the named worker's response to a start or stop order.
func (o *Owner) OnTask(name string, r TaskReport, now time.Time) []record.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.workers[name]
	if w == nil || !o.isOwner() {
		return nil
	}
	if t := o.tasks[r.Task]; t != nil {
		t.sentAt = time.Time{}
	}
	return o.onTaskReport(w, r, now)
}

func (o *Owner) onTaskReport(w *worker, r TaskReport, now time.Time) []record.Record {
	t := w.tasks[r.Task]
	a := o.shard.Attempts[r.Task]
	if t == nil || a == nil || a.Attempt != r.Attempt || !a.IsBound() {
		if r.State != TaskRunning {
			// The attempt was committed before now, so its StartBefore is at most now plus StartTimeout.
			w.allowForget(r.TaskAttempt, now.Add(o.Limits.StartTimeout+o.Limits.Skew))
		}
		return nil
	}
	switch r.State {
	case TaskRunning:
		t.running = true
		return nil
	case TaskFinished:
		w.health.onFinished()
		return o.proposeFinish(t, a)
	case TaskFailed:
		w.health.onFailed(a.Failures)
		return o.proposeRelease(t, a, record.ReleaseFailed, r.Checkpoint)
	case TaskRefused:
		return o.proposeRelease(t, a, firstReason(t.stopReason, record.ReleaseNotStarted), r.Checkpoint)
	default:
		return o.proposeRelease(t, a, firstReason(t.stopReason, record.ReleaseEvicted), r.Checkpoint)
	}
}

// firstReason returns a unless it is empty, and b otherwise.
func firstReason(a, b record.ReleaseReason) record.ReleaseReason {
	if a != "" {
		return a
	}
	return b
}

func (o *Owner) proposeFinish(t *task, a *LoggedTask) []record.Record {
	if t.proposedAttempt == a.Attempt {
		return nil
	}
	t.proposedAttempt = a.Attempt
	return []record.Record{{Finish: &record.Finish{Epoch: o.shard.Epoch, Task: t.name, Attempt: a.Attempt}}}
}

func (o *Owner) proposeRelease(t *task, a *LoggedTask, why record.ReleaseReason, checkpoint string) []record.Record {
	if t.proposedAttempt == a.Attempt {
		return nil
	}
	t.proposedAttempt = a.Attempt
	r := &record.Release{Epoch: o.shard.Epoch, Task: t.name, Attempt: a.Attempt, Reason: why, Checkpoint: checkpoint}
	return []record.Record{{Release: r}}
}

// OnUnknownOutcome lets the owner propose the given records again, because it is unknown whether the log accepted them.
func (o *Owner) OnUnknownOutcome(rs []record.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range rs {
		o.cancelProposal(&rs[i])
	}
}

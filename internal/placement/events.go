package placement

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/record"
)

// retryDelay is the time that a failed task waits, doubled with each failure up to maxRetryDelay.
const (
	retryDelay    = 500 * time.Millisecond
	maxRetryDelay = time.Minute
)

// onBind notes a commitment that was read back.
func (o *Owner) onBind(at time.Time, b *record.Bind) {
	t := o.taskNamed(b.Task, at)
	if o.groups[t.spec.Group] == nil {
		t.stop = record.ReleaseCancelled
	}
	t.running = false
	t.sentAt = time.Time{}
	t.proposed = 0
	delete(o.workerNamed(b.Worker).proposals, b.Task)
	o.dequeue(t)
	o.hold(t, o.shard.Attempts[b.Task])
}

func (o *Owner) dequeue(t *task) {
	g := o.groups[t.spec.Group]
	if g == nil || !t.queued {
		return
	}
	t.queued = false
	g.queue = slices.DeleteFunc(g.queue, func(q *task) bool { return q == t })
}

// unpropose lets the owner propose again what the log has refused.
func (o *Owner) unpropose(r *record.Record) {
	switch {
	case r.Release != nil:
		o.resetProposal(r.Release.Task)
	case r.Finish != nil:
		o.resetProposal(r.Finish.Task)
	case r.Bind != nil:
		delete(o.workerNamed(r.Bind.Worker).proposals, r.Bind.Task)
		if t := o.tasks[r.Bind.Task]; t != nil {
			t.proposed = 0
			if a := o.shard.Attempts[t.name]; a == nil || !a.IsBound() {
				o.enqueue(t)
			}
		}
	}
}

func (o *Owner) resetProposal(name string) {
	if t := o.tasks[name]; t != nil {
		t.proposed = 0
	}
}

// letGo removes the ended attempt from the volatile tables.
func (o *Owner) letGo(t *task, attempt int) {
	if w := o.workers[t.worker]; w != nil {
		delete(w.bound, t.name)
		w.count(t, -1)
		w.mayForget(TaskAttempt{t.name, attempt}, t.startBefore.Add(o.Limits.Skew))
	}
	if g := o.groups[t.spec.Group]; g != nil {
		g.held = g.held.Sub(t.size)
	}
	delete(o.active, t.name)
	t.worker = ""
	t.running = false
	t.stop = ""
	t.proposed = 0
	t.sentAt = time.Time{}
}

// onRelease returns a task to the queue.
func (o *Owner) onRelease(at time.Time, r *record.Release) {
	t := o.tasks[r.Task]
	if t == nil {
		return
	}
	a := o.shard.Attempts[r.Task]
	o.letGo(t, r.Attempt)
	if r.Reason == record.ReleaseCancelled {
		delete(o.tasks, r.Task)
		return
	}
	if r.Reason == record.ReleaseFailed {
		t.notBefore = at.Add(min(retryDelay<<min(a.Failures, 10), maxRetryDelay))
	}
	t.queuedAt = at
	o.enqueue(t)
}

// onFinish drops a task for good.
func (o *Owner) onFinish(r *record.Finish) {
	t := o.tasks[r.Task]
	if t == nil {
		return
	}
	o.letGo(t, r.Attempt)
	delete(o.tasks, r.Task)
}

// OnReport takes over a worker's answer to a sync that was sent at the given time.
//
// An answer counts only within the epoch of its sync: a worker that has seen a
// later epoch reports nothing, and that must not pass for a worker without tasks
// when this instance owns the shard again.
func (o *Owner) OnReport(s SyncOrder, r WorkerReport, sentAt, now time.Time) []record.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.workers[r.Worker]
	if w == nil || !o.isOwner() || s.Epoch != o.shard.Epoch || r.Epoch != s.Epoch {
		return nil
	}
	w.sentAt = time.Time{}
	w.silent = false
	seen := make(map[string]int, len(r.Tasks))
	var rs []record.Record
	for _, x := range r.Tasks {
		seen[x.Task] = max(seen[x.Task], x.Attempt)
		rs = append(rs, o.onTaskReport(w, x, now)...)
	}
	for n, t := range w.bound {
		a := o.shard.Attempts[n]
		if r.SameRunning && t.running {
			continue
		}
		if seen[n] >= a.Attempt || !sentAt.After(a.StartBefore.Add(o.Limits.Skew)) {
			continue
		}
		rs = append(rs, o.proposeRelease(t, a, record.ReleaseNotStarted, "")...)
	}
	w.sampleMix(now)
	for _, u := range r.Usage {
		o.onUsage(w, u, now)
	}
	return rs
}

// OnTask takes over a worker's answer to a start or stop.
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
	t := w.bound[r.Task]
	a := o.shard.Attempts[r.Task]
	if t == nil || a == nil || a.Attempt != r.Attempt || !a.IsBound() {
		if r.State != TaskRunning {
			// The commitment was read back before now, so its StartBefore is not later than this.
			w.mayForget(r.TaskAttempt, now.Add(o.Limits.StartWithin+o.Limits.Skew))
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
		return o.proposeRelease(t, a, orReason(t.stop, record.ReleaseNotStarted), r.Checkpoint)
	default:
		return o.proposeRelease(t, a, orReason(t.stop, record.ReleaseEvicted), r.Checkpoint)
	}
}

func orReason(a, b record.ReleaseReason) record.ReleaseReason {
	if a != "" {
		return a
	}
	return b
}

func (o *Owner) proposeFinish(t *task, a *Attempt) []record.Record {
	if t.proposed == a.Attempt {
		return nil
	}
	t.proposed = a.Attempt
	return []record.Record{{Finish: &record.Finish{Epoch: o.shard.Epoch, Task: t.name, Attempt: a.Attempt}}}
}

func (o *Owner) proposeRelease(t *task, a *Attempt, why record.ReleaseReason, checkpoint string) []record.Record {
	if t.proposed == a.Attempt {
		return nil
	}
	t.proposed = a.Attempt
	r := &record.Release{Epoch: o.shard.Epoch, Task: t.name, Attempt: a.Attempt, Reason: why, Checkpoint: checkpoint}
	return []record.Record{{Release: r}}
}

// OnUnknown lets the owner propose again what was proposed by records whose outcome is unknown.
func (o *Owner) OnUnknown(rs []record.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range rs {
		o.unpropose(&rs[i])
	}
}

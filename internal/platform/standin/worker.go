package standin

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantknot.dev/currantknot/internal/placement"
	"currantknot.dev/currantknot/pkg/document"
)

const (
	// measureInterval is the minimum interval between two measurements of the slowdown of a worker's replicas.
	measureInterval = 250 * time.Millisecond
	// usageLag is the minimum age of a measurement in a report.
	usageLag = time.Second
	// maxUsage bounds the number of measurements that a worker keeps, counting all its replicas.
	maxUsage = 512
)

// worker simulates a machine that runs attempts until they finish or their lease expires.
type worker struct {
	placement.Worker

	platform *Platform

	// mu guards the fields below.
	mu sync.Mutex
	// epochs holds the highest known epoch of each shard, by the number of the shard.
	epochs map[int]uint64
	// attempts holds the latest attempt of each task, by the name of the task.
	attempts map[string]*attempt
	// usage holds the latest measurements, oldest first.
	usage []placement.Usage
}

// attempt is one attempt to run a task on a worker, or one that was refused. Once it no longer runs, it is kept until a
// sync order names it in Forget or a later attempt of the task replaces it.
type attempt struct {
	order      placement.StartOrder
	report     placement.TaskReport
	leaseUntil time.Time
	// totalWork is the work of the whole task, as run time at full speed, and resumedFrom the work that was done before the
	// checkpoint in the start order.
	totalWork   time.Duration
	resumedFrom time.Duration
	// workDone is the work done up to the time advancedAt, including resumedFrom.
	workDone   time.Duration
	advancedAt time.Time
	// throttled means that the attempt runs at half speed.
	throttled bool
	// started means that the attempt has run, in contrast to one that was refused.
	started bool
	// reported means that a response to a sync order has listed the attempt as no longer running; that response may have
	// been lost.
	reported bool
	upstream *upstream
}

func (a *attempt) isRunning() bool { return a.report.State == placement.TaskRunning }

// acceptEpoch reports whether an order's epoch is at least the highest known epoch of its shard, and records it if so; the
// caller holds mu.
func (w *worker) acceptEpoch(f placement.Fence) bool {
	if f.Epoch < w.epochs[f.Shard] {
		return false
	}
	w.epochs[f.Shard] = f.Epoch
	return true
}

// start executes a start order, unless the order is refused. Repeating the order of the task's latest attempt only returns
// the report of that attempt.
func (w *worker) start(o placement.StartOrder, now time.Time) placement.TaskReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := placement.TaskAttempt{Task: o.Task, Attempt: o.Attempt}
	a := w.attempts[o.Task]
	if a != nil && a.order.Attempt >= o.Attempt {
		if a.order.Attempt == o.Attempt {
			return a.report
		}
		return placement.TaskReport{TaskAttempt: t, State: placement.TaskRefused, Reason: "a later attempt is known"}
	}
	a = &attempt{order: o, leaseUntil: o.LeaseUntil, advancedAt: now, report: placement.TaskReport{TaskAttempt: t}}
	w.attempts[o.Task] = a
	if r := w.checkStart(o, now); r != "" {
		a.report.State, a.report.Reason = placement.TaskRefused, r
		return a.report
	}
	w.startAttempt(a, now)
	return a.report
}

// checkStart returns the reason for which a start order is refused, empty if the attempt can start. It records the epoch of
// the order, and a violation if the attempt exceeds the capacity of the worker; the caller holds mu.
func (w *worker) checkStart(o placement.StartOrder, now time.Time) string {
	if !w.acceptEpoch(o.Fence) {
		return "the epoch is superseded"
	}
	if !now.Before(o.StartBefore) {
		return "the start came after " + o.StartBefore.Format(time.RFC3339Nano)
	}
	if !w.usedCapacity().Add(o.Size).Fits(w.Size) {
		w.platform.audit.onOvercommit(w.Name)
		return "the worker is full"
	}
	return ""
}

// startAttempt starts an attempt that checkStart has not refused; the caller holds mu.
func (w *worker) startAttempt(a *attempt, now time.Time) {
	o := a.order
	w.platform.audit.onStart(o, w.FailureDomain, now)
	a.report.State = placement.TaskRunning
	a.started = true
	a.totalWork = w.platform.actualRunTime(o)
	if ms, err := strconv.ParseInt(o.Checkpoint, 10, 64); err == nil {
		a.resumedFrom = time.Duration(ms) * time.Millisecond
		a.workDone = a.resumedFrom
	}
	if o.Service != "" {
		a.upstream = w.platform.openUpstream(w, o)
	}
}

// usedCapacity returns the sum of the sizes of the running attempts; the caller holds mu.
func (w *worker) usedCapacity() document.Size {
	var s document.Size
	for _, a := range w.attempts {
		if a.isRunning() {
			s = s.Add(a.order.Size)
		}
	}
	return s
}

// stop executes a stop order, unless its epoch is superseded. If no start order for the attempt has arrived yet, the attempt
// is recorded as refused, so that it never starts.
func (w *worker) stop(o placement.StopOrder, now time.Time) placement.TaskReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := placement.TaskAttempt{Task: o.Task, Attempt: o.Attempt}
	a := w.attempts[o.Task]
	if a != nil && a.order.Attempt > o.Attempt {
		return placement.TaskReport{TaskAttempt: t, State: placement.TaskStopped}
	}
	if !w.acceptEpoch(o.Fence) {
		return placement.TaskReport{TaskAttempt: t, State: placement.TaskRunning, Reason: "the epoch is superseded"}
	}
	if a == nil || a.order.Attempt < o.Attempt {
		r := placement.TaskReport{TaskAttempt: t, State: placement.TaskRefused, Reason: "stopped before its start"}
		w.attempts[o.Task] = &attempt{order: placement.StartOrder{Task: o.Task, Attempt: o.Attempt}, report: r}
		return r
	}
	if a.isRunning() {
		w.terminate(a, placement.TaskStopped, now)
	}
	return a.report
}

// terminate moves a running attempt to a terminal state and checkpoints unfinished batch work; the caller holds mu.
func (w *worker) terminate(a *attempt, s placement.TaskState, now time.Time) {
	w.advance(a, now)
	a.report.State = s
	if a.order.Service == "" && s != placement.TaskFinished {
		a.report.Checkpoint = strconv.FormatInt(a.workDone.Milliseconds(), 10)
	}
	if a.upstream != nil {
		w.platform.drainUpstream(a.upstream)
	}
	w.platform.audit.onTerminate(a)
}

// advance adds the work that the attempt has done since the last call, at half speed if it is throttled; the caller holds mu.
func (w *worker) advance(a *attempt, now time.Time) {
	d := now.Sub(a.advancedAt)
	if a.throttled {
		d /= 2
	}
	a.workDone = min(a.workDone+d, a.totalWork)
	a.advancedAt = now
}

// tick measures slowdowns and adds the work done by the running attempts. It terminates attempts whose lease has expired,
// batch attempts whose work is done, and on a failing worker all batch attempts.
func (w *worker) tick(now time.Time, failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.measure(now)
	for _, a := range w.attempts {
		if !a.isRunning() {
			continue
		}
		w.advance(a, now)
		switch {
		case now.After(a.leaseUntil):
			w.terminate(a, placement.TaskStopped, now)
		case failing && a.order.Service == "":
			w.terminate(a, placement.TaskFailed, now)
		case a.order.Service == "" && a.workDone >= a.totalWork:
			w.terminate(a, placement.TaskFinished, now)
		}
	}
}

// sync executes a sync order: it forgets attempts, renews leases, throttles tasks and returns a report. If the epoch of the
// order is superseded, it only returns the highest known epoch.
func (w *worker) sync(o placement.SyncOrder) placement.WorkerReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.acceptEpoch(o.Fence)
	r := placement.WorkerReport{Worker: w.Name, Epoch: w.epochs[o.Shard]}
	if !current {
		return r
	}
	for _, t := range o.Forget {
		if a := w.attempts[t.Task]; a != nil && a.order.Attempt == t.Attempt && !a.isRunning() {
			delete(w.attempts, t.Task)
		}
	}
	r.SameRunning = w.runningDigest() == o.Running
	for _, a := range w.attempts {
		if a.isRunning() && o.LeaseUntil.After(a.leaseUntil) {
			a.leaseUntil = o.LeaseUntil
		}
		if !a.isRunning() || !r.SameRunning {
			r.Tasks = append(r.Tasks, a.report)
		}
		a.reported = !a.isRunning()
	}
	w.throttle(o.Throttle)
	r.Usage = w.laggedUsage(time.Now())
	return r
}

// runningDigest returns the digest of the attempts that are running or whose termination no report has shown yet; the caller
// holds mu.
func (w *worker) runningDigest() placement.Digest {
	var d placement.Digest
	for _, a := range w.attempts {
		if a.isRunning() || a.started && !a.reported {
			d = d.Add(a.report.TaskAttempt)
		}
	}
	return d
}

// throttle limits the named tasks to half speed and runs all others at full speed; the caller holds mu.
func (w *worker) throttle(names []string) {
	now := time.Now()
	for n, a := range w.attempts {
		if !a.isRunning() {
			continue
		}
		w.advance(a, now)
		a.throttled = slices.Contains(names, n)
	}
}

// measure records the slowdown of each replica, at most once per measureInterval; the caller holds mu.
func (w *worker) measure(now time.Time) {
	if len(w.usage) > 0 && now.Sub(w.usage[len(w.usage)-1].MeasuredAt) < measureInterval {
		return
	}
	for n, a := range w.attempts {
		if a.isRunning() && a.order.Service != "" {
			w.usage = append(w.usage, placement.Usage{Task: n, MeasuredAt: now, Slowdown: w.slowdownLocked(a.order.Service)})
		}
	}
	w.usage = w.usage[max(0, len(w.usage)-maxUsage):]
}

// laggedUsage returns the newest measurement of each replica that is at least usageLag old; the caller holds mu.
func (w *worker) laggedUsage(now time.Time) []placement.Usage {
	m := make(map[string]placement.Usage)
	for _, u := range w.usage {
		if now.Sub(u.MeasuredAt) >= usageLag {
			m[u.Task] = u
		}
	}
	return slices.Collect(maps.Values(m))
}

// actualRunTime returns the time that the task needs at full speed: half to twice the declared run time, chosen by a hash of
// the name of the task.
func (p *Platform) actualRunTime(o placement.StartOrder) time.Duration {
	permille := xxhash.Sum64String(o.Task) % 1000
	return o.RunTime/2 + o.RunTime*time.Duration(permille)*3/2000
}

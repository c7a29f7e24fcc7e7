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
	// measureEvery is the time between two measurements of a worker's replicas.
	measureEvery = 250 * time.Millisecond
	// usageLag is the age that a measurement has when it is reported.
	usageLag = time.Second
	// maxUsage bounds the measurements that a worker keeps.
	maxUsage = 512
)

// worker runs attempts under leases.
type worker struct {
	placement.Worker

	platform *Platform

	// mu guards the fields below.
	mu       sync.Mutex
	epochs   map[int]uint64
	attempts map[string]*attempt
	usage    []placement.Usage
}

// attempt is one attempt on a worker; it is kept after its end until it may be forgotten.
type attempt struct {
	order    placement.StartOrder
	report   placement.TaskReport
	lease    time.Time
	total    time.Duration
	from     time.Duration
	done     time.Duration
	advanced time.Time
	slow     bool
	// ran tells that the attempt was started, and told that a report has shown its end.
	ran      bool
	told     bool
	upstream *upstream
}

func (a *attempt) isRunning() bool { return a.report.State == placement.TaskRunning }

// fence accepts orders of the newest epoch of a shard; the caller holds mu.
func (w *worker) fence(f placement.Fence) bool {
	if f.Epoch < w.epochs[f.Shard] {
		return false
	}
	w.epochs[f.Shard] = f.Epoch
	return true
}

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
	a = &attempt{order: o, lease: o.LeaseUntil, advanced: now, report: placement.TaskReport{TaskAttempt: t}}
	w.attempts[o.Task] = a
	if r := w.refusal(o, now); r != "" {
		a.report.State, a.report.Reason = placement.TaskRefused, r
		return a.report
	}
	w.run(a, now)
	return a.report
}

// refusal tells why the attempt is not started, empty where it is; the caller holds mu.
func (w *worker) refusal(o placement.StartOrder, now time.Time) string {
	if !w.fence(o.Fence) {
		return "the epoch is superseded"
	}
	if !now.Before(o.StartBefore) {
		return "the start came after " + o.StartBefore.Format(time.RFC3339Nano)
	}
	if !w.used().Add(o.Size).Fits(w.Size) {
		w.platform.audit.onOvercommit(w.Name)
		return "the worker is full"
	}
	return ""
}

// run begins the attempt; the caller holds mu.
func (w *worker) run(a *attempt, now time.Time) {
	o := a.order
	w.platform.audit.onStart(o, w.FailureDomain, now)
	a.report.State = placement.TaskRunning
	a.ran = true
	a.total = w.platform.trueRunTime(o)
	if ms, err := strconv.ParseInt(o.Checkpoint, 10, 64); err == nil {
		a.from = time.Duration(ms) * time.Millisecond
		a.done = a.from
	}
	if o.Service != "" {
		a.upstream = w.platform.openUpstream(w, o)
	}
}

// used returns the size of the running attempts; the caller holds mu.
func (w *worker) used() document.Size {
	var s document.Size
	for _, a := range w.attempts {
		if a.isRunning() {
			s = s.Add(a.order.Size)
		}
	}
	return s
}

func (w *worker) stop(o placement.StopOrder, now time.Time) placement.TaskReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := placement.TaskAttempt{Task: o.Task, Attempt: o.Attempt}
	a := w.attempts[o.Task]
	if a != nil && a.order.Attempt > o.Attempt {
		return placement.TaskReport{TaskAttempt: t, State: placement.TaskStopped}
	}
	if !w.fence(o.Fence) {
		return placement.TaskReport{TaskAttempt: t, State: placement.TaskRunning, Reason: "the epoch is superseded"}
	}
	if a == nil || a.order.Attempt < o.Attempt {
		r := placement.TaskReport{TaskAttempt: t, State: placement.TaskRefused, Reason: "stopped before its start"}
		w.attempts[o.Task] = &attempt{order: placement.StartOrder{Task: o.Task, Attempt: o.Attempt}, report: r}
		return r
	}
	if a.isRunning() {
		w.end(a, placement.TaskStopped, now)
	}
	return a.report
}

// end finishes a running attempt and checkpoints batch work; the caller holds mu.
func (w *worker) end(a *attempt, s placement.TaskState, now time.Time) {
	w.advance(a, now)
	a.report.State = s
	if a.order.Service == "" && s != placement.TaskFinished {
		a.report.Checkpoint = strconv.FormatInt(a.done.Milliseconds(), 10)
	}
	if a.upstream != nil {
		w.platform.closeUpstream(a.upstream)
	}
	w.platform.audit.onEnd(a)
}

// advance adds the work done since the last call; the caller holds mu.
func (w *worker) advance(a *attempt, now time.Time) {
	d := now.Sub(a.advanced)
	if a.slow {
		d /= 2
	}
	a.done = min(a.done+d, a.total)
	a.advanced = now
}

// tick ends attempts whose work is done or whose lease has ended.
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
		case now.After(a.lease):
			w.end(a, placement.TaskStopped, now)
		case failing && a.order.Service == "":
			w.end(a, placement.TaskFailed, now)
		case a.order.Service == "" && a.done >= a.total:
			w.end(a, placement.TaskFinished, now)
		}
	}
}

func (w *worker) sync(o placement.SyncOrder) placement.WorkerReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.fence(o.Fence)
	r := placement.WorkerReport{Worker: w.Name, Epoch: w.epochs[o.Shard]}
	if !f {
		return r
	}
	for _, t := range o.Forget {
		if a := w.attempts[t.Task]; a != nil && a.order.Attempt == t.Attempt && !a.isRunning() {
			delete(w.attempts, t.Task)
		}
	}
	r.SameRunning = w.running() == o.Running
	for _, a := range w.attempts {
		if a.isRunning() && o.LeaseUntil.After(a.lease) {
			a.lease = o.LeaseUntil
		}
		if !a.isRunning() || !r.SameRunning {
			r.Tasks = append(r.Tasks, a.report)
		}
		a.told = !a.isRunning()
	}
	w.throttle(o.Throttle)
	r.Usage = w.lagging(time.Now())
	return r
}

// running returns the digest of the attempts that ran at the last report or began since; the caller holds mu.
func (w *worker) running() placement.Digest {
	var d placement.Digest
	for _, a := range w.attempts {
		if a.isRunning() || a.ran && !a.told {
			d = d.Add(a.report.TaskAttempt)
		}
	}
	return d
}

// throttle lets exactly the named tasks run at half speed; the caller holds mu.
func (w *worker) throttle(names []string) {
	now := time.Now()
	for n, a := range w.attempts {
		if !a.isRunning() {
			continue
		}
		w.advance(a, now)
		a.slow = slices.Contains(names, n)
	}
}

// measure notes the slowdown of each replica; the caller holds mu.
func (w *worker) measure(now time.Time) {
	if len(w.usage) > 0 && now.Sub(w.usage[len(w.usage)-1].MeasuredAt) < measureEvery {
		return
	}
	for n, a := range w.attempts {
		if a.isRunning() && a.order.Service != "" {
			w.usage = append(w.usage, placement.Usage{Task: n, MeasuredAt: now, Slowdown: w.slowdownOf(a.order.Service)})
		}
	}
	w.usage = w.usage[max(0, len(w.usage)-maxUsage):]
}

// lagging returns the newest measurement of each replica that is as old as the lag; the caller holds mu.
func (w *worker) lagging(now time.Time) []placement.Usage {
	m := make(map[string]placement.Usage)
	for _, u := range w.usage {
		if now.Sub(u.MeasuredAt) >= usageLag {
			m[u.Task] = u
		}
	}
	return slices.Collect(maps.Values(m))
}

// trueRunTime returns what the attempt's work really takes: half to twice the declared time.
func (p *Platform) trueRunTime(o placement.StartOrder) time.Duration {
	h := xxhash.Sum64String(o.Task) % 1000
	return o.RunTime/2 + o.RunTime*time.Duration(h)*3/2000
}

package dispatch

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

// WorkerInfo is an entry of the platform's list of workers.
type WorkerInfo struct {
	ID            string
	Address       string
	Pool          string
	FailureDomain string
	Labels        []string
	Capacity      jobs.Resources
	Draining      bool
	// Incarnation tells one incarnation of the worker from the next; it is 0 where the list does not say.
	Incarnation int64
}

// RunningAttempt is an attempt that a worker reports as present.
type RunningAttempt struct {
	jobs.Ref
	Run             int
	Checkpoint      string
	ProgressPercent int
	// Sample is the tail latency in milliseconds of a long-running task with a bound, else the thousandths of a core in use.
	Sample float64
}

// FinishedAttempt is an end that a worker reports until it is acknowledged.
type FinishedAttempt struct {
	jobs.Ref
	Number     int64
	Run        int
	Outcome    jobs.AttemptOutcome
	Checkpoint string
}

// Report is what a worker said of itself.
type Report struct {
	Worker      string
	Incarnation int64
	// RequestedAt is the instant at which the request left.
	RequestedAt time.Time
	Running     []RunningAttempt
	Finished    []FinishedAttempt
}

// phase is how far an attempt has come.
type phase uint8

const (
	// phasePlanned is not yet committed.
	phasePlanned phase = iota
	// phaseStarting has its start call under way.
	phaseStarting
	// phaseUncertain has a start call without an answer, or was found in the log by a new owner.
	phaseUncertain
	// phaseRunning was confirmed by the worker.
	phaseRunning
)

// attempt is an attempt that is out at a worker.
type attempt struct {
	job   *jobs.Job
	task  *jobs.Task
	run   int
	life  int64
	phase phase
	// inherited tells that an earlier owner sent the start.
	inherited bool
	// reported tells that the incarnation of the attempt listed it.
	reported    bool
	plannedAt   time.Time
	confirmedAt time.Time
	// stopping tells that the attempt shall end; stopSentAt and stopAnsweredAt belong to the latest stop call.
	stopping       bool
	stopSentAt     time.Time
	stopAnsweredAt time.Time
	// load and percent are the worker's latest figures, and loadAt their age.
	load    float64
	percent int
	loadAt  time.Time
	pace    int
	// slowSince is when the pace fell below slowPace.
	slowSince time.Time
	// progress is the percentage of its work that the task had reached at progressAt.
	progress   int
	progressAt time.Time
	// sensitivity and jobLoad are what knownBy holds of a long-running task; they are nil until they are asked for.
	knownBy     *pressure
	sensitivity *sensitivity
	jobLoad     *load
	// overSince is when the tail went over its bound, zero while it is below.
	overSince time.Time
}

// worker is what the planner knows of a worker.
type worker struct {
	WorkerInfo
	listed bool
	synced bool
	// fenced tells that the worker's incarnation has answered this owner, and so refuses earlier ones.
	fenced bool
	// barred tells that a record names the worker as silent, so that it is granted no lease.
	barred bool
	// cordoned tells that the worker is emptied for the maintenance of its instance.
	cordoned bool
	used     jobs.Resources
	attempts map[jobs.Ref]*attempt
	// list holds the attempts in the order in which they began.
	list []*attempt
	// expected is the processor time that the attempts are expected to use, and wanted what the best-effort images among
	// them would use at full pace, both in thousandths of a core; services are those with a bound.
	expected int
	wanted   []imageCPU
	services []*attempt
	// room holds, by best-effort image, what the plan of an instant found of its pressure on the services.
	room   map[string]float64
	roomAt time.Time
	// leaseUntil is the instant at which the last lease that any owner may have granted has surely ended.
	leaseUntil time.Time
	contactAt  time.Time
	askedAt    time.Time
	failures   int
	avoidUntil time.Time
	ackable    int64
	actedAt    time.Time
	strikes    int
	speed      speed
	pacedAt    time.Time
	learnedAt  time.Time
}

func (w *worker) free() jobs.Resources { return w.Capacity.Minus(w.used) }

func (w *worker) hasLabel(l string) bool { return l == "" || slices.Contains(w.Labels, l) }

func (w *worker) add(a *attempt) {
	clear(w.room)
	w.attempts[a.task.Ref] = a
	w.list = append(w.list, a)
	w.used = w.used.Plus(a.task.Spec.Reserved())
	w.expected += expectedUse(a.task.Spec)
	if a.task.Spec.BestEffort {
		w.wanted = addCPU(w.wanted, a.task.Spec.Image, float64(a.task.Spec.Size.MilliCPU))
	}
	if a.task.Spec.TailBound > 0 {
		w.services = append(w.services, a)
	}
}

func (w *worker) remove(a *attempt) {
	if w.attempts[a.task.Ref] != a {
		return
	}
	clear(w.room)
	delete(w.attempts, a.task.Ref)
	w.used = w.used.Minus(a.task.Spec.Reserved())
	w.expected -= expectedUse(a.task.Spec)
	w.list = slices.DeleteFunc(w.list, func(o *attempt) bool { return o == a })
	if a.task.Spec.BestEffort {
		w.wanted = addCPU(w.wanted, a.task.Spec.Image, -float64(a.task.Spec.Size.MilliCPU))
	}
	w.services = slices.DeleteFunc(w.services, func(o *attempt) bool { return o == a })
}

// isForgotten tells whether nothing is left that a worker that is gone is needed for.
func (w *worker) isForgotten() bool { return !w.listed && len(w.attempts) == 0 }

// imageCPU is the processor time of the tasks of one image, in thousandths of a core.
type imageCPU struct {
	image    string
	milliCPU float64
}

// addCPU adds to the processor time of an image; one that comes to nothing is dropped.
func addCPU(l []imageCPU, image string, milliCPU float64) []imageCPU {
	i := slices.IndexFunc(l, func(x imageCPU) bool { return x.image == image })
	if i < 0 {
		return append(l, imageCPU{image, milliCPU})
	}
	l[i].milliCPU += milliCPU
	if l[i].milliCPU == 0 {
		return slices.Delete(l, i, i+1)
	}
	return l
}

// part returns thousandths of a core as a part of the worker's processors.
func (w *worker) part(milliCPU float64) float64 {
	return milliCPU / float64(max(w.Capacity.MilliCPU, 1))
}

// isReachable tells whether the worker answered lately.
func (w *worker) isReachable(now time.Time) bool {
	return w.synced && !w.barred && w.failures == 0 && now.Sub(w.contactAt) < contactLimit
}

package dispatch

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/incarnation"
	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/lease"
)

// WorkerInfo is an entry of the platform's list of workers.
type WorkerInfo struct {
	ID            string
	Address       string
	Pool          string
	FailureDomain string
	Labels        []string
	Capacity      jobs.Resources
	// Draining means that the platform shuts the worker down. The worker gets no new tasks, and its long-running tasks are
	// moved once another worker has capacity.
	Draining bool
	// Incarnation differs for each incarnation of the worker, and is 0 if the list does not contain the incarnation.
	Incarnation int64
}

// RunningAttempt is an attempt that a worker reports as running.
type RunningAttempt struct {
	jobs.Ref
	// Run is the number of the attempt.
	Run             int
	Checkpoint      string
	ProgressPercent int
	// Sample is the tail latency in milliseconds of a long-running task with a latency bound, and the CPU use in
	// thousandths of a core of any other task.
	Sample float64
}

// FinishedAttempt is a finished attempt, which a worker reports until the owner acknowledges it.
type FinishedAttempt struct {
	jobs.Ref
	// Number is the sequence number of the finished attempt within the worker's incarnation.
	Number     int64
	Run        int
	Outcome    jobs.AttemptOutcome
	Checkpoint string
}

// Report is the response of a worker to a sync call.
type Report struct {
	Worker      string
	Incarnation int64
	// RequestedAt is when the sync call was sent.
	RequestedAt time.Time
	// Fence is the fencing token of the sync call, and LeaseCall the ID of the call if it granted a lease.
	Fence     int64
	LeaseCall uint64
	// OverlongLease means that the call granted a lease by the clock of an earlier incarnation than the one that responded, which
	// holds it for as long as it accepts.
	OverlongLease bool
	Running       []RunningAttempt
	Finished      []FinishedAttempt
	// MoreFinished means that the worker may have more finished attempts than Finished lists, which it does from the lowest number on.
	// How an attempt ended that is in neither list is then not known.
	MoreFinished bool
}

// phase is the state of an attempt in the planner.
type phase uint8

const (
	// phasePlanned means that the start is not committed yet.
	phasePlanned phase = iota
	// phaseStarting means that the start call is in flight.
	phaseStarting
	// phaseUncertain means that the start call got no response, or that an earlier owner planned the start.
	phaseUncertain
	// phaseRunning means that the worker confirmed the attempt, by accepting its start or by reporting it as running.
	phaseRunning
)

// attempt is an attempt that is assigned to a worker.
type attempt struct {
	job  *jobs.Job
	task *jobs.Task
	// run is the number of the attempt, and incarnation the incarnation of the worker for which the start was planned.
	run         int
	incarnation int64
	phase       phase
	// restored means that an earlier owner planned the start.
	restored bool
	// resumed means that the attempt began at a checkpoint.
	resumed bool
	// reported means that the worker has reported the attempt as running.
	reported  bool
	plannedAt time.Time
	// startableUntil is when the lease of a start without a response has certainly expired, so that the worker no longer executes it.
	startableUntil time.Time
	// sentAt is a time by which this owner had sent the start and before which its call had not ended, zero before that.
	sentAt time.Time
	// orderedAt is when the start was committed, and after which it was sent; it is zero for attempts of earlier owners.
	orderedAt time.Time
	// confirmedAt is when the attempt entered phaseRunning.
	confirmedAt time.Time
	// stopping means that the attempt is to be stopped; stopSentAt is when the latest stop call was sent, and stopAcceptedAt
	// when the worker first accepted a stop.
	stopping       bool
	stopSentAt     time.Time
	stopAcceptedAt time.Time
	// isolated means that the worker gets no other task until the attempt's task is cleared.
	isolated bool
	// overdue means that the task was placed although its expected speed was too low, since it had waited too long.
	overdue bool
	// sample and progressPercent are from the latest report of the worker, applied at sampledAt.
	sample          float64
	progressPercent int
	sampledAt       time.Time
	// speedPercent is the speed limit of a best-effort task in percent of its full speed, or unknownSpeed.
	speedPercent int
	// throttledSince is when the speed limit last fell from above relocationSpeedPercent to relocationSpeedPercent or less,
	// zero if it never did. It is not cleared when the limit rises again, and is used only while the limit is at or below
	// relocationSpeedPercent. Higher limits below fullSpeed do not set it.
	throttledSince time.Time
	// measuredPercent is the progress of the attempt that recordProgress last handled, at measuredAt. The progress that is
	// added to the rate of the step at the next report is the difference from measuredPercent.
	measuredPercent int
	measuredAt      time.Time
	// firstPercent is the progress in the first report that was measured, at firstMeasuredAt.
	firstPercent    int
	firstMeasuredAt time.Time
	// sensitivity and jobLoad cache the entries of cachedModel for the image and the job of a service; all three are nil until
	// first used.
	cachedModel *interferenceModel
	sensitivity *sensitivity
	jobLoad     *load
	// overBoundSince is when the tail latency last rose above its bound, zero while it is within the bound.
	overBoundSince time.Time
}

// worker is the state of a worker in the planner.
type worker struct {
	WorkerInfo
	// present tells which incarnation is the present one, whose number is Incarnation.
	present incarnation.Present
	// entryIncarnation is the incarnation in the latest applied entry of the list, 0 if that doesn't contain it. Such an entry counts
	// as one of an earlier incarnation before entryValidFrom.
	entryIncarnation int64
	entryValidFrom   time.Time
	// listed means that the platform lists the worker, and synced that the worker has responded to a sync call of this owner
	// since its incarnation began or, if it did not respond then, since its last lease expired.
	listed bool
	synced bool
	// fence is what the owner adds to its epoch in the fencing tokens of calls to the worker.
	fence int64
	// fenced means that the worker's incarnation has responded to this owner, and so refuses earlier owners.
	fenced bool
	// leaseWithheld means that a snapshot names the worker as unresponsive, so that the worker is granted no lease.
	leaseWithheld bool
	// leaseInherited means that the latest commit, or the one in progress, says that this owner has granted the worker no lease, so
	// that it is granted none.
	leaseInherited bool
	// takenDown means that the worker has ended with the maintenance of its instance.
	takenDown bool
	// isolated counts the isolated attempts of the worker; while there are any, it gets no other tasks.
	isolated int
	// reserved is the sum of the resources that the attempts reserve.
	reserved jobs.Resources
	// attempts holds the attempts by task, and attemptList in the order in which they were added.
	attempts    map[jobs.Ref]*attempt
	attemptList []*attempt
	// expectedMilliCPU is the expected CPU use of all attempts. bestEffortDemand is the CPU use of the best-effort attempts
	// at full speed, by image. services holds the attempts of services, which are tasks with a tail latency bound.
	expectedMilliCPU int
	// orphaned is the sum of the resources that orphans reserve by the latest report. Orphans of jobs that the planner does not
	// hold any more are not in it, since their sizes are not known.
	orphaned jobs.Resources
	// orphans holds what is in orphaned, and accounts is where the planner sums attempts and orphans by account.
	orphans  []orphan
	accounts *accounts
	// longRunningMilliCPU is the CPU that the long-running attempts reserve, in thousandths of a core.
	longRunningMilliCPU int
	bestEffortDemand    []imageCPU
	services            []*attempt
	// headroom caches, by best-effort image, the result of interferenceHeadroom for the plan made at headroomAt.
	headroom   map[string]float64
	headroomAt time.Time
	// leaseUntil is when the last lease that any owner may have granted has certainly expired.
	leaseUntil time.Time
	// calls holds the calls that may give the worker a longer lease than it was granted, and overlongUntil is when the lease has
	// certainly expired that such a call may have given it, zero if there is none.
	calls          lease.Calls
	overlongUntil  time.Time
	lastResponseAt time.Time
	// lastRequestedAt is the RequestedAt of the latest applied report.
	lastRequestedAt time.Time
	// moreFinished means that the worker may have finished attempts beyond those of the latest applied report.
	moreFinished bool
	// staleIncarnation is the incarnation in the latest response, if that may have come before the present one, so that the planner
	// ignored it, and 0 otherwise.
	staleIncarnation int64
	// failedCalls counts the calls without a response since the latest report, the first of them at silentSince.
	failedCalls int
	silentSince time.Time
	// brokenAt is when a connection to the worker last broke at the beginning of its silence.
	brokenAt time.Time
	// answersNoOrder means that a start at the worker got no response, and that no order has got one since.
	answersNoOrder bool
	// backoffUntil is the time before which the worker gets no new tasks, since it refused a start. avoidUntil is the time before
	// which it gets none for which there is another worker, since too many attempts in a row failed there.
	backoffUntil time.Time
	avoidUntil   time.Time
	// ackNumber is the highest sequence number of a finished attempt of this incarnation that was handled.
	ackNumber int64
	// orphanStopAt is when the stop of an orphan was last ordered. An orphan is an attempt that the worker reports as running
	// and that the planner does not hold.
	orphanStopAt time.Time
	// failedAttempts counts the failed attempts since the latest success. It stays below maxFailedAttempts, so that after a
	// backoff the next failure starts another backoff.
	failedAttempts int
	speed          speed
	// throttledAt is when a speed limit on the worker was last changed, and interferenceAt when the worker's samples were last
	// used for the interference model.
	throttledAt    time.Time
	interferenceAt time.Time
	// holdLoggedAt is when the attempts that are held at the worker were last logged.
	holdLoggedAt time.Time
}

// free returns the capacity that neither attempts nor orphans reserve; it is negative if the capacity has shrunk below that.
func (w *worker) free() jobs.Resources { return w.Capacity.Minus(w.reserved).Minus(w.orphaned) }

// isOvercommitted reports whether attempts and orphans reserve more than the capacity.
func (w *worker) isOvercommitted() bool { return !w.free().CanFit(jobs.Resources{}) }

// hasLabel reports whether the worker has a label; every worker has the empty label.
func (w *worker) hasLabel(l string) bool { return l == "" || slices.Contains(w.Labels, l) }

// orphan is an attempt that the worker reports as running and that the planner does not hold.
type orphan struct {
	ref  jobs.Ref
	job  *jobs.Job
	step *jobs.Step
}

// addOrphan records an orphan of the latest report.
func (w *worker) addOrphan(r jobs.Ref, j *jobs.Job, s *jobs.Step) {
	w.orphaned = w.orphaned.Plus(s.Reserved())
	w.orphans = append(w.orphans, orphan{r, j, s})
	w.accounts.add(j, s)
}

// hasOrphan reports whether an orphan of the latest report is a run of a task.
func (w *worker) hasOrphan(r jobs.Ref) bool {
	return slices.ContainsFunc(w.orphans, func(o orphan) bool { return o.ref == r })
}

// clearOrphans drops the orphans, since a later report tells them or they have certainly ended.
func (w *worker) clearOrphans() {
	for _, o := range w.orphans {
		w.accounts.remove(o.job, o.step)
	}
	w.orphaned, w.orphans = jobs.Resources{}, w.orphans[:0]
}

func (w *worker) add(a *attempt) {
	clear(w.headroom)
	w.accounts.add(a.job, a.task.Spec)
	w.attempts[a.task.Ref] = a
	w.attemptList = append(w.attemptList, a)
	w.reserved = w.reserved.Plus(a.task.Spec.Reserved())
	w.expectedMilliCPU += expectedMilliCPU(a.task.Spec)
	if a.task.Spec.LongRunning {
		w.longRunningMilliCPU += a.task.Spec.Size.MilliCPU
	}
	if a.task.Spec.BestEffort {
		w.bestEffortDemand = addCPU(w.bestEffortDemand, a.task.Spec.Image, float64(a.task.Spec.Size.MilliCPU))
	}
	if a.task.Spec.TailBound > 0 {
		w.services = append(w.services, a)
	}
}

func (w *worker) remove(a *attempt) {
	if w.attempts[a.task.Ref] != a {
		return
	}
	clear(w.headroom)
	w.accounts.remove(a.job, a.task.Spec)
	w.endIsolation(a)
	delete(w.attempts, a.task.Ref)
	w.reserved = w.reserved.Minus(a.task.Spec.Reserved())
	w.expectedMilliCPU -= expectedMilliCPU(a.task.Spec)
	if a.task.Spec.LongRunning {
		w.longRunningMilliCPU -= a.task.Spec.Size.MilliCPU
	}
	w.attemptList = slices.DeleteFunc(w.attemptList, func(o *attempt) bool { return o == a })
	if a.task.Spec.BestEffort {
		w.bestEffortDemand = addCPU(w.bestEffortDemand, a.task.Spec.Image, -float64(a.task.Spec.Size.MilliCPU))
	}
	w.services = slices.DeleteFunc(w.services, func(o *attempt) bool { return o == a })
}

// isUnresponsive reports whether the worker holds attempts and its latest unresponsiveCalls calls got no response, or the owner
// can't call it. A worker that left before the owner took over has no address.
func (w *worker) isUnresponsive() bool {
	return len(w.attempts) > 0 && (w.failedCalls >= unresponsiveCalls || w.Address == "")
}

// hasEntryOfEarlierIncarnation reports whether what the list says of the worker is of an earlier incarnation, or may be. The present one
// may have other labels, another pool and less capacity.
func (w *worker) hasEntryOfEarlierIncarnation(now time.Time) bool {
	if w.entryIncarnation == 0 {
		return now.Before(w.entryValidFrom)
	}
	return w.entryIncarnation != w.present.Number
}

// isRemovable reports whether the worker is unlisted, holds no attempts, and may be granted a lease if it is listed again.
func (w *worker) isRemovable() bool {
	return !w.listed && len(w.attempts) == 0 && !w.leaseWithheld && !w.leaseInherited
}

// imageCPU is the CPU use of the tasks of one image, in thousandths of a core.
type imageCPU struct {
	image    string
	milliCPU float64
}

// addCPU adds to the CPU use of an image, and drops the image when the sum is 0.
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

// fraction returns thousandths of a core as a fraction of the worker's CPU capacity.
func (w *worker) fraction(milliCPU float64) float64 {
	return milliCPU / float64(max(w.Capacity.MilliCPU, 1))
}

// isConfirmed reports whether the worker has responded to this owner, or holds attempts of an earlier one. An entry of another writer
// may name a worker that does not exist.
func (w *worker) isConfirmed() bool { return !w.lastResponseAt.IsZero() || len(w.attempts) > 0 }

// isReachable reports whether the worker is responding and may be granted a lease.
func (w *worker) isReachable(now time.Time) bool { return !w.leaseWithheld && w.isResponding(now) }

// isResponding reports whether the worker responded to its latest call, less than maxResponseAge ago.
func (w *worker) isResponding(now time.Time) bool {
	return w.synced && w.failedCalls == 0 && now.Sub(w.lastResponseAt) < maxResponseAge
}

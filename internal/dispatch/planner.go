package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/locality"
	"currantknot.dev/currantknot/internal/runtimes"
)

const (
	// maxResponseAge is the age of a worker's last response from which the worker counts as unreachable and gets no new tasks.
	maxResponseAge = 3 * time.Second
	// leaseMargin is the maximum time that a call with a lease spends on the network.
	leaseMargin = 300 * time.Millisecond
	// maxPlanAge is the maximum age of a planned start at its commit; an older start is dropped instead of sent.
	maxPlanAge = time.Second
	// stopRetryInterval is the least time between two stop calls for the same attempt, and between two stops of orphans on
	// the same worker.
	stopRetryInterval = 700 * time.Millisecond
)

// ClockDriftFactor is the maximum ratio of a duration by the clock of one instance to the same duration by that of another
// instance or of a worker.
const ClockDriftFactor = 1.025

// Config holds the settings of a planner.
type Config struct {
	// Epoch is the highest fencing token of the owner, from NextEpoch.
	Epoch int64
	// Lease is the duration of each lease that a worker is granted.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts, however long the one that it is granted.
	MaxLease time.Duration
	// StoreLossGrace is the longest time after the start of its latest commit in which an owner grants leases.
	StoreLossGrace time.Duration
	// LastCommitAt is the time by which the latest commit of an earlier owner was certainly first sent; if it is zero, that is the
	// takeover.
	LastCommitAt time.Time
	// GrantsEndedAt is the time from which on the latest owner certainly granted no lease, since its process had ended; it is zero if
	// that is not known. The latest commit names the workers to which only earlier owners may have granted one.
	GrantsEndedAt time.Time
	// MaintenanceDelay is the time after a takeover in which no maintenance is ordered, so that orders of two owners do not
	// overlap.
	MaintenanceDelay time.Duration
	StartBounds      StartBounds
	// WorkersRestart means that workers start again under their IDs. Without it the owner learns it from the first worker that does.
	WorkersRestart bool
	// OffRackFactor is the factor by which a task takes longer outside the rack of its data or its gang, 0 if it is not known.
	OffRackFactor locality.Factor
	Logger        zerolog.Logger
}

// Planner schedules the jobs of one owner on the workers.
type Planner struct {
	Config
	// workers holds the workers by ID, and workerList sorted by ID, so that the same events lead to the same decisions.
	workers    map[string]*worker
	workerList []*worker
	// highestFence is the highest fence of any worker so far. Workers that are added begin with it, since they may have been dropped.
	highestFence int64
	// jobs holds all jobs by ID, active those that are not terminal or have assigned attempts, and dirty those with
	// uncommitted changes.
	jobs   map[string]*jobs.Job
	active map[string]*jobs.Job
	// aside holds the IDs of the jobs that are set aside.
	aside map[string]bool
	// drainedDomains holds the failure domains that operators drained. Workers there get no new tasks, but keep all tasks that
	// they run. Draining workers, in contrast, lose their long-running tasks, and cordoned workers also those with checkpoints.
	drainedDomains map[string]bool
	// views tells as of when the planner knows what starts depend on.
	views Views
	// startsUntil is the time by which starts that rest on the views must be sent, zero if there is no bound; startsHeld means that
	// it had passed when the views were last set.
	startsUntil time.Time
	startsHeld  bool
	dirty       map[string]*jobs.Job
	// schedulable holds the workers that may get tasks in the current plan. unplaceable holds, by class, the Size of the
	// smallest best-effort task for which the plan found no worker.
	schedulable []*worker
	unplaceable map[placementClass]jobs.Resources
	accounts    *accounts
	// ratings is a buffer for the ratings of one step, reused for every step.
	ratings      []rating
	orders       []Order
	takeoverAt   time.Time
	runTimes     *runtimes.Estimator
	interference *interferenceModel
	reserve      reserve
	reservations reservations
	waits        waitTracker
	overdue      overdueBudget
	racks        rackWaits
	// advice holds what the placement advisor said about each step, adviceRequests what the current plan wants to ask, and
	// adviceCalls limits the requests in flight.
	advice         map[StepRef]*advice
	adviceRequests []adviceRequest
	adviceCalls    adviceCalls
	// waves holds the maintenance waves by number, and instances the platform's list of instances by ID.
	waves     map[int]*waveState
	instances map[string]Instance
	// instancesAt is as of when the planner knows the list of instances, and absences holds, by instance ID, how many lists in a row
	// have left out an instance of a wave.
	instancesAt time.Time
	absences    map[string]int
	// cordons holds, by ID, the workers that get no new tasks since their instances are due for maintenance. updateCordons derives it
	// from the waves. It is independent of Draining and of the drained failure domains.
	cordons map[string]*maintenance
	// maintenanceChanged means that a maintenance has changed since the latest snapshot was prepared.
	maintenanceChanged bool
	// maintained holds, by wave number, the instances whose maintenance is complete.
	maintained map[int][]string
	// overlongChanged means that a lease has become overlong since the latest snapshot was prepared.
	overlongChanged bool
	// snapshotsReduced means that snapshots have no learned estimates.
	snapshotsReduced bool
	// unresponsive holds, by worker ID, the remaining milliseconds of the leases of the unresponsive workers in the latest
	// snapshot. unresponsiveChanged means that these workers have changed, so that a new snapshot is due.
	unresponsive        map[string]int64
	unresponsiveChanged bool
	// inherited holds the latest result of InheritedLeases.
	inherited     map[string]int64
	isolation     isolation
	interruptions interruptions
	exclusions    exclusionWatch
	// bindings holds the workers to which tasks are bound since a start there got no response.
	bindings map[jobs.Ref]binding
	// lateStarts holds, by task, until when starts of earlier owners may be executed, as far as the snapshot tells.
	lateStarts map[jobs.Ref]lateStart
	// releasedEnds holds, by task, the number of a released attempt that succeeded, until no later attempt is assigned.
	releasedEnds map[jobs.Ref]int
	// recentLosses holds the losses of workers with attempts, by worker ID and for lossRetention, and counts the events since
	// TakeCounts.
	recentLosses map[string]loss
	counts       Counts
	// relocatedAt is when a plan last looked for tasks to relocate.
	relocatedAt time.Time
	// progressRates holds the progress rate of the tasks of each step.
	progressRates map[StepRef]*progressRate
	// medianSpeed is the median of the known worker speeds, as returned by speed.ratio.
	medianSpeed   float64
	modelLoggedAt time.Time
	// waiting counts the ready tasks that the latest plan did not place.
	waiting int
}

// New returns a planner whose owner took over at the given time.
func New(c Config, now time.Time) *Planner {
	if c.LastCommitAt.IsZero() {
		c.LastCommitAt = now
	}
	return &Planner{
		Config: c, takeoverAt: now,
		workers: make(map[string]*worker), jobs: make(map[string]*jobs.Job), active: make(map[string]*jobs.Job),
		drainedDomains: make(map[string]bool), dirty: make(map[string]*jobs.Job),
		accounts: newAccounts(),
		waits:    newWaitTracker(), racks: newRackWaits(), overdue: overdueBudget{jobs: make(map[string]bool)}, runTimes: runtimes.New(), interference: newInterferenceModel(), advice: make(map[StepRef]*advice), progressRates: make(map[StepRef]*progressRate),
		reservations: newReservations(), waves: make(map[int]*waveState), cordons: make(map[string]*maintenance), maintained: make(map[int][]string),
		aside: make(map[string]bool), lateStarts: make(map[jobs.Ref]lateStart), releasedEnds: make(map[jobs.Ref]int), recentLosses: make(map[string]loss), isolation: newIsolation(), interruptions: newInterruptions(), exclusions: newExclusionWatch(), bindings: make(map[jobs.Ref]binding),
	}
}

// AddJob adds a job. Any assigned attempts of the job were planned by an earlier owner, so that their state is uncertain.
func (p *Planner) AddJob(j *jobs.Job, now time.Time) {
	if p.jobs[j.ID] != nil {
		return
	}
	p.jobs[j.ID] = j
	p.accounts.addJob(j)
	if !j.IsTerminal() || j.Assigned() > 0 {
		p.active[j.ID] = j
	}
	j.ForEachSuspicion(func(t *jobs.Task) {
		p.isolation.restoreDelay(t, now)
		for _, l := range t.Suspicion.Each {
			p.isolation.addLoss(t, l.Worker)
		}
	})
	j.ForEachAssigned(func(t *jobs.Task) {
		w := p.worker(t.Worker)
		a := &attempt{job: j, task: t, run: t.Run, incarnation: t.Incarnation, phase: phaseUncertain, restored: true, plannedAt: now, speedPercent: unknownSpeed}
		w.add(a)
		p.inheritCalls(w, t.Incarnation)
		if t.Suspicion.IsSuspect() {
			w.isolate(a)
		}
	})
	if j.IsTerminal() {
		p.stopAll(j, "job finished", now)
	}
}

// Job returns the job with the given ID, or nil if there is none.
func (p *Planner) Job(id string) *jobs.Job { return p.jobs[id] }

// RemoveJob drops a finished job that has no assigned attempts, and reports whether the planner no longer holds the job.
func (p *Planner) RemoveJob(id string) bool {
	j := p.jobs[id]
	if j == nil {
		return true
	}
	if !j.IsTerminal() || j.Assigned() > 0 {
		return false
	}
	delete(p.jobs, id)
	p.removeAdvice(j)
	p.accounts.removeJob(id)
	delete(p.active, id)
	return true
}

// Cancel cancels a job on request of its caller and stops its attempts.
func (p *Planner) Cancel(id string, now time.Time) {
	j := p.jobs[id]
	if j == nil || j.IsTerminal() {
		return
	}
	j.Cancel()
	p.dirty[id] = j
	p.Logger.Info().Str("Job", id).Str("Decision", "Cancel").Int("Attempts", j.Assigned()).Msg("job cancelled by its caller")
	p.stopAll(j, "cancelled", now)
}

// stopAll stops all attempts of a job.
func (p *Planner) stopAll(j *jobs.Job, reason string, now time.Time) {
	j.ForEachAssigned(func(t *jobs.Task) {
		w := p.workers[t.Worker]
		if w == nil || w.attempts[t.Ref] == nil {
			return
		}
		p.stop(w, w.attempts[t.Ref], reason, now)
	})
}

// stop marks an attempt as stopping and orders its stop. A start that is not committed yet needs no order, because
// confirmStart drops it.
func (p *Planner) stop(w *worker, a *attempt, reason string, now time.Time) {
	if a.stopping {
		return
	}
	a.stopping = true
	p.Logger.Info().Str("Task", a.task.String()).Int("Run", a.run).Str("Worker", w.ID).Str("Decision", "Stop").Str("Reason", reason).Msg("stopping attempt")
	p.sendStop(w, a, now)
}

func (p *Planner) sendStop(w *worker, a *attempt, now time.Time) {
	if a.phase == phasePlanned || w.Address == "" {
		return
	}
	a.stopSentAt = now
	p.orders = append(p.orders, Order{Ref: a.task.Ref, Kind: OrderStop, Run: a.run, Worker: w.ID, Address: w.Address, Incarnation: w.Incarnation})
}

// SetDrainedDomains sets the failure domains that operators drained: their workers get no new tasks, but keep the
// tasks that they run.
func (p *Planner) SetDrainedDomains(domains map[string]bool) { p.drainedDomains = domains }

// release removes an attempt that is known not to run now or later, so that the task waits for a worker again.
func (p *Planner) release(w *worker, a *attempt, reason string, now time.Time) {
	w.remove(a)
	a.job.Release(a.task)
	p.completeReleased(a.job, a.task)
	p.dirty[a.job.ID] = a.job
	p.Logger.Info().Str("Task", a.task.String()).Int("Run", a.run).Str("Worker", w.ID).Str("Decision", "Release").Str("Reason", reason).Dur("HeldFor", p.heldFor(w, now)).Dur("RanFor", w.provenRun(a)).Msg("attempt released")
}

// SyncFailed records that a worker did not respond to a sync call, and releases its attempts if it was replaced. broken means
// that the call failed before its deadline.
func (p *Planner) SyncFailed(id string, broken bool, now time.Time) {
	w := p.workers[id]
	if w == nil {
		return
	}
	w.recordFailedCall(broken, now)
	if len(w.attempts) > 0 && p.isReplaced(w, now) {
		p.recordLoss(w, lossReplaced, now)
		p.releaseLost(w, "a later worker responds at its address", now)
	}
}

// TakeChanges returns the jobs to commit and the orders to execute after the commit, and clears both.
func (p *Planner) TakeChanges() ([]*jobs.Job, []Order) {
	d := make([]*jobs.Job, 0, len(p.dirty))
	for _, j := range p.dirty {
		d = append(d, j)
	}
	o := p.orders
	p.orders = nil
	clear(p.dirty)
	return d, o
}

// OrdersCommitted records that orders were committed, and returns those that are still to be executed. It releases the
// attempts of starts that are out of date by the present views.
func (p *Planner) OrdersCommitted(l []Order, now time.Time) []Order {
	r := l[:0]
	for _, o := range l {
		if o.Kind == OrderStart {
			if !p.confirmStart(o, now) {
				continue
			}
			o.SendBefore = p.startsUntil
		}
		r = append(r, o)
	}
	return r
}

// confirmStart marks the attempt of a committed start as starting and returns true. If the start is out of date, it
// releases the attempt and returns false.
func (p *Planner) confirmStart(o Order, now time.Time) bool {
	w := p.workers[o.Worker]
	if w == nil {
		return false
	}
	a := w.attempts[o.Ref]
	if a == nil || a.run != o.Run || a.phase != phasePlanned {
		return false
	}
	if p.isOutdated(w, a, now) {
		p.dropStart(w, a, "plan is out of date", now)
		return false
	}
	a.phase, a.sentAt, a.orderedAt = phaseStarting, now, now
	return true
}

// isOutdated reports whether a planned start must not be sent, because of its age or of what became known since it was planned.
func (p *Planner) isOutdated(w *worker, a *attempt, now time.Time) bool {
	return a.stopping || now.Sub(a.plannedAt) > maxPlanAge || a.incarnation != w.Incarnation || w.isOvercommitted() || p.accounts.isOverCap(a.job) || p.viewExclusion(w, now) != notExcluded
}

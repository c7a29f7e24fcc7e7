package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/jobs"
)

const (
	// contactLimit is the age of the last answer beyond which a worker gets no new tasks.
	contactLimit = 3 * time.Second
	// clockSlack is the factor by which a worker's clock may be slow.
	clockSlack = 1.025
	// leaseMargin covers the time in which a call travels.
	leaseMargin = 300 * time.Millisecond
	// planLimit is the age beyond which a plan that was held up by its commit is not carried out.
	planLimit = time.Second
	// stopEvery is the time between two stops of the same attempt.
	stopEvery = 700 * time.Millisecond
)

// Config is what the planner has to know of its surroundings.
type Config struct {
	// Lease is the longest lease that a worker is granted.
	Lease time.Duration
	// StoreLossGrace is the longest time for which an owner grants leases without word from the store.
	StoreLossGrace time.Duration
	// MaintenanceDelay is the time after a takeover in which no instance is ordered, so that orders of two owners do not mix.
	MaintenanceDelay time.Duration
	Logger           zerolog.Logger
}

// Planner decides for all jobs and workers of one owner.
type Planner struct {
	Config
	workers map[string]*worker
	// list holds the workers in the order of their identities, so that the same events lead to the same decisions.
	list        []*worker
	jobs        map[string]*jobs.Job
	active      map[string]*jobs.Job
	unavailable map[string]bool
	dirty       map[string]*jobs.Job
	// open holds the workers that may get tasks in the present plan, and full what found no room in it.
	open []*worker
	full map[fullKey]jobs.Resources
	// ratings is the room for the ratings of one step, used again and again.
	ratings   []rating
	orders    []Order
	takenAt   time.Time
	learned   *estimates
	pressure  *pressure
	reserve   reserve
	waits     waits
	advice    map[StepRef]*advice
	waves     map[int]*waveState
	instances map[string]Instance
	// maintained holds the instances of each wave whose maintenance is over.
	maintained map[int][]string
	// silent holds the workers of the latest record of what was learned, and silentChanged that the next one is due.
	silent        map[string]int64
	silentChanged bool
	relocatedAt   time.Time
	// rates holds how fast the tasks of each step progress.
	rates map[StepRef]*rate
	// usualSpeed is the speed of the worker in the middle.
	usualSpeed    float64
	modelLoggedAt time.Time
}

// New returns a planner that took over at the given instant.
func New(c Config, now time.Time) *Planner {
	return &Planner{
		Config: c, takenAt: now,
		workers: make(map[string]*worker), jobs: make(map[string]*jobs.Job), active: make(map[string]*jobs.Job),
		unavailable: make(map[string]bool), dirty: make(map[string]*jobs.Job),
		waits: newWaits(), learned: newEstimates(), pressure: newPressure(), advice: make(map[StepRef]*advice), rates: make(map[StepRef]*rate),
		waves: make(map[int]*waveState), maintained: make(map[int][]string),
	}
}

// AddJob takes in a job; attempts that are out belong to an earlier owner and are uncertain.
func (p *Planner) AddJob(j *jobs.Job, now time.Time) {
	if p.jobs[j.ID] != nil {
		return
	}
	p.jobs[j.ID] = j
	if !j.IsTerminal() || j.Assigned() > 0 {
		p.active[j.ID] = j
	}
	j.ForEachAssigned(func(t *jobs.Task) {
		w := p.worker(t.Worker)
		w.add(&attempt{job: j, task: t, run: t.Run, life: t.Incarnation, phase: phaseUncertain, inherited: true, plannedAt: now, pace: unknownPace})
	})
	if j.IsTerminal() {
		p.stopAll(j, "its job is over", now)
	}
}

// Job returns a job of the planner, nil where there is none.
func (p *Planner) Job(id string) *jobs.Job { return p.jobs[id] }

// Forget drops a job that is over, and tells whether nothing of it is left at any worker.
func (p *Planner) Forget(id string) bool {
	j := p.jobs[id]
	if j == nil {
		return true
	}
	if !j.IsTerminal() || j.Assigned() > 0 {
		return false
	}
	delete(p.jobs, id)
	delete(p.active, id)
	return true
}

// Cancel ends a job for its caller.
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

// stopAll stops the attempts of a job.
func (p *Planner) stopAll(j *jobs.Job, reason string, now time.Time) {
	j.ForEachAssigned(func(t *jobs.Task) {
		w := p.workers[t.Worker]
		if w == nil || w.attempts[t.Ref] == nil {
			return
		}
		p.stop(w, w.attempts[t.Ref], reason, now)
	})
}

// stop orders an attempt to end; an attempt whose start has not left yet is taken back at once.
func (p *Planner) stop(w *worker, a *attempt, reason string, now time.Time) {
	if a.stopping {
		return
	}
	a.stopping = true
	p.Logger.Info().Str("Task", a.task.String()).Int("Run", a.run).Str("Worker", w.ID).Str("Decision", "Stop").Str("Reason", reason).Msg("attempt shall end")
	p.sendStop(w, a, now)
}

func (p *Planner) sendStop(w *worker, a *attempt, now time.Time) {
	if a.phase == phasePlanned || w.Address == "" {
		return
	}
	a.stopSentAt = now
	p.orders = append(p.orders, Order{Ref: a.task.Ref, Kind: OrderStop, Run: a.run, Worker: w.ID, Address: w.Address})
}

// SetDrainedDomains names the failure domains whose workers get no new tasks.
func (p *Planner) SetDrainedDomains(domains map[string]bool) { p.unavailable = domains }

func (p *Planner) worker(id string) *worker {
	w := p.workers[id]
	if w == nil {
		w = &worker{WorkerInfo: WorkerInfo{ID: id}, attempts: make(map[jobs.Ref]*attempt), room: make(map[string]float64)}
		w.leaseUntil = p.leaseEnd(p.takenAt.Add(p.StoreLossGrace))
		p.workers[id] = w
		n, _ := slices.BinarySearchFunc(p.list, id, func(o *worker, id string) int { return cmp.Compare(o.ID, id) })
		p.list = slices.Insert(p.list, n, w)
	}
	return w
}

// SetWorkers takes the platform's list of workers.
func (p *Planner) SetWorkers(l []WorkerInfo, now time.Time) {
	seen := make(map[string]bool, len(l))
	for _, m := range l {
		seen[m.ID] = true
		p.setMember(m, now)
	}
	for _, w := range p.list {
		if seen[w.ID] || !w.listed {
			continue
		}
		w.listed = false
		p.Logger.Info().Str("Worker", w.ID).Str("Decision", "WorkerUnlisted").Int("Attempts", len(w.attempts)).Msg("worker left the list")
	}
}

func (p *Planner) setMember(m WorkerInfo, now time.Time) {
	w := p.worker(m.ID)
	if m.Incarnation != 0 && w.Incarnation != 0 && m.Incarnation != w.Incarnation && m.Incarnation > w.Incarnation {
		p.newLife(w, m.Incarnation, now)
	}
	life := max(w.Incarnation, m.Incarnation)
	if !w.listed || w.Draining != m.Draining {
		p.Logger.Info().Str("Worker", m.ID).Str("Decision", "WorkerListed").Bool("Draining", m.Draining).Str("FailureDomain", m.FailureDomain).Int64("Life", life).Msg("worker is listed")
	}
	w.WorkerInfo = m
	w.Incarnation = life
	w.listed = true
}

// newLife ends the attempts that the worker's earlier incarnation reported; the start of any other may have reached the
// new one, or still will, since both have the same identity.
func (p *Planner) newLife(w *worker, life int64, now time.Time) {
	p.Logger.Info().Str("Worker", w.ID).Int64("Life", life).Str("Decision", "WorkerReborn").Int("Attempts", len(w.attempts)).Msg("worker began a new life")
	w.Incarnation = life
	w.synced, w.fenced = false, false
	w.ackable = 0
	for _, a := range slices.Clone(w.list) {
		if a.life == life {
			continue
		}
		if a.reported {
			p.release(w, a, "worker began a new life")
			continue
		}
		p.stop(w, a, "start of an earlier life", now)
	}
}

// release takes back an attempt that surely does not run.
func (p *Planner) release(w *worker, a *attempt, reason string) {
	w.remove(a)
	a.job.Release(a.task)
	p.dirty[a.job.ID] = a.job
	p.Logger.Info().Str("Task", a.task.String()).Int("Run", a.run).Str("Worker", w.ID).Str("Decision", "Release").Str("Reason", reason).Msg("attempt taken back")
}

// LeaseGranted notes that a lease was sent to a worker.
func (p *Planner) LeaseGranted(id string, now time.Time) {
	w := p.workers[id]
	if w == nil {
		return
	}
	if u := p.leaseEnd(now); u.After(w.leaseUntil) {
		w.leaseUntil = u
	}
}

// leaseEnd returns the instant at which a lease that was granted up to now has surely ended.
func (p *Planner) leaseEnd(now time.Time) time.Time {
	return now.Add(time.Duration(float64(p.Lease)*clockSlack) + leaseMargin)
}

// SyncFailed notes that a worker did not answer.
func (p *Planner) SyncFailed(id string) {
	if w := p.workers[id]; w != nil {
		w.failures++
	}
}

// ExpireLeases takes back the attempts of workers whose leases have ended, and forgets workers that are gone.
func (p *Planner) ExpireLeases(now time.Time) {
	for _, w := range p.list {
		if w.isReachable(now) || now.Before(w.leaseUntil) {
			continue
		}
		for _, a := range slices.Clone(w.list) {
			if a.phase != phasePlanned {
				p.release(w, a, "the worker's lease has ended")
			}
		}
		w.synced = false
		if w.isForgotten() {
			delete(p.workers, w.ID)
		}
	}
	p.list = slices.DeleteFunc(p.list, func(w *worker) bool { return p.workers[w.ID] != w })
}

// TakeChanges returns the jobs to commit and the orders to carry out after that.
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

// SyncTargets lists the workers to keep in touch with.
func (p *Planner) SyncTargets() []WorkerInfo {
	l := make([]WorkerInfo, 0, len(p.workers))
	for _, w := range p.list {
		if w.Address != "" && (w.listed || len(w.attempts) > 0) {
			l = append(l, w.WorkerInfo)
		}
	}
	return l
}

// Acknowledged returns the number up to which the ends of a worker's life were taken in.
func (p *Planner) Acknowledged(id string) (life, number int64) {
	w := p.workers[id]
	if w == nil {
		return 0, 0
	}
	return w.Incarnation, w.ackable
}

// NeedsLease tells whether a worker runs anything that has to go on.
func (p *Planner) NeedsLease(id string) bool {
	w := p.workers[id]
	return w != nil && len(w.attempts) > 0 && !w.barred
}

// OrdersCommitted returns those of the orders that are still right after their commit; the attempts of the others are taken back.
func (p *Planner) OrdersCommitted(l []Order, now time.Time) []Order {
	r := l[:0]
	for _, o := range l {
		if o.Kind != OrderStart || p.confirm(o, now) {
			r = append(r, o)
		}
	}
	return r
}

// confirm tells whether a start is still to be sent.
func (p *Planner) confirm(o Order, now time.Time) bool {
	w := p.workers[o.Worker]
	if w == nil {
		return false
	}
	a := w.attempts[o.Ref]
	if a == nil || a.run != o.Run || a.phase != phasePlanned {
		return false
	}
	if a.stopping || now.Sub(a.plannedAt) > planLimit || a.life != w.Incarnation {
		p.release(w, a, "the plan is out of date")
		p.stopGang(a, "another member of the gang was not started", now)
		p.settle(a.job, now)
		return false
	}
	a.phase = phaseStarting
	return true
}

package placement

import (
	"maps"
	"slices"
	"sync"
	"time"

	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/record"
	"currantknot.dev/currantknot/pkg/document"
)

// Limits holds the time bounds that the guarantees of placement depend on.
type Limits struct {
	// MaxStaleness bounds the age of the document and of the epoch's confirmation when an attempt is proposed and when its
	// start order is sent.
	MaxStaleness time.Duration
	// StartTimeout is the time from the proposal of an attempt to the instant from which a worker refuses to start it.
	StartTimeout time.Duration
	// Lease is the time from Clock.LeaseAt to the expiry of the leases that the owner grants.
	Lease time.Duration
	// Skew bounds the difference between the clocks of instances and workers.
	Skew time.Duration
	// SyncInterval is the time between two sync orders to a worker.
	SyncInterval time.Duration
	// OrderTimeout is the time after which a start or stop order without a response is sent again.
	OrderTimeout time.Duration
}

// DefaultLimits returns limits under which no task starts later than 3 s after an edit of the document that forbids it.
func DefaultLimits() Limits {
	return Limits{
		MaxStaleness: time.Second,
		StartTimeout: 1500 * time.Millisecond,
		Lease:        30 * time.Second,
		Skew:         250 * time.Millisecond,
		SyncInterval: time.Second,
		OrderTimeout: time.Second,
	}
}

// Decision explains one placement decision.
type Decision struct {
	// At is the time of the decision, zero if it is not recorded.
	At time.Time
	// Kind names the action, such as Bind, Evict or Throttle.
	Kind string
	// Task is the name of a task, or the name of a group if the decision concerns all tasks of the group on the worker.
	// Attempt is 0 in the second case.
	Task    string
	Attempt int
	Worker  string
	// Domain is the failure domain of the worker.
	Domain string
	Reason string
	// Rejected describes the alternatives that were not chosen.
	Rejected string
}

// Clock holds the instants that a decision is based on.
type Clock struct {
	Now time.Time
	// ShardAt is an instant at which the shard's state reflected all accepted records.
	ShardAt time.Time
	// LeaseAt is an instant at which no other instance can have owned the shard; it is not before ShardAt.
	LeaseAt time.Time
	// DocumentAt is an instant at which the document reflected all accepted edits.
	DocumentAt time.Time
}

// Owner drives one shard.
type Owner struct {
	// Number is the number of the shard.
	Number int
	// Instance identifies the instance that this Owner runs on. IsOwner reports whether that instance owns the shard.
	Instance string
	Limits   Limits
	Policy   Policy

	// mu guards the fields below.
	mu    sync.Mutex
	shard *Shard
	view  *docstore.View
	// tasks, groups and workers are the in-memory tables, by name.
	tasks   map[string]*task
	groups  map[string]*group
	workers map[string]*worker
	// needsOrder holds the committed tasks that may need a start or stop order: those that are not known to run or that
	// must stop.
	needsOrder map[string]*task
	// reservations holds, by the name of a waiting task, the capacity that evictions free for that task.
	reservations map[string]reservation
	// interference holds the learned estimates of how jobs slow services.
	interference *interference
	// removedSince holds the time at which each group with finished tasks was first found missing from the document.
	removedSince map[string]time.Time
	// inService (by failure domain) and quotas (by team) are derived from the document; quotas are scaled to one shard.
	inService map[string]bool
	quotas    map[string]document.Size
	// epoch is the latest epoch that adoptEpoch has handled.
	epoch uint64
	// decisions holds the decisions since the last call of TakeDecisions.
	decisions []Decision
}

// task is the state of one task that the owner keeps in memory only.
type task struct {
	spec *Spec
	name string
	// queuedAt is the time since which the task has waited, or had waited before its current attempt.
	queuedAt time.Time
	// notBefore is the earliest time of the next attempt after a failure.
	notBefore time.Time
	// queued means that the task is in its group's queue.
	queued bool
	// worker, size and startBefore belong to the current attempt; worker is empty while the task waits.
	worker      string
	size        document.Size
	startBefore time.Time
	// running means that the worker has reported the current attempt as running.
	running bool
	// stopReason is the reason why the current attempt must stop, empty if it need not.
	stopReason record.ReleaseReason
	// proposedAttempt is the number of the attempt that a proposed record binds, releases or finishes, 0 if no such
	// record waits to be read back.
	proposedAttempt int
	// sentAt is the time at which the order in flight was sent, zero if there is none.
	sentAt time.Time
	// slowdown is the latest measured slowdown of a replica of a service, and measuredAt the instant of the measurement.
	slowdown   float64
	measuredAt time.Time
}

// group holds the waiting tasks of one spec.
//
// Tasks that have not yet been considered for placement are not stored one by one.
type group struct {
	spec      *Spec
	createdAt time.Time
	// next is the index from which on tasks have not yet been considered for placement.
	next int
	// queue holds the waiting tasks that have already been considered for placement.
	queue []*task
	// committed is the total size of the group's committed attempts.
	committed document.Size
	// placedAt is the time of the latest proposed commitment of a task of the group, or of the group's creation if there
	// is none.
	placedAt time.Time
	// preemptAt is the earliest time of the next search for tasks to evict for the group.
	preemptAt time.Time
	// reason states why a task of the group could not be placed when one was last tried, empty if it was placed.
	reason string
}

// waitingSince returns the time since which the first waiting task of the group has waited.
func (g *group) waitingSince() time.Time {
	if len(g.queue) > 0 {
		return g.queue[0].queuedAt
	}
	return g.createdAt
}

// worker is the state of one worker that the owner keeps in memory only.
type worker struct {
	name     string
	domain   string
	rack     string
	capacity document.Size
	// declared means that the document lists the worker's instance.
	declared bool
	// leaving means that the platform's list of workers marks the worker as leaving.
	leaving bool
	// listed means that the platform's list of workers contains the worker.
	listed bool
	// tasks holds the tasks that are committed to the worker, by name.
	tasks map[string]*task
	// groupCounts counts the worker's tasks by group.
	groupCounts map[string]int
	// serviceCounts counts the worker's replicas by service.
	serviceCounts map[string]int
	// throttled holds the groups whose tasks run at half speed.
	throttled map[string]bool
	// shareSamples holds recent samples of the jobs' shares of the worker, the oldest first. actedAt is the time of the
	// latest throttling, unthrottling, or eviction because of interference on the worker.
	shareSamples []shareSample
	actedAt      time.Time
	// proposals holds the sizes of proposed commitments that have not been read back yet, by task.
	proposals map[string]document.Size
	health    health
	// leaseUntil is the latest expiry of all leases that were or, by an earlier owner, may have been granted to the
	// worker.
	leaseUntil time.Time
	// syncAt is the time of the next sync order.
	syncAt time.Time
	// sentAt is the time at which the sync order in flight was sent, zero if there is none.
	sentAt time.Time
	// unresponsive means that a sync order got no response in time and that the worker has not responded to one since.
	unresponsive bool
	// forgettable holds released and finished attempts that the worker need not report any more, and the time after which
	// the worker may forget each attempt: by then, it would refuse a start order of the attempt in any case.
	forgettable map[TaskAttempt]time.Time
}

// reservation reserves capacity on a worker for a task that waits for evictions there.
type reservation struct {
	worker string
	size   document.Size
	until  time.Time
}

// NewOwner returns an Owner that drives the numbered shard on the named instance.
func NewOwner(number int, instance string, l Limits, p Policy) *Owner {
	return &Owner{
		Number:     number,
		Instance:   instance,
		Limits:     l,
		Policy:     p,
		shard:      NewShard(),
		view:       &docstore.View{Document: document.New()},
		tasks:      make(map[string]*task),
		groups:     make(map[string]*group),
		workers:    make(map[string]*worker),
		needsOrder: make(map[string]*task),

		interference: newInterference(),
		reservations: make(map[string]reservation),

		removedSince: make(map[string]time.Time),
	}
}

// Apply applies one record of the shard's stream to the shard and the in-memory tables. It implements
// stream.StateMachine.
func (o *Owner) Apply(offset uint64, e *record.Envelope, r *record.Record) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.shard.Apply(offset, e, r); err != nil {
		o.cancelProposal(r)
		return err
	}
	switch {
	case r.Bind != nil:
		o.onBind(e.At, r.Bind)
	case r.Release != nil:
		o.onRelease(e.At, r.Release)
	case r.Finish != nil:
		o.onFinish(r.Finish)
	}
	return nil
}

// Snapshot returns the encoded state of the shard. It implements stream.StateMachine.
func (o *Owner) Snapshot() ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.Snapshot()
}

// Restore replaces the state of the shard with one that Snapshot returned, and rebuilds the in-memory tables. It implements
// stream.StateMachine.
func (o *Owner) Restore(state []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.shard.Restore(state); err != nil {
		return err
	}
	o.rebuild(time.Time{})
	return nil
}

// IsOwner reports whether the instance owns the shard according to the records applied so far.
func (o *Owner) IsOwner() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isOwner()
}

func (o *Owner) isOwner() bool { return o.shard.Owner == o.Instance }

// Ownership returns the owner, its epoch, whether it resigned, and the time of the owner's latest record by the owner's
// clock.
func (o *Owner) Ownership() (owner string, epoch uint64, resigned bool, lastRecordAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.Owner, o.shard.Epoch, o.shard.Resigned, o.shard.LastRecordAt
}

// TakeDecisions returns the decisions since the last call and clears them.
func (o *Owner) TakeDecisions() []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.decisions
	o.decisions = nil
	return d
}

func (o *Owner) recordDecision(d Decision) {
	if w := o.workers[d.Worker]; w != nil {
		d.Domain = w.domain
	}
	o.decisions = append(o.decisions, d)
}

// SetView replaces the document with a newer view.
func (o *Owner) SetView(v *docstore.View, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if v == o.view {
		return
	}
	o.view = v
	o.rebuild(now)
}

// SetWorkers records which workers the platform's list contains and which of them are leaving.
func (o *Owner) SetWorkers(list []Worker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.workers {
		w.listed = false
	}
	for _, l := range list {
		if w := o.workers[l.Name]; w != nil {
			w.listed = true
			w.leaving = l.Leaving
		}
	}
}

// rebuild derives the in-memory tables from the document and the shard's state.
func (o *Owner) rebuild(now time.Time) {
	o.rebuildWorkers()
	o.rebuildDomainsAndQuotas()
	old := o.groups
	o.groups = make(map[string]*group, len(old))
	for _, s := range specsOf(o.view) {
		g := &group{spec: s, createdAt: now, placedAt: now}
		if x := old[s.Group]; x != nil {
			g.createdAt, g.next, g.placedAt = x.createdAt, x.next, x.placedAt
		}
		o.groups[s.Group] = g
	}
	clear(o.needsOrder)
	for n := range o.shard.Attempts {
		o.ensureTask(n, now)
	}
	for _, n := range slices.Sorted(maps.Keys(o.tasks)) {
		o.rebuildTask(n, o.tasks[n])
	}
}

// rebuildTask adds a known task to the rebuilt tables. It drops a waiting task that has finished or that the document
// no longer wants.
func (o *Owner) rebuildTask(name string, t *task) {
	_, i := SplitTask(name)
	g := o.groups[t.spec.Group]
	wanted := g != nil && i < g.spec.Count
	if wanted {
		t.spec = g.spec
	}
	t.queued = false
	a := o.shard.Attempts[name]
	switch {
	case a != nil && a.IsBound():
		t.stopReason = updatedStopReason(t.stopReason, wanted)
		o.addAttempt(t, a)
	case wanted && !o.shard.IsFinished(name):
		t.running, t.stopReason, t.worker = false, "", ""
		o.enqueue(t)
	default:
		delete(o.tasks, name)
	}
}

// updatedStopReason returns the new stop reason of an attempt. If the document does not want the task, the reason is
// ReleaseCancelled. If the document wants the task again, ReleaseCancelled is cleared. Any other reason is kept.
func updatedStopReason(stop record.ReleaseReason, wanted bool) record.ReleaseReason {
	switch {
	case !wanted:
		return record.ReleaseCancelled
	case stop == record.ReleaseCancelled:
		return ""
	default:
		return stop
	}
}

// ensureTask returns the in-memory state of a task. It creates the state if there is none.
func (o *Owner) ensureTask(name string, now time.Time) *task {
	t := o.tasks[name]
	if t != nil {
		return t
	}
	g, _ := SplitTask(name)
	t = &task{name: name, queuedAt: now, spec: &Spec{Group: g, Name: g, Class: ClassPatient}}
	if x := o.groups[g]; x != nil {
		t.spec = x.spec
	}
	o.tasks[name] = t
	return t
}

// rebuildDomainsAndQuotas derives which failure domains are in service and the shard's fraction of each quota.
func (o *Owner) rebuildDomainsAndQuotas() {
	o.inService = make(map[string]bool)
	o.quotas = make(map[string]document.Size)
	n := o.view.Document.Shards()
	perShard := func(x int) int { return (x + n - 1) / n }
	for _, s := range o.view.Document.SortedSections() {
		for _, f := range s.FailureDomains {
			o.inService[f.Name] = !f.OutOfService
		}
		for _, q := range s.Quotas {
			o.quotas[q.Team] = document.Size{
				Processors: perShard(q.Processors), MemoryMiB: perShard(q.MemoryMiB), Accelerators: perShard(q.Accelerators),
			}
		}
	}
}

func (o *Owner) rebuildWorkers() {
	for _, w := range o.workers {
		w.declared = false
	}
	for _, s := range o.view.Document.SortedSections() {
		for _, i := range s.Instances {
			if o.view.ShardOf(i) != o.Number {
				continue
			}
			w := o.ensureWorker(i.Name)
			w.domain, w.rack, w.capacity, w.declared = i.FailureDomain, i.Rack, i.Size, true
		}
	}
	for n, w := range o.workers {
		if !w.declared && len(w.tasks) == 0 {
			delete(o.workers, n)
			continue
		}
		w.tasks = make(map[string]*task)
		w.groupCounts = make(map[string]int)
		w.serviceCounts = make(map[string]int)
	}
}

func (o *Owner) ensureWorker(name string) *worker {
	w := o.workers[name]
	if w == nil {
		w = &worker{
			name: name, tasks: make(map[string]*task), groupCounts: make(map[string]int),
			serviceCounts: make(map[string]int), throttled: make(map[string]bool),
			forgettable: make(map[TaskAttempt]time.Time),
			proposals:   make(map[string]document.Size), health: newHealth(),
		}
		o.workers[name] = w
	}
	return w
}

// addAttempt adds a committed attempt to the in-memory tables.
func (o *Owner) addAttempt(t *task, a *LoggedTask) {
	w := o.ensureWorker(a.Worker)
	w.tasks[t.name] = t
	w.adjustCounts(t, 1)
	if !t.running || t.stopReason != "" {
		o.needsOrder[t.name] = t
	}
	t.worker, t.size, t.startBefore = a.Worker, a.Size, a.StartBefore
	if g := o.groups[t.spec.Group]; g != nil {
		g.committed = g.committed.Add(a.Size)
	}
}

// enqueue appends a waiting task to its group's queue.
func (o *Owner) enqueue(t *task) {
	g := o.groups[t.spec.Group]
	if g == nil || t.queued {
		return
	}
	t.queued = true
	g.queue = append(g.queue, t)
}

// nextDue removes and returns the group's next task that may be committed now, or nil if there is none.
func (o *Owner) nextDue(g *group, now time.Time) *task {
	for i, t := range g.queue {
		if o.isDue(t, now) {
			g.queue = slices.Delete(g.queue, i, i+1)
			t.queued = false
			return t
		}
	}
	n := o.view.Document.Shards()
	for g.next < g.spec.Count {
		i := g.next
		g.next++
		name := TaskName(g.spec.Group, i)
		if TaskShard(g.spec.Group, i, n) != o.Number || o.tasks[name] != nil || o.shard.IsFinished(name) {
			continue
		}
		t := &task{name: name, spec: g.spec, queuedAt: g.createdAt}
		o.tasks[name] = t
		return t
	}
	return nil
}

// requeue inserts the tasks, which could not be placed, at the head of the group's queue.
func (o *Owner) requeue(g *group, ts []*task) {
	for _, t := range ts {
		t.queued = true
	}
	g.queue = slices.Insert(g.queue, 0, ts...)
}

// adjustCounts adds n to the worker's counts for the group and service of the task.
func (w *worker) adjustCounts(t *task, n int) {
	w.groupCounts[t.spec.Group] += n
	if w.groupCounts[t.spec.Group] == 0 {
		delete(w.groupCounts, t.spec.Group)
	}
	if t.spec.Class == ClassService {
		w.serviceCounts[t.spec.Name] += n
		if w.serviceCounts[t.spec.Name] == 0 {
			delete(w.serviceCounts, t.spec.Name)
		}
	}
}

// proposedSize returns the total size of proposed commitments to the worker that have not been read back yet.
func (w *worker) proposedSize() document.Size {
	var s document.Size
	for _, p := range w.proposals {
		s = s.Add(p)
	}
	return s
}

// allowForget records the time after which the worker may forget an attempt, unless a time is recorded already.
func (w *worker) allowForget(t TaskAttempt, after time.Time) {
	if _, ok := w.forgettable[t]; !ok {
		w.forgettable[t] = after
	}
}

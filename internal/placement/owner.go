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

// Limits holds the bounds that the promises of placement rest on.
type Limits struct {
	// FreshFor bounds the age of the document and of the epoch's confirmation at a start.
	FreshFor time.Duration
	// StartWithin is the time from the commitment to the instant after which a worker refuses the start.
	StartWithin time.Duration
	// Lease is the time from the owner's latest confirmation to the end of the leases that it grants.
	Lease time.Duration
	// Skew bounds the difference between the clocks of instances and workers.
	Skew time.Duration
	// SyncEvery is the time between two reports of a worker.
	SyncEvery time.Duration
	// OrderTimeout is the time after which an unanswered order is sent again.
	OrderTimeout time.Duration
}

// DefaultLimits returns limits that keep a start within 3 s of the owner's newest document.
func DefaultLimits() Limits {
	return Limits{
		FreshFor:     time.Second,
		StartWithin:  1500 * time.Millisecond,
		Lease:        30 * time.Second,
		Skew:         250 * time.Millisecond,
		SyncEvery:    time.Second,
		OrderTimeout: time.Second,
	}
}

// Decision explains one placement decision.
type Decision struct {
	At      time.Time
	Kind    string
	Task    string
	Attempt int
	Worker  string
	// Domain is the failure domain of the worker.
	Domain   string
	Reason   string
	Rejected string
}

// Clock holds the instants that a decision rests on.
type Clock struct {
	Now time.Time
	// ShardAt is an instant at which the shard's state held all accepted records.
	ShardAt time.Time
	// LeaseAt is an instant at which no other instance can have owned the shard; it is not before ShardAt.
	LeaseAt time.Time
	// DocumentAt is an instant at which the document held all accepted edits.
	DocumentAt time.Time
}

// Owner drives one shard.
type Owner struct {
	Number int
	Self   string
	Limits Limits
	Policy Policy

	// mu guards the fields below.
	mu      sync.Mutex
	shard   *Shard
	view    *docstore.View
	tasks   map[string]*task
	groups  map[string]*group
	workers map[string]*worker
	// active holds the committed tasks that are not known to run or that shall end.
	active map[string]*task
	// reservations holds the room that evictions make, by task.
	reservations map[string]reservation
	// interference is what was learned of services and the jobs beside them.
	interference *interference
	// goneSince holds since when the groups with finished tasks are missing from the document.
	goneSince map[string]time.Time
	// inService and quotas are derived from the document; quotas are scaled to the shard's share.
	inService map[string]bool
	quotas    map[string]document.Size
	// epoch is the one that the volatile tables belong to.
	epoch     uint64
	decisions []Decision
}

// task is the owner's volatile knowledge of one task.
type task struct {
	spec     *Spec
	name     string
	queuedAt time.Time
	// notBefore delays the next attempt of a task that failed.
	notBefore time.Time
	// queued tells that the task is in its group's queue.
	queued bool
	// worker, size and startBefore are those of the current attempt, zero while the task waits.
	worker      string
	size        document.Size
	startBefore time.Time
	// running tells that the worker has confirmed the current attempt.
	running bool
	// stop tells why the current attempt shall end, empty where it shall not.
	stop record.ReleaseReason
	// proposed is the attempt whose end has been proposed to the log.
	proposed int
	// sentAt is the time of the unanswered order, zero where none is under way.
	sentAt time.Time
	// slowdown is the latest measurement and slowAt its instant.
	slowdown float64
	slowAt   time.Time
}

// group holds the waiting tasks of one spec.
//
// Tasks that were never committed are not kept one by one: next is the index of
// the first that may be among them.
type group struct {
	spec  *Spec
	since time.Time
	next  int
	// queue holds the tasks that came back.
	queue []*task
	// held is the size committed to tasks of the group.
	held document.Size
	// placedAt is the time of the latest commitment of a task of the group, or of its beginning.
	placedAt time.Time
	// preemptAt is the time before which no room is made for the group by eviction.
	preemptAt time.Time
	// reason tells why the group's tasks wait.
	reason string
}

// waitingSince returns the time from which on the group's first task waits.
func (g *group) waitingSince() time.Time {
	if len(g.queue) > 0 {
		return g.queue[0].queuedAt
	}
	return g.since
}

// worker is the owner's volatile knowledge of one worker.
type worker struct {
	name     string
	domain   string
	rack     string
	capacity document.Size
	// declared tells that the document holds the instance.
	declared bool
	leaving  bool
	listed   bool
	bound    map[string]*task
	// groups counts the bound tasks by group.
	groups map[string]int
	// serviceNames counts the bound replicas by service.
	serviceNames map[string]int
	// throttled holds the groups whose tasks run at half speed.
	throttled map[string]bool
	// mixes holds what the worker ran lately, and actedAt is the time of the latest action against interference on it.
	mixes   []mixSample
	actedAt time.Time
	// proposals holds the sizes of commitments that are not read back yet, by task.
	proposals map[string]document.Size
	health    health
	// leaseUntil is the latest end of a lease that was ever granted on the worker.
	leaseUntil time.Time
	// syncAt is the time of the next sync.
	syncAt time.Time
	// sentAt is the time of the unanswered sync, zero where none is under way.
	sentAt time.Time
	// silent tells that the latest sync was not answered.
	silent bool
	// ended holds attempts that the worker reports in vain, and from when on it may forget them:
	// not before the last instant at which a start of the attempt can arrive.
	ended map[TaskAttempt]time.Time
}

// reservation holds room on a worker for a task that waits for evictions there.
type reservation struct {
	worker string
	size   document.Size
	until  time.Time
}

// NewOwner returns the driver of a shard for the instance named self.
func NewOwner(number int, self string, l Limits, p Policy) *Owner {
	return &Owner{
		Number:  number,
		Self:    self,
		Limits:  l,
		Policy:  p,
		shard:   NewShard(),
		view:    &docstore.View{Document: document.New()},
		tasks:   make(map[string]*task),
		groups:  make(map[string]*group),
		workers: make(map[string]*worker),
		active:  make(map[string]*task),

		interference: newInterference(),
		reservations: make(map[string]reservation),

		goneSince: make(map[string]time.Time),
	}
}

// Apply implements the state machine of the shard's stream.
func (o *Owner) Apply(offset uint64, e *record.Envelope, r *record.Record) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.shard.Apply(offset, e, r); err != nil {
		o.unpropose(r)
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

// Save implements the state machine of the shard's stream.
func (o *Owner) Save() ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.Save()
}

// Load implements the state machine of the shard's stream.
func (o *Owner) Load(state []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.shard.Load(state); err != nil {
		return err
	}
	o.rebuild(time.Time{})
	return nil
}

// IsOwner reports whether the instance owns the shard as far as its state goes.
func (o *Owner) IsOwner() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isOwner()
}

func (o *Owner) isOwner() bool { return o.shard.Owner == o.Self }

// Ownership returns the owner, the epoch, whether the owner resigned, and its latest sign of life.
func (o *Owner) Ownership() (owner string, epoch uint64, resigned bool, activeAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shard.Owner, o.shard.Epoch, o.shard.Resigned, o.shard.ActiveAt
}

// TakeDecisions returns the decisions since the last call.
func (o *Owner) TakeDecisions() []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.decisions
	o.decisions = nil
	return d
}

func (o *Owner) decide(d Decision) {
	if w := o.workers[d.Worker]; w != nil {
		d.Domain = w.domain
	}
	o.decisions = append(o.decisions, d)
}

// SetView takes over a newer document.
func (o *Owner) SetView(v *docstore.View, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if v == o.view {
		return
	}
	o.view = v
	o.rebuild(now)
}

// SetWorkers takes over the platform's list of workers.
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

// rebuild derives the volatile tables from the document and the shard's state.
func (o *Owner) rebuild(now time.Time) {
	o.rebuildWorkers()
	o.rebuildRules()
	old := o.groups
	o.groups = make(map[string]*group, len(old))
	for _, s := range specsOf(o.view) {
		g := &group{spec: s, since: now, placedAt: now}
		if x := old[s.Group]; x != nil {
			g.since, g.next, g.placedAt = x.since, x.next, x.placedAt
		}
		o.groups[s.Group] = g
	}
	clear(o.active)
	for n := range o.shard.Attempts {
		o.taskNamed(n, now)
	}
	for _, n := range slices.Sorted(maps.Keys(o.tasks)) {
		o.rebuildTask(n, o.tasks[n])
	}
}

// rebuildTask enters a known task into the tables that were made anew, or drops it.
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
		t.stop = orphanStop(t.stop, wanted)
		o.hold(t, a)
	case wanted && !o.shard.IsFinished(name):
		t.running, t.stop, t.worker = false, "", ""
		o.enqueue(t)
	default:
		delete(o.tasks, name)
	}
}

// orphanStop ends the attempt of a task that has left the document, and no longer that of one that has come back.
func orphanStop(stop record.ReleaseReason, wanted bool) record.ReleaseReason {
	switch {
	case !wanted:
		return record.ReleaseCancelled
	case stop == record.ReleaseCancelled:
		return ""
	default:
		return stop
	}
}

// taskNamed returns the volatile knowledge of a task, made where there is none.
func (o *Owner) taskNamed(name string, now time.Time) *task {
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

// rebuildRules derives which failure domains are in service and the shard's part of each quota.
func (o *Owner) rebuildRules() {
	o.inService = make(map[string]bool)
	o.quotas = make(map[string]document.Size)
	n := o.view.Document.Shards()
	part := func(x int) int { return (x + n - 1) / n }
	for _, s := range o.view.Document.All() {
		for _, f := range s.FailureDomains {
			o.inService[f.Name] = !f.OutOfService
		}
		for _, q := range s.Quotas {
			o.quotas[q.Team] = document.Size{
				Processors: part(q.Processors), MemoryMiB: part(q.MemoryMiB), Accelerators: part(q.Accelerators),
			}
		}
	}
}

func (o *Owner) rebuildWorkers() {
	for _, w := range o.workers {
		w.declared = false
	}
	for _, s := range o.view.Document.All() {
		for _, i := range s.Instances {
			if o.view.ShardOf(i) != o.Number {
				continue
			}
			w := o.workerNamed(i.Name)
			w.domain, w.rack, w.capacity, w.declared = i.FailureDomain, i.Rack, i.Size, true
		}
	}
	for n, w := range o.workers {
		if !w.declared && len(w.bound) == 0 {
			delete(o.workers, n)
			continue
		}
		w.bound = make(map[string]*task)
		w.groups = make(map[string]int)
		w.serviceNames = make(map[string]int)
	}
}

func (o *Owner) workerNamed(name string) *worker {
	w := o.workers[name]
	if w == nil {
		w = &worker{
			name: name, bound: make(map[string]*task), groups: make(map[string]int),
			serviceNames: make(map[string]int), throttled: make(map[string]bool),
			ended:     make(map[TaskAttempt]time.Time),
			proposals: make(map[string]document.Size), health: newHealth(),
		}
		o.workers[name] = w
	}
	return w
}

// hold enters a committed attempt into the volatile tables.
func (o *Owner) hold(t *task, a *Attempt) {
	w := o.workerNamed(a.Worker)
	w.bound[t.name] = t
	w.count(t, 1)
	if !t.running || t.stop != "" {
		o.active[t.name] = t
	}
	t.worker, t.size, t.startBefore = a.Worker, a.Size, a.StartBefore
	if g := o.groups[t.spec.Group]; g != nil {
		g.held = g.held.Add(a.Size)
	}
}

// enqueue puts a waiting task into its group's queue.
func (o *Owner) enqueue(t *task) {
	g := o.groups[t.spec.Group]
	if g == nil || t.queued {
		return
	}
	t.queued = true
	g.queue = append(g.queue, t)
}

// nextDue removes and returns the group's next task that may be committed now, nil where there is none.
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
		if HomeShard(g.spec.Group, i, n) != o.Number || o.tasks[name] != nil || o.shard.IsFinished(name) {
			continue
		}
		t := &task{name: name, spec: g.spec, queuedAt: g.since}
		o.tasks[name] = t
		return t
	}
	return nil
}

// putBack returns tasks that found no room to the head of their group's queue.
func (o *Owner) putBack(g *group, ts []*task) {
	for _, t := range ts {
		t.queued = true
	}
	g.queue = slices.Insert(g.queue, 0, ts...)
}

// count enters a task into the worker's counts, or removes it.
func (w *worker) count(t *task, n int) {
	w.groups[t.spec.Group] += n
	if w.groups[t.spec.Group] == 0 {
		delete(w.groups, t.spec.Group)
	}
	if t.spec.Class == ClassService {
		w.serviceNames[t.spec.Name] += n
		if w.serviceNames[t.spec.Name] == 0 {
			delete(w.serviceNames, t.spec.Name)
		}
	}
}

// proposed returns the size of commitments to the worker that are not read back yet.
func (w *worker) proposed() document.Size {
	var s document.Size
	for _, p := range w.proposals {
		s = s.Add(p)
	}
	return s
}

// mayForget notes from when on the worker may forget an ended attempt.
func (w *worker) mayForget(t TaskAttempt, after time.Time) {
	if _, ok := w.ended[t]; !ok {
		w.ended[t] = after
	}
}

package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantknot.dev/currantknot/internal/record"
	"currantknot.dev/currantknot/pkg/document"
)

const (
	// maxBindsPerPlan bounds the number of Bind records in one plan.
	maxBindsPerPlan = 256
	// reservationTimeout is the time for which capacity on a worker is reserved for a task that waits for evictions.
	reservationTimeout = 10 * time.Second
	// forgetDelay is the time from the removal of a service or job from the document to the deletion of its logged state.
	// After this time, no instance starts tasks from a document that still has the service or job.
	forgetDelay = 10 * time.Second
	// maxReservations bounds the number of service or urgent tasks of one group that wait for evictions. For normal
	// and patient tasks, the bound is one.
	maxReservations = 64
	// interferenceWaitTimeout is the time without a proposed commitment of a job's tasks, after which the job may run
	// where it slows services beyond maxPlacementSlowdown.
	interferenceWaitTimeout = 5 * time.Minute
	// maxEvacuations bounds the number of attempts of one shard on unschedulable workers that are stopped at the same
	// time.
	maxEvacuations = 16
)

// Plan returns the records to commit now. It also marks the attempts to stop, for which Orders then returns stop
// orders.
func (o *Owner) Plan(c Clock) []record.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isOwner() {
		return nil
	}
	o.adoptEpoch(c.Now)
	rs := o.planLeaseExpiry(c.Now)
	rs = append(rs, o.planForget(c.Now)...)
	if !o.isFresh(c) {
		return rs
	}
	o.planStops()
	return append(rs, o.planBinds(c.Now)...)
}

// isFresh reports whether the document and the epoch were confirmed recently enough to start tasks.
func (o *Owner) isFresh(c Clock) bool {
	s := c.Now.Add(-o.Limits.MaxStaleness)
	return c.ShardAt.After(s) && c.DocumentAt.After(s)
}

// adoptEpoch discards all proposals and orders in flight at the first plan of an epoch. It assumes that each worker has
// the longest lease that an earlier owner can have granted.
func (o *Owner) adoptEpoch(now time.Time) {
	if o.epoch == o.shard.Epoch {
		return
	}
	o.epoch = o.shard.Epoch
	for _, w := range o.workers {
		w.leaseUntil = now.Add(o.Limits.Lease)
		w.syncAt = now.Add(o.syncOffset(w.name))
		w.sentAt = time.Time{}
		clear(w.proposals)
	}
	for _, n := range slices.Sorted(maps.Keys(o.tasks)) {
		t := o.tasks[n]
		t.proposedAttempt = 0
		t.sentAt = time.Time{}
		if a := o.shard.Attempts[n]; a == nil || !a.IsBound() {
			o.enqueue(t)
		}
	}
}

// syncOffset returns the time from the start of an epoch to the first sync order to the worker. It differs between
// workers, so that their reports spread over SyncInterval.
func (o *Owner) syncOffset(name string) time.Duration {
	return time.Duration(xxhash.Sum64String(name) % uint64(o.Limits.SyncInterval)) //nolint:gosec // the interval is positive
}

// planLeaseExpiry returns records that release the attempts on workers whose leases have certainly expired.
func (o *Owner) planLeaseExpiry(now time.Time) []record.Record {
	var rs []record.Record
	for _, n := range slices.Sorted(maps.Keys(o.workers)) {
		w := o.workers[n]
		if !now.After(w.leaseUntil.Add(o.Limits.Skew)) {
			continue
		}
		for _, k := range slices.Sorted(maps.Keys(w.tasks)) {
			a := o.shard.Attempts[k]
			if now.After(a.StartBefore.Add(o.Limits.Skew)) {
				rs = append(rs, o.proposeRelease(w.tasks[k], a, record.ReleaseLeaseExpired, "")...)
			}
		}
	}
	return rs
}

// planForget returns records that delete the logged state of services and jobs that are no longer in the document.
//
// The document of the shard's next owner may lag behind and still have the service
// or job. planForget therefore waits for forgetDelay, after which no instance can
// start tasks from such a document.
func (o *Owner) planForget(now time.Time) []record.Record {
	var rs []record.Record
	for _, n := range slices.Sorted(maps.Keys(o.shard.Finished)) {
		if o.groups[n] != nil {
			delete(o.removedSince, n)
			continue
		}
		g, ok := o.removedSince[n]
		if !ok {
			o.removedSince[n] = now
			continue
		}
		if now.Sub(g) > forgetDelay {
			delete(o.removedSince, n)
			rs = append(rs, record.Record{Forget: &record.Forget{Epoch: o.shard.Epoch, Group: n}})
		}
	}
	return rs
}

// planStops requests a stop of attempts on unschedulable workers, at most maxEvacuations at a time, services first.
func (o *Owner) planStops() {
	n := 0
	var toStop []*task
	for _, w := range o.workers {
		if !o.isUnschedulable(w) {
			continue
		}
		for _, t := range w.tasks {
			if t.stopReason == "" {
				toStop = append(toStop, t)
				continue
			}
			n++
		}
	}
	slices.SortFunc(toStop, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.spec.Class, b.spec.Class), cmp.Compare(a.name, b.name))
	})
	for _, t := range toStop[:min(len(toStop), max(0, maxEvacuations-n))] {
		o.requestStop(t, record.ReleaseEvicted, "Evacuate", "the worker is closed")
	}
}

// requestStop marks an attempt to be stopped and records the decision.
func (o *Owner) requestStop(t *task, why record.ReleaseReason, kind, reason string) {
	t.stopReason = why
	o.needsOrder[t.name] = t
	o.recordDecision(Decision{Kind: kind, Task: t.name, Attempt: o.shard.Attempts[t.name].Attempt, Worker: t.worker, Reason: reason})
}

// isUnschedulable reports whether the worker must not run any task: its failure domain is out of service, it is leaving,
// or the document does not declare it.
func (o *Owner) isUnschedulable(w *worker) bool {
	return w.leaving || !w.declared || !o.inService[w.domain]
}

// Candidate is a worker with enough free capacity for a task.
type Candidate struct {
	Worker   string
	Domain   string
	Rack     string
	Free     document.Size
	Capacity document.Size
	// SameGroupInDomain counts the tasks of the group in the failure domain.
	SameGroupInDomain int
	// SameGroupOnWorker counts the tasks of the group on the worker.
	SameGroupOnWorker int
	// Interference is the result of expectedInterference, 0 if neither the task nor others are expected to be slowed.
	Interference float64
}

// planBinds proposes Bind records for waiting tasks in the order of their classes. Within a class, the tasks of teams
// within their quota come first.
func (o *Owner) planBinds(now time.Time) []record.Record {
	p := o.newPass(now)
	gs := o.waitingGroups()
	for c := ClassService; c <= ClassPatient; c++ {
		for _, borrow := range []bool{false, true} {
			for _, g := range gs {
				if g.spec.Class == c {
					o.placeGroup(p, g, borrow)
				}
			}
		}
	}
	return p.records
}

// placeGroup proposes Bind records for the group's waiting tasks until the team's quota is reached or an unplaced task
// blocks the tasks behind it. With borrow set, the team may exceed its quota.
func (o *Owner) placeGroup(p *pass, g *group, borrow bool) {
	if p.blocked[g] {
		return
	}
	// Service and urgent tasks with reservations do not block the tasks behind them. Any other unplaced task does.
	var unplaced []*task
	for len(p.records) < maxBindsPerPlan && len(unplaced) < maxReservations && (borrow || p.withinQuota(o, g.spec)) {
		t := o.nextDue(g, p.now)
		if t == nil {
			break
		}
		if o.placeTask(p, g, t) {
			continue
		}
		unplaced = append(unplaced, t)
		if !o.hasReservation(t) || g.spec.Class > ClassUrgent {
			p.blocked[g] = true
			break
		}
	}
	o.requeue(g, unplaced)
}

// isDue reports whether the waiting task may be bound to a worker now.
func (o *Owner) isDue(t *task, now time.Time) bool {
	a := o.shard.Attempts[t.name]
	if t.proposedAttempt != 0 || now.Before(t.notBefore) {
		return false
	}
	return a == nil || !o.isGivenUp(t.spec, a)
}

func (o *Owner) isGivenUp(s *Spec, a *LoggedTask) bool {
	return s.MaxFailures > 0 && a.Failures >= s.MaxFailures
}

// waitingGroups returns the groups with waiting tasks, the one that has waited longest first.
func (o *Owner) waitingGroups() []*group {
	var a []*group
	for _, g := range o.groups {
		if len(g.queue) > 0 || g.next < g.spec.Count {
			a = append(a, g)
		}
	}
	slices.SortFunc(a, func(x, y *group) int {
		return cmp.Or(x.waitingSince().Compare(y.waitingSince()), cmp.Compare(x.spec.Group, y.spec.Group))
	})
	return a
}

// pass holds the state of one scheduling pass.
type pass struct {
	now time.Time
	// schedulable lists the workers on which tasks can be placed.
	schedulable []*worker
	// free is the free capacity of each worker. used is the total size of each team's committed attempts, without those
	// that must stop, and of its tasks that this pass has placed.
	free map[string]document.Size
	used map[string]document.Size
	// blocked holds the groups that are not tried again in this pass.
	blocked map[*group]bool
	// reserved is the capacity that is reserved on each worker.
	reserved map[string]document.Size
	// overQuota holds the teams that use more than their quota, and noFit the task sizes that fit on no worker.
	overQuota map[string]bool
	noFit     map[document.Size]bool
	records   []record.Record
}

func (o *Owner) newPass(now time.Time) *pass {
	p := &pass{
		now:       now,
		free:      make(map[string]document.Size),
		used:      make(map[string]document.Size),
		blocked:   make(map[*group]bool),
		overQuota: make(map[string]bool),
		reserved:  make(map[string]document.Size),
		noFit:     make(map[document.Size]bool),
	}
	for _, g := range o.groups {
		p.used[g.spec.Team] = p.used[g.spec.Team].Add(g.committed)
	}
	for _, t := range o.needsOrder {
		if t.stopReason != "" {
			p.used[t.spec.Team] = p.used[t.spec.Team].Sub(t.size)
		}
	}
	for n, r := range o.reservations {
		if now.After(r.until) {
			delete(o.reservations, n)
			continue
		}
		p.reserved[r.worker] = p.reserved[r.worker].Add(r.size)
	}
	for t, u := range p.used {
		if !u.Fits(o.quotas[t]) {
			p.overQuota[t] = true
		}
	}
	for _, n := range slices.Sorted(maps.Keys(o.workers)) {
		w := o.workers[n]
		if o.isUnschedulable(w) || w.unresponsive || !w.listed {
			continue
		}
		p.schedulable = append(p.schedulable, w)
		p.free[n] = w.capacity.Sub(o.shard.Committed[n]).Sub(w.proposedSize())
	}
	return p
}

// withinQuota reports whether one more task keeps the team within its quota.
func (p *pass) withinQuota(o *Owner, s *Spec) bool {
	return p.used[s.Team].Add(s.Size).Fits(o.quotas[s.Team])
}

// placeTask proposes a Bind record for the task and reports whether it did. If the task fits on no worker, placeTask
// records the reason and tries to free capacity by evictions.
func (o *Owner) placeTask(p *pass, g *group, t *task) bool {
	var cs []Candidate
	if !p.noFit[t.spec.Size] || o.hasReservation(t) {
		cs = o.candidates(p, t)
	}
	if len(cs) == 0 {
		p.noFit[t.spec.Size] = p.noFit[t.spec.Size] || !o.hasReservation(t)
		g.reason = o.explainWait(p, t)
		o.preempt(p, t)
		return false
	}
	if cs = o.withTolerableInterference(p, t, cs); len(cs) == 0 {
		g.reason = "would slow services beyond their bound wherever there is room"
		return false
	}
	g.reason = ""
	i := o.Policy.Choose(t.spec, cs)
	o.proposeBind(p, t, o.workers[cs[i].Worker], cs)
	return true
}

// withTolerableInterference removes the candidates where a normal or patient task would slow a service beyond
// maxPlacementSlowdown. It removes none if the policy does not avoid interference, or if the latest proposed
// commitment of a task of the group is more than interferenceWaitTimeout ago.
func (o *Owner) withTolerableInterference(p *pass, t *task, cs []Candidate) []Candidate {
	if t.spec.Class <= ClassUrgent || p.now.Sub(o.groups[t.spec.Group].placedAt) > interferenceWaitTimeout || !o.Policy.AvoidsInterference() {
		return cs
	}
	return slices.DeleteFunc(cs, func(c Candidate) bool { return c.Interference >= interferencePenalty })
}

func (o *Owner) proposeBind(p *pass, t *task, w *worker, cs []Candidate) {
	n := 1
	if a := o.shard.Attempts[t.name]; a != nil {
		n = a.Attempt + 1
	}
	t.proposedAttempt = n
	p.free[w.name] = p.free[w.name].Sub(t.spec.Size)
	o.groups[t.spec.Group].placedAt = p.now
	p.used[t.spec.Team] = p.used[t.spec.Team].Add(t.spec.Size)
	w.proposals[t.name] = t.spec.Size
	if r, ok := o.reservations[t.name]; ok {
		delete(o.reservations, t.name)
		p.reserved[r.worker] = p.reserved[r.worker].Sub(r.size)
	}
	if w.health.isQuarantined() {
		w.health.nextProbeAt = p.now.Add(probeInterval)
	}
	o.recordDecision(Decision{
		Kind: "Bind", Task: t.name, Attempt: n, Worker: w.name,
		Reason:   fmt.Sprintf("policy %s, waited %s", o.Policy.Name(), p.now.Sub(t.queuedAt).Round(time.Millisecond)),
		Rejected: fmt.Sprintf("%d other workers with room", len(cs)-1),
	})
	p.records = append(p.records, record.Record{Bind: &record.Bind{
		Epoch: o.shard.Epoch, Task: t.name, Attempt: n, Worker: w.name,
		Size: record.SizeOf(t.spec.Size), Capacity: record.SizeOf(w.capacity), StartBefore: p.now.Add(o.Limits.StartTimeout),
	}})
}

// candidates returns the schedulable workers with enough free capacity for the task. It leaves out quarantined workers
// whose next probe is not due yet.
func (o *Owner) candidates(p *pass, t *task) []Candidate {
	var cs []Candidate
	d := make(map[string]int)
	for _, w := range p.schedulable {
		d[w.domain] += w.groupCounts[t.spec.Group]
		f := p.freeFor(o, w, t)
		if t.spec.Size.Fits(f) && (!w.health.isQuarantined() || w.health.isProbeDue(p.now)) {
			cs = append(cs, o.candidate(w, t, f))
		}
	}
	for i := range cs {
		cs[i].SameGroupInDomain = d[cs[i].Domain]
	}
	return cs
}

// freeFor returns the free capacity on the worker that the task may use.
func (p *pass) freeFor(o *Owner, w *worker, t *task) document.Size {
	f := p.free[w.name].Sub(p.reserved[w.name])
	if r := o.reservations[t.name]; r.worker == w.name {
		f = f.Add(r.size)
	}
	return f
}

func (o *Owner) candidate(w *worker, t *task, free document.Size) Candidate {
	return Candidate{
		Worker: w.name, Domain: w.domain, Rack: w.rack, Free: free, Capacity: w.capacity,
		SameGroupOnWorker: w.groupCounts[t.spec.Group], Interference: o.expectedInterference(w, t.spec),
	}
}

// explainWait returns the reason why the task fits on no worker. If the task is larger than every worker, the reason
// names the closest fit.
func (o *Owner) explainWait(p *pass, t *task) string {
	if len(p.schedulable) == 0 {
		return "no worker is open"
	}
	b := p.schedulable[0]
	for _, w := range p.schedulable {
		if t.spec.Size.Fits(w.capacity) {
			return "all workers are full"
		}
		if maxSizeRatio(t.spec.Size, w.capacity) < maxSizeRatio(t.spec.Size, b.capacity) {
			b = w
		}
	}
	return fmt.Sprintf("can never run: needs %+v, the closest fit is worker %s with %+v", t.spec.Size, b.name, b.capacity)
}

// maxSizeRatio returns the greatest ratio of size to capacity over all resources.
func maxSizeRatio(s, c document.Size) float64 {
	r := func(a, b int) float64 { return float64(a) / float64(max(b, 1)) }
	return max(r(s.Processors, c.Processors), r(s.MemoryMiB, c.MemoryMiB), r(s.Accelerators, c.Accelerators))
}

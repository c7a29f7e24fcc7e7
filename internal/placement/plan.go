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
	// maxBindsPerPlan bounds the commitments of one plan.
	maxBindsPerPlan = 256
	// reserveFor is the time that an instance's room is held for a task that waits for evictions.
	reserveFor = 10 * time.Second
	// forgetAfter is the time after which no instance starts tasks by a document that holds what has left it.
	forgetAfter = 10 * time.Second
	// maxReservations bounds the urgent tasks of one group that wait for evictions; batch waits one by one.
	maxReservations = 64
	// crowdedAfter is the time without a commitment after which a job may run where it slows services.
	crowdedAfter = 5 * time.Minute
	// maxEvacuations bounds the attempts of one shard that are stopped at a time because of a failure domain.
	maxEvacuations = 16
)

// Plan returns the records that the owner wants committed now.
func (o *Owner) Plan(c Clock) []record.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isOwner() {
		return nil
	}
	o.adoptEpoch(c.Now)
	rs := o.planLeaseEnds(c.Now)
	rs = append(rs, o.planForget(c.Now)...)
	if !o.isFresh(c) {
		return rs
	}
	o.planStops()
	return append(rs, o.planBinds(c.Now)...)
}

// isFresh reports whether document and epoch are confirmed recently enough to start tasks.
func (o *Owner) isFresh(c Clock) bool {
	s := c.Now.Add(-o.Limits.FreshFor)
	return c.ShardAt.After(s) && c.DocumentAt.After(s)
}

// adoptEpoch assumes, at the first plan of an epoch, the longest lease that an earlier owner can have granted.
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
		t.proposed = 0
		t.sentAt = time.Time{}
		if a := o.shard.Attempts[n]; a == nil || !a.IsBound() {
			o.enqueue(t)
		}
	}
}

// syncOffset spreads the reports of the workers evenly over time.
func (o *Owner) syncOffset(name string) time.Duration {
	return time.Duration(xxhash.Sum64String(name) % uint64(o.Limits.SyncEvery)) //nolint:gosec // both are positive
}

// planLeaseEnds releases the attempts of workers whose leases have surely ended.
func (o *Owner) planLeaseEnds(now time.Time) []record.Record {
	var rs []record.Record
	for _, n := range slices.Sorted(maps.Keys(o.workers)) {
		w := o.workers[n]
		if !now.After(w.leaseUntil.Add(o.Limits.Skew)) {
			continue
		}
		for _, k := range slices.Sorted(maps.Keys(w.bound)) {
			a := o.shard.Attempts[k]
			if now.After(a.StartBefore.Add(o.Limits.Skew)) {
				rs = append(rs, o.proposeRelease(w.bound[k], a, record.ReleaseLeaseEnded, "")...)
			}
		}
	}
	return rs
}

// planForget drops what the log keeps of services and jobs that have left the document.
//
// It waits until no instance can start tasks by an older document: the next owner
// of the shard may be one whose document is a little behind.
func (o *Owner) planForget(now time.Time) []record.Record {
	var rs []record.Record
	for _, n := range slices.Sorted(maps.Keys(o.shard.Finished)) {
		if o.groups[n] != nil {
			delete(o.goneSince, n)
			continue
		}
		g, ok := o.goneSince[n]
		if !ok {
			o.goneSince[n] = now
			continue
		}
		if now.Sub(g) > forgetAfter {
			delete(o.goneSince, n)
			rs = append(rs, record.Record{Forget: &record.Forget{Epoch: o.shard.Epoch, Group: n}})
		}
	}
	return rs
}

// planStops marks the attempts that have to leave their worker.
func (o *Owner) planStops() {
	n := 0
	var leave []*task
	for _, w := range o.workers {
		if !o.isClosed(w) {
			continue
		}
		for _, t := range w.bound {
			if t.stop == "" {
				leave = append(leave, t)
				continue
			}
			n++
		}
	}
	slices.SortFunc(leave, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.spec.Class, b.spec.Class), cmp.Compare(a.name, b.name))
	})
	for _, t := range leave[:min(len(leave), max(0, maxEvacuations-n))] {
		o.end(t, record.ReleaseEvicted, "Evacuate", "the worker is closed")
	}
}

// end marks a running attempt to be stopped.
func (o *Owner) end(t *task, why record.ReleaseReason, kind, reason string) {
	t.stop = why
	o.active[t.name] = t
	o.decide(Decision{Kind: kind, Task: t.name, Attempt: o.shard.Attempts[t.name].Attempt, Worker: t.worker, Reason: reason})
}

// isClosed reports whether the worker may run nothing: out of service, leaving or undeclared.
func (o *Owner) isClosed(w *worker) bool {
	return w.leaving || !w.declared || !o.inService[w.domain]
}

// Candidate is a worker that has room for a task.
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
	// Tension is the slowdown of services expected beside the task, 0 for none.
	Tension float64
}

// planBinds commits waiting tasks to workers: by class, and within a class teams within their quota first.
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

// placeGroup commits the group's waiting tasks until one finds no room or the team's quota is reached.
func (o *Owner) placeGroup(p *pass, g *group, borrow bool) {
	if p.stuck[g] {
		return
	}
	// Tasks that wait for evictions let those behind them look for room as well.
	var aside []*task
	for len(p.records) < maxBindsPerPlan && len(aside) < maxReservations && (borrow || p.withinQuota(o, g.spec)) {
		t := o.nextDue(g, p.now)
		if t == nil {
			break
		}
		if o.place(p, g, t) {
			continue
		}
		aside = append(aside, t)
		if !o.hasReservation(t) || g.spec.Class > ClassUrgent {
			p.stuck[g] = true
			break
		}
	}
	o.putBack(g, aside)
}

// isDue reports whether the waiting task may be committed now.
func (o *Owner) isDue(t *task, now time.Time) bool {
	a := o.shard.Attempts[t.name]
	if t.proposed != 0 || now.Before(t.notBefore) {
		return false
	}
	return a == nil || !o.isGivenUp(t.spec, a)
}

func (o *Owner) isGivenUp(s *Spec, a *Attempt) bool {
	return s.MaxFailures > 0 && a.Failures >= s.MaxFailures
}

// waitingGroups returns the groups with waiting tasks, the longest waiting first.
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

// pass holds the room that is left while one plan is made.
type pass struct {
	now   time.Time
	open  []*worker
	free  map[string]document.Size
	used  map[string]document.Size
	stuck map[*group]bool
	// held is the room that is reserved on each worker.
	held map[string]document.Size
	// over holds the teams that use more than their quota, and full the sizes that no worker has room for.
	over    map[string]bool
	full    map[document.Size]bool
	records []record.Record
}

func (o *Owner) newPass(now time.Time) *pass {
	p := &pass{
		now:   now,
		free:  make(map[string]document.Size),
		used:  make(map[string]document.Size),
		stuck: make(map[*group]bool),
		over:  make(map[string]bool),
		held:  make(map[string]document.Size),
		full:  make(map[document.Size]bool),
	}
	for _, g := range o.groups {
		p.used[g.spec.Team] = p.used[g.spec.Team].Add(g.held)
	}
	for _, t := range o.active {
		if t.stop != "" {
			p.used[t.spec.Team] = p.used[t.spec.Team].Sub(t.size)
		}
	}
	for n, r := range o.reservations {
		if now.After(r.until) {
			delete(o.reservations, n)
			continue
		}
		p.held[r.worker] = p.held[r.worker].Add(r.size)
	}
	for t, u := range p.used {
		if !u.Fits(o.quotas[t]) {
			p.over[t] = true
		}
	}
	for _, n := range slices.Sorted(maps.Keys(o.workers)) {
		w := o.workers[n]
		if o.isClosed(w) || w.silent || !w.listed {
			continue
		}
		p.open = append(p.open, w)
		p.free[n] = w.capacity.Sub(o.shard.Committed[n]).Sub(w.proposed())
	}
	return p
}

// withinQuota reports whether one more task keeps the team within its quota.
func (p *pass) withinQuota(o *Owner, s *Spec) bool {
	return p.used[s.Team].Add(s.Size).Fits(o.quotas[s.Team])
}

// place commits one task, or makes room for it, or tells why it waits.
func (o *Owner) place(p *pass, g *group, t *task) bool {
	var cs []Candidate
	if !p.full[t.spec.Size] || o.hasReservation(t) {
		cs = o.candidates(p, t)
	}
	if len(cs) == 0 {
		p.full[t.spec.Size] = p.full[t.spec.Size] || !o.hasReservation(t)
		g.reason = o.explainWait(p, t)
		o.preempt(p, t)
		return false
	}
	if cs = o.bearable(p, t, cs); len(cs) == 0 {
		g.reason = "would slow services beyond their bound wherever there is room"
		return false
	}
	g.reason = ""
	i := o.Policy.Choose(t.spec, cs)
	o.propose(p, t, o.workers[cs[i].Worker], cs)
	return true
}

// bearable leaves out the workers whose services batch would push beyond their bound, as long as its job gets on elsewhere.
func (o *Owner) bearable(p *pass, t *task, cs []Candidate) []Candidate {
	if t.spec.Class <= ClassUrgent || p.now.Sub(o.groups[t.spec.Group].placedAt) > crowdedAfter || !o.Policy.MindsTension() {
		return cs
	}
	return slices.DeleteFunc(cs, func(c Candidate) bool { return c.Tension >= crowdedTension })
}

func (o *Owner) propose(p *pass, t *task, w *worker, cs []Candidate) {
	n := 1
	if a := o.shard.Attempts[t.name]; a != nil {
		n = a.Attempt + 1
	}
	t.proposed = n
	p.free[w.name] = p.free[w.name].Sub(t.spec.Size)
	o.groups[t.spec.Group].placedAt = p.now
	p.used[t.spec.Team] = p.used[t.spec.Team].Add(t.spec.Size)
	w.proposals[t.name] = t.spec.Size
	if r, ok := o.reservations[t.name]; ok {
		delete(o.reservations, t.name)
		p.held[r.worker] = p.held[r.worker].Sub(r.size)
	}
	if w.health.isQuarantined() {
		w.health.probeAt = p.now.Add(probeEvery)
	}
	o.decide(Decision{
		Kind: "Bind", Task: t.name, Attempt: n, Worker: w.name,
		Reason:   fmt.Sprintf("policy %s, waited %s", o.Policy.Name(), p.now.Sub(t.queuedAt).Round(time.Millisecond)),
		Rejected: fmt.Sprintf("%d other workers with room", len(cs)-1),
	})
	p.records = append(p.records, record.Record{Bind: &record.Bind{
		Epoch: o.shard.Epoch, Task: t.name, Attempt: n, Worker: w.name,
		Size: record.SizeOf(t.spec.Size), Capacity: record.SizeOf(w.capacity), StartBefore: p.now.Add(o.Limits.StartWithin),
	}})
}

// candidates returns the open workers that have room for the task.
func (o *Owner) candidates(p *pass, t *task) []Candidate {
	var cs []Candidate
	d := make(map[string]int)
	for _, w := range p.open {
		d[w.domain] += w.groups[t.spec.Group]
		f := p.freeFor(o, w, t)
		if t.spec.Size.Fits(f) && (!w.health.isQuarantined() || w.health.mayProbe(p.now)) {
			cs = append(cs, o.candidate(w, t, f))
		}
	}
	for i := range cs {
		cs[i].SameGroupInDomain = d[cs[i].Domain]
	}
	return cs
}

// freeFor returns the room on the worker that the task may use.
func (p *pass) freeFor(o *Owner, w *worker, t *task) document.Size {
	f := p.free[w.name].Sub(p.held[w.name])
	if r := o.reservations[t.name]; r.worker == w.name {
		f = f.Add(r.size)
	}
	return f
}

func (o *Owner) candidate(w *worker, t *task, free document.Size) Candidate {
	return Candidate{
		Worker: w.name, Domain: w.domain, Rack: w.rack, Free: free, Capacity: w.capacity,
		SameGroupOnWorker: w.groups[t.spec.Group], Tension: o.tension(w, t.spec),
	}
}

// explainWait tells why no worker has room for the task, with the closest fit.
func (o *Owner) explainWait(p *pass, t *task) string {
	if len(p.open) == 0 {
		return "no worker is open"
	}
	b := p.open[0]
	for _, w := range p.open {
		if t.spec.Size.Fits(w.capacity) {
			return "all workers are full"
		}
		if missing(t.spec.Size, w.capacity) < missing(t.spec.Size, b.capacity) {
			b = w
		}
	}
	return fmt.Sprintf("can never run: needs %+v, the closest fit is worker %s with %+v", t.spec.Size, b.name, b.capacity)
}

// missing returns the greatest share by which the size goes beyond the capacity.
func missing(s, c document.Size) float64 {
	r := func(a, b int) float64 { return float64(a) / float64(max(b, 1)) }
	return max(r(s.Processors, c.Processors), r(s.MemoryMiB, c.MemoryMiB), r(s.Accelerators, c.Accelerators))
}

package placement

import (
	"cmp"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/record"
	"currantknot.dev/currantknot/pkg/document"
)

// preemptInterval is the time from a search for tasks to evict that found none to the next search for the same group.
const preemptInterval = 500 * time.Millisecond

// reclaimInterval replaces preemptInterval for a group of normal or patient tasks, which can only reclaim capacity that
// other teams use beyond their quota.
const reclaimInterval = 3 * time.Second

// preempt frees capacity for a task by evicting other tasks from one worker, and reserves that capacity for the task.
// It does nothing if the task may not evict others or if no worker would have enough capacity.
func (o *Owner) preempt(p *pass, t *task) {
	g := o.groups[t.spec.Group]
	if p.now.Before(g.preemptAt) || o.hasReservation(t) || !p.mayEvict(o, t.spec) {
		return
	}
	var cs []Candidate
	var vs [][]*task
	for _, w := range p.schedulable {
		if w.health.isQuarantined() || !t.spec.Size.Fits(w.capacity) {
			continue
		}
		v, ok := o.victims(p, w, t)
		if !ok || len(vs) > 0 && evictionCost(v) > evictionCost(vs[0]) {
			continue
		}
		if len(vs) > 0 && evictionCost(v) < evictionCost(vs[0]) {
			cs, vs = nil, nil
		}
		cs = append(cs, o.candidate(w, t, p.freeFor(o, w, t)))
		vs = append(vs, v)
	}
	if len(cs) == 0 {
		g.preemptAt = p.now.Add(preemptInterval)
		if g.spec.Class > ClassUrgent {
			g.preemptAt = p.now.Add(reclaimInterval)
		}
		return
	}
	countGroupPerDomain(cs)
	i := o.Policy.Choose(t.spec, cs)
	n := cs[i].Worker
	o.reservations[t.name] = reservation{worker: n, size: t.spec.Size, until: p.now.Add(reservationTimeout)}
	p.reserved[n] = p.reserved[n].Add(t.spec.Size)
	for _, v := range vs[i] {
		p.used[v.spec.Team] = p.used[v.spec.Team].Sub(v.size)
		o.requestStop(v, record.ReleaseEvicted, "Evict", "room for "+t.spec.Class.String()+" task "+t.name)
	}
}

// countGroupPerDomain sets SameGroupInDomain of each candidate to the number of the group's tasks on the candidates in
// the same failure domain.
func countGroupPerDomain(cs []Candidate) {
	d := make(map[string]int)
	for _, c := range cs {
		d[c.Domain] += c.SameGroupOnWorker
	}
	for i := range cs {
		cs[i].SameGroupInDomain = d[cs[i].Domain]
	}
}

func (o *Owner) hasReservation(t *task) bool {
	_, ok := o.reservations[t.name]
	return ok
}

// victims returns the tasks to evict from the worker so that the task fits, the cheapest first, or false if the task
// cannot fit.
func (o *Owner) victims(p *pass, w *worker, t *task) ([]*task, bool) {
	var a []*task
	for _, b := range w.tasks {
		if b.stopReason == "" && o.canEvict(p, t.spec, b.spec) {
			a = append(a, b)
		}
	}
	slices.SortFunc(a, func(x, y *task) int {
		return cmp.Or(-cmp.Compare(x.spec.Class, y.spec.Class), -o.compareBindOrder(x, y), cmp.Compare(x.name, y.name))
	})
	free := p.free[w.name].Add(o.stoppingSize(w)).Sub(p.reserved[w.name])
	for i, v := range a {
		if t.spec.Size.Fits(free) {
			return a[:i], true
		}
		free = free.Add(v.size)
	}
	return a, t.spec.Size.Fits(free)
}

// canEvict reports whether a task of spec s may evict a task of spec victim. mayEvict must hold for s.
//
// Services and urgent tasks evict normal and patient tasks. A team within its quota
// reclaims capacity from another team that exceeds its own quota: a task evicts
// tasks of the same class and of classes with a higher number, and never so many
// that the other team falls below its quota. Otherwise the two teams would evict
// each other in an endless loop.
func (o *Owner) canEvict(p *pass, s, victim *Spec) bool {
	if victim.Class == ClassService {
		return false
	}
	if s.Class <= ClassUrgent && victim.Class > ClassUrgent {
		return true
	}
	return victim.Class >= s.Class && victim.Team != s.Team &&
		!p.used[victim.Team].Sub(victim.Size).Fits(o.quotas[victim.Team])
}

// mayEvict reports whether the task may evict any others: it is a service or urgent task, or its team is within its quota
// and another team exceeds its own.
func (p *pass) mayEvict(o *Owner, s *Spec) bool {
	return s.Class <= ClassUrgent || len(p.overQuota) > 0 && p.withinQuota(o, s)
}

// compareBindOrder compares the commitment order of two attempts. The youngest is evicted first because it has the
// least work to lose.
func (o *Owner) compareBindOrder(x, y *task) int {
	return cmp.Compare(o.shard.Attempts[x.name].BindOffset, o.shard.Attempts[y.name].BindOffset)
}

// stoppingSize returns the capacity that the worker's stopping attempts will free.
func (o *Owner) stoppingSize(w *worker) document.Size {
	var s document.Size
	for _, b := range w.tasks {
		if b.stopReason != "" {
			s = s.Add(b.size)
		}
	}
	return s
}

// evictionCost returns the cost of evicting the tasks. A patient task costs 1 and any other task 4.
func evictionCost(v []*task) int {
	c := 0
	for _, t := range v {
		if t.spec.Class == ClassPatient {
			c++
			continue
		}
		c += 4
	}
	return c
}

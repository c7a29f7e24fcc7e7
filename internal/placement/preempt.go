package placement

import (
	"cmp"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/record"
	"currantknot.dev/currantknot/pkg/document"
)

// preemptEvery is the time between two searches for room by eviction for the same group.
const preemptEvery = 500 * time.Millisecond

// reclaimEvery is the time between two searches for room that other teams have borrowed.
const reclaimEvery = 3 * time.Second

// preempt makes room for a task by evicting tasks of lower classes from one worker.
func (o *Owner) preempt(p *pass, t *task) {
	g := o.groups[t.spec.Group]
	if p.now.Before(g.preemptAt) || o.hasReservation(t) || !p.mayEvict(o, t.spec) {
		return
	}
	var cs []Candidate
	var vs [][]*task
	for _, w := range p.open {
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
		g.preemptAt = p.now.Add(preemptEvery)
		if g.spec.Class > ClassUrgent {
			g.preemptAt = p.now.Add(reclaimEvery)
		}
		return
	}
	balance(cs)
	i := o.Policy.Choose(t.spec, cs)
	n := cs[i].Worker
	o.reservations[t.name] = reservation{worker: n, size: t.spec.Size, until: p.now.Add(reserveFor)}
	p.held[n] = p.held[n].Add(t.spec.Size)
	for _, v := range vs[i] {
		p.used[v.spec.Team] = p.used[v.spec.Team].Sub(v.size)
		o.end(v, record.ReleaseEvicted, "Evict", "room for "+t.spec.Class.String()+" task "+t.name)
	}
}

// balance fills in how many tasks of the group each candidate's failure domain holds.
func balance(cs []Candidate) {
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

// victims returns the cheapest tasks on the worker whose end makes room for the task.
func (o *Owner) victims(p *pass, w *worker, t *task) ([]*task, bool) {
	var a []*task
	for _, b := range w.bound {
		if b.stop == "" && o.canEvict(p, t.spec, b.spec) {
			a = append(a, b)
		}
	}
	slices.SortFunc(a, func(x, y *task) int {
		return cmp.Or(-cmp.Compare(x.spec.Class, y.spec.Class), -o.boundAt(x, y), cmp.Compare(x.name, y.name))
	})
	free := p.free[w.name].Add(o.stopping(w)).Sub(p.held[w.name])
	for i, v := range a {
		if t.spec.Size.Fits(free) {
			return a[:i], true
		}
		free = free.Add(v.size)
	}
	return a, t.spec.Size.Fits(free)
}

// canEvict reports whether a task may take the room of another.
//
// Services and urgent tasks evict batch of lower classes. A team within its quota
// takes back what a team beyond its own has borrowed, from its own class downwards
// and never so much that the other falls below its quota, or the two would take
// turns for ever.
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

// mayEvict reports whether the task may evict others at all: it is urgent, or its team is within its quota and another is not.
func (p *pass) mayEvict(o *Owner, s *Spec) bool {
	return s.Class <= ClassUrgent || len(p.over) > 0 && p.withinQuota(o, s)
}

// boundAt compares the ages of two attempts; the youngest has the least work to lose.
func (o *Owner) boundAt(x, y *task) int {
	return cmp.Compare(o.shard.Attempts[x.name].BoundAt, o.shard.Attempts[y.name].BoundAt)
}

// stopping returns the size that attempts under way to their end will free.
func (o *Owner) stopping(w *worker) document.Size {
	var s document.Size
	for _, b := range w.bound {
		if b.stop != "" {
			s = s.Add(b.size)
		}
	}
	return s
}

// evictionCost weighs the victims: a normal task costs as much as four patient ones.
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

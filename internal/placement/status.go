package placement

import (
	"cmp"
	"slices"
)

// GroupStatus describes the tasks of one group in a shard.
type GroupStatus struct {
	Group string
	Class Class
	// Running counts the tasks that are committed to a worker, also those that have not started yet.
	Running  int
	Waiting  int
	Finished int
	// GivenUp counts the tasks that are not retried because they have failed Spec.MaxFailures times.
	GivenUp int
	// Reason states why a task of the group could not be placed when one was last tried, empty if it was placed.
	Reason string
}

// Status describes a shard.
type Status struct {
	Owner   string
	Epoch   uint64
	Workers int
	// Quarantined lists the names of the quarantined workers.
	Quarantined []string
	Groups      []GroupStatus
}

// Status returns the state of the shard.
func (o *Owner) Status() Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := Status{Owner: o.shard.Owner, Epoch: o.shard.Epoch, Workers: len(o.workers)}
	for n, w := range o.workers {
		if w.health.isQuarantined() {
			s.Quarantined = append(s.Quarantined, n)
		}
	}
	slices.Sort(s.Quarantined)
	gs := make(map[string]*GroupStatus, len(o.groups))
	for n, g := range o.groups {
		x := &GroupStatus{Group: n, Class: g.spec.Class, Reason: g.reason}
		if f := o.shard.Finished[n]; f != nil {
			x.Finished = f.Count
		}
		gs[n] = x
	}
	for n, t := range o.tasks {
		if g := gs[t.spec.Group]; g != nil {
			o.countTask(g, n, t)
		}
	}
	for n, g := range o.groups {
		gs[n].Waiting += o.countNeverQueued(g)
	}
	for _, g := range gs {
		s.Groups = append(s.Groups, *g)
	}
	slices.SortFunc(s.Groups, func(a, b GroupStatus) int { return cmp.Compare(a.Group, b.Group) })
	return s
}

func (o *Owner) countTask(g *GroupStatus, name string, t *task) {
	a := o.shard.Attempts[name]
	switch {
	case a != nil && a.IsBound():
		g.Running++
	case a != nil && o.isGivenUp(t.spec, a):
		g.GivenUp++
	default:
		g.Waiting++
	}
}

// countNeverQueued counts the shard's tasks of a group that have not yet been considered for placement.
func (o *Owner) countNeverQueued(g *group) int {
	n := 0
	for i := g.next; i < g.spec.Count; i++ {
		name := TaskName(g.spec.Group, i)
		if TaskShard(g.spec.Group, i, o.view.Document.Shards()) == o.Number && o.tasks[name] == nil && !o.shard.IsFinished(name) {
			n++
		}
	}
	return n
}

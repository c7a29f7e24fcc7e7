package placement

import (
	"cmp"
	"slices"
	"time"
)

// GroupStatus describes the tasks of one group in a shard.
type GroupStatus struct {
	Group    string
	Class    Class
	Running  int
	Waiting  int
	Finished int
	GivenUp  int
	// Reason tells why the head of the queue waits.
	Reason string
}

// Status describes a shard.
type Status struct {
	Owner       string
	Epoch       uint64
	Workers     int
	Quarantined []string
	Groups      []GroupStatus
}

// Status returns the state of the shard.
func (o *Owner) Status(now time.Time) Status {
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
		a := o.shard.Attempts[n]
		g := gs[t.spec.Group]
		switch {
		case g == nil:
		case a != nil && a.IsBound():
			g.Running++
		case a != nil && o.isGivenUp(t.spec, a):
			g.GivenUp++
		default:
			g.Waiting++
		}
	}
	for _, g := range gs {
		s.Groups = append(s.Groups, *g)
	}
	slices.SortFunc(s.Groups, func(a, b GroupStatus) int { return cmp.Compare(a.Group, b.Group) })
	return s
}

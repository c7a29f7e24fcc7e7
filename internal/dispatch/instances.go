package dispatch

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxInstanceListAge is the age of the list of instances from which on waves are not continued by it.
	maxInstanceListAge = 4 * time.Second
	// minAbsences is the number of lists in a row without an instance from which on it counts as gone.
	minAbsences = 2
	// maintenanceEffectTimeout is the time after an accepted order from which on a worker that still responds was not taken down by
	// it, since the maintenance had been done before.
	maintenanceEffectTimeout = time.Second
)

// Instance is a machine, which runs at most one worker at a time.
type Instance struct {
	ID string
	// Worker is the ID of the worker on the instance, empty while the instance is down.
	Worker string
	Up     bool
	// InMaintenance means that the instance is down for the maintenance of some wave.
	InMaintenance bool
}

// SetInstances applies the platform's list of instances as of the given time, and completes the maintenances that it shows to be.
func (p *Planner) SetInstances(l []Instance, asOf time.Time) {
	p.instances, p.instancesAt = make(map[string]Instance, len(l)), asOf
	for _, i := range l {
		p.instances[i.ID] = i
	}
	p.recordAbsences()
	for _, w := range p.waves {
		for _, m := range w.active {
			if p.isComplete(m, asOf) {
				p.completeMaintenance(w, m, asOf)
			}
		}
	}
	p.updateCordons()
}

// recordAbsences records which instances of the waves the latest list leaves out.
func (p *Planner) recordAbsences() {
	absences := make(map[string]int)
	for _, w := range p.waves {
		for _, id := range slices.AppendSeq(slices.Clone(w.Instances), maps.Keys(w.active)) {
			if _, listed := p.instances[id]; !listed {
				absences[id] = p.absences[id] + 1
			}
		}
	}
	p.absences = absences
}

// hasLeft reports whether an instance is gone for good: minAbsences lists in a row have left it out. A list is read in pages, which are
// no snapshot, so that a single one may leave out an instance that is still there.
func (p *Planner) hasLeft(instance string) bool { return p.absences[instance] >= minAbsences }

// isComplete reports whether the list of instances as of the given time shows that a maintenance is complete: an order for it was
// accepted, and the instance is up with another worker or has left.
//
// The platform also accepts an order for what was done before, such as for an
// earlier owner whose records were lost. It then takes nothing down, which the
// worker tells that still responds.
func (p *Planner) isComplete(m *maintenance, asOf time.Time) bool {
	if !m.accepted || asOf.Before(m.acceptedAt) {
		return false
	}
	i, listed := p.instances[m.instance]
	switch {
	case !listed:
		return p.hasLeft(m.instance)
	case !i.Up:
		return false
	case i.Worker != m.worker:
		return true
	}
	w, effectAt := p.workers[m.worker], m.acceptedAt.Add(maintenanceEffectTimeout)
	return w != nil && !asOf.Before(effectAt) && !w.lastRequestedAt.Before(effectAt)
}

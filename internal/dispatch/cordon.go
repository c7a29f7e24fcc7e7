package dispatch

// updateCordons derives the cordons, by worker ID, from the maintenances of the requested waves. A worker is cordoned for as long as
// such a maintenance has begun and the worker may be on its instance.
func (p *Planner) updateCordons() {
	clear(p.cordons)
	for _, w := range p.waves {
		for id, m := range w.active {
			if w.includes(id) && p.mayBeOnInstance(m) {
				p.cordons[m.worker] = m
			}
		}
	}
}

// mayBeOnInstance reports whether the worker of a maintenance may be on the instance by the latest list, if there is one.
func (p *Planner) mayBeOnInstance(m *maintenance) bool {
	if p.instances == nil {
		return true
	}
	i, listed := p.instances[m.instance]
	if !listed {
		return !p.hasLeft(m.instance)
	}
	return !i.Up || i.Worker == m.worker
}

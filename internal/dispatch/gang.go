package dispatch

import (
	"cmp"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

// placeGang starts all tasks of a gang or none. A rack-sensitive gang is placed on workers that share a label, that of a rack
// first, if all tasks of the gang fit on such workers or soon will, and otherwise on any workers.
func (p *Planner) placeGang(c *candidateStep, now time.Time) {
	labels, racks := p.gangLabels(c)
	for i, r := range labels {
		l := p.fitGang(c, r, now)
		if l == nil {
			continue
		}
		if i >= racks && p.gangWaitsForRack(c, labels[:racks], now) {
			return
		}
		if x := p.racks.waits[c.tasks[0].Ref]; x != nil {
			x.inRack = i < racks
		}
		p.assignGang(c, l, now)
		return
	}
	t := c.tasks[0]
	p.logWait(wait{step: c, task: t, waited: p.waits.record(t, now)}, now)
}

// assignGang assigns the tasks of a gang to the workers in l, in this order, and reports whether all were allowed to start.
func (p *Planner) assignGang(c *candidateStep, l []*worker, now time.Time) bool {
	ids := make([]string, len(l))
	incarnations := make([]int64, len(l))
	for i, w := range l {
		ids[i], incarnations[i] = w.ID, w.Incarnation
	}
	if !p.accounts.fits(c) || !c.job.AssignGang(c.tasks, ids, incarnations, now) {
		return false
	}
	for i, t := range c.tasks {
		p.waits.remove(t)
		p.orderStart(c.job, t, l[i], now)
	}
	return true
}

// fitGang returns a worker for each member of a gang among the workers with a label, or nil if not all members fit.
func (p *Planner) fitGang(c *candidateStep, label string, now time.Time) []*worker {
	free := make(map[*worker]jobs.Resources)
	count := make(map[*worker]int)
	for _, w := range p.workersWith(label) {
		if p.mayTakeMember(w, c, now) {
			free[w] = w.free()
		}
	}
	l := make([]*worker, 0, len(c.tasks))
	for range c.tasks {
		w := workerWithMostCPU(free, count, c.step)
		if w == nil {
			return nil
		}
		free[w] = free[w].Minus(c.step.Reserved())
		count[w]++
		l = append(l, w)
	}
	return l
}

// mayTakeMember reports whether a worker may get a member of a gang. A long-running gang that has waited for too long goes by free
// capacity alone.
func (p *Planner) mayTakeMember(w *worker, c *candidateStep, now time.Time) bool {
	byCapacity := c.step.LongRunning && p.goesByCapacity(c.tasks[0], now)
	if e := p.workerExclusion(w, now); e != notExcluded && (e != excludedAvoided || !byCapacity) {
		return false
	}
	return p.offerExclusion(w, c, now) == notExcluded && (byCapacity && p.leavesMoved(w, c, c.tasks[0]) || len(p.reservations.byWorker[w.ID]) == 0)
}

// workerWithMostCPU returns the worker with the most free CPU that can take one more task of the step, or nil if none can.
// free and count hold the free resources and the planned tasks of the step by worker.
func workerWithMostCPU(free map[*worker]jobs.Resources, count map[*worker]int, s *jobs.Step) *worker {
	var best *worker
	for w, r := range free {
		if !r.CanFit(s.Reserved()) || s.MaxPerWorker > 0 && count[w] >= s.MaxPerWorker {
			continue
		}
		if best == nil || r.MilliCPU > free[best].MilliCPU || r.MilliCPU == free[best].MilliCPU && w.ID < best.ID {
			best = w
		}
	}
	return best
}

// placeGangIsolated places all tasks of a gang on as few workers as possible, or none.
func (p *Planner) placeGangIsolated(c *candidateStep, now time.Time) {
	var l []*worker
	if !slices.ContainsFunc(c.tasks, func(t *jobs.Task) bool { return !p.mayIsolate(t, now) }) {
		l = p.fitGangTightly(c, now)
	}
	if l == nil || !p.assignGang(c, l, now) {
		p.logWait(wait{step: c, task: c.tasks[0], waited: p.waits.record(c.tasks[0], now), suspect: true}, now)
		return
	}
	for i, t := range c.tasks {
		if l[i].isolated == 0 {
			p.isolation.remaining--
		}
		l[i].isolate(l[i].attempts[t.Ref])
	}
	p.Logger.Info().Str("Task", c.tasks[0].String()).Int("Run", c.tasks[0].Run).Int("Members", len(l)).Bool("Isolated", true).Str("Decision", "Isolate").Msg("gang that may crash its workers is placed on few workers")
}

// fitGangTightly returns a worker for each member of a gang, each with as many members as fit, those with the least to lose
// first. It returns nil if not all members fit. A contained gang that has waited for too long fits whatever runs there.
func (p *Planner) fitGangTightly(c *candidateStep, now time.Time) []*worker {
	x := shareNone
	if w := p.suspectDeadlines(c.tasks[0], now); w.isContainedOverdue(now) {
		x = shareIsolated
	}
	r := p.rateByRisk(c, x, now)
	slices.SortStableFunc(r, func(a, b rating) int { return cmp.Compare(b.score, a.score) })
	l := make([]*worker, 0, len(c.tasks))
	for _, x := range r {
		free := x.worker.free()
		for n := 0; len(l) < len(c.tasks) && free.CanFit(c.step.Reserved()) && (c.step.MaxPerWorker == 0 || n < c.step.MaxPerWorker); n++ {
			free = free.Minus(c.step.Reserved())
			l = append(l, x.worker)
		}
	}
	if len(l) < len(c.tasks) {
		return nil
	}
	return l
}

package dispatch

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

// Plan decides on starts, repeated stops and paces; Take returns what follows.
func (p *Planner) Plan(now time.Time) {
	p.ExpireLeases(now)
	p.repeatStops(now)
	l := p.candidates(now)
	p.reserve.observe(p.list, l, now)
	p.judgeSpeeds(now)
	p.open = p.openWorkers(now)
	p.full = make(map[fullKey]jobs.Resources)
	for _, c := range l {
		if c.step.Gang {
			p.placeGang(&c, now)
			continue
		}
		p.placeStep(&c, now)
	}
	p.vacate(now)
	p.rescue(now)
	p.maintain(now)
	p.control(now)
	p.relocate(now)
	p.logModel(now)
}

// repeatStops sends stops again that have not led to an end.
func (p *Planner) repeatStops(now time.Time) {
	for _, w := range p.list {
		for _, a := range w.list {
			if a.stopping && a.phase != phasePlanned && now.Sub(a.stopSentAt) >= stopEvery {
				p.sendStop(w, a, now)
			}
		}
	}
}

// placeStep starts as many tasks of a step as there is room for.
func (p *Planner) placeStep(c *candidate, now time.Time) {
	if p.isFull(c, c.tasks[0]) {
		return
	}
	l := p.rateWorkers(c, now)
	for _, t := range c.tasks {
		r := p.find(c, t, l, now)
		if r == nil {
			if c.job.Queue.NeedsPermit {
				p.askAdvice(c, now)
			}
			return
		}
		p.waits.end(t)
		p.assign(c.job, t, r.worker, now)
		r.score, r.ok = p.score(r.worker, c, now)
	}
}

// find returns the best of the rated workers for a task, nil where none has room.
//
// Workers where the task failed and those that it would fill beyond the
// reserve come last, once it has waited long enough.
func (p *Planner) find(c *candidate, t *jobs.Task, l []rating, now time.Time) *rating {
	if r := p.choose(c, t, l, limits{keepReserve: c.step.LongRunning, avoidFailed: true}); r != nil {
		return r
	}
	waited := p.waits.note(t, now)
	p.logWait(c, t, waited, now)
	x := limits{
		keepReserve: c.step.LongRunning && !p.mayUseReserve(c, t, waited, now),
		avoidFailed: !c.step.LongRunning && waited < returnAfter,
	}
	return p.choose(c, t, l, x)
}

// mayUseReserve tells whether a long-running task that finds no room outside the reserve has waited long enough to take
// from it; one that ran before has.
func (p *Planner) mayUseReserve(c *candidate, t *jobs.Task, waited time.Duration, now time.Time) bool {
	return (t.Run > 0 || waited >= reserveWait) && p.roomFor(c, t, now) >= ampleRoom
}

// ampleRoom is the number of tasks for which there has to be room before a long-running one takes from the reserve.
const ampleRoom = 2

// roomFor returns for how many tasks like the given one there is room.
func (p *Planner) roomFor(c *candidate, t *jobs.Task, now time.Time) int {
	n := 0
	for _, w := range p.list {
		if p.isEligible(w, c.job, c.step, now) && !p.isCrowded(w, c, t) && w.free().CanFit(c.step.Reserved()) {
			n += w.free().MilliCPU / max(c.step.Size.MilliCPU, 1)
		}
	}
	return n
}

func (p *Planner) assign(j *jobs.Job, t *jobs.Task, w *worker, now time.Time) {
	if !j.Assign(t, w.ID, w.Incarnation, now) {
		return
	}
	p.order(j, t, w, now)
}

// order plans the start of a task that was assigned.
func (p *Planner) order(j *jobs.Job, t *jobs.Task, w *worker, now time.Time) {
	a := &attempt{job: j, task: t, run: t.Run, life: w.Incarnation, plannedAt: now, pace: fullPace}
	w.add(a)
	p.dirty[j.ID] = j
	x, _ := p.permitted(w, j, StepRef{t.Job, t.Occurrence, t.Step}, now)
	p.orders = append(p.orders, Order{
		Ref: t.Ref, Kind: OrderStart, Run: t.Run, Worker: w.ID, Address: w.Address, Payload: j.Payload, Checkpoint: t.Checkpoint, Permit: x,
	})
	p.Logger.Info().Str("Task", t.String()).Int("Run", t.Run).Str("Worker", w.ID).Int64("Life", w.Incarnation).Str("Decision", "Start").
		Int("FreeMilliCPU", w.free().MilliCPU).Int("FreeMemoryMB", w.free().MemoryMB).Dur("ReportAge", now.Sub(w.contactAt)).Dur("JobAge", now.Sub(j.SubmittedAt)).Msg("task is placed")
}

// rating is how well a worker suits the tasks of a step.
type rating struct {
	worker *worker
	score  float64
	// ok tells that the worker may get such a task.
	ok bool
}

// rateWorkers rates the workers that may run a step, once for all its tasks.
func (p *Planner) rateWorkers(c *candidate, now time.Time) []rating {
	l := p.ratings[:0]
	t := c.tasks[0]
	ref := StepRef{t.Job, t.Occurrence, t.Step}
	for _, w := range p.open {
		if w.Pool != c.job.Queue.Pool || !w.isFastEnough(c.step) || !w.hasLabel(c.step.Label) || !w.free().CanFit(c.step.Reserved()) {
			continue
		}
		if _, ok := p.permitted(w, c.job, ref, now); !ok {
			continue
		}
		if s, ok := p.score(w, c, now); ok {
			l = append(l, rating{w, s, true})
		}
	}
	p.ratings = l
	return l
}

// limits are the workers that a task does not take.
type limits struct {
	// keepReserve leaves out workers that the task would fill beyond the reserve, and avoidFailed those where it failed.
	keepReserve bool
	avoidFailed bool
}

// choose returns the best of the rated workers within the limits, nil where none has room.
func (p *Planner) choose(c *candidate, t *jobs.Task, l []rating, x limits) *rating {
	var best *rating
	for i := range l {
		r := &l[i]
		if !r.ok || best != nil && (r.score < best.score || r.score == best.score && r.worker.ID > best.worker.ID) {
			continue
		}
		if p.takes(r.worker, c, t, x) {
			best = r
		}
	}
	if best == nil {
		p.noteFull(c, t)
	}
	return best
}

// takes tells whether a worker that was rated for a step has room for one more of its tasks.
func (p *Planner) takes(w *worker, c *candidate, t *jobs.Task, x limits) bool {
	switch {
	case !w.free().CanFit(c.step.Reserved()) || p.isCrowded(w, c, t):
		return false
	case x.keepReserve && !p.reserve.allows(w, c.step):
		return false
	}
	return !x.avoidFailed || !slices.Contains(t.FailedAt, w.ID)
}

// fullKey names best-effort work that finds room at the same workers.
type fullKey struct {
	pool  string
	image string
}

// isFull tells whether smaller work of the kind has found no room in this plan; work with further conditions is tried.
func (p *Planner) isFull(c *candidate, t *jobs.Task) bool {
	n, ok := p.full[fullKey{c.job.Queue.Pool, c.step.Image}]
	return ok && c.step.BestEffort && len(t.FailedAt) == 0 && c.step.Size.CanFit(n)
}

func (p *Planner) noteFull(c *candidate, t *jobs.Task) {
	s := c.step
	if !s.BestEffort || len(t.FailedAt) > 0 || s.Label != "" || s.MaxPerWorker > 0 || c.job.Queue.NeedsPermit {
		return
	}
	k := fullKey{c.job.Queue.Pool, s.Image}
	if n, ok := p.full[k]; !ok || n.CanFit(s.Size) {
		p.full[k] = s.Size
	}
}

// openWorkers returns the workers that may get new tasks in this plan.
func (p *Planner) openWorkers(now time.Time) []*worker {
	l := make([]*worker, 0, len(p.workers))
	for _, w := range p.list {
		if p.isOpen(w, now) {
			l = append(l, w)
		}
	}
	return l
}

func (p *Planner) isOpen(w *worker, now time.Time) bool {
	return w.listed && !w.Draining && !w.cordoned && !p.unavailable[w.FailureDomain] && w.isReachable(now) && !now.Before(w.avoidUntil)
}

// isEligible tells whether a worker may get tasks of a step at all.
func (p *Planner) isEligible(w *worker, j *jobs.Job, s *jobs.Step, now time.Time) bool {
	return p.isOpen(w, now) && w.isFastEnough(s) && w.Pool == j.Queue.Pool && w.hasLabel(s.Label)
}

// isCrowded tells whether the worker has as many tasks of the step as it may.
func (p *Planner) isCrowded(w *worker, c *candidate, t *jobs.Task) bool {
	if c.step.MaxPerWorker == 0 {
		return false
	}
	n := 0
	for r := range w.attempts {
		if r.Job == t.Job && r.Step == t.Step && r.Occurrence == t.Occurrence {
			n++
		}
	}
	return n >= c.step.MaxPerWorker
}

// rackBonus prefers workers near a step's data over any difference in load.
const rackBonus = 10.0

// score rates a worker for a task of the step; higher is better.
func (p *Planner) score(w *worker, c *candidate, now time.Time) (float64, bool) {
	s := 0.0
	if c.step.DataRack != "" && slices.Contains(w.Labels, c.step.DataRack) {
		s += rackBonus
	}
	if c.step.BestEffort {
		f, ok := p.bestEffortScore(w, c, now)
		return s + f, ok
	}
	if c.step.TailBound > 0 {
		return s + p.serviceScore(w, c), true
	}
	f := w.free()
	s += w.part(float64(f.MilliCPU))
	return s, true
}

// placeGang starts all tasks of a gang or none, on one rack where that matters.
func (p *Planner) placeGang(c *candidate, now time.Time) {
	racks := []string{""}
	if c.step.RackSensitive {
		racks = append(p.racks(), "")
	}
	for _, r := range racks {
		l := p.fitGang(c, r, now)
		if l == nil {
			continue
		}
		ids := make([]string, len(l))
		lives := make([]int64, len(l))
		for i, w := range l {
			ids[i], lives[i] = w.ID, w.Incarnation
		}
		if !c.job.AssignGang(c.tasks, ids, lives, now) {
			return
		}
		for i, t := range c.tasks {
			p.order(c.job, t, l[i], now)
		}
		return
	}
	if c.job.Queue.NeedsPermit {
		p.askAdvice(c, now)
	}
}

// racks lists the labels that name racks or kinds, in order.
func (p *Planner) racks() []string {
	seen := make(map[string]bool)
	for _, w := range p.list {
		for _, l := range w.Labels {
			seen[l] = true
		}
	}
	r := make([]string, 0, len(seen))
	for l := range seen {
		r = append(r, l)
	}
	slices.Sort(r)
	return r
}

// fitGang returns a worker for each member of a gang among those with the label, nil where they do not all fit.
func (p *Planner) fitGang(c *candidate, label string, now time.Time) []*worker {
	left := make(map[*worker]jobs.Resources)
	count := make(map[*worker]int)
	for _, w := range p.list {
		_, ok := p.permitted(w, c.job, StepRef{c.tasks[0].Job, c.tasks[0].Occurrence, c.tasks[0].Step}, now)
		if ok && p.isEligible(w, c.job, c.step, now) && w.hasLabel(label) {
			left[w] = w.free()
		}
	}
	l := make([]*worker, 0, len(c.tasks))
	for range c.tasks {
		w := roomiest(left, count, c.step)
		if w == nil {
			return nil
		}
		left[w] = left[w].Minus(c.step.Reserved())
		count[w]++
		l = append(l, w)
	}
	return l
}

// roomiest returns the worker with the most processors left that may take one more task of the step.
func roomiest(left map[*worker]jobs.Resources, count map[*worker]int, s *jobs.Step) *worker {
	var best *worker
	for w, r := range left {
		if !r.CanFit(s.Reserved()) || s.MaxPerWorker > 0 && count[w] >= s.MaxPerWorker {
			continue
		}
		if best == nil || r.MilliCPU > left[best].MilliCPU || r.MilliCPU == left[best].MilliCPU && w.ID < best.ID {
			best = w
		}
	}
	return best
}

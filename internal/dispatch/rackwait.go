package dispatch

import (
	"math"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/locality"
)

// rackWaits holds the waits of tasks for a place in their rack, and what the current plan knows of racks.
//
// A wait stays after its end, so that the waits of a task under this owner add up
// to its limit. The wait of a gang is that of its first task.
type rackWaits struct {
	waits map[jobs.Ref]*rackWait
	// forecasts holds the forecasts by label, each made when a step of the current plan first asked for it.
	forecasts map[string]*rackForecast
	// labels holds the labels in the order in which gangs try them, nil until a gang of the current plan asks, and racks how many
	// of the first of them are racks.
	labels []string
	racks  int
	// byLabel holds the workers by label, made with labels.
	byLabel map[string][]*worker
	// decide decides on the wait of a task.
	decide func(*jobs.Task, locality.Evidence, locality.Wait) (locality.Wait, bool)
	// factorLogged means that a missing factor was logged.
	factorLogged bool
}

// rackWait is the wait of a task or gang.
type rackWait struct {
	locality.Wait
	// rack is the label of the rack.
	rack    string
	waiting bool
	// changes counts how often the deadline was decided again.
	changes int
	// inRack means that a gang starts in one rack.
	inRack bool
}

// rackForecast is the forecast of a rack with the workers that may get tasks, in the forecast's order.
type rackForecast struct {
	*locality.Forecast
	workers []*worker
}

func newRackWaits() rackWaits {
	return rackWaits{
		waits: make(map[jobs.Ref]*rackWait), forecasts: make(map[string]*rackForecast),
		decide: func(_ *jobs.Task, e locality.Evidence, w locality.Wait) (locality.Wait, bool) {
			return locality.Decide(e, w)
		},
	}
}

// begin begins a plan.
func (r *rackWaits) begin() {
	clear(r.forecasts)
	r.labels = nil
}

// removeJob drops the waits of a finished job.
func (r *rackWaits) removeJob(j *jobs.Job) {
	if len(r.waits) == 0 {
		return
	}
	for _, k := range j.Tasks {
		for _, s := range k {
			for _, t := range s {
				delete(r.waits, t.Ref)
			}
		}
	}
}

// of returns the latest wait of a task, the zero Wait if it never waited.
func (r *rackWaits) of(t *jobs.Task) locality.Wait {
	if x := r.waits[t.Ref]; x != nil {
		return x.Wait
	}
	return locality.Wait{}
}

// mayWaitForRack reports whether waits can pay: the factor is known and above 1. It logs once that the factor is missing.
func (p *Planner) mayWaitForRack() bool {
	if !p.OffRackFactor.IsKnown() && !p.racks.factorLogged {
		p.racks.factorLogged = true
		p.Logger.Warn().Float64("Factor", float64(p.OffRackFactor)).Str("Decision", "NoWaitForRack").Msg("no task waits for its rack, since the factor by which it takes longer elsewhere is not known")
	}
	return p.OffRackFactor.IsKnown() && p.OffRackFactor > 1
}

// asksForRack reports whether a task may wait for the rack of its data. What is left to do after a checkpoint is not known, and
// a long-running task has no end.
func (p *Planner) asksForRack(c *candidateStep, t *jobs.Task) bool {
	return c.step.DataRack != "" && !c.step.LongRunning && t.Checkpoint == "" && p.mayWaitForRack()
}

// waitsForRack reports whether a task that could start on the given worker waits for a place in the rack of its data instead.
func (p *Planner) waitsForRack(c *candidateStep, t *jobs.Task, w *worker, now time.Time) bool {
	if c.step.DataRack == "" || w.hasLabel(c.step.DataRack) || !p.asksForRack(c, t) {
		return false
	}
	f := p.rackForecast(c.step.DataRack, now)
	n := p.rackNeed(c, t, f, now)
	x, ok := f.Next(n)
	// A place that is free now and that the task did not get is excluded for a reason that the forecast does not know.
	if !ok || !x.At.After(now) || !p.decideRackWait(c, t, c.step.DataRack, x, now) {
		p.suspendRackWait(t)
		return false
	}
	f.Claim(x, n)
	return true
}

// claimRack claims places for tasks that found no worker anywhere and get the next places in the rack of their data.
func (p *Planner) claimRack(c *candidateStep, l []*jobs.Task, now time.Time) {
	if !p.asksForRack(c, l[0]) {
		return
	}
	f := p.rackForecast(c.step.DataRack, now)
	for _, t := range l {
		n := p.rackNeed(c, t, f, now)
		x, ok := f.Next(n)
		if !ok {
			return
		}
		f.Claim(x, n)
	}
}

// rackForecast returns the forecast of a rack for the current plan.
func (p *Planner) rackForecast(label string, now time.Time) *rackForecast {
	if f := p.racks.forecasts[label]; f != nil {
		return f
	}
	f := &rackForecast{}
	var l []locality.Worker
	for _, w := range p.schedulable {
		if w.hasLabel(label) && w.isolated == 0 {
			f.workers = append(f.workers, w)
			l = append(l, p.forecastWorker(w, now))
		}
	}
	f.Forecast = locality.NewForecast(l, now)
	p.racks.forecasts[label] = f
	return f
}

func (p *Planner) forecastWorker(w *worker, now time.Time) locality.Worker {
	x := locality.Worker{Free: locality.Size{Resources: w.free(), SpareMilliCPU: int(w.spareMilliCPU())}}
	if w.speed.isKnown(now) && p.medianSpeed > 0 {
		x.Speed = w.speed.ratio() / p.medianSpeed
	}
	for _, a := range w.attemptList {
		if !a.task.Spec.LongRunning {
			x.Ends = append(x.Ends, locality.End{At: p.expectedEnd(a, now), Size: takenSize(a.task.Spec)})
		}
	}
	return x
}

// takenSize returns what a task uses of its worker.
func takenSize(s *jobs.Step) locality.Size {
	return locality.Size{Resources: s.Reserved(), SpareMilliCPU: expectedMilliCPU(s)}
}

// rackNeed returns what a task needs of a worker in the rack.
func (p *Planner) rackNeed(c *candidateStep, t *jobs.Task, f *rackForecast, now time.Time) locality.Need {
	n := locality.Need{
		Fit: locality.Size{Resources: c.step.Reserved()}, Take: takenSize(c.step), Took: p.typicalRunTime(c.job, t.Occurrence, t.Step),
		MayUse: func(i int) bool { return p.mayUseRackWorker(f.workers[i], c, t, now) },
	}
	if c.step.BestEffort {
		n.Fit.SpareMilliCPU = int(minSpareFraction * float64(c.step.Size.MilliCPU))
	}
	return n
}

// mayUseRackWorker reports whether a task may get a place on a worker once there is one.
func (p *Planner) mayUseRackWorker(w *worker, c *candidateStep, t *jobs.Task, now time.Time) bool {
	switch {
	case stepExclusion(w, c.job, c.step) != notExcluded, len(p.reservations.byWorker[w.ID]) > 0, slices.Contains(t.FailedAt, w.ID), p.isAtTaskLimit(w, c, t):
		return false
	case c.step.BestEffort && p.expectedSpeed(w, c.step, now) < minExpectedSpeed:
		return false
	}
	_, ok := p.permitFor(w, c.job, stepRef(t), now)
	return ok
}

// decideRackWait decides whether a task waits for a place in a rack, and stores the wait.
func (p *Planner) decideRackWait(c *candidateStep, t *jobs.Task, rack string, x locality.Place, now time.Time) bool {
	w, ok := p.racks.decide(t, p.rackEvidence(c, t, x, now), p.racks.of(t))
	if !ok {
		return false
	}
	p.storeRackWait(c, t, rack, w, now)
	return true
}

// rackEvidence returns what is known of a task that could start elsewhere, or at a place in its rack.
func (p *Planner) rackEvidence(c *candidateStep, t *jobs.Task, x locality.Place, now time.Time) locality.Evidence {
	return locality.Evidence{
		Now: now, Factor: p.OffRackFactor, Took: p.typicalRunTime(c.job, t.Occurrence, t.Step), Place: x, Slack: c.slack, From: p.rackWaitFrom(c, t, now),
	}
}

// rackWaitFrom returns the time from which the waits of a task count. The task may have waited under an earlier owner for as long
// as its job is older than this owner.
func (p *Planner) rackWaitFrom(c *candidateStep, t *jobs.Task, now time.Time) time.Time {
	from := c.job.SubmittedAt
	if d := c.job.EarliestStart(t.Occurrence); !d.IsZero() {
		from = d
	}
	if from.Before(p.takeoverAt) {
		return from
	}
	return now
}

// storeRackWait stores a wait, and logs it when it begins.
func (p *Planner) storeRackWait(c *candidateStep, t *jobs.Task, rack string, w locality.Wait, now time.Time) {
	x := p.racks.waits[t.Ref]
	if x == nil {
		x = &rackWait{}
		p.racks.waits[t.Ref] = x
	}
	begins := !x.waiting
	if !begins && !x.Deadline.Equal(w.Deadline) {
		x.changes++
	}
	x.Wait, x.rack, x.waiting = w, rack, true
	if !begins {
		return
	}
	p.counts.RackWaits++
	p.Logger.Info().Str("Task", t.String()).Int("Run", t.Run+1).Str("Rack", rack).Dur("EndInRack", w.EndInRack.Sub(now)).Dur("EndElsewhere", w.EndElsewhere.Sub(now)).
		Time("Deadline", w.Deadline).Dur("WaitAtMost", w.Deadline.Sub(now)).Dur("Slack", c.slack).Dur("JobAge", now.Sub(c.job.SubmittedAt)).Str("Decision", "WaitForRack").
		Msg("task waits for a place in its rack")
}

// suspendRackWait records that a task no longer waits by choice. The end of the wait is counted when the task starts.
func (p *Planner) suspendRackWait(t *jobs.Task) {
	if x := p.racks.waits[t.Ref]; x != nil && x.waiting {
		x.Deadline, x.PlaceAt = time.Time{}, time.Time{}
	}
}

// recordRackStart takes a started task into account in the forecasts of the current plan, and ends its wait.
func (p *Planner) recordRackStart(j *jobs.Job, t *jobs.Task, w *worker, now time.Time) {
	took := p.typicalRunTime(j, t.Occurrence, t.Step)
	for label, f := range p.racks.forecasts {
		if i := slices.Index(f.workers, w); i >= 0 && w.hasLabel(label) {
			f.Claim(locality.Place{Worker: i, At: now, End: now.Add(took)}, locality.Need{Take: takenSize(t.Spec)})
		}
	}
	x := p.racks.waits[t.Ref]
	if x == nil || !x.waiting {
		return
	}
	inRack := x.inRack || !t.Spec.Gang && w.hasLabel(x.rack)
	x.waiting = false
	p.countRackWait(t, x, took, inRack, now)
}

// countRackWait counts and logs the end of a wait. The gain is against a start elsewhere when the wait began, by the present
// estimate of the run time in the rack.
func (p *Planner) countRackWait(t *jobs.Task, x *rackWait, took time.Duration, inRack bool, now time.Time) {
	end := now.Add(took)
	if !inRack {
		end = end.Add(p.OffRackFactor.Loss(took))
	}
	gain := x.EndElsewhere.Sub(end)
	if gain > 0 {
		p.counts.RackWaitsPaid++
	} else {
		p.counts.RackWaitsUnpaid++
	}
	p.Logger.Info().Str("Task", t.String()).Int("Run", t.Run).Str("Rack", x.rack).Bool("InRack", inRack).Dur("Waited", now.Sub(x.Since)).Dur("Gain", gain).Int("Changes", x.changes).
		Str("Decision", "RackWaitEnd").Msg("task that waited for its rack starts")
}

// gangLabels returns the labels that a gang tries in turn, and how many of the first of them are racks in which it runs at full
// speed. The last label is empty, which every worker has.
func (p *Planner) gangLabels(c *candidateStep) ([]string, int) {
	if c.step.DataRack != "" && p.mayWaitForRack() {
		l := []string{c.step.DataRack}
		if c.step.RackSensitive {
			all, _ := p.orderedLabels()
			l = append(l, all...)
		}
		return append(l, ""), 1
	}
	if !c.step.RackSensitive {
		return []string{""}, 0
	}
	l, n := p.orderedLabels()
	return append(slices.Clone(l), ""), n
}

// orderedLabels returns the labels of all workers, those of racks first, and the number of racks.
func (p *Planner) orderedLabels() ([]string, int) {
	if p.racks.labels == nil {
		l := make([][]string, len(p.workerList))
		p.racks.byLabel = make(map[string][]*worker)
		for i, w := range p.workerList {
			l[i] = w.Labels
			for _, label := range w.Labels {
				p.racks.byLabel[label] = append(p.racks.byLabel[label], w)
			}
		}
		p.racks.labels, p.racks.racks = locality.OrderLabels(l)
	}
	return p.racks.labels, p.racks.racks
}

// workersWith returns the workers with a label; every worker has the empty label.
func (p *Planner) workersWith(label string) []*worker {
	if label == "" {
		return p.workerList
	}
	p.orderedLabels()
	return p.racks.byLabel[label]
}

// gangWaitsForRack reports whether a gang that could start on several racks waits for one of the given racks instead.
func (p *Planner) gangWaitsForRack(c *candidateStep, racks []string, now time.Time) bool {
	if !p.mayGangWait(c, racks) {
		return false
	}
	t := c.tasks[0]
	rack, x := p.nextRackForGang(c, racks, now)
	if rack == "" || !x.At.After(now) || !p.decideRackWait(c, t, rack, x, now) {
		p.suspendRackWait(t)
		return false
	}
	f := p.rackForecast(rack, now)
	n := p.rackNeed(c, t, f, now)
	for range c.tasks {
		y, ok := f.Next(n)
		if !ok {
			break
		}
		f.Claim(y, n)
	}
	return true
}

// mayGangWait reports whether a gang may wait for one of the given racks.
func (p *Planner) mayGangWait(c *candidateStep, racks []string) bool {
	hasCheckpoint := func(t *jobs.Task) bool { return t.Checkpoint != "" }
	return len(racks) > 0 && !c.step.LongRunning && !slices.ContainsFunc(c.tasks, hasCheckpoint) && p.mayWaitForRack()
}

// nextRackForGang returns the rack in which a gang is expected to end first, empty if there is none in which it fits in time.
func (p *Planner) nextRackForGang(c *candidateStep, racks []string, now time.Time) (string, locality.Place) {
	perWorker := math.MaxInt
	if c.step.MaxPerWorker > 0 {
		perWorker = c.step.MaxPerWorker
	}
	rack := ""
	var best locality.Place
	for _, r := range racks {
		f := p.rackForecast(r, now)
		x, ok := f.NextForAll(p.rackNeed(c, c.tasks[0], f, now), len(c.tasks), perWorker)
		if ok && (rack == "" || x.End.Before(best.End)) {
			rack, best = r, x
		}
	}
	return rack, best
}

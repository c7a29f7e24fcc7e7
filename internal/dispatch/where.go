package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/locality"
)

// maxWhereSteps bounds the steps of an answer, since the owner can't plan meanwhile.
const maxWhereSteps = 20

// JobPlacement tells where the waiting tasks of a job would go now, and why.
type JobPlacement struct {
	// State is the state of the job; a job that was not submitted is pending.
	State jobs.State
	Steps []StepPlacement
	// Truncated means that the job has more steps with waiting tasks.
	Truncated bool
}

// StepPlacement tells where the waiting tasks of a step would go now. Those of equal steps that wait ahead of it are not
// considered, except that they have claimed places in racks.
type StepPlacement struct {
	Occurrence int
	Step       int
	// Tasks is the number of waiting tasks. Ready means that they may start now; otherwise an earlier step is not done, or the
	// occurrence is not due.
	Tasks int
	Ready bool
	// Slack is the time left until the job's objective beyond its remaining critical path.
	Slack time.Duration
	// Takers is the number of workers that may get a task, and Excluded counts the others by reason, as Wait lines do.
	Takers   int
	Excluded map[string]int
	// Workers holds the takers by falling score, and then the other workers by reason.
	Workers []WorkerPlacement
	// Gang holds the workers of a gang's tasks, nil if the gang does not fit or the step is none, and GangLabel the label that
	// they share.
	Gang      []string
	GangLabel string
	// Rack tells about the rack of the step's data, or the one for which a gang that fits on several racks may wait; nil if there
	// is none.
	Rack *RackPlacement
}

// WorkerPlacement tells whether a worker would get a task of a step.
type WorkerPlacement struct {
	Worker string
	// Score is the score of a taker; of several, the one with the highest gets the task.
	Score float64
	// Reason is why the worker is passed over, empty for a taker.
	Reason string
	// InRack means that the worker is in the rack of the step's data.
	InRack       bool
	FreeMilliCPU int
	FreeMemoryMB int
}

// RackPlacement tells whether a task would wait for a place in the rack of its data.
type RackPlacement struct {
	Rack string
	// Workers is the number of workers in the rack that may get tasks.
	Workers int
	// Waits means that the first task would wait until Deadline for a place in the rack, though it could start elsewhere.
	Waits    bool
	Deadline time.Time
	// HasPlace means that a place is expected within the longest wait, at PlaceAt; the task would then end at EndInRack.
	HasPlace  bool
	PlaceAt   time.Time
	EndInRack time.Time
	// EndElsewhere is the expected end of a start elsewhere now.
	EndElsewhere time.Time
}

// Where tells where the tasks of a job that was not submitted would go. It changes nothing that later plans depend on.
func (p *Planner) Where(s jobs.Spec, now time.Time) JobPlacement { return p.where(jobs.New(s), now) }

// WhereJob tells where the waiting tasks of a job would go, and whether the planner holds the job. It changes nothing that later
// plans depend on.
func (p *Planner) WhereJob(id string, now time.Time) (JobPlacement, bool) {
	j := p.jobs[id]
	if j == nil {
		return JobPlacement{}, false
	}
	return p.where(j, now), true
}

func (p *Planner) where(j *jobs.Job, now time.Time) JobPlacement {
	r := JobPlacement{State: j.State()}
	if j.IsTerminal() {
		return r
	}
	defer p.preserve()()
	p.schedulable = p.schedulableWorkers(now)
	p.claimForWaiting(now)
	for k := range j.Tasks {
		for i := range j.Steps {
			c := p.waitingStep(j, k, i, now)
			if c == nil {
				continue
			}
			if len(r.Steps) == maxWhereSteps {
				r.Truncated = true
				return r
			}
			r.Steps = append(r.Steps, p.whereStep(c, now))
		}
	}
	return r
}

// preserve replaces what an answer may change by copies, and returns a function that restores it.
func (p *Planner) preserve() func() {
	interference, advice, racks, schedulable := p.interference, p.advice, p.racks, p.schedulable
	p.interference, p.advice = interference.clone(), maps.Clone(advice)
	p.racks = newRackWaits()
	p.racks.waits, p.racks.decide, p.racks.factorLogged = racks.waits, racks.decide, true
	return func() { p.interference, p.advice, p.racks, p.schedulable = interference, advice, racks, schedulable }
}

// clone returns a deep copy of the model.
func (m *interferenceModel) clone() *interferenceModel {
	c := *m
	c.sensitivities = make(map[string]*sensitivity, len(m.sensitivities))
	for k, s := range m.sensitivities {
		x := *s
		x.pairs = make(map[string]*estimate, len(s.pairs))
		for f, e := range s.pairs {
			y := *e
			x.pairs[f] = &y
		}
		c.sensitivities[k] = &x
	}
	c.loads = make(map[string]*load, len(m.loads))
	for k, l := range m.loads {
		x := *l
		c.loads[k] = &x
	}
	return &c
}

// claimForWaiting claims places for the tasks that wait for their racks, in the order in which they began to wait.
func (p *Planner) claimForWaiting(now time.Time) {
	l := make([]jobs.Ref, 0, len(p.racks.waits))
	for r, x := range p.racks.waits {
		if x.waiting && p.jobs[r.Job] != nil {
			l = append(l, r)
		}
	}
	slices.SortFunc(l, func(a, b jobs.Ref) int {
		return cmp.Or(p.racks.waits[a].Since.Compare(p.racks.waits[b].Since), cmp.Compare(a.String(), b.String()))
	})
	for _, r := range l {
		j := p.jobs[r.Job]
		if t := j.Task(r); t != nil && t.State == jobs.TaskWaiting && !t.Spec.Gang {
			p.claimRack(&candidateStep{job: j, step: t.Spec, tasks: []*jobs.Task{t}}, []*jobs.Task{t}, now)
		}
	}
}

// waitingStep returns a step with its waiting tasks, nil if it has none.
func (p *Planner) waitingStep(j *jobs.Job, k, i int, now time.Time) *candidateStep {
	var l []*jobs.Task
	for _, t := range j.Tasks[k][i] {
		if t.State == jobs.TaskWaiting {
			l = append(l, t)
		}
	}
	if len(l) == 0 {
		return nil
	}
	return &candidateStep{job: j, step: &j.Steps[i], tasks: l, urgency: p.urgency(j, k, now)}
}

func (p *Planner) whereStep(c *candidateStep, now time.Time) StepPlacement {
	t := c.tasks[0]
	ready := !now.Before(c.job.EarliestStart(t.Occurrence)) && len(c.job.Ready(t.Occurrence, t.Step, now)) > 0
	r := StepPlacement{Occurrence: t.Occurrence, Step: t.Step, Tasks: len(c.tasks), Ready: ready, Slack: c.slack, Excluded: make(map[string]int)}
	x := constraints{keepReserve: c.step.LongRunning, avoidFailed: true}
	for _, w := range p.workerList {
		y := p.whereWorker(w, c, x, now)
		if y.Reason == "" {
			r.Takers++
		} else {
			r.Excluded[y.Reason]++
		}
		r.Workers = append(r.Workers, y)
	}
	slices.SortFunc(r.Workers, func(a, b WorkerPlacement) int {
		return cmp.Or(cmp.Compare(a.Reason, b.Reason), cmp.Compare(b.Score, a.Score), cmp.Compare(a.Worker, b.Worker))
	})
	switch {
	case c.step.Gang:
		p.whereGang(&r, c, now)
	case c.step.DataRack != "":
		r.Rack = p.whereRack(c, now)
	}
	return r
}

// whereWorker tells whether a worker would get the first task of a step.
func (p *Planner) whereWorker(w *worker, c *candidateStep, x constraints, now time.Time) WorkerPlacement {
	r := WorkerPlacement{Worker: w.ID, FreeMilliCPU: w.free().MilliCPU, FreeMemoryMB: w.free().MemoryMB}
	r.InRack = c.step.DataRack != "" && w.hasLabel(c.step.DataRack)
	if e := p.explain(w, c, c.tasks[0], x, now); e != notExcluded {
		r.Reason = e.String()
		return r
	}
	r.Score, _ = p.score(w, c, now)
	return r
}

// whereGang sets the workers that a gang would get, and the rack for which it would wait.
func (p *Planner) whereGang(r *StepPlacement, c *candidateStep, now time.Time) {
	labels, racks := p.gangLabels(c)
	for i, label := range labels {
		l := p.fitGang(c, label, now)
		if l == nil {
			continue
		}
		for _, w := range l {
			r.Gang = append(r.Gang, w.ID)
		}
		r.GangLabel = label
		if i >= racks {
			r.Rack = p.whereGangRack(c, labels[:racks], now)
		}
		return
	}
}

// whereGangRack tells about the rack in which a gang that could start on several racks is expected to end first, nil if it fits
// in none soon.
func (p *Planner) whereGangRack(c *candidateStep, racks []string, now time.Time) *RackPlacement {
	if !p.mayGangWait(c, racks) {
		return nil
	}
	rack, x := p.nextRackForGang(c, racks, now)
	if rack == "" {
		return nil
	}
	return p.rackPlacement(c, rack, x, true, now)
}

// whereRack tells whether the first task of a step that could start elsewhere would wait for the rack of its data.
func (p *Planner) whereRack(c *candidateStep, now time.Time) *RackPlacement {
	t := c.tasks[0]
	f := p.rackForecast(c.step.DataRack, now)
	x, ok := f.Next(p.rackNeed(c, t, f, now))
	r := p.rackPlacement(c, c.step.DataRack, x, ok, now)
	if !p.asksForRack(c, t) {
		r.Waits, r.Deadline = false, time.Time{}
	}
	return r
}

// rackPlacement tells about a rack with a place for a step, if there is one.
func (p *Planner) rackPlacement(c *candidateStep, rack string, x locality.Place, found bool, now time.Time) *RackPlacement {
	t := c.tasks[0]
	took := p.typicalRunTime(c.job, t.Occurrence, t.Step)
	r := &RackPlacement{Rack: rack, Workers: len(p.rackForecast(rack, now).workers), EndElsewhere: now.Add(took + p.OffRackFactor.Loss(took))}
	if !found {
		return r
	}
	r.HasPlace, r.PlaceAt, r.EndInRack = true, x.At, x.End
	if !x.At.After(now) {
		return r
	}
	w, waits := p.racks.decide(t, p.rackEvidence(c, t, x, now), p.racks.of(t))
	if waits {
		r.Waits, r.Deadline = true, w.Deadline
	}
	return r
}

package dispatch

import (
	"maps"
	"slices"
	"time"
)

const (
	// maintenanceWaitTimeout is the time after which the maintenance of an instance no longer waits for run-to-completion
	// tasks without checkpoints.
	maintenanceWaitTimeout = 4 * time.Second
	// maintenanceRetryInterval is the least time between two maintenance orders for the same instance.
	maintenanceRetryInterval = 500 * time.Millisecond
)

// Instance is a machine, which runs at most one worker at a time.
type Instance struct {
	ID string
	// Worker is the ID of the worker on the instance, empty while the instance is down.
	Worker string
	Up     bool
}

// Wave is a set of instances whose maintenance operators request together, at most MaxConcurrent at a time.
type Wave struct {
	Number int
	// Instances holds the IDs of the instances.
	Instances     []string
	MaxConcurrent int
	// Deadline is when the wave should be completed; the planner only logs this time.
	Deadline time.Time
}

// instanceState is the state of the maintenance of an instance.
type instanceState struct {
	// worker is the ID of the worker that was on the instance when its maintenance began.
	worker string
	// startedAt is when the worker was cordoned, and orderedAt when the maintenance was last ordered.
	startedAt time.Time
	orderedAt time.Time
	// accepted means that the platform accepted a maintenance order.
	accepted   bool
	acceptedAt time.Time
	// done means that the maintenance is complete.
	done bool
}

// waveState is the progress of a wave.
type waveState struct {
	Wave
	// instances holds, by ID, the instances of the wave whose maintenance has begun or is complete.
	instances map[string]*instanceState
	// reportedState is the state in the latest report to operators, empty if that report has to be sent again.
	reportedState string
}

// The states of a wave that are reported to operators.
const (
	WaveRunning   = "running"
	WaveCompleted = "completed"
)

// SetWaves applies the waves that operators request.
func (p *Planner) SetWaves(l []Wave) {
	for _, w := range l {
		s := p.waves[w.Number]
		if s == nil {
			s = &waveState{instances: make(map[string]*instanceState)}
			p.waves[w.Number] = s
			for _, id := range p.maintained[w.Number] {
				s.instances[id] = &instanceState{done: true}
			}
		}
		s.Wave = w
	}
}

// SetInstances applies the platform's list of instances. The maintenance of an instance is complete once an order for it
// was accepted and the instance is up with another worker or no longer listed.
func (p *Planner) SetInstances(l []Instance, now time.Time) {
	p.instances = make(map[string]Instance, len(l))
	for _, i := range l {
		p.instances[i.ID] = i
	}
	for _, w := range p.waves {
		for id, s := range w.instances {
			i, ok := p.instances[id]
			if s.done || !s.accepted || ok && (!i.Up || i.Worker == s.worker) {
				continue
			}
			s.done = true
			p.maintained[w.Number] = append(p.maintained[w.Number], id)
			p.Logger.Info().Str("WorkerInstance", id).Int("Wave", w.Number).Dur("Took", now.Sub(s.startedAt)).Str("Decision", "Maintained").Msg("instance maintenance complete")
		}
	}
}

// HasUnfinishedWave reports whether any maintenance wave is incomplete, or its completion has yet to be reported. The planner
// then needs the list of instances.
func (p *Planner) HasUnfinishedWave() bool {
	for _, w := range p.waves {
		if w.reportedState != WaveCompleted {
			return true
		}
	}
	return false
}

// advanceWaves continues the maintenance of all waves.
func (p *Planner) advanceWaves(now time.Time) {
	if len(p.instances) == 0 || now.Sub(p.takeoverAt) < p.MaintenanceDelay {
		return
	}
	for _, n := range slices.Sorted(maps.Keys(p.waves)) {
		p.advanceWave(p.waves[n], now)
	}
}

// advanceWave cordons instances of a wave, so that at most MaxConcurrent of them are in maintenance, and continues their
// maintenance.
func (p *Planner) advanceWave(w *waveState, now time.Time) {
	var active []string
	remaining := 0
	for _, id := range w.Instances {
		s := w.instances[id]
		if s != nil && s.done || p.wasRemovedBeforeMaintenance(id, s) {
			continue
		}
		remaining++
		if s != nil {
			active = append(active, id)
		}
	}
	for _, id := range w.Instances {
		if len(active) < max(w.MaxConcurrent, 1) && w.instances[id] == nil && p.instances[id].Up {
			p.cordon(w, p.instances[id], now)
			active = append(active, id)
		}
	}
	for _, id := range active {
		p.maintainInstance(w, id, w.instances[id], now)
	}
	p.reportWave(w, remaining)
}

// cordon begins the maintenance of an instance: the worker on the instance gets no new tasks.
func (p *Planner) cordon(w *waveState, i Instance, now time.Time) {
	w.instances[i.ID] = &instanceState{worker: i.Worker, startedAt: now}
	if x := p.workers[i.Worker]; x != nil {
		x.cordoned = true
	}
	p.Logger.Info().Str("WorkerInstance", i.ID).Str("Worker", i.Worker).Int("Wave", w.Number).Time("Deadline", w.Deadline).Str("Decision", "Cordon").Msg("instance cordoned for its maintenance")
}

// wasRemovedBeforeMaintenance reports whether an instance is missing from the platform's list and its maintenance has not
// begun.
func (p *Planner) wasRemovedBeforeMaintenance(id string, s *instanceState) bool {
	_, ok := p.instances[id]
	return !ok && s == nil
}

// reportWave orders a report on a wave when its state has changed or its latest report was not accepted; remaining is the
// number of instances that still have to be maintained.
func (p *Planner) reportWave(w *waveState, remaining int) {
	state := WaveRunning
	if remaining == 0 {
		state = WaveCompleted
	}
	if w.reportedState == state {
		return
	}
	w.reportedState = state
	p.orders = append(p.orders, Order{Kind: OrderReport, Wave: w.Number, State: state})
}

// maintainInstance stops the tasks on an instance and then orders its maintenance. The order is repeated every
// maintenanceRetryInterval until one is accepted.
func (p *Planner) maintainInstance(w *waveState, id string, s *instanceState, now time.Time) {
	if s.accepted || now.Sub(s.orderedAt) < maintenanceRetryInterval {
		return
	}
	x := p.workers[s.worker]
	if x != nil && !p.drainForMaintenance(x, s, now) {
		return
	}
	s.orderedAt = now
	p.orders = append(p.orders, Order{Kind: OrderMaintain, Instance: id, Wave: w.Number})
}

// drainForMaintenance stops long-running tasks and tasks with checkpoints as far as their disruption budgets allow, and
// reports whether the maintenance can begin. Run-to-completion tasks without checkpoints delay the maintenance
// for at most maintenanceWaitTimeout.
func (p *Planner) drainForMaintenance(w *worker, s *instanceState, now time.Time) bool {
	waiting := now.Sub(s.startedAt) < maintenanceWaitTimeout
	drained := true
	for _, a := range w.attemptList {
		switch {
		case a.stopping:
			drained = false
		case a.task.Spec.LongRunning, a.task.Spec.Checkpoints:
			drained = false
			if p.isWithinDisruptionBudget(a, now) {
				p.stop(w, a, "instance is due for maintenance", now)
			}
		case waiting:
			drained = false
		}
	}
	return drained
}

// HandleMaintenanceResult handles the result of a maintenance order.
func (p *Planner) HandleMaintenanceResult(o Order, x OrderResult, now time.Time) {
	w := p.waves[o.Wave]
	if w == nil || w.instances[o.Instance] == nil {
		return
	}
	s := w.instances[o.Instance]
	if x == ResultAccepted && !s.accepted {
		s.accepted, s.acceptedAt = true, now
	}
	p.Logger.Info().Str("WorkerInstance", o.Instance).Int("Wave", o.Wave).Str("Answer", x.String()).Str("Decision", "Maintain").Msg("result of a maintenance order")
}

// HandleWaveReportResult handles the result of a wave report; a report that was not accepted is sent again.
func (p *Planner) HandleWaveReportResult(o Order, x OrderResult) {
	if w := p.waves[o.Wave]; w != nil && x != ResultAccepted && w.reportedState == o.State {
		w.reportedState = ""
	}
}

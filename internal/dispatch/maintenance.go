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
	// maintenanceRefusalTimeout is the time after the first refusal from which on a maintenance whose orders are refused is given up,
	// and maintenanceRefusalBackoff the time after which it may begin again.
	maintenanceRefusalTimeout = 3 * time.Second
	// maintenanceLateness is the same after an order without a result, which may be executed late.
	maintenanceLateness       = 5 * time.Second
	maintenanceRefusalBackoff = 8 * time.Second
)

// Wave is a set of instances whose maintenance operators request together, at most MaxConcurrent at a time.
type Wave struct {
	Number int
	// Instances holds the IDs of the instances.
	Instances     []string
	MaxConcurrent int
	// Deadline is when the wave should be completed; the planner only logs this time.
	Deadline time.Time
}

// maintenance is the maintenance of an instance for a wave, from its beginning until it is complete or given up. Until then, its
// worker is cordoned.
type maintenance struct {
	wave     int
	instance string
	// worker is the ID of the worker that the maintenance takes down: the one that was on the instance when it began.
	worker string
	// startedAt is when the worker was cordoned, and orderedAt when the maintenance was last ordered.
	startedAt time.Time
	orderedAt time.Time
	// inFlight means that an order has no result yet, and uncertain that an order without a result may have been executed.
	inFlight  bool
	uncertain bool
	// accepted means that the platform accepted a maintenance order, and acceptedAt a time after that.
	accepted   bool
	acceptedAt time.Time
	// refusedAt is when an order was first refused since the latest order without a result, zero if none was.
	refusedAt time.Time
}

// mayBeExecuted reports whether the platform may have taken the instance down, or may still do so.
func (m *maintenance) mayBeExecuted() bool { return m.inFlight || m.uncertain || m.accepted }

// isRefused reports whether the platform has refused all orders for maintenanceRefusalTimeout.
func (m *maintenance) isRefused(now time.Time) bool {
	timeout := maintenanceRefusalTimeout
	if m.uncertain {
		timeout = maintenanceLateness
	}
	return !m.accepted && !m.inFlight && !m.refusedAt.IsZero() && now.Sub(m.refusedAt) >= timeout
}

// waveState is the progress of a wave.
type waveState struct {
	Wave
	// requested means that operators request the wave at present.
	requested bool
	// active holds the maintenances that have begun, and done the instances whose maintenance is complete, both by instance ID.
	active map[string]*maintenance
	done   map[string]bool
	// retryAt holds, by instance ID, the time before which a maintenance that was refused does not begin again.
	retryAt map[string]time.Time
	// reportedState is the state in the latest report to operators, empty if that report has to be sent again.
	reportedState string
}

// The states of a wave that are reported to operators.
const (
	WaveRunning   = "running"
	WaveCompleted = "completed"
)

// wave returns the progress of the wave with the given number.
func (p *Planner) wave(number int) *waveState {
	w := p.waves[number]
	if w == nil {
		w = &waveState{Wave: Wave{Number: number}, active: make(map[string]*maintenance), done: make(map[string]bool), retryAt: make(map[string]time.Time)}
		p.waves[number] = w
		for _, id := range p.maintained[number] {
			w.done[id] = true
		}
	}
	return w
}

// SetWaves applies the waves that operators request.
func (p *Planner) SetWaves(l []Wave) {
	requested := make(map[int]bool, len(l))
	for _, w := range l {
		requested[w.Number] = true
		p.wave(w.Number).Wave = w
	}
	for n, w := range p.waves {
		w.requested = requested[n]
		p.dropUnwanted(w)
	}
	p.updateCordons()
}

// dropUnwanted drops the maintenances that operators no longer request, but for those that may be executed.
func (p *Planner) dropUnwanted(w *waveState) {
	for id, m := range w.active {
		if !m.mayBeExecuted() && !w.includes(id) {
			p.dropMaintenance(w, m, "no longer requested")
		}
	}
}

// includes reports whether operators request the maintenance of an instance for the wave at present.
func (w *waveState) includes(instance string) bool {
	return w.requested && slices.Contains(w.Instances, instance)
}

// wanted returns the maintenances that have begun and that operators still request, sorted by instance.
func (w *waveState) wanted() []*maintenance {
	var l []*maintenance
	for _, id := range slices.Sorted(maps.Keys(w.active)) {
		if w.includes(id) {
			l = append(l, w.active[id])
		}
	}
	return l
}

// completeMaintenance records that a maintenance is complete.
func (p *Planner) completeMaintenance(w *waveState, m *maintenance, now time.Time) {
	delete(w.active, m.instance)
	w.done[m.instance] = true
	p.maintained[w.Number] = append(p.maintained[w.Number], m.instance)
	p.maintenanceChanged = true
	if p.instances[m.instance].Worker != m.worker {
		p.recordTakenDown(m.worker)
	}
	p.Logger.Info().Str("WorkerInstance", m.instance).Int("Wave", w.Number).Dur("Took", now.Sub(m.startedAt)).Str("Decision", "Maintained").Msg("instance maintenance complete")
}

// recordTakenDown records that a worker has ended with the maintenance of its instance.
func (p *Planner) recordTakenDown(worker string) {
	if x := p.workers[worker]; x != nil {
		x.takenDown = true
	}
}

// HasUnfinishedWave reports whether any requested maintenance wave is incomplete, or its completion has yet to be reported. The
// planner then needs the list of instances.
func (p *Planner) HasUnfinishedWave() bool {
	for _, w := range p.waves {
		if w.requested && w.reportedState != WaveCompleted {
			return true
		}
	}
	return false
}

// advanceWaves continues the maintenance of all waves, unless the list of instances is too old: the owner would not know what runs on
// an instance that has got another worker since.
func (p *Planner) advanceWaves(now time.Time) {
	if len(p.instances) == 0 || now.Sub(p.instancesAt) > maxInstanceListAge || now.Sub(p.takeoverAt) < p.MaintenanceDelay {
		return
	}
	for _, n := range slices.Sorted(maps.Keys(p.waves)) {
		if w := p.waves[n]; w.requested {
			p.advanceWave(w, now)
		}
	}
	p.updateCordons()
}

// advanceWave begins maintenances of a wave, so that at most MaxConcurrent of its instances are in maintenance, and continues those
// that have begun.
func (p *Planner) advanceWave(w *waveState, now time.Time) {
	for _, m := range w.wanted() {
		p.followInstance(w, m, now)
	}
	remaining, taken := 0, 0
	for _, id := range w.Instances {
		if w.done[id] || p.hasLeft(id) {
			continue
		}
		remaining++
		if w.active[id] != nil || p.instances[id].InMaintenance {
			taken++
		}
	}
	for _, id := range w.Instances {
		if taken < max(w.MaxConcurrent, 1) && p.mayBegin(w, id) && !now.Before(w.retryAt[id]) {
			p.beginMaintenance(w, p.instances[id], now)
			taken++
		}
	}
	for _, m := range w.wanted() {
		p.maintainInstance(m, now)
	}
	p.reportWave(w, remaining)
}

// followInstance adapts a maintenance to what has become of its instance without an order of the owner: one that is down or has left
// is not maintained now, and one that has another worker is maintained with that one. A maintenance that the platform refuses leaves
// its place in the wave to others for a while.
func (p *Planner) followInstance(w *waveState, m *maintenance, now time.Time) {
	i, listed := p.instances[m.instance]
	switch {
	case !m.mayBeExecuted() && (!listed || !i.Up):
		p.dropMaintenance(w, m, "instance is down or has left")
	case m.isRefused(now) && i.Up && i.Worker == m.worker:
		w.retryAt[m.instance] = now.Add(maintenanceRefusalBackoff)
		p.dropMaintenance(w, m, "the platform refuses it")
	case !m.accepted && !m.inFlight && i.Up && i.Worker != m.worker:
		if m.uncertain {
			p.recordTakenDown(m.worker)
		}
		m.worker, m.startedAt, m.refusedAt = i.Worker, now, time.Time{}
		p.maintenanceChanged = true
		p.logCordon(w, m)
	}
}

// mayBegin reports whether the maintenance of an instance may begin: it is due, the instance is up, and it is not maintained for
// another wave.
func (p *Planner) mayBegin(w *waveState, id string) bool {
	if w.done[id] || w.active[id] != nil || !p.instances[id].Up {
		return false
	}
	for _, o := range p.waves {
		if o.active[id] != nil && o.includes(id) {
			return false
		}
	}
	return true
}

// beginMaintenance begins the maintenance of an instance.
func (p *Planner) beginMaintenance(w *waveState, i Instance, now time.Time) {
	m := &maintenance{wave: w.Number, instance: i.ID, worker: i.Worker, startedAt: now}
	w.active[i.ID] = m
	p.maintenanceChanged = true
	p.logCordon(w, m)
}

func (p *Planner) logCordon(w *waveState, m *maintenance) {
	p.Logger.Info().Str("WorkerInstance", m.instance).Str("Worker", m.worker).Int("Wave", w.Number).Time("Deadline", w.Deadline).Str("Decision", "Cordon").Msg("instance cordoned for its maintenance")
}

// dropMaintenance gives a maintenance up that was not executed.
func (p *Planner) dropMaintenance(w *waveState, m *maintenance, reason string) {
	delete(w.active, m.instance)
	p.maintenanceChanged = true
	p.Logger.Info().Str("WorkerInstance", m.instance).Str("Worker", m.worker).Int("Wave", w.Number).Str("Reason", reason).Str("Decision", "Uncordon").Msg("maintenance of the instance given up for now")
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
//
// An order is executed only once a snapshot that names it is committed, so that
// the next owner knows that the instance may be down.
func (p *Planner) maintainInstance(m *maintenance, now time.Time) {
	if _, listed := p.instances[m.instance]; !listed || m.accepted || m.inFlight || now.Sub(m.orderedAt) < maintenanceRetryInterval {
		return
	}
	if x := p.workers[m.worker]; x != nil && !p.drainForMaintenance(x, m, now) {
		return
	}
	p.maintenanceChanged = p.maintenanceChanged || !m.mayBeExecuted()
	m.inFlight, m.orderedAt = true, now
	p.orders = append(p.orders, Order{Kind: OrderMaintain, Instance: m.instance, Wave: m.wave})
}

// drainForMaintenance stops long-running tasks and tasks with checkpoints as far as their disruption budgets allow, and
// reports whether the maintenance can begin. Run-to-completion tasks without checkpoints delay the maintenance
// for at most maintenanceWaitTimeout.
func (p *Planner) drainForMaintenance(w *worker, m *maintenance, now time.Time) bool {
	waiting := now.Sub(m.startedAt) < maintenanceWaitTimeout
	drained := true
	for _, a := range w.attemptList {
		switch {
		case a.stopping:
			drained = false
		case a.task.Spec.LongRunning, a.task.Spec.Checkpoints:
			drained = false
			if p.isWithinDisruptionBudget(a, now) {
				p.reserveElsewhere(w, a, now)
				p.stop(w, a, "instance is due for maintenance", now)
			}
		case waiting:
			drained = false
		}
	}
	return drained
}

// reserveElsewhere reserves capacity of another worker for a long-running task that is about to be stopped, if there is any. Tasks of
// workers that don't respond get their reservations by that.
func (p *Planner) reserveElsewhere(w *worker, a *attempt, now time.Time) {
	if !a.task.Spec.LongRunning || a.task.Spec.Gang || !w.isReachable(now) {
		return
	}
	if o := p.workerElsewhere(w, a, now); o != nil {
		p.reservations.add(o.ID, reservation{ref: a.task.Ref, size: a.task.Spec.Reserved(), freeAt: now})
	}
}

// HandleMaintenanceResult handles the result of a maintenance order.
func (p *Planner) HandleMaintenanceResult(o Order, x OrderResult, now time.Time) {
	w := p.waves[o.Wave]
	if w == nil || w.active[o.Instance] == nil {
		return
	}
	m := w.active[o.Instance]
	m.inFlight = false
	switch x {
	case ResultAccepted:
		p.maintenanceChanged = p.maintenanceChanged || !m.accepted
		m.accepted, m.acceptedAt = true, now
	case ResultUnknown:
		m.uncertain, m.refusedAt = true, time.Time{}
	case ResultRefused, ResultNoCapacity, ResultUnhealthy, ResultNotSent:
		p.maintenanceChanged = p.maintenanceChanged || !m.uncertain
		if x == ResultRefused && m.refusedAt.IsZero() {
			m.refusedAt = now
		}
	}
	p.Logger.Info().Str("WorkerInstance", o.Instance).Int("Wave", o.Wave).Str("Answer", x.String()).Str("Decision", "Maintain").Msg("result of a maintenance order")
}

// HandleWaveReportResult handles the result of a wave report; a report that was not accepted is sent again.
func (p *Planner) HandleWaveReportResult(o Order, x OrderResult) {
	if w := p.waves[o.Wave]; w != nil && x != ResultAccepted && w.reportedState == o.State {
		w.reportedState = ""
	}
}

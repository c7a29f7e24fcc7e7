package dispatch

import (
	"maps"
	"slices"
	"time"
)

const (
	// vacateLimit is the time after which tasks that end by themselves no longer hold up a instance's maintenance.
	vacateLimit = 4 * time.Second
	// maintainRetry is the pause between two orders for the same instance.
	maintainRetry = 500 * time.Millisecond
)

// Instance holds one life of a worker after the other.
type Instance struct {
	ID string
	// Worker is the worker that the instance holds, empty while it is down.
	Worker string
	Up     bool
}

// Wave asks for the maintenance of instances, at most Cap at a time.
type Wave struct {
	Number        int
	Instances     []string
	MaxConcurrent int
	Deadline      time.Time
}

// instanceState is how far the maintenance of an instance has come.
type instanceState struct {
	// worker is the worker that the instance held when its maintenance was decided on.
	worker     string
	begunAt    time.Time
	orderedAt  time.Time
	accepted   bool
	acceptedAt time.Time
	done       bool
}

// waveState is how far a wave has come.
type waveState struct {
	Wave
	instances map[string]*instanceState
	reported  string
}

// The states of a wave, as operators are told.
const (
	WaveRunning   = "running"
	WaveCompleted = "completed"
)

// SetWaves takes in the waves that operators ask for.
func (p *Planner) SetWaves(l []Wave) {
	for _, w := range l {
		s := p.waves[w.Number]
		if s == nil {
			s = &waveState{instances: make(map[string]*instanceState)}
			p.waves[w.Number] = s
			for _, m := range p.maintained[w.Number] {
				s.instances[m] = &instanceState{done: true}
			}
		}
		s.Wave = w
	}
}

// SetInstances takes in the platform's list of instances.
func (p *Planner) SetInstances(l []Instance, now time.Time) {
	p.instances = make(map[string]Instance, len(l))
	for _, m := range l {
		p.instances[m.ID] = m
	}
	for _, w := range p.waves {
		for id, s := range w.instances {
			m, ok := p.instances[id]
			if s.done || !s.accepted || ok && (!m.Up || m.Worker == s.worker) {
				continue
			}
			s.done = true
			p.maintained[w.Number] = append(p.maintained[w.Number], id)
			p.Logger.Info().Str("WorkerInstance", id).Int("Wave", w.Number).Dur("Took", now.Sub(s.begunAt)).Str("Decision", "Maintained").Msg("instance is back")
		}
	}
}

// HasMaintenance tells whether a wave is not completed, so that the list of instances is needed.
func (p *Planner) HasMaintenance() bool {
	for _, w := range p.waves {
		if w.reported != WaveCompleted {
			return true
		}
	}
	return false
}

// maintain takes the waves forward.
func (p *Planner) maintain(now time.Time) {
	if len(p.instances) == 0 || now.Sub(p.takenAt) < p.MaintenanceDelay {
		return
	}
	for _, n := range slices.Sorted(maps.Keys(p.waves)) {
		p.maintainWave(p.waves[n], now)
	}
}

func (p *Planner) maintainWave(w *waveState, now time.Time) {
	var busy []string
	left := 0
	for _, id := range w.Instances {
		s := w.instances[id]
		if s != nil && s.done || p.isGone(id, s) {
			continue
		}
		left++
		if s != nil {
			busy = append(busy, id)
		}
	}
	for _, id := range w.Instances {
		if len(busy) < max(w.MaxConcurrent, 1) && w.instances[id] == nil && p.instances[id].Up {
			p.cordon(w, p.instances[id], now)
			busy = append(busy, id)
		}
	}
	for _, id := range busy {
		p.maintainInstance(w, id, w.instances[id], now)
	}
	p.reportWave(w, left)
}

// cordon begins the maintenance of an instance: its worker gets nothing new.
func (p *Planner) cordon(w *waveState, m Instance, now time.Time) {
	w.instances[m.ID] = &instanceState{worker: m.Worker, begunAt: now}
	if x := p.workers[m.Worker]; x != nil {
		x.cordoned = true
	}
	p.Logger.Info().Str("WorkerInstance", m.ID).Str("Worker", m.Worker).Int("Wave", w.Number).Time("Deadline", w.Deadline).Str("Decision", "Cordon").Msg("instance is emptied for its maintenance")
}

// isGone tells whether an instance that was never touched has left for good.
func (p *Planner) isGone(id string, s *instanceState) bool {
	_, ok := p.instances[id]
	return !ok && s == nil
}

func (p *Planner) reportWave(w *waveState, left int) {
	state := WaveRunning
	if left == 0 {
		state = WaveCompleted
	}
	if w.reported == state {
		return
	}
	w.reported = state
	p.orders = append(p.orders, Order{Kind: OrderReport, Wave: w.Number, State: state})
}

// maintainInstance empties an instance and then orders its maintenance.
func (p *Planner) maintainInstance(w *waveState, id string, s *instanceState, now time.Time) {
	if s.accepted || now.Sub(s.orderedAt) < maintainRetry {
		return
	}
	x := p.workers[s.worker]
	if x != nil && !p.empty(x, s, now) {
		return
	}
	s.orderedAt = now
	p.orders = append(p.orders, Order{Kind: OrderMaintain, Instance: id, Wave: w.Number})
}

// empty moves what runs on a worker elsewhere, and tells whether nothing is left that its maintenance would harm.
func (p *Planner) empty(w *worker, s *instanceState, now time.Time) bool {
	patient := now.Sub(s.begunAt) < vacateLimit
	clear := true
	for _, a := range w.list {
		switch {
		case a.stopping:
			clear = false
		case a.task.Spec.LongRunning, a.task.Spec.Checkpoints:
			clear = false
			if p.isSpareable(a, now) {
				p.stop(w, a, "its instance is due for maintenance", now)
			}
		case patient:
			clear = false
		}
	}
	return clear
}

// HandleMaintenanceResult takes in the outcome of an order for maintenance.
func (p *Planner) HandleMaintenanceResult(o Order, x OrderResult, now time.Time) {
	w := p.waves[o.Wave]
	if w == nil || w.instances[o.Instance] == nil {
		return
	}
	s := w.instances[o.Instance]
	if x == ResultAccepted && !s.accepted {
		s.accepted, s.acceptedAt = true, now
	}
	p.Logger.Info().Str("WorkerInstance", o.Instance).Int("Wave", o.Wave).Str("Answer", x.String()).Str("Decision", "Maintain").Msg("maintenance ordered")
}

// HandleWaveReportResult takes in the outcome of a report on a wave.
func (p *Planner) HandleWaveReportResult(o Order, x OrderResult) {
	if w := p.waves[o.Wave]; w != nil && x != ResultAccepted && w.reported == o.State {
		w.reported = ""
	}
}

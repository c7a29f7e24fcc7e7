package dispatch

import (
	"maps"
	"slices"
	"time"
)

const (
	// vacateLimit is the time after which tasks that end by themselves no longer hold up a machine's maintenance.
	vacateLimit = 4 * time.Second
	// maintainRetry is the pause between two orders for the same machine.
	maintainRetry = 500 * time.Millisecond
)

// Machine is a machine that holds one life of a worker after the other.
type Machine struct {
	ID string
	// Worker is the worker that the machine holds, empty while it is down.
	Worker string
	Up     bool
}

// Wave asks for the maintenance of machines, at most Cap at a time.
type Wave struct {
	Number   int
	Machines []string
	Cap      int
	Deadline time.Time
}

// MachineState is how far the maintenance of a machine has come.
type machineState struct {
	// Worker is the worker that the machine held when its maintenance was decided on.
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
	machines map[string]*machineState
	reported string
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
			s = &waveState{machines: make(map[string]*machineState)}
			p.waves[w.Number] = s
			for _, m := range p.maintained[w.Number] {
				s.machines[m] = &machineState{done: true}
			}
		}
		s.Wave = w
	}
}

// SetMachines takes in the platform's list of machines.
func (p *Planner) SetMachines(l []Machine, now time.Time) {
	p.machines = make(map[string]Machine, len(l))
	for _, m := range l {
		p.machines[m.ID] = m
	}
	for _, w := range p.waves {
		for id, s := range w.machines {
			m, ok := p.machines[id]
			if s.done || !s.accepted || ok && (!m.Up || m.Worker == s.worker) {
				continue
			}
			s.done = true
			p.maintained[w.Number] = append(p.maintained[w.Number], id)
			p.Logger.Info().Str("Machine", id).Int("Wave", w.Number).Dur("Took", now.Sub(s.begunAt)).Str("Decision", "Maintained").Msg("machine is back")
		}
	}
}

// HasMaintenance tells whether a wave is not completed, so that the list of machines is needed.
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
	if len(p.machines) == 0 || now.Sub(p.takenAt) < p.TurnAfter {
		return
	}
	for _, n := range slices.Sorted(maps.Keys(p.waves)) {
		p.maintainWave(p.waves[n], now)
	}
}

func (p *Planner) maintainWave(w *waveState, now time.Time) {
	var busy []string
	left := 0
	for _, id := range w.Machines {
		s := w.machines[id]
		if s != nil && s.done || p.isGone(id, s) {
			continue
		}
		left++
		if s != nil {
			busy = append(busy, id)
		}
	}
	for _, id := range w.Machines {
		if len(busy) < max(w.Cap, 1) && w.machines[id] == nil && p.machines[id].Up {
			p.cordon(w, p.machines[id], now)
			busy = append(busy, id)
		}
	}
	for _, id := range busy {
		p.maintainMachine(w, id, w.machines[id], now)
	}
	p.reportWave(w, left)
}

// cordon begins the maintenance of a machine: its worker gets nothing new.
func (p *Planner) cordon(w *waveState, m Machine, now time.Time) {
	w.machines[m.ID] = &machineState{worker: m.Worker, begunAt: now}
	if x := p.workers[m.Worker]; x != nil {
		x.cordoned = true
	}
	p.Logger.Info().Str("Machine", m.ID).Str("Worker", m.Worker).Int("Wave", w.Number).Time("Deadline", w.Deadline).Str("Decision", "Cordon").Msg("machine is emptied for its maintenance")
}

// isGone tells whether a machine that was never touched has left for good.
func (p *Planner) isGone(id string, s *machineState) bool {
	_, ok := p.machines[id]
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

// maintainMachine empties a machine and then orders its maintenance.
func (p *Planner) maintainMachine(w *waveState, id string, s *machineState, now time.Time) {
	if s.accepted || now.Sub(s.orderedAt) < maintainRetry {
		return
	}
	x := p.workers[s.worker]
	if x != nil && !p.empty(x, s, now) {
		return
	}
	s.orderedAt = now
	p.orders = append(p.orders, Order{Kind: OrderMaintain, Machine: id, Wave: w.Number})
}

// empty moves what runs on a worker elsewhere, and tells whether nothing is left that its maintenance would harm.
func (p *Planner) empty(w *worker, s *machineState, now time.Time) bool {
	patient := now.Sub(s.begunAt) < vacateLimit
	clear := true
	for _, a := range w.attempts {
		switch {
		case a.stopping:
			clear = false
		case a.task.Spec.LongRunning, a.task.Spec.Checkpoints:
			clear = false
			if p.isSpareable(a, now) {
				p.stop(w, a, "its machine is due for maintenance", now)
			}
		case patient:
			clear = false
		}
	}
	return clear
}

// Maintained takes in the outcome of an order for maintenance.
func (p *Planner) Maintained(o Order, x Answer, now time.Time) {
	w := p.waves[o.Wave]
	if w == nil || w.machines[o.Machine] == nil {
		return
	}
	s := w.machines[o.Machine]
	if x == AnswerAccepted && !s.accepted {
		s.accepted, s.acceptedAt = true, now
	}
	p.Logger.Info().Str("Machine", o.Machine).Int("Wave", o.Wave).Str("Answer", x.String()).Str("Decision", "Maintain").Msg("maintenance ordered")
}

// Reported takes in the outcome of a report on a wave.
func (p *Planner) Reported(o Order, x Answer) {
	if w := p.waves[o.Wave]; w != nil && x != AnswerAccepted && w.reported == o.State {
		w.reported = ""
	}
}

package dispatch

import (
	"cmp"
	"maps"
	"slices"
)

// maxStoredMaintained bounds the instances in a snapshot whose maintenance is complete, except for those of requested waves.
const maxStoredMaintained = 4096

// maintenanceRecord is the encoded maintenance of an instance that is not complete. The records follow the snapshotRecord, where
// versions that don't know them ignore them.
type maintenanceRecord struct {
	Wave     int
	Instance string
	Worker   string
	// Ordered means that an order may have been executed, and Accepted that one was accepted.
	Ordered  bool
	Accepted bool
}

// HasMaintenanceChanged reports whether a maintenance has changed since the latest snapshot was prepared, so that a snapshot must be
// committed before the orders of the latest plan are executed.
func (p *Planner) HasMaintenanceChanged() bool { return p.maintenanceChanged }

// maintenanceRecords returns the records of all maintenances that are not complete.
func (p *Planner) maintenanceRecords() []maintenanceRecord {
	var l []maintenanceRecord
	for _, w := range p.waves {
		for _, m := range w.active {
			l = append(l, maintenanceRecord{m.wave, m.instance, m.worker, m.mayBeExecuted(), m.accepted})
		}
	}
	slices.SortFunc(l, func(a, b maintenanceRecord) int {
		return cmp.Or(cmp.Compare(a.Wave, b.Wave), cmp.Compare(a.Instance, b.Instance))
	})
	return l
}

// restoreMaintenances restores the maintenances that an earlier owner had begun.
func (p *Planner) restoreMaintenances(l []maintenanceRecord) {
	for _, r := range l {
		w := p.wave(r.Wave)
		if w.done[r.Instance] {
			continue
		}
		m := &maintenance{wave: r.Wave, instance: r.Instance, worker: r.Worker, startedAt: p.takeoverAt, uncertain: r.Ordered, accepted: r.Accepted}
		if r.Accepted {
			m.acceptedAt = p.takeoverAt
		}
		w.active[r.Instance] = m
		p.Logger.Info().Str("WorkerInstance", r.Instance).Str("Worker", r.Worker).Int("Wave", r.Wave).Bool("Ordered", r.Ordered).Bool("Accepted", r.Accepted).Str("Decision", "InheritMaintenance").Msg("an earlier owner began the maintenance of the instance")
	}
}

// maintainedRecord returns, by wave number, the instances whose maintenance is complete: those of the requested waves, and of the others
// those of the latest ones up to maxStoredMaintained. Of an earlier wave nothing is left to do; the platform takes an instance down only
// once for a wave in any case.
func (p *Planner) maintainedRecord() map[int][]string {
	m := make(map[int][]string)
	n := 0
	for _, number := range slices.Backward(slices.Sorted(maps.Keys(p.maintained))) {
		l := p.maintained[number]
		w := p.waves[number]
		if requested := w != nil && w.requested; !requested {
			if n += len(l); n > maxStoredMaintained {
				continue
			}
		}
		m[number] = l
	}
	return m
}

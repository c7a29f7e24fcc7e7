package dispatch

import (
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"currantknot.dev/currantknot/internal/msgpackcheck"
)

// pairRecord is the encoded interference estimate of a pair of images.
type pairRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Image    string
	Mean     float64
	Variance float64
}

// imageRecord is the encoded sensitivity of a long-running image.
type imageRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Image    string
	MinTail  float64
	Samples  int
	Pairs    []pairRecord
}

// snapshotRecord is the encoded snapshot of the learned estimates and other state that the next owner restores. Versions decode it only
// with the fields that they know; what is added follows it as a value of its own, which earlier versions ignore.
type snapshotRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Images   []imageRecord
	// RunTimes holds the expected ratio of a run time to its estimate, by queue, for versions that don't read the record of
	// the run times.
	RunTimes map[string]float64
	// Demand is the demand that determines the reserve, 0 if it is not known.
	Demand float64
	// Maintained holds, by wave number, the instances whose maintenance is complete.
	Maintained map[int][]string
	// Unresponsive holds, by worker ID, the workers that are unresponsive and are granted no lease, with the milliseconds until
	// their last lease has expired. The next owner counts the milliseconds from Config.LastCommitAt, which is later than this
	// snapshot, since instances share no clock.
	Unresponsive map[string]int64
	// Interrupted holds, by task, the milliseconds that long-running tasks have had no run. The next owner counts them on from
	// Config.LastCommitAt.
	Interrupted map[string]int64
	// WorkersRestart means that a worker has started again under its ID.
	WorkersRestart bool
}

// isEmpty reports whether the record holds nothing that the next owner would restore.
func (r *snapshotRecord) isEmpty() bool {
	return len(r.Images) == 0 && len(r.RunTimes) == 0 && len(r.Maintained) == 0 && len(r.Unresponsive) == 0 && len(r.Interrupted) == 0 && !r.WorkersRestart
}

// errEmptySnapshot means that the record of the snapshot has no value.
var errEmptySnapshot = errors.New("decode planner snapshot: no value")

// ReduceSnapshots leaves out of later snapshots what the next owner learns again, since the store refuses a whole one. One is due at once.
func (p *Planner) ReduceSnapshots() {
	if p.snapshotsReduced {
		return
	}
	p.snapshotsReduced, p.maintenanceChanged, p.overlongChanged = true, true, true
	p.Logger.Warn().Str("Decision", "ReduceSnapshots").Msg("the store refuses the snapshot; from now on it has no learned estimates")
}

// restoredVariance is added to the variance of restored estimates, since the interference may have changed.
const restoredVariance = 0.05

// PrepareSnapshot withholds leases from the unresponsive workers, and returns an encoded snapshot that
// names these workers. It returns nil if there is nothing to store. The caller calls SnapshotCommitted once the snapshot
// is stored.
func (p *Planner) PrepareSnapshot(now time.Time) ([]byte, error) {
	r := snapshotRecord{Maintained: p.maintainedRecord(), Unresponsive: p.withholdLeases(now), WorkersRestart: p.WorkersRestart}
	if p.reserve.initialized {
		r.Demand = p.reserve.demand
	}
	if !p.snapshotsReduced {
		r.RunTimes, r.Interrupted, r.Images = p.runTimes.Factors(), p.interruptions.encode(now), p.interference.records(maxStoredEstimateBytes)
	}
	l, late, excluded, overlong, bound := p.maintenanceRecords(), p.lateStartRecords(now), p.exclusions.exclusionRecords(now), p.overlongRecords(now), p.bindingRecords(now)
	if r.isEmpty() && len(l)+len(late)+len(excluded)+len(overlong)+len(bound) == 0 && !p.unresponsiveChanged && !p.maintenanceChanged {
		return nil, nil
	}
	b, err := encodeSnapshot(&r, extension(l), extension(late), extension(excluded), extension(overlong), extension(bound))
	if err != nil {
		return nil, fmt.Errorf("encode planner snapshot: %w", err)
	}
	p.maintenanceChanged, p.overlongChanged = false, false
	return b, nil
}

// snapshotExtension is a list of records that follows the snapshotRecord.
type snapshotExtension struct {
	records any
	isEmpty bool
}

func extension[T any](l []T) snapshotExtension { return snapshotExtension{l, len(l) == 0} }

// encodeSnapshot encodes a snapshot with its extensions, in the order in which versions added them; empty ones at the end are left out.
func encodeSnapshot(r *snapshotRecord, l ...snapshotExtension) ([]byte, error) {
	for len(l) > 0 && l[len(l)-1].isEmpty {
		l = l[:len(l)-1]
	}
	b, err := msgpack.Marshal(r)
	if err != nil {
		return nil, err
	}
	for _, e := range l {
		x, err := msgpack.Marshal(e.records)
		if err != nil {
			return nil, err
		}
		b = append(b, x...)
	}
	return b, nil
}

// withholdLeases withholds leases from unresponsive workers, and returns, by worker ID, the milliseconds until their last
// lease has expired.
//
// A later owner relies on these times. Such a worker therefore gets no lease
// until a snapshot that does not name the worker is committed.
func (p *Planner) withholdLeases(now time.Time) map[string]int64 {
	m := make(map[string]int64)
	for id, w := range p.workers {
		if w.isUnresponsive() {
			w.leaseWithheld = true
			m[id] = max(0, w.leaseUntil.Sub(now).Milliseconds())
		}
	}
	if len(m) != len(p.unresponsive) {
		p.Logger.Info().Int("Silent", len(m)).Int("Before", len(p.unresponsive)).Str("Decision", "BarSilent").Msg("number of workers with withheld leases changed")
	}
	p.unresponsive = m
	return m
}

// SnapshotCommitted records that the latest snapshot is stored, so that workers that are not in it may get leases again.
func (p *Planner) SnapshotCommitted() {
	for id, w := range p.workers {
		_, w.leaseWithheld = p.unresponsive[id]
	}
	p.unresponsiveChanged = false
}

// DetectUnresponsiveChange reports whether the unresponsive workers differ from the workers with withheld leases, and records
// that a new snapshot is due if so.
func (p *Planner) DetectUnresponsiveChange() bool {
	for _, w := range p.workerList {
		if w.isUnresponsive() != w.leaseWithheld {
			p.unresponsiveChanged = true
			return true
		}
	}
	return false
}

// HasUnexpiredLeases reports whether the latest snapshot names workers whose leases had not expired. The next owner starts with
// the times in that snapshot, so that a newer snapshot shortens its wait.
func (p *Planner) HasUnexpiredLeases() bool {
	for _, ms := range p.unresponsive {
		if ms > 0 {
			return true
		}
	}
	return false
}

// unresponsiveCalls is the number of consecutive calls without a response after which a worker is granted no lease.
const unresponsiveCalls = 2

// RestoreSnapshot restores the snapshot of an earlier owner.
func (p *Planner) RestoreSnapshot(b []byte) error {
	var r snapshotRecord
	var l []maintenanceRecord
	var late []lateStartRecord
	var excluded []exclusionRecord
	var overlong []overlongRecord
	var bound []bindingRecord
	if len(b) == 0 {
		return errEmptySnapshot
	}
	if err := msgpackcheck.UnmarshalSequence(b, &r, &l, &late, &excluded, &overlong, &bound); err != nil {
		return fmt.Errorf("decode planner snapshot: %w", err)
	}
	for q, x := range r.RunTimes {
		p.runTimes.RestoreFactor(q, x)
	}
	if r.Maintained != nil {
		p.maintained = r.Maintained
	}
	p.restoreMaintenances(l)
	p.restoreLateStarts(late)
	p.exclusions.restore(excluded, p.LastCommitAt, p.takeoverAt.Add(exclusionBound))
	p.unresponsive = r.Unresponsive
	// Earlier owners granted their last leases StoreLossGrace after their latest commit.
	longest := p.maxLeaseExpiry(p.LastCommitAt.Add(p.StoreLossGrace)).Sub(p.LastCommitAt).Milliseconds()
	for id, ms := range r.Unresponsive {
		w := p.worker(id)
		w.leaseUntil = p.LastCommitAt.Add(time.Duration(min(max(ms, 0), longest)) * time.Millisecond)
		// The worker counts as unresponsive until it responds, so that the next snapshot of this owner names the worker as well
		// if it holds attempts.
		w.leaseWithheld, w.failedCalls = true, unresponsiveCalls
	}
	p.restoreOverlong(overlong)
	p.restoreBindings(bound)
	p.WorkersRestart = p.WorkersRestart || r.WorkersRestart
	p.interruptions.restore(r.Interrupted, p.LastCommitAt)
	if r.Demand > 0 {
		p.reserve.initialized, p.reserve.demand, p.reserve.observedAt = true, min(r.Demand, maxReserve), p.takeoverAt
	}
	p.Logger.Info().Int("Images", len(r.Images)).Int("Silent", len(r.Unresponsive)).Str("Decision", "Inherit").Msg("snapshot of an earlier owner restored")
	for _, x := range r.Images {
		p.restoreImage(x)
	}
	return nil
}

// restoreImage restores the sensitivity of an image, except for what is out of range: one such number would spread to all
// estimates that are corrected with it.
func (p *Planner) restoreImage(x imageRecord) {
	if !isEstimate(x.MinTail) || x.Samples < 0 {
		return
	}
	s := p.interference.sensitivityOf(x.Image)
	s.minTail, s.samples = x.MinTail, x.Samples
	for _, f := range x.Pairs {
		if isEstimate(f.Mean) && isEstimate(f.Variance) {
			s.pairs[f.Image] = &estimate{f.Mean, min(priorVariance, f.Variance+restoredVariance)}
		}
	}
}

// maxEstimate is the maximum of a stored estimate.
const maxEstimate = 1e6

// isEstimate reports whether a stored number is in the range of the estimates of the interference model.
func isEstimate(x float64) bool { return x >= 0 && x <= maxEstimate }

package dispatch

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// pairRecord is what was learned of a pair of images.
type pairRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Image    string
	Mean     float64
	Variance float64
}

// imageRecord is what was learned of a long-running image.
type imageRecord struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Image     string
	LeastTail float64
	Figures   int
	Pairs     []pairRecord
}

// knowledgeRecord is what an owner leaves to the next one, so that it need not learn it again.
type knowledgeRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Images   []imageRecord
	RunTimes map[string]float64
	Demand   float64
	// Maintained holds the instances of each wave whose maintenance is over.
	Maintained map[int][]string
	// Silent holds the workers that do not answer and are granted nothing, with the milliseconds until their lease has
	// ended. They count from the takeover, which is later than this record, since instances share no clock.
	Silent map[string]int64
}

// inheritedVariance is added to what an earlier owner learned, since it may have changed.
const inheritedVariance = 0.05

// EncodeSnapshot encodes what was learned, nil where there is nothing yet; KnowledgeCommitted follows once it is stored.
func (p *Planner) EncodeSnapshot(now time.Time) ([]byte, error) {
	r := knowledgeRecord{RunTimes: p.learned.factors, Maintained: p.maintained, Silent: p.noteSilent(now)}
	if p.reserve.learned {
		r.Demand = p.reserve.demand
	}
	for i, s := range p.pressure.images {
		x := imageRecord{Image: i, LeastTail: s.leastTail, Figures: s.figures}
		for f, e := range s.pairs {
			x.Pairs = append(x.Pairs, pairRecord{Image: f, Mean: e.Mean, Variance: e.Variance})
		}
		r.Images = append(r.Images, x)
	}
	if len(r.Images) == 0 && len(r.RunTimes) == 0 && len(r.Maintained) == 0 && len(r.Silent) == 0 && !p.silentChanged {
		return nil, nil
	}
	b, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, fmt.Errorf("encode what was learned: %w", err)
	}
	return b, nil
}

// noteSilent bars the workers that do not answer from leases, and returns how long their last ones may still last.
//
// A later owner relies on that: a barred worker gets no lease again before a
// record without it was committed.
func (p *Planner) noteSilent(now time.Time) map[string]int64 {
	m := make(map[string]int64)
	for id, w := range p.workers {
		if len(w.attempts) > 0 && w.failures >= silentFailures {
			w.barred = true
			m[id] = max(0, w.leaseUntil.Sub(now).Milliseconds())
		}
	}
	if len(m) != len(p.silent) {
		p.Logger.Info().Int("Silent", len(m)).Int("Before", len(p.silent)).Str("Decision", "BarSilent").Msg("workers that do not answer are granted no lease")
	}
	p.silent = m
	return m
}

// SnapshotCommitted notes that the record of Knowledge is stored.
func (p *Planner) SnapshotCommitted() {
	for id, w := range p.workers {
		_, w.barred = p.silent[id]
	}
	p.silentChanged = false
}

// HasNewUnresponsive tells whether a worker that holds attempts has fallen silent, or answers again, since the last record.
func (p *Planner) HasNewUnresponsive() bool {
	for _, w := range p.list {
		silent := len(w.attempts) > 0 && w.failures >= silentFailures
		if silent != w.barred {
			p.silentChanged = true
			return true
		}
	}
	return false
}

// silentFailures is the number of calls without an answer after which a worker is granted no lease.
const silentFailures = 2

// RestoreSnapshot takes in what an earlier owner learned.
func (p *Planner) RestoreSnapshot(b []byte) error {
	var r knowledgeRecord
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return fmt.Errorf("read what was learned: %w", err)
	}
	if r.RunTimes != nil {
		p.learned.factors = r.RunTimes
	}
	if r.Maintained != nil {
		p.maintained = r.Maintained
	}
	for id, ms := range r.Silent {
		w := p.worker(id)
		w.leaseUntil = p.takenAt.Add(time.Duration(ms) * time.Millisecond)
		// Silent until it answers, so that the next record of this owner names it as well.
		w.barred, w.failures = true, silentFailures
	}
	if r.Demand > 0 {
		p.reserve.learned, p.reserve.demand, p.reserve.seenAt = true, r.Demand, p.takenAt
	}
	p.Logger.Info().Int("Images", len(r.Images)).Int("Silent", len(r.Silent)).Str("Decision", "Inherit").Msg("what an earlier owner knew is taken over")
	for _, x := range r.Images {
		s := p.pressure.of(x.Image)
		s.leastTail, s.figures = x.LeastTail, x.Figures
		for _, f := range x.Pairs {
			s.pairs[f.Image] = &estimate{f.Mean, min(priorVariance, f.Variance+inheritedVariance)}
		}
	}
	return nil
}

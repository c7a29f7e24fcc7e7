package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// logFigures writes, at level debug, what a worker runs and the figures by which paces are decided.
//
// Each task is written as its kind (L long-running, F best effort, C other), image, thousandths of a core, bound in
// milliseconds, load, percent done, pace, phase and age in seconds.
func (p *Planner) logFigures(w *worker, now time.Time) {
	e := p.Logger.Debug()
	if !e.Enabled() {
		return
	}
	var b strings.Builder
	for _, a := range w.list {
		s := a.task.Spec
		fmt.Fprintf(&b, "%s,%s,%d,%d,%.1f,%d,%d,%d,%.2f;", kindOf(a), s.Image, s.Size.MilliCPU, s.TailBound.Milliseconds(), a.load, a.percent, a.pace, a.phase, now.Sub(a.confirmedAt).Seconds())
	}
	e.Str("Worker", w.ID).Int("RoomMilliCPU", w.Capacity.MilliCPU).Str("Figures", b.String()).Msg("figures of a worker")
}

func kindOf(a *attempt) string {
	switch {
	case a.task.Spec.LongRunning:
		return "L"
	case a.task.Spec.BestEffort:
		return "F"
	}
	return "C"
}

// logModelEvery is the time between two log lines of the learned pressures.
const logModelEvery = 5 * time.Second

// logModel writes what is believed of the pressures of best-effort images on long-running ones.
//
// Each pair is written as long-running image, best-effort image, mean and variance; the
// part of its bound that the tail of an idle service takes up stands under floor, with the number of figures.
func (p *Planner) logModel(now time.Time) {
	if now.Sub(p.modelLoggedAt) < logModelEvery || len(p.pressure.images) == 0 {
		return
	}
	p.modelLoggedAt = now
	var b strings.Builder
	for _, i := range slices.Sorted(maps.Keys(p.pressure.images)) {
		s := p.pressure.images[i]
		fmt.Fprintf(&b, "%s,floor,%.2f,%d;", i, s.floor(), s.figures)
		for _, f := range slices.Sorted(maps.Keys(s.pairs)) {
			fmt.Fprintf(&b, "%s,%s,%.2f,%.2f;", i, f, s.pairs[f].Mean, s.pairs[f].Variance)
		}
	}
	p.Logger.Info().Str("Decision", "Pressures").Str("Model", b.String()).Msg("learned pressures")
}

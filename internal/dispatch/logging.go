package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// logSamples logs, at level debug, the attempts of a worker and the samples by which speed limits are set.
//
// Each attempt is written as its kind (L long-running, F best-effort, C other), image, size in thousandths of a core,
// latency bound in milliseconds, sample, progress in percent, speed limit in percent, number of its phase, and seconds
// since the worker confirmed the attempt.
func (p *Planner) logSamples(w *worker, now time.Time) {
	e := p.Logger.Debug()
	if !e.Enabled() {
		return
	}
	var b strings.Builder
	for _, a := range w.attemptList {
		s := a.task.Spec
		fmt.Fprintf(&b, "%s,%s,%d,%d,%.1f,%d,%d,%d,%.2f;", taskKind(a), s.Image, s.Size.MilliCPU, s.TailBound.Milliseconds(), a.sample, a.progressPercent, a.speedPercent, a.phase, now.Sub(a.confirmedAt).Seconds())
	}
	e.Str("Worker", w.ID).Int("RoomMilliCPU", w.Capacity.MilliCPU).Str("Figures", b.String()).Msg("samples of a worker")
}

// taskKind returns the letter of a task's kind in the log.
func taskKind(a *attempt) string {
	switch {
	case a.task.Spec.LongRunning:
		return "L"
	case a.task.Spec.BestEffort:
		return "F"
	}
	return "C"
}

// modelLogInterval is the time between two log messages of the interference model.
const modelLogInterval = 5 * time.Second

// logModel logs the estimated interference of best-effort images with long-running images, once per modelLogInterval.
//
// Each pair is written as long-running image, best-effort image, mean and
// variance. An entry with the word floor holds, for a long-running image, the
// tail latency of an idle service, as a fraction of its bound, and the number of
// samples.
func (p *Planner) logModel(now time.Time) {
	if now.Sub(p.modelLoggedAt) < modelLogInterval || len(p.interference.sensitivities) == 0 {
		return
	}
	p.modelLoggedAt = now
	var b strings.Builder
	for _, i := range slices.Sorted(maps.Keys(p.interference.sensitivities)) {
		s := p.interference.sensitivities[i]
		fmt.Fprintf(&b, "%s,floor,%.2f,%d;", i, s.idleTail(), s.samples)
		for _, f := range slices.Sorted(maps.Keys(s.pairs)) {
			fmt.Fprintf(&b, "%s,%s,%.2f,%.2f;", i, f, s.pairs[f].Mean, s.pairs[f].Variance)
		}
	}
	p.Logger.Info().Str("Decision", "Pressures").Str("Model", b.String()).Msg("interference model")
}

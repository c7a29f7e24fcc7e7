package dispatch

import (
	"fmt"
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
	for _, a := range w.attempts {
		s := a.task.Spec
		fmt.Fprintf(&b, "%s,%s,%d,%d,%.1f,%d,%d,%d,%.2f;", kindOf(a), s.Image, s.Size.MilliCPU, s.TailBound.Milliseconds(), a.load, a.percent, a.pace, a.phase, now.Sub(a.confirmedAt).Seconds())
	}
	e.Str("Worker", w.ID).Int("RoomMilliCPU", w.Room.MilliCPU).Str("Figures", b.String()).Msg("figures of a worker")
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

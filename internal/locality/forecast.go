package locality

import (
	"slices"
	"time"

	"currantknot.dev/currantknot/internal/jobs"
)

// Size is what a task uses of a worker.
type Size struct {
	jobs.Resources
	// SpareMilliCPU is CPU beyond what tasks are expected to use, in thousandths of a core; only best-effort tasks need it.
	SpareMilliCPU int
}

// canFit reports whether o fits into s.
func (s Size) canFit(o Size) bool {
	return s.CanFit(o.Resources) && (o.SpareMilliCPU == 0 || o.SpareMilliCPU <= s.SpareMilliCPU)
}

func (s Size) plus(o Size) Size { return Size{s.Plus(o.Resources), s.SpareMilliCPU + o.SpareMilliCPU} }

func (s Size) minus(o Size) Size {
	return Size{s.Minus(o.Resources), s.SpareMilliCPU - o.SpareMilliCPU}
}

// End is the expected end of an attempt and what the attempt then releases.
type End struct {
	At   time.Time
	Size Size
}

// Worker is the state of a worker that may get tasks.
type Worker struct {
	Free Size
	Ends []End
	// Speed is the speed of the worker's tasks relative to the usual one; 0 if it is not known.
	Speed float64
}

// Need describes a task that asks for a place.
type Need struct {
	// Fit is what must be free, and Take what the task then uses.
	Fit  Size
	Take Size
	// Took is the expected run time in the rack at the usual speed.
	Took time.Duration
	// MayUse reports whether the task may run on the worker with the given index; nil means that it may run on all.
	MayUse func(worker int) bool
}

// Place is a place on the worker with the given index, with the expected start and end of the task.
type Place struct {
	Worker int
	At     time.Time
	End    time.Time
}

// timeline is the expected capacity of a worker: what is free at a time, and what becomes free later.
type timeline struct {
	at    time.Time
	free  Size
	ends  []End
	speed float64
}

// Forecast tells when the workers of a rack will have places. Claims change it, so that later tasks get later places.
type Forecast struct {
	now     time.Time
	workers []timeline
}

// minSpeed bounds how slow a worker is assumed to be, so that expected ends stay finite.
const minSpeed = 0.05

// NewForecast returns the forecast of a rack with the given workers. Ends after MaxWait are ignored, since no task waits longer.
func NewForecast(l []Worker, now time.Time) *Forecast {
	f := &Forecast{now: now, workers: make([]timeline, len(l))}
	for i, w := range l {
		f.workers[i] = newTimeline(w, now)
	}
	return f
}

// newTimeline returns the timeline of a worker. A worker that is slower than usual also takes longer to end what it runs.
func newTimeline(w Worker, now time.Time) timeline {
	t := timeline{at: now, free: w.Free, speed: 1}
	if w.Speed > 0 {
		t.speed = min(1, max(minSpeed, w.Speed))
	}
	for _, e := range w.Ends {
		e.At = now.Add(t.slow(max(0, e.At.Sub(now))))
		if e.At.Sub(now) <= MaxWait {
			t.ends = append(t.ends, e)
		}
	}
	slices.SortFunc(t.ends, func(a, b End) int { return a.At.Compare(b.At) })
	return t
}

// slow returns how long work of the given duration at the usual speed takes on the worker.
func (t *timeline) slow(d time.Duration) time.Duration { return time.Duration(float64(d) / t.speed) }

// fitsAt returns when a size is expected to be free and what is free then, and false if it is not within MaxWait.
func (t *timeline) fitsAt(s Size) (time.Time, Size, bool) {
	at, free := t.at, t.free
	if free.canFit(s) {
		return at, free, true
	}
	for _, e := range t.ends {
		if e.At.After(at) && free.canFit(s) {
			break
		}
		free = free.plus(e.Size)
		if e.At.After(at) {
			at = e.At
		}
	}
	return at, free, free.canFit(s)
}

// Next returns the place with the earliest expected end, of several the one on the worker with the most free CPU then, as a plan
// places tasks. It returns false if there is none within MaxWait.
func (f *Forecast) Next(n Need) (Place, bool) {
	var best Place
	most := 0
	found := false
	for i := range f.workers {
		t := &f.workers[i]
		at, free, ok := t.fitsAt(n.Fit)
		if !ok || n.MayUse != nil && !n.MayUse(i) {
			continue
		}
		x := Place{Worker: i, At: at, End: at.Add(t.slow(n.Took))}
		if !found || x.End.Before(best.End) || x.End.Equal(best.End) && free.MilliCPU > most {
			best, most, found = x, free.MilliCPU, true
		}
	}
	return best, found
}

// Claim gives a place to a task that waits for it, until the expected end of the task.
func (f *Forecast) Claim(p Place, n Need) {
	t := &f.workers[p.Worker]
	t.advance(p.At)
	t.free = t.free.minus(n.Take)
	if p.End.Sub(f.now) > MaxWait {
		return
	}
	i, _ := slices.BinarySearchFunc(t.ends, p.End, func(e End, at time.Time) int { return e.At.Compare(at) })
	t.ends = slices.Insert(t.ends, i, End{p.End, n.Take})
}

// advance moves the beginning of the timeline to a later time.
func (t *timeline) advance(at time.Time) {
	for len(t.ends) > 0 && !t.ends[0].At.After(at) {
		t.free = t.free.plus(t.ends[0].Size)
		t.ends = t.ends[1:]
	}
	if at.After(t.at) {
		t.at = at
	}
}

// count returns how many tasks of the given need fit at the beginning of the timeline, at most limit.
func (t *timeline) count(n Need, limit int) int {
	free, k := t.free, 0
	for k < limit && free.canFit(n.Fit) {
		free = free.minus(n.Take)
		k++
	}
	return k
}

// NextForAll returns when a number of tasks, at most perWorker of them on a worker, are expected to fit at the same time, with
// the end of the last, and false if they do not within MaxWait. It changes no timeline.
func (f *Forecast) NextForAll(n Need, tasks, perWorker int) (Place, bool) {
	l := make([]timeline, 0, len(f.workers))
	times := []time.Time{f.now}
	slowest := 1.0
	for i, t := range f.workers {
		if n.MayUse != nil && !n.MayUse(i) {
			continue
		}
		l = append(l, t)
		times = append(times, t.at)
		slowest = min(slowest, t.speed)
		for _, e := range t.ends {
			times = append(times, e.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for _, at := range slices.Compact(times) {
		if countAt(l, n, tasks, perWorker, at) == tasks {
			return Place{At: at, End: at.Add(time.Duration(float64(n.Took) / slowest))}, true
		}
	}
	return Place{}, false
}

// countAt advances timelines to the given time, and returns how many tasks fit on the workers then, at most the given number.
func countAt(l []timeline, n Need, tasks, perWorker int, at time.Time) int {
	k := 0
	for i := range l {
		if l[i].at.After(at) {
			continue
		}
		l[i].advance(at)
		k += l[i].count(n, min(perWorker, tasks-k))
	}
	return k
}

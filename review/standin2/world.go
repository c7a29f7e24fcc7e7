package main

import (
	"fmt"
	"sync"
	"time"
)

// bounds are those of the deployment, as DEPLOY.md has them.
const (
	holdMax    = 6000 * time.Millisecond
	stopTime   = 900 * time.Millisecond
	gangTime   = 3000 * time.Millisecond
	saveEvery  = 1000 * time.Millisecond
	restore    = 600 * time.Millisecond
	earlyBound = 250 * time.Millisecond
	cancelTime = 3000 * time.Millisecond
	contact    = 3000 * time.Millisecond
	startUp    = 300 * time.Millisecond
	tick       = 10 * time.Millisecond
)

// world is what clients, executors and the platform have seen.
type world struct {
	*recorder
	mu        sync.Mutex
	executors []*executor
	jobs      map[string]*job
	// gangs holds the runs of gangs by step name and run.
	gangs map[string]*gangRun
	// done holds the tasks of which a run has ended done, and acked those whose such end was taken note of.
	done  map[string]bool
	acked map[string]bool
	// failedEnds holds the ends failed of a task that were taken note of.
	failedEnds map[string][]time.Time
	// startsOf holds when the runs of a task started.
	startsOf map[string][]time.Time
	// saved holds all saved values that were produced, by whose they are.
	saved map[string]map[string]bool
	// lastRunning is when a task that lasts last ran, and lostNoted the tasks of which it was noted that they don't run.
	lastRunning map[string]time.Time
	lostNoted   map[string]bool
	// troubleUntil is the end of the latest disruption.
	troubleUntil time.Time
	starts       int
	broken       []string
	stopped      chan struct{}
}

// gangRun is a run of a gang: the members that are present, and since when all are.
type gangRun struct {
	members  map[string]*attempt
	size     int
	workFrom time.Time
	// carried holds the saved values that the starts of the run carried.
	carried map[string][]string
}

func newWorld(r *recorder) *world {
	return &world{
		recorder: r, jobs: make(map[string]*job), gangs: make(map[string]*gangRun), done: make(map[string]bool), acked: make(map[string]bool),
		failedEnds: make(map[string][]time.Time), startsOf: make(map[string][]time.Time), saved: make(map[string]map[string]bool), lastRunning: make(map[string]time.Time), lostNoted: make(map[string]bool), stopped: make(chan struct{}),
	}
}

// breaks records that a rule was broken; w.mu is held.
func (w *world) breaks(rule, format string, a ...any) {
	s := rule + ": " + fmt.Sprintf(format, a...)
	w.broken = append(w.broken, s)
	w.line("BROKEN %s", s)
}

// brokenRules returns what was recorded of a rule, of all rules if it is empty.
func (w *world) brokenRules(rule string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l []string
	for _, s := range w.broken {
		if rule == "" || len(s) > len(rule) && s[:len(rule)+1] == rule+":" {
			l = append(l, s)
		}
	}
	return l
}

// run advances all that runs until the world stops.
func (w *world) run() {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case now := <-t.C:
			w.mu.Lock()
			for _, x := range w.executors {
				x.advance(now)
			}
			w.mu.Unlock()
		}
	}
}

// trouble records that a disruption lasts until the given time from now; w.mu is held.
func (w *world) trouble(d time.Duration) {
	if t := time.Now().Add(d); t.After(w.troubleUntil) {
		w.troubleUntil = t
	}
}

// calm reports whether no disruption is near; w.mu is held.
func (w *world) calm(now time.Time) bool { return now.Sub(w.troubleUntil) > contact }

// noteSaved records a saved value; w.mu is held.
func (w *world) noteSaved(owner, v string) {
	if w.saved[owner] == nil {
		w.saved[owner] = make(map[string]bool)
	}
	w.saved[owner][v] = true
}

// runningAt returns the executors that are up and run a task; w.mu is held.
func (w *world) runningAt(task string) []*executor {
	var l []*executor
	for _, x := range w.executors {
		if x.attempts[task] != nil && !x.down {
			l = append(l, x)
		}
	}
	return l
}

// checkStart checks the rules that a start may break; w.mu is held.
func (w *world) checkStart(x *executor, j *job, r ref, c *call, late bool) {
	task := r.String()
	w.starts++
	if l := w.runningAt(task); len(l) > 0 {
		w.breaks("TWICE", "%s run %d starts at %s while it runs at %s", task, c.Run, x.id, l[0].id)
	}
	if w.acked[task] {
		w.breaks("TWICE", "%s run %d starts at %s after an end done was taken note of", task, c.Run, x.id)
	}
	p := j.phaseOf(r)
	for _, a := range p.After {
		for n := range j.Phases[a].Count {
			if o := (ref{r.job, r.k, a, n}); !w.done[o.String()] {
				w.breaks("ORDER", "%s run %d starts at %s before %s has ended done", task, c.Run, x.id, o)
			}
		}
	}
	if j.Times > 0 && time.Now().Before(time.UnixMilli(j.StartMs+int64(r.k)*j.PeriodMs).Add(-earlyBound)) {
		w.breaks("ORDER", "%s starts at %s before its time", task, x.id)
	}
	if n := len(w.failedEnds[task]); !p.Persistent && n >= maxAttempts {
		w.breaks("BUDGET", "%s run %d starts at %s after %d ends failed", task, c.Run, x.id, n)
	}
	w.startsOf[task] = append(w.startsOf[task], time.Now())
	w.checkPlace(x, j, r, late)
	w.checkSaved(x, j, r, c)
}

// checkPlace checks whether a task may run at an executor; w.mu is held.
func (w *world) checkPlace(x *executor, j *job, r ref, late bool) {
	p, n := j.phaseOf(r), 0
	if !late && !x.hasLabel(p.Label) {
		w.breaks("ROUTE", "%s starts at %s without label %s", r, x.id, p.Label)
	}
	for _, a := range x.attempts {
		if a.ref.stepName() == r.stepName() {
			n++
		}
	}
	if p.MaxPerServer > 0 && n >= p.MaxPerServer {
		w.breaks("ROUTE", "%s starts at %s beyond max_per_server", r, x.id)
	}
	if cpu, mem := x.used(); !x.guards && !late && (cpu+p.CPU > x.cpu || mem+p.MemoryMB > x.mem) {
		w.breaks("LIMIT", "%s starts at %s, which then has %d of %d cpu", r, x.id, cpu+p.CPU, x.cpu)
	}
}

// checkSaved checks the saved value that a start carries; w.mu is held.
func (w *world) checkSaved(x *executor, j *job, r ref, c *call) {
	if c.Spec != j.Spec {
		w.breaks("UNASKED", "%s starts at %s with another spec", r, x.id)
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > cancelTime {
		w.breaks("UNASKED", "%s starts at %s %v after the job was cancelled", r, x.id, time.Since(j.cancelledAt))
	}
	owner := j.savedBy(r)
	if c.Saved != "" && !w.saved[owner][c.Saved] {
		w.breaks("UNASKED", "%s run %d starts at %s with saved %s, which is not the task's", r, c.Run, x.id, c.Saved)
	}
	if !j.phaseOf(r).Gang {
		return
	}
	g := w.gangOf(j, r, c.Run)
	g.carried[c.Saved] = append(g.carried[c.Saved], r.String())
	if len(g.carried) == 2 && len(g.carried[c.Saved]) == 1 {
		w.breaks("UNASKED", "members of the gang %s run %d start with different saved values: %v", r.stepName(), c.Run, g.carried)
	}
}

// gangOf returns a run of a gang; w.mu is held.
func (w *world) gangOf(j *job, r ref, run int) *gangRun {
	k := fmt.Sprintf("%s/%d", r.stepName(), run)
	g := w.gangs[k]
	if g == nil {
		g = &gangRun{members: make(map[string]*attempt), size: j.phaseOf(r).Count, carried: make(map[string][]string)}
		w.gangs[k] = g
	}
	return g
}

package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"
)

// endsPage is the number of ends that an executor returns at a time.
const endsPage = 500

// executor is an executor as PROTOCOL.md has it.
type executor struct {
	w       *world
	id      string
	zone    string
	rack    string
	kind    string
	service string
	cpu     int
	mem     int
	guards  bool
	address string
	server  *httptest.Server

	born      int64
	bornAt    time.Time
	fence     int64
	due       time.Time
	attempts  map[string]*attempt
	lastRuns  map[string]int
	ends      []end
	endNumber int64
	// down means that the executor has crashed, cut that no machine reaches it, and lost that it never comes back.
	down, cut, lost, draining bool
	// downs counts the times that the executor went down.
	downs int
	seq   int
	// lateBy, if it is not zero, is when an order that arrives is carried out, without a response.
	lateBy func(path string, c *call) time.Duration
}

// attempt is a run that has not ended.
type attempt struct {
	ref       ref
	run       int
	job       *job
	startedAt time.Time
	base      time.Duration
	restored  bool
	stopAt    time.Time
	gang      *gangRun
	saved     string
	// listed is the saved value that the executor has listed last.
	listed string
}

// end is an end that was not taken note of yet.
type end struct {
	number     int64
	task       string
	run        int
	how, saved string
	at         time.Time
	// lapsed means that the executor's lease has lapsed since.
	lapsed bool
}

// call is the body of any call to an executor.
type call struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Spec   string `json:"spec"`
	DueMs  int64  `json:"due_ms"`
	Fence  int64  `json:"fence"`
	Saved  string `json:"saved"`
	Acked  int64  `json:"acked_upto"`
	WaitMs int64  `json:"wait_ms"`
}

// addExecutor starts an executor.
func (w *world) addExecutor(id, zone, rack string, cpu, mem int, guards bool) {
	x := &executor{w: w, id: id, zone: zone, rack: rack, kind: "a", service: serviceName, cpu: cpu, mem: mem, guards: guards}
	x.begin()
	x.server = httptest.NewServer(x)
	x.address = strings.TrimPrefix(x.server.URL, "http://")
	w.executors = append(w.executors, x)
}

// begin begins a life of the executor; w.mu is held, or the executor is new.
func (x *executor) begin() {
	x.born, x.bornAt, x.fence, x.due = time.Now().UnixMilli(), time.Now(), 0, time.Time{}
	x.attempts, x.lastRuns, x.ends, x.endNumber = make(map[string]*attempt), make(map[string]int), nil, 0
	x.down = false
}

func (x *executor) clock() int64 { return time.Since(x.bornAt).Milliseconds() }

func (x *executor) hasLabel(l string) bool { return l == "" || l == x.kind || l == x.rack }

// used returns the resources of all that runs or is being stopped.
func (x *executor) used() (cpu, mem int) {
	for _, a := range x.attempts {
		p := a.job.phaseOf(a.ref)
		if !p.Fills {
			cpu += p.CPU
		}
		mem += p.MemoryMB
	}
	return cpu, mem
}

// crashAll crashes executors at the same moment; each starts again under its id after the given time, or never if that is negative.
func crashAll(l []*executor, down time.Duration) {
	if len(l) == 0 {
		return
	}
	w := l[0].w
	w.mu.Lock()
	w.trouble(max(down, 0))
	l = slices.DeleteFunc(slices.Clone(l), func(x *executor) bool { return x.down })
	var gone []*attempt
	downs := make(map[*executor]int)
	for _, x := range l {
		x.downs++
		downs[x] = x.downs
		w.line("executor %s crashes, down for %v", x.id, down)
		x.down, x.lost = true, down < 0
		for k, a := range x.attempts {
			delete(x.attempts, k)
			w.line("run lost %s run %d at %s", k, a.run, x.id)
			gone = append(gone, a)
		}
	}
	for _, a := range gone {
		l[0].leaveGang(a, "lost")
	}
	w.mu.Unlock()
	for _, x := range l {
		x.server.CloseClientConnections()
	}
	if down < 0 {
		return
	}
	time.AfterFunc(down, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, x := range l {
			if x.downs != downs[x] {
				continue
			}
			x.begin()
			w.line("executor %s starts again, born %d", x.id, x.born)
		}
	})
}

// entry is what the executor writes to the store.
func (x *executor) entry() map[string]any {
	state := "ready"
	if x.draining {
		state = "draining"
	}
	x.seq++
	return map[string]any{
		"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "seq": x.seq,
		"room": map[string]int{"cpu": x.cpu, "mem_mb": x.mem, "gpu": 0}, "labels": []string{x.kind, x.rack}, "clock_ms": x.clock(), "born": x.born,
	}
}

// ServeHTTP implements http.Handler.
func (x *executor) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var c call
	b, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(b, &c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	x.w.mu.Lock()
	down, cut, late := x.down, x.cut, time.Duration(0)
	if x.lateBy != nil && r.URL.Path != "/api/hold" {
		late = x.lateBy(r.URL.Path, &c)
	}
	x.w.mu.Unlock()
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case cut:
		<-r.Context().Done()
	case r.Header.Get("X-Currantknot-Target-Instance") != x.id:
		rw.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/api/hold":
		x.hold(rw, r, &c)
	case late > 0:
		x.w.line("order %s %s run %d fence %d at %s gets no answer and is carried out in %v", r.URL.Path, c.Task, c.Run, c.Fence, x.id, late)
		id := x.id
		time.AfterFunc(late, func() { x.lateOrder(id, r.URL.Path, &c) })
		<-r.Context().Done()
	default:
		status, reason := x.order(r.URL.Path, &c, false)
		x.answer(rw, status, reason)
	}
}

func (x *executor) answer(rw http.ResponseWriter, status int, reason string) {
	x.w.mu.Lock()
	body := map[string]any{"clock_ms": x.clock(), "born": x.born}
	x.w.mu.Unlock()
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(rw, status, body)
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(b)
}

// lateOrder carries an order out that got no answer, unless another executor is there by now.
func (x *executor) lateOrder(id, path string, c *call) {
	x.w.mu.Lock()
	same := x.id == id
	x.w.mu.Unlock()
	if same {
		x.order(path, c, true)
	}
}

// order carries an order out.
func (x *executor) order(path string, c *call, late bool) (status int, reason string) {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	if x.down {
		return http.StatusServiceUnavailable, ""
	}
	defer func() {
		x.w.line("order %s %s run %d fence %d saved %q at %s: %d %s", path, c.Task, c.Run, c.Fence, c.Saved, x.id, status, reason)
	}()
	if c.Fence < x.fence {
		return http.StatusConflict, "fence"
	}
	x.fence = c.Fence
	switch path {
	case "/api/run-start":
		return x.start(c, late)
	case "/api/run-stop":
		x.stop(c)
		return http.StatusOK, ""
	case "/api/pace":
		return http.StatusOK, ""
	}
	return http.StatusNotFound, ""
}

// extend extends the lease to a time of the executor's clock; w.mu is held.
func (x *executor) extend(dueMs int64) {
	if dueMs == 0 {
		return
	}
	t := x.bornAt.Add(time.Duration(dueMs) * time.Millisecond)
	if m := time.Now().Add(holdMax); t.After(m) {
		t = m
	}
	if t.After(x.due) {
		x.due = t
	}
}

// start starts a run; w.mu is held.
func (x *executor) start(c *call, late bool) (int, string) {
	r, ok := parseRef(c.Task)
	j := x.w.jobs[r.job]
	if !ok || j == nil || j.phaseOf(r) == nil {
		x.w.breaks("UNASKED", "%s is told to start %s", x.id, c.Task)
		return http.StatusBadRequest, ""
	}
	if a := x.attempts[c.Task]; a != nil && a.run == c.Run {
		x.extend(c.DueMs)
		return http.StatusOK, ""
	}
	if c.Run <= x.lastRuns[c.Task] || x.attempts[c.Task] != nil {
		x.extend(c.DueMs)
		return http.StatusConflict, "old"
	}
	if c.DueMs <= x.clock() {
		return http.StatusConflict, "late"
	}
	x.extend(c.DueMs)
	p := j.phaseOf(r)
	if cpu, mem := x.used(); x.guards && (cpu+p.CPU > x.cpu || mem+p.MemoryMB > x.mem) {
		return http.StatusConflict, "room"
	}
	x.w.checkStart(x, j, r, c, late)
	a := &attempt{ref: r, run: c.Run, job: j, startedAt: time.Now(), base: savedProgress(c.Saved), restored: c.Saved != "", saved: c.Saved}
	x.attempts[c.Task] = a
	if p.Gang {
		a.gang = x.w.gangOf(j, r, c.Run)
		a.gang.members[c.Task] = a
		if len(a.gang.members) == a.gang.size {
			a.gang.workFrom = time.Now()
		}
	}
	return http.StatusOK, ""
}

// stop begins to stop a run; w.mu is held.
func (x *executor) stop(c *call) {
	x.lastRuns[c.Task] = max(x.lastRuns[c.Task], c.Run)
	if a := x.attempts[c.Task]; a != nil && a.run <= c.Run && a.stopAt.IsZero() {
		a.stopAt = time.Now().Add(stopTime / 3)
	}
}

// finish ends a run and lists its end; w.mu is held.
func (x *executor) finish(a *attempt, how string) {
	task := a.ref.String()
	if x.attempts[task] != a {
		return
	}
	delete(x.attempts, task)
	x.lastRuns[task] = max(x.lastRuns[task], a.run)
	x.endNumber++
	x.ends = append(x.ends, end{x.endNumber, task, a.run, how, a.saved, time.Now(), false})
	x.w.line("end %d %s run %d %s saved %q at %s", x.endNumber, task, a.run, how, a.saved, x.id)
	if how == "done" {
		x.w.done[task] = true
	}
	if how == "alone" && x.w.calm(time.Now()) && a.job.cancelledAt.IsZero() {
		x.w.breaks("GANG", "%s run %d ends alone at %s", task, a.run, x.id)
	}
	x.leaveGang(a, how)
}

// leaveGang ends the other members of a gang; w.mu is held.
func (x *executor) leaveGang(a *attempt, how string) {
	g := a.gang
	if g == nil {
		return
	}
	a.gang = nil
	delete(g.members, a.ref.String())
	if g.workFrom.IsZero() && how == "alone" {
		return
	}
	complete := !g.workFrom.IsZero()
	other := "broken"
	if how == "done" {
		other = "done"
		for n := range g.size {
			x.w.done[ref{a.ref.job, a.ref.k, a.ref.step, n}.String()] = true
		}
	}
	if !complete {
		return
	}
	for _, o := range x.w.executors {
		for _, b := range o.attempts {
			if b.gang == g {
				b.gang = nil
				o.finish(b, other)
			}
		}
	}
}

// progress is the work of a run so far.
func (a *attempt) progress(now time.Time) time.Duration {
	from := a.startedAt
	if a.ref.step < len(a.job.Phases) && a.job.Phases[a.ref.step].Gang {
		if a.gang == nil || a.gang.workFrom.IsZero() {
			return a.base
		}
		from = a.gang.workFrom
	}
	if a.restored {
		from = from.Add(restore)
	}
	return a.base + max(0, now.Sub(from))
}

// advance ends what ends now; w.mu is held.
func (x *executor) advance(now time.Time) {
	if x.down {
		return
	}
	if now.After(x.due) {
		for i := range x.ends {
			x.ends[i].lapsed = true
		}
	}
	for _, a := range slices.Collect(mapValues(x.attempts)) {
		x.advanceOne(a, now)
	}
}

func mapValues(m map[string]*attempt) func(func(*attempt) bool) {
	return func(yield func(*attempt) bool) {
		for _, a := range m {
			if !yield(a) {
				return
			}
		}
	}
}

// advanceOne ends a run that ends now, and renews its saved value; w.mu is held.
func (x *executor) advanceOne(a *attempt, now time.Time) {
	if x.attempts[a.ref.String()] != a {
		return
	}
	p, done := a.job.phaseOf(a.ref), a.progress(now)
	if n := done.Truncate(saveEvery); p.Saves && n > savedProgress(a.saved) {
		x.save(a, n)
	}
	if p.Persistent {
		x.w.lastRunning[a.ref.String()] = now
	}
	if how := x.endOf(a, p, done, now); how != "" {
		if how == "stopped" && p.Saves && done > 0 {
			x.save(a, done)
		}
		x.finish(a, how)
	}
}

// save gives a run a new saved value; w.mu is held.
func (x *executor) save(a *attempt, progress time.Duration) {
	owner := a.job.savedBy(a.ref)
	a.saved = savedValue(owner, progress)
	x.w.noteSaved(owner, a.saved)
}

// endOf returns how a run ends now, empty if it goes on; w.mu is held.
func (x *executor) endOf(a *attempt, p *phase, done time.Duration, now time.Time) string {
	switch {
	case !a.stopAt.IsZero() && !now.Before(a.stopAt):
		return "stopped"
	case now.After(x.due):
		return "lapsed"
	case p.Gang && a.gang != nil && a.gang.workFrom.IsZero():
		if now.Sub(a.startedAt) > gangTime {
			return "alone"
		}
	case !p.Persistent && done >= a.job.work[a.ref.step]:
		return "done"
	}
	return ""
}

// hold answers a call for the lists of runs.
func (x *executor) hold(rw http.ResponseWriter, r *http.Request, c *call) {
	x.w.mu.Lock()
	if c.Fence < x.fence {
		x.w.mu.Unlock()
		x.answer(rw, http.StatusConflict, "fence")
		return
	}
	x.fence = c.Fence
	x.extend(c.DueMs)
	x.takeNote(c.Acked)
	born, until := x.born, time.Now().Add(time.Duration(c.WaitMs)*time.Millisecond)
	for len(x.ends) == 0 && time.Now().Before(until) && r.Context().Err() == nil && x.born == born && !x.cut {
		x.w.mu.Unlock()
		time.Sleep(tick)
		x.w.mu.Lock()
	}
	if x.cut || x.down || x.born != born || r.Context().Err() != nil {
		cut := x.cut
		x.w.mu.Unlock()
		if cut {
			<-r.Context().Done()
			return
		}
		panic(http.ErrAbortHandler)
	}
	body := x.lists()
	x.w.mu.Unlock()
	writeJSON(rw, http.StatusOK, body)
}

// lists returns the lists of runs; w.mu is held.
func (x *executor) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for k, a := range x.attempts {
		percent := 100
		p := a.job.phaseOf(a.ref)
		switch {
		case !p.Persistent:
			percent = int(100 * a.progress(time.Now()) / max(a.job.work[a.ref.step], 1))
		case time.Since(a.startedAt) < startUp:
			percent = 50
		}
		a.listed = a.saved
		sample := p.CPU
		if p.TargetMs > 0 {
			sample = 5
		}
		running = append(running, []any{k, a.run, a.saved, min(percent, 100), sample})
	}
	for _, e := range x.ends[:min(len(x.ends), endsPage)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{"clock_ms": x.clock(), "born": x.born, "running": running, "ended": ended}
}

// takeNote forgets ends up to a number; w.mu is held.
func (x *executor) takeNote(upto int64) {
	for len(x.ends) > 0 && x.ends[0].number <= upto {
		e := x.ends[0]
		x.ends = x.ends[1:]
		r, _ := parseRef(e.task)
		j := x.w.jobs[r.job]
		if !e.lapsed {
			x.w.noted(j, r, e)
		}
	}
}

// noted checks the starts of a task once an end is taken note of; w.mu is held.
func (w *world) noted(j *job, r ref, e end) {
	p := j.phaseOf(r)
	switch {
	case e.how == "failed" && !p.Persistent:
		w.failedEnds[e.task] = append(w.failedEnds[e.task], e.at)
		for _, s := range w.startsOf[e.task] {
			n := 0
			for _, t := range w.failedEnds[e.task] {
				if t.Before(s) {
					n++
				}
			}
			if n >= maxAttempts {
				w.breaks("BUDGET", "%s started after %d ends failed", e.task, n)
				return
			}
		}
	case e.how != "done" || p.Persistent:
	default:
		l := []ref{r}
		if p.Gang {
			l = nil
			for n := range p.Count {
				l = append(l, ref{r.job, r.k, r.step, n})
			}
		}
		for _, t := range l {
			w.acked[t.String()] = true
			for _, s := range w.startsOf[t.String()] {
				if s.After(e.at) {
					w.breaks("TWICE", "%s started at %v after run %d had ended done", t, s.Sub(w.start).Milliseconds(), e.run)
				}
			}
		}
	}
}

// runs reports whether the executor runs a task of a job; w.mu is held.
func (x *executor) runs(j *job) bool {
	for _, a := range x.attempts {
		if a.job == j {
			return true
		}
	}
	return false
}

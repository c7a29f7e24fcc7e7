package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// stopTime is how long a stop takes; stop_ms is 900.
	stopTime = 50 * time.Millisecond
	// tickInterval is the time between two looks of an executor at what it runs.
	tickInterval = 10 * time.Millisecond
	// maxHoldWait is the longest time for which a hold waits for an end.
	maxHoldWait = 2 * time.Second
	// maxListedEnds is the most ends that one answer lists: "500 at a time".
	maxListedEnds = 500
	// gangWait is how long a member waits for the others.
	gangWait = 3 * time.Second
)

// stepSpec tells an executor what the tasks of a step do; it travels in the job's spec.
type stepSpec struct {
	// Ms is how long a task works; 0 stands for a task that lasts.
	Ms  int `json:"ms"`
	CPU int `json:"cpu"`
	// Gang is the number of tasks that work only together, 0 if they work alone.
	Gang int `json:"gang,omitempty"`
}

// work is a run in progress.
type work struct {
	step    stepSpec
	seen    *taskRun
	task    string
	run     int
	startAt time.Time
	stopAt  time.Time
	gang    *gang
}

// end is an end that was not acknowledged yet.
type end struct {
	number int64
	task   string
	run    int
	how    string
	seen   *taskRun
}

// executor is one executor at an address; a crash ends its life and return begins the next one, under the same id.
type executor struct {
	p       *platform
	machine string
	address string
	zone    string

	mu     sync.Mutex
	id     string
	labels []string
	cpu    int
	// grey means that the executor fails all that it starts.
	grey bool
	up   bool
	// cut means that the executor gets no calls, and runs on.
	cut        bool
	server     *http.Server
	born       int64
	lifeAt     time.Time
	fence      int64
	leaseUntil time.Time
	works      map[string]*work
	lastRun    map[string]int
	ends       []end
	number     int64
	changed    chan struct{}
}

func (e *executor) name() string { return e.machine + "/" + e.id }

// begin begins a life of the executor: it listens and publishes its entry.
func (e *executor) begin() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return fmt.Errorf("executor %s: %w", e.machine, err)
	}
	e.born, e.lifeAt = time.Now().UnixMilli(), time.Now()
	e.fence, e.leaseUntil, e.works, e.lastRun = 0, time.Time{}, make(map[string]*work), make(map[string]int)
	e.ends, e.number, e.changed, e.up = nil, 0, make(chan struct{}), true
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	e.p.rec.add("executor %s %v: is up, cpu %d", e.name(), e.labels, e.cpu)
	e.p.publish(e)
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	return nil
}

// finish ends the life of the executor and all that runs there; how is the end of the runs, which no list tells.
func (e *executor) finish(how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.up = false
	_ = e.server.Close()
	for _, w := range e.works {
		e.p.history.ended(w.seen, how)
		e.p.leaveGang(w)
	}
	e.works = make(map[string]*work)
	close(e.changed)
	e.p.rec.add("executor %s: is down (%s)", e.name(), how)
}

func (e *executor) clock() int64 { return time.Since(e.lifeAt).Milliseconds() }

// free returns the processors that are not in use; e.mu is held.
func (e *executor) free() int {
	n := e.cpu
	for _, w := range e.works {
		n -= w.step.CPU
	}
	return n
}

// tick ends what is over.
func (e *executor) tick(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	for _, w := range e.works {
		if how := e.over(w, now); how != "" {
			e.endWork(w, how)
		}
	}
}

// over returns how a run ends now, empty if it goes on; e.mu is held.
func (e *executor) over(w *work, now time.Time) string {
	switch {
	case !now.Before(e.leaseUntil):
		return "lapsed"
	case !w.stopAt.IsZero() && now.After(w.stopAt):
		return "stopped"
	case e.grey && now.Sub(w.startAt) > 5*time.Millisecond:
		return "failed"
	case w.gang != nil:
		return w.gang.over(w, now)
	case w.step.Ms > 0 && now.Sub(w.startAt) >= time.Duration(w.step.Ms)*time.Millisecond:
		return "done"
	}
	return ""
}

// endWork lists an end; e.mu is held.
func (e *executor) endWork(w *work, how string) {
	delete(e.works, w.task)
	e.lastRun[w.task] = max(e.lastRun[w.task], w.run)
	e.number++
	e.ends = append(e.ends, end{e.number, w.task, w.run, how, w.seen})
	e.p.history.ended(w.seen, how)
	e.p.endInGang(w, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// order is the body of a call to an executor.
type order struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Spec   string `json:"spec"`
	DueMs  int64  `json:"due_ms"`
	Fence  int64  `json:"fence"`
	Acked  int64  `json:"acked_upto"`
	Wait   int64  `json:"wait_ms"`
	Ticket string `json:"ticket"`
}

// ServeHTTP serves the calls of PROTOCOL, "Running tasks".
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.cut {
		e.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if !e.up || r.Header.Get("X-Currantknot-Target-Instance") != e.id {
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Fence < e.fence {
		e.answer(w, http.StatusConflict, "fence")
		return
	}
	e.fence = o.Fence
	switch r.URL.Path {
	case "/api/run-start":
		status, reason := e.start(o)
		e.answer(w, status, reason)
	case "/api/run-stop":
		e.stop(o)
		e.answer(w, http.StatusOK, "")
	case "/api/hold":
		e.hold(w, r, o)
	default:
		e.answer(w, http.StatusOK, "")
	}
}

// answer answers a call and releases e.mu.
func (e *executor) answer(w http.ResponseWriter, status int, reason string) {
	m := map[string]any{"clock_ms": e.clock(), "born": e.born}
	e.mu.Unlock()
	if reason != "" {
		m["reason"] = reason
	}
	respond(w, status, m)
}

func respond(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// extend extends the lease; e.mu is held.
func (e *executor) extend(dueMs int64) {
	t := e.lifeAt.Add(time.Duration(dueMs) * time.Millisecond)
	if most := time.Now().Add(e.p.maxLease); t.After(most) {
		t = most
	}
	if t.After(e.leaseUntil) {
		e.leaseUntil = t
	}
}

// start starts a run; e.mu is held.
func (e *executor) start(o order) (int, string) {
	e.extend(o.DueMs)
	x := e.works[o.Task]
	switch {
	case x != nil && x.run == o.Run:
		return http.StatusOK, ""
	case x != nil || o.Run <= e.lastRun[o.Task]:
		return http.StatusConflict, "old"
	case o.DueMs <= e.clock():
		return http.StatusConflict, "late"
	}
	if e.p.advisor != nil && !e.p.advisor.isValid(e, o) {
		return http.StatusConflict, "ticket"
	}
	s, ok := stepOf(o)
	if !ok {
		return http.StatusBadRequest, ""
	}
	if s.CPU > e.free() {
		return http.StatusConflict, "room"
	}
	n := &work{step: s, task: o.Task, run: o.Run, startAt: time.Now(), seen: e.p.history.started(e, o.Task, o.Run)}
	e.works[o.Task] = n
	if s.Gang > 0 {
		n.gang = e.p.joinGang(n)
	}
	return http.StatusOK, ""
}

// stepOf returns what the step of a task does.
func stepOf(o order) (stepSpec, bool) {
	var steps []stepSpec
	p := strings.Split(o.Task, ".")
	if len(p) != 4 || json.Unmarshal([]byte(o.Spec), &steps) != nil {
		return stepSpec{}, false
	}
	n, err := strconv.Atoi(p[2])
	if err != nil || n < 0 || n >= len(steps) {
		return stepSpec{}, false
	}
	return steps[n], true
}

// stop stops a run; e.mu is held.
func (e *executor) stop(o order) {
	e.lastRun[o.Task] = max(e.lastRun[o.Task], o.Run)
	if x := e.works[o.Task]; x != nil && x.run <= o.Run && x.stopAt.IsZero() {
		x.stopAt = time.Now().Add(stopTime)
	}
}

// hold renews the lease, forgets ends and lists all; e.mu is held, and released.
func (e *executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	if o.DueMs > 0 {
		e.extend(o.DueMs)
	}
	for len(e.ends) > 0 && e.ends[0].number <= o.Acked {
		e.p.history.acknowledged(e.ends[0].seen)
		e.ends = e.ends[1:]
	}
	if len(e.ends) == 0 && o.Wait > 0 {
		changed, born := e.changed, e.born
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(maxHoldWait, time.Duration(o.Wait)*time.Millisecond)):
		case <-r.Context().Done():
		}
		e.mu.Lock()
		if !e.up || e.born != born {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if e.cut {
			e.mu.Unlock()
			<-r.Context().Done()
			return
		}
	}
	running, ends := [][]any{}, [][]any{}
	for _, x := range e.works {
		running = append(running, []any{x.task, x.run, "", x.percent(), 0})
	}
	for _, x := range e.ends[:min(len(e.ends), maxListedEnds)] {
		ends = append(ends, []any{x.number, x.task, x.run, x.how, ""})
	}
	m := map[string]any{"clock_ms": e.clock(), "born": e.born, "running": running, "ended": ends}
	e.mu.Unlock()
	respond(w, http.StatusOK, m)
}

// percent returns how far a run is; a task that lasts is at work half a second after its start.
func (w *work) percent() int {
	total := 500
	if w.step.Ms > 0 {
		total = w.step.Ms
	}
	return int(min(time.Since(w.startAt).Milliseconds()*100/int64(total), 100))
}

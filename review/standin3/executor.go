package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// startup is the time from the start of a task that lasts until it is at work.
	startup = 300 * time.Millisecond
	// stopTime is the time that a stop takes, and maxHold the longest lease.
	stopTime = 100 * time.Millisecond
	maxHold  = 6 * time.Second
	// endsPerPage is the number of ends that a report lists at a time.
	endsPerPage = 500
	// fullPercent is the percent of a task that is at work.
	fullPercent = 100
)

// executor is a stand-in of an executor that guards its room.
type executor struct {
	id      string
	zone    string
	rack    string
	kind    string
	cpu     int
	memMB   int
	world   *world
	address string
	server  *http.Server

	mu       sync.Mutex
	born     time.Time
	fence    int64
	due      time.Time
	running  map[string]*run
	last     map[string]int
	ended    []end
	lastEnd  int64
	seq      int
	changed  chan struct{}
	down     bool
	draining bool
	// left means that the executor has left for good.
	left bool
}

// run is a run of a task that has not ended.
type run struct {
	task     string
	number   int
	spec     string
	began    time.Time
	pace     int
	stopping bool
}

// end is an end that is not acknowledged.
type end struct {
	number int64
	task   string
	run    int
	how    string
}

// order holds the fields of all calls to an executor.
type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	DueMs   int64  `json:"due_ms"`
	Fence   int64  `json:"fence"`
	Acked   int64  `json:"acked_upto"`
	WaitMs  int64  `json:"wait_ms"`
	Percent int    `json:"percent"`
	Ticket  string `json:"ticket"`
}

// newExecutor starts an executor at a free loopback address.
func newExecutor(w *world, id, zone, rack string) (*executor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &executor{id: id, zone: zone, rack: rack, kind: "a", cpu: executorCPU, memMB: executorMemMB, world: w, address: l.Addr().String()}
	e.reset()
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// reset begins a life of the executor, which knows nothing of before; e.mu is held, or the executor is new.
func (e *executor) reset() {
	e.born = time.Now()
	e.fence, e.due, e.lastEnd, e.seq = 0, time.Time{}, 0, 0
	e.running, e.last, e.ended = make(map[string]*run), make(map[string]int), nil
	e.changed = make(chan struct{})
}

// leave ends the executor for good.
func (e *executor) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for t, r := range e.running {
		e.world.ended(e.id, t, r.number, "left")
	}
	e.running = make(map[string]*run)
	e.down, e.left = true, true
	e.world.record.printf("executor %s leaves", e.id)
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() }

// entry returns what the executor registers in the store, and false while it is down.
func (e *executor) entry(service string) (map[string]any, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	return map[string]any{
		"service": service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "seq": e.seq,
		"room": map[string]int{"cpu": e.cpu, "mem_mb": e.memMB, "gpu": 0}, "labels": []string{e.kind, e.rack}, "clock_ms": e.clock(), "born": e.born.UnixMilli(),
	}, !e.down
}

// hasLeft reports whether the executor has left for good.
func (e *executor) hasLeft() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.left
}

// ServeHTTP serves the calls of the system.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	b, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(b, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	down := e.down
	e.mu.Unlock()
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case r.Header.Get("X-Currantknot-Target-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/api/hold":
		e.hold(w, r, o)
	default:
		if d := e.world.lateness(e.id, r.URL.Path, o); d > 0 {
			time.AfterFunc(d, func() { e.execute(r.URL.Path, o, true) })
			<-r.Context().Done()
			return
		}
		e.mu.Lock()
		born := e.born
		e.mu.Unlock()
		status, reason := e.execute(r.URL.Path, o, false)
		x := map[string]any{"clock_ms": time.Since(born).Milliseconds(), "born": born.UnixMilli()}
		if reason != "" {
			x["reason"] = reason
		}
		respond(w, status, x)
	}
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

// execute carries out an order, and returns the status and the reason of a refusal.
func (e *executor) execute(path string, o order, late bool) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return http.StatusServiceUnavailable, ""
	}
	if o.Fence < e.fence {
		if late {
			e.world.record.printf("executor %s refuses the late %s of %s run %d: fence", e.id, path, o.Task, o.Run)
		}
		return http.StatusConflict, "fence"
	}
	e.fence = o.Fence
	switch path {
	case "/api/run-start":
		return e.start(o, late)
	case "/api/run-stop":
		e.stop(o)
		return http.StatusOK, ""
	case "/api/pace":
		if r := e.running[o.Task]; r != nil && r.number == o.Run {
			r.pace = o.Percent
			e.world.paced(e.id, o.Task, o.Run, o.Percent, late)
		}
		return http.StatusOK, ""
	}
	return http.StatusNotFound, ""
}

func (e *executor) start(o order, late bool) (int, string) {
	e.extend(o.DueMs)
	if r := e.running[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	s, known := e.world.stepOf(o.Task)
	cpu, mem := s.reserved()
	usedCPU, usedMem := e.used()
	switch {
	case e.running[o.Task] != nil || o.Run <= e.last[o.Task]:
		return http.StatusConflict, "old"
	case o.DueMs <= e.clock():
		return http.StatusConflict, "late"
	case known && (usedCPU+cpu > e.cpu || usedMem+mem > e.memMB):
		return http.StatusConflict, "room"
	case !e.world.mayStart(o.Task, e.id, o.Ticket):
		return http.StatusConflict, "ticket"
	}
	r := &run{task: o.Task, number: o.Run, spec: o.Spec, began: time.Now(), pace: fullPercent}
	e.running[o.Task] = r
	e.world.started(e.id, o.Task, o.Run, o.Spec, late)
	if d, how := e.world.fate(o.Task, o.Run); d > 0 {
		time.AfterFunc(d, func() { e.finish(r, how) })
	}
	return http.StatusOK, ""
}

// used returns the room that what runs takes; e.mu is held.
func (e *executor) used() (cpu, mem int) {
	for t := range e.running {
		s, _ := e.world.stepOf(t)
		c, m := s.reserved()
		cpu += c
		mem += m
	}
	return cpu, mem
}

func (e *executor) stop(o order) {
	e.last[o.Task] = max(e.last[o.Task], o.Run)
	r := e.running[o.Task]
	if r == nil || r.number > o.Run || r.stopping {
		return
	}
	r.stopping = true
	e.world.stopped(e.id, o.Task, o.Run)
	time.AfterFunc(stopTime, func() { e.finish(r, "stopped") })
}

// extend extends the lease to an instant of the executor's clock, and never shortens it; e.mu is held.
func (e *executor) extend(dueMs int64) {
	if dueMs == 0 {
		return
	}
	t := e.born.Add(time.Duration(dueMs) * time.Millisecond)
	if m := time.Now().Add(maxHold); t.After(m) {
		t = m
	}
	if !t.After(e.due) {
		return
	}
	e.due = t
	born := e.born
	time.AfterFunc(time.Until(t), func() { e.lapse(born) })
}

// lapse ends what runs if the lease of a life has ended.
func (e *executor) lapse(born time.Time) {
	e.mu.Lock()
	var l []*run
	if e.born.Equal(born) && !time.Now().Before(e.due) {
		for _, r := range e.running {
			l = append(l, r)
		}
	}
	e.mu.Unlock()
	for _, r := range l {
		e.finish(r, "lapsed")
	}
}

func (e *executor) finish(r *run, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[r.task] != r {
		return
	}
	delete(e.running, r.task)
	e.last[r.task] = max(e.last[r.task], r.number)
	e.lastEnd++
	e.ended = append(e.ended, end{e.lastEnd, r.task, r.number, how})
	e.world.ended(e.id, r.task, r.number, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// hold serves a call that renews the lease and returns what runs and what has ended.
func (e *executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	e.mu.Lock()
	if o.Fence < e.fence {
		x := map[string]any{"clock_ms": e.clock(), "born": e.born.UnixMilli(), "reason": "fence"}
		e.mu.Unlock()
		respond(w, http.StatusConflict, x)
		return
	}
	e.fence = o.Fence
	e.extend(o.DueMs)
	for len(e.ended) > 0 && e.ended[0].number <= o.Acked {
		e.ended = e.ended[1:]
	}
	changed, born, wait := e.changed, e.born, len(e.ended) == 0 && o.WaitMs > 0
	e.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	e.mu.Lock()
	if e.down || !e.born.Equal(born) {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range e.running {
		running = append(running, []any{x.task, x.number, "", e.percent(x), e.world.sample(e, x)})
	}
	for _, x := range e.ended[:min(len(e.ended), endsPerPage)] {
		ended = append(ended, []any{x.number, x.task, x.run, x.how, ""})
	}
	x := map[string]any{"clock_ms": e.clock(), "born": e.born.UnixMilli(), "running": running, "ended": ended}
	e.mu.Unlock()
	respond(w, http.StatusOK, x)
}

// percent returns how far a run is; a task that lasts is at work after its startup.
func (e *executor) percent(r *run) int {
	d := time.Since(r.began)
	s, _ := e.world.stepOf(r.task)
	if s.Persistent {
		if d < startup {
			return 0
		}
		return fullPercent
	}
	if total, _ := e.world.fate(r.task, r.number); total > 0 {
		return min(fullPercent-1, int(fullPercent*d/total))
	}
	return 0
}

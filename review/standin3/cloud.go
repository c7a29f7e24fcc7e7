package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// upkeepTime is upkeep_s, after which a machine is back with a new executor.
	upkeepTime = 2 * time.Second
	stateUp    = "up"
	stateBusy  = "upkeep"
)

// cloud is a stand-in of the service that lists machines and takes them down for their upkeep. Machine m-N has executor x-N.
type cloud struct {
	fleet   *fleet
	address string
	server  *http.Server

	mu       sync.Mutex
	machines []*machine
}

// machine is a machine with the highest fencing token that it has seen and the waves for which it had its upkeep.
type machine struct {
	id       string
	executor *executor
	state    string
	fence    int64
	waves    map[int]bool
}

func newCloud() (*cloud, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{address: l.Addr().String()}
	c.server = &http.Server{Handler: c, ReadHeaderTimeout: time.Minute}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

// add adds the machine of an executor.
func (c *cloud) add(e *executor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(c.machines, &machine{id: "m-" + e.id, executor: e, state: stateUp, waves: make(map[int]bool)})
}

// ServeHTTP serves the calls of the system.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/api/machines":
		respond(w, http.StatusOK, map[string]any{"machines": c.list(), "next_token": ""})
	case r.Method == http.MethodPost && r.URL.Path == "/api/machine-upkeep":
		var x struct {
			Machine string `json:"machine"`
			Wave    int    `json:"wave"`
		}
		fence, err := strconv.ParseInt(r.Header.Get("X-Currantknot-Fencing-Token"), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&x) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, reason := c.upkeep(x.Machine, x.Wave, fence)
		c.fleet.record.printf("upkeep of %s for wave %d is ordered: %d %s", x.Machine, x.Wave, status, reason)
		respond(w, status, map[string]any{"reason": reason})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *cloud) list() []map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := []map[string]any{}
	for _, m := range c.machines {
		x := map[string]any{
			"machine": m.id, "pool": service, "state": m.state, "zone": m.executor.zone, "labels": []string{m.executor.kind, m.executor.rack},
			"room": map[string]int{"cpu": m.executor.cpu, "mem_mb": m.executor.memMB, "gpu": 0},
		}
		if m.state == stateUp {
			x["id"] = m.executor.id
		}
		l = append(l, x)
	}
	return l
}

// upkeep takes a machine down for its upkeep. Its executor leaves, and a new one joins after upkeepTime.
func (c *cloud) upkeep(id string, wave int, fence int64) (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.id != id {
			continue
		}
		switch {
		case fence < m.fence:
			return http.StatusConflict, "fence"
		case m.waves[wave]:
			return http.StatusOK, ""
		case m.state != stateUp:
			return http.StatusConflict, "busy"
		}
		m.fence, m.waves[wave], m.state = fence, true, stateBusy
		old := m.executor
		old.leave()
		time.AfterFunc(upkeepTime, func() { c.comeBack(m, old) })
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

// comeBack brings a machine up with a new executor.
func (c *cloud) comeBack(m *machine, old *executor) {
	e, err := newExecutor(c.fleet.world, old.id+"-new", old.zone, old.rack)
	if err != nil {
		return
	}
	e.kind = old.kind
	c.mu.Lock()
	m.executor, m.state = e, stateUp
	c.mu.Unlock()
	c.fleet.mu.Lock()
	c.fleet.executors = append(c.fleet.executors, e)
	c.fleet.mu.Unlock()
	c.fleet.record.printf("machine %s is up with executor %s", m.id, e.id)
}

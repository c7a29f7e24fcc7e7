package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two entries of an executor, and upkeepTime how long an upkeep takes.
	heartbeat  = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
	// usualMaxLease is hold_max_ms, unless a case sets another one.
	usualMaxLease = 6 * time.Second
	pool          = "badge-ledger"
)

// machine is a machine of the platform; its executor is nil while it is down.
type machine struct {
	id       string
	zone     string
	kind     string
	cpu      int
	address  string
	executor *executor
	state    string
	fence    int64
	// maintained holds the waves for which the machine has had its upkeep.
	maintained map[int]bool
}

// platform is the platform apart from its store: machines, their executors, and the service that takes them down.
type platform struct {
	// advisor is the service that allows executors to run a step, nil if the queue asks none.
	advisor *advisor
	// maxLease is hold_max_ms.
	maxLease time.Duration
	store    *store
	history  *history
	rec      *record

	mu       sync.Mutex
	machines []*machine
	gangs    map[string]*gang
	waves    map[int][]string
	lives    int
	// upkeeps tells of each upkeep that has begun.
	upkeeps chan string
	address string
	server  *http.Server
	stop    chan struct{}
}

func newPlatform(s *store, r *record) *platform {
	return &platform{maxLease: usualMaxLease, store: s, rec: r, history: &history{rec: r}, gangs: make(map[string]*gang), waves: make(map[int][]string), upkeeps: make(chan string, 100), stop: make(chan struct{})}
}

// listen serves the list of machines and upkeeps.
func (p *platform) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the cloud: %w", err)
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /api/machines", p.list)
	m.HandleFunc("POST /api/machine-upkeep", p.upkeep)
	p.address, p.server = l.Addr().String(), &http.Server{Handler: m, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = p.server.Serve(l) }()
	go p.beat()
	go p.tick()
	return nil
}

// addMachine adds a machine with an executor.
func (p *platform) addMachine(zone, kind string, cpu int) (*executor, error) {
	p.mu.Lock()
	m := &machine{id: fmt.Sprintf("m%d", len(p.machines)+1), zone: zone, kind: kind, cpu: cpu, address: freeAddress(), maintained: make(map[int]bool)}
	p.machines = append(p.machines, m)
	p.mu.Unlock()
	return p.boot(m)
}

// boot starts a new executor, with a new id, on a machine.
func (p *platform) boot(m *machine) (*executor, error) {
	p.mu.Lock()
	p.lives++
	e := &executor{p: p, machine: m.id, address: m.address, zone: m.zone, id: fmt.Sprintf("i-%08x", 0x51000000+p.lives*7919), labels: []string{m.kind, "r-" + m.zone}, cpu: m.cpu}
	p.mu.Unlock()
	if err := e.begin(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	m.executor, m.state = e, "up"
	p.mu.Unlock()
	return e, nil
}

// publish publishes the entry of an executor; e.mu is held.
func (p *platform) publish(e *executor) {
	p.store.log.Put("keyed.servers", e.id, map[string]any{
		"service": pool, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"room": map[string]int{"cpu": e.cpu, "mem_mb": 64000, "gpu": 0}, "labels": e.labels, "machine": e.machine, "seq": e.clock(), "born": e.born,
	})
}

// executors returns the executors of all machines that are up.
func (p *platform) executors() []*executor {
	p.mu.Lock()
	defer p.mu.Unlock()
	var l []*executor
	for _, m := range p.machines {
		if m.executor != nil {
			l = append(l, m.executor)
		}
	}
	return l
}

// beat publishes the entries of the executors that are up.
func (p *platform) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-t.C:
		}
		for _, e := range p.executors() {
			e.mu.Lock()
			if e.up {
				p.publish(e)
			}
			e.mu.Unlock()
		}
	}
}

func (p *platform) tick() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-t.C:
			for _, e := range p.executors() {
				e.tick(now)
			}
		}
	}
}

// list answers with all machines.
func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	var l []map[string]any
	for _, m := range p.machines {
		id := ""
		if m.executor != nil {
			id = m.executor.id
		}
		l = append(l, map[string]any{"machine": m.id, "pool": pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, "r-" + m.zone}, "room": map[string]int{"cpu": m.cpu, "mem_mb": 64000, "gpu": 0}, "id": id})
	}
	p.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"machines": l, "next_token": ""})
}

// upkeep takes a machine down, as PROTOCOL, "Machines", says.
func (p *platform) upkeep(w http.ResponseWriter, r *http.Request) {
	var x struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	fence, err := strconv.ParseInt(r.Header.Get("X-Currantknot-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&x) != nil || err != nil {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	status, reason, m := p.begin(x.Machine, x.Wave, fence)
	p.rec.add("cloud: upkeep of %s for wave %d by %s, fence %d: %d %s", x.Machine, x.Wave, r.Header.Get("X-Currantknot-Lease-Holder"), fence, status, reason)
	if m != nil {
		go p.maintain(m)
	}
	respond(w, status, map[string]any{"reason": reason})
}

// begin decides on an upkeep, and returns the machine if one begins.
func (p *platform) begin(id string, wave int, fence int64) (int, string, *machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.machines, func(m *machine) bool { return m.id == id })
	if i < 0 {
		return http.StatusBadRequest, "", nil
	}
	m := p.machines[i]
	if fence < m.fence {
		return http.StatusConflict, "fence", nil
	}
	m.fence = fence
	switch {
	case !slices.Contains(p.waves[wave], id):
		return http.StatusConflict, "wave", nil
	case m.maintained[wave]:
		return http.StatusOK, "already done", nil
	case m.state != "up":
		return http.StatusConflict, "busy", nil
	}
	m.maintained[wave], m.state = true, "upkeep"
	return http.StatusOK, "", m
}

// maintain ends all that runs on a machine; a new executor joins after the upkeep.
func (p *platform) maintain(m *machine) {
	p.mu.Lock()
	e := m.executor
	m.executor = nil
	p.mu.Unlock()
	e.finish("upkeep")
	p.store.log.PutRaw("keyed.servers", e.id, nil)
	p.upkeeps <- m.id
	time.Sleep(upkeepTime)
	if _, err := p.boot(m); err != nil {
		p.rec.add("machine %s does not come back: %v", m.id, err)
	}
}

func (p *platform) close() {
	close(p.stop)
	if p.server != nil {
		_ = p.server.Close()
	}
	for _, e := range p.executors() {
		e.finish("end of the case")
	}
}

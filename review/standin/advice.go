package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// decideTime and eachTime are how long advice takes, and ticketTime how long a ticket is valid.
	decideTime = 5 * time.Millisecond
	eachTime   = time.Millisecond
	ticketTime = 3 * time.Second
)

// advisor answers which executors may run a step: all of them, each with a ticket for its present life.
type advisor struct {
	p       *platform
	address string
	server  *http.Server
	// turn is held while a call is handled; there is one calling machine at a time here.
	turn sync.Mutex

	mu      sync.Mutex
	tickets map[string]ticket
}

// ticket allows the tasks of a step on one life of an executor.
type ticket struct {
	step     string
	executor string
	born     int64
	until    time.Time
}

// advise makes the queue ask an advisor; it is called before open.
func (f *fleet) advise() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for advice: %w", err)
	}
	a := &advisor{p: f.platform, address: l.Addr().String(), tickets: make(map[string]ticket)}
	m := http.NewServeMux()
	m.Handle("POST /api/advise", a)
	a.server = &http.Server{Handler: m, ReadHeaderTimeout: 5 * time.Second}
	f.advisor = a
	go func() { _ = a.server.Serve(l) }()
	return nil
}

// ServeHTTP handles one call after the other.
func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var x struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil || len(x.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	time.Sleep(decideTime + time.Duration(len(x.Workers))*eachTime)
	good := a.issue(x.Step, x.Workers)
	a.turn.Unlock()
	a.p.rec.add("advisor: %s may run on %d of %d", x.Step, len(good), len(x.Workers))
	respond(w, http.StatusOK, map[string]any{"good": good, "valid_ms": ticketTime.Milliseconds()})
}

// issue returns rows of executor and ticket.
func (a *advisor) issue(step string, ids []string) [][]string {
	good := [][]string{}
	lives := make(map[string]int64)
	for _, e := range a.p.executors() {
		e.mu.Lock()
		if e.up {
			lives[e.id] = e.born
		}
		e.mu.Unlock()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		born, ok := lives[id]
		if !ok {
			continue
		}
		k := fmt.Sprintf("t%06d", len(a.tickets)+1)
		a.tickets[k] = ticket{step, id, born, time.Now().Add(ticketTime)}
		good = append(good, []string{id, k})
	}
	return good
}

// isValid reports whether a start carries a ticket that is valid at an executor; e.mu is held.
func (a *advisor) isValid(e *executor, o order) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[o.Ticket]
	return ok && t.executor == e.id && t.born == e.born && strings.HasPrefix(o.Task, t.step+".") && time.Now().Before(t.until)
}

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// ticketLife is valid_ms of the queue whose steps need advice, and adviceEach its each_ms.
	ticketLife = 3 * time.Second
	adviceEach = time.Millisecond
	// moveAfter is when the service moves to another address, and oldServes the time for which it is still served at the former one.
	moveAfter = 6 * time.Second
	oldServes = 10 * time.Second
	// advisedTraffic is the time in which jobs come after the move, one every advisedInterval.
	advisedTraffic  = 20 * time.Second
	advisedInterval = time.Second
	advisedWatch    = 5 * time.Second
)

// advisor is a stand-in of the service that says which executors may run a step. It lets all run all steps.
type advisor struct {
	world   *world
	address string
	server  *http.Server

	turn sync.Mutex
}

func newAdvisor(w *world) (*advisor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &advisor{world: w, address: l.Addr().String()}
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: time.Minute}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// ServeHTTP answers a call for advice, one at a time.
func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var x struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.URL.Path != "/api/advise" || json.NewDecoder(r.Body).Decode(&x) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	time.Sleep(time.Duration(len(x.Workers)) * adviceEach)
	rows := [][]string{}
	for _, id := range x.Workers {
		rows = append(rows, []string{id, a.world.ticket(x.Step, id)})
	}
	a.world.record.printf("advice for %s at %s: %d executors", x.Step, a.address, len(rows))
	respond(w, http.StatusOK, map[string]any{"good": rows, "valid_ms": ticketLife.Milliseconds()})
}

// ticket issues a ticket with which an executor starts tasks of a step.
func (w *world) ticket(step, executor string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := fmt.Sprintf("%s-%s-%d", step, executor, len(w.tickets))
	w.tickets[t] = time.Now().Add(ticketLife)
	return t
}

// mayStart reports whether an executor may start a task with a ticket: it needs one if its job is of the queue with advice.
func (w *world) mayStart(task, executor, ticket string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[jobOf(task)]
	if j == nil || !j.advised {
		return true
	}
	step := task[:strings.LastIndex(task, ".")]
	return strings.HasPrefix(ticket, step+"-"+executor+"-") && time.Now().Before(w.tickets[ticket])
}

// playAdvised hands jobs in whose steps need advice, and lets the service that gives it move to another address, as the settings files say
// from then on.
func playAdvised(w *world, trouble bool) (string, error) {
	a, err := newAdvisor(w)
	if err != nil {
		return "", err
	}
	f, err := newFleetWithAdvice(w, a.address)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return "", err
	}
	b, err := newAdvisor(w)
	if err != nil {
		return "", err
	}
	defer func() { _, _ = a.server.Close(), b.server.Close() }()
	var l []*job
	l = append(l, f.handInAdvised(0, int(moveAfter/advisedInterval))...)
	if trouble {
		if err := f.moveAdvice(a.address, b.address); err != nil {
			return "", err
		}
		time.AfterFunc(oldServes, func() {
			w.record.printf("the service for advice is no longer at %s", a.address)
			_ = a.server.Close()
		})
	}
	l = append(l, f.handInAdvised(len(l), int(advisedTraffic/advisedInterval))...)
	time.Sleep(finishTime)
	from := time.Now()
	time.Sleep(advisedWatch)
	return f.judgeAdvised(l, from), nil
}

// handInAdvised hands n jobs in, one every advisedInterval.
func (f *fleet) handInAdvised(first, n int) []*job {
	var l []*job
	for i := range n {
		j := &job{id: fmt.Sprintf("f%015x", first+i), Spec: "check", advised: true, Steps: []step{{Count: 2, CPU: 1000, MemMB: 500, EstimateMs: 400, duration: shortTask, how: "done"}}}
		if f.submit(advisedQueue, j) {
			l = append(l, j)
		}
		time.Sleep(advisedInterval)
	}
	return l
}

// moveAdvice writes the new address into all settings files, and signals that to the first process.
func (f *fleet) moveAdvice(from, to string) error {
	for i, n := range f.nodes {
		b, err := os.ReadFile(n.settings) //nolint:gosec // made by newNode
		if err != nil {
			return err
		}
		b = []byte(strings.ReplaceAll(string(b), from, to))
		if err := os.WriteFile(n.settings, b, 0o600); err != nil { //nolint:gosec // made by newNode
			return err
		}
		f.record.printf("the settings file of %s changes: advice = %q", n.name, to)
		if i == 0 {
			_ = n.process.Process.Signal(syscall.SIGHUP)
			f.record.printf("%s gets SIGHUP", n.name)
		}
	}
	return nil
}

// judgeAdvised returns how many jobs had nothing running for idleBound, finish_s after the end of the traffic.
func (f *fleet) judgeAdvised(l []*job, from time.Time) string {
	broken := 0
	for _, j := range l {
		s := f.longestIdle(func(task string) bool { return jobOf(task) == j.id }, from, time.Now())
		if f.isCompleted(j, s.from) || s.length() < idleBound || 2*f.mostUsed(s) > executors*executorCPU {
			continue
		}
		f.record.printf("%s is %s, and nothing of it runs for %.1f s", j.id, f.state(advisedQueue, j.id), s.length().Seconds())
		broken++
	}
	if broken == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d of %d jobs had nothing running for 3 s or more, finish_s after the end of the traffic", broken, len(l))
}

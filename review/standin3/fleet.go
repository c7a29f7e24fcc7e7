package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"currantknot.dev/currantknot/platform/standin"
)

const (
	service   = "ledger"
	queueHost = "claims.example"
	heartbeat = 500 * time.Millisecond
	// instances is the number of instances of the program, and executors that of the executors at first.
	instances = 3
	executors = 4
	// readyTimeout bounds the wait until all instances are ready.
	readyTimeout = 20 * time.Second
)

// The queues, by path prefix.
const (
	shortQueue = "/short/"
	longQueue  = "/long/"
	// advisedQueue is the queue whose steps need advice, where there is a service that gives it.
	advisedQueue = "/advised/"
)

var errNotReady = errors.New("instances are not ready in time")

// fleet is the platform, the executors and the instances of the program.
type fleet struct {
	*world
	folder    string
	log       *standin.Log
	server    *http.Server
	address   string
	executors []*executor
	cloud     *cloud
	// advice is the address of the service for advice, empty if there is none.
	advice string
	// ports holds the ports that freePort has returned.
	ports map[int]bool
	nodes []*node
	stop  context.CancelFunc
	next  int
}

// node is an instance of the program.
type node struct {
	name     string
	front    string
	ready    string
	metrics  string
	settings string
	output   string
	process  *exec.Cmd
	done     chan struct{}
}

// newFleet starts the platform, the executors and the instances, and waits until all instances are ready.
func newFleet(w *world) (*fleet, error) {
	return newFleetWithAdvice(w, "")
}

// newFleetWithAdvice is newFleet with a service for advice at an address.
func newFleetWithAdvice(w *world, advice string) (*fleet, error) {
	d, err := os.MkdirTemp("", "review3")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c, err := newCloud()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{world: w, folder: d, log: standin.NewLog(1), address: l.Addr().String(), stop: cancel, cloud: c, advice: advice, ports: make(map[int]bool)}
	f.server = &http.Server{Handler: f.log, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(l) }()
	f.configure()
	for i := range executors {
		e, err := newExecutor(w, fmt.Sprintf("x-%02d", i), fmt.Sprintf("zone-%d", i%3), fmt.Sprintf("rack-%d", i/2))
		if err != nil {
			return f, err
		}
		f.executors = append(f.executors, e)
	}
	f.cloud.fleet = f
	for _, e := range f.executors {
		f.cloud.add(e)
	}
	f.register()
	go f.keepRegistered(ctx)
	for i := range instances {
		n, err := f.newNode(i)
		if err != nil {
			return f, err
		}
		f.nodes = append(f.nodes, n)
		if err := n.start(); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

// configure writes the configuration.
func (f *fleet) configure() {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": queueHost, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 250,
			"priority": priority, "service": service, "max_attempts": 3, "stretch": 1.5,
		}
	}
	routes := []any{route("short", shortQueue, 0), route("long", longQueue, 0)}
	if f.advice != "" {
		x := route("advised", advisedQueue, 0)
		x["advice"] = map[string]any{"decide_ms": 0, "each_ms": adviceEach.Milliseconds(), "valid_ms": ticketLife.Milliseconds()}
		routes = append(routes, x)
	}
	f.log.Put("keyed.op", "config", map[string]any{
		"version": 1, "routes": routes, "services": []any{map[string]any{"name": service, "enforces_capacity": true}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// register writes the entries of the executors that are up.
func (f *fleet) register() {
	f.mu.Lock()
	l := slices.Clone(f.executors)
	f.mu.Unlock()
	for _, e := range l {
		if x, up := e.entry(service); up {
			f.log.Put("keyed.servers", e.id, x)
		} else if e.hasLeft() {
			f.log.Put("keyed.servers", e.id, nil)
		}
	}
}

func (f *fleet) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(heartbeat)
		f.register()
	}
}

// The instances listen at ports below those that the system takes for outgoing connections.
const (
	firstPort = 20000
	ports     = 10000
)

// freePort returns a loopback port that is free, and that it has not returned before.
func (f *fleet) freePort() (int, error) {
	for range ports {
		p := firstPort + rand.IntN(ports)
		if f.ports[p] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			continue
		}
		_ = l.Close()
		f.ports[p] = true
		return p, nil
	}
	return 0, errNotReady
}

func (f *fleet) newNode(i int) (*node, error) {
	var p [5]int
	for k := range p {
		n, err := f.freePort()
		if err != nil {
			return nil, err
		}
		p[k] = n
	}
	n := &node{name: fmt.Sprintf("frontend-%d", i), front: fmt.Sprintf("127.0.0.1:%d", p[0]), ready: fmt.Sprintf("127.0.0.1:%d", p[1])}
	n.metrics = fmt.Sprintf("127.0.0.1:%d", p[4])
	n.settings, n.output = filepath.Join(f.folder, n.name+".toml"), filepath.Join(f.folder, n.name+".log")
	text := fmt.Sprintf(settingsText, n.name, i%3, p[2], p[2], f.advice, n.front, n.ready, p[3], maxHold.Milliseconds(), f.address, f.cloud.address)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// program is the path of the program under test, as the deploy file builds it.
const program = "target/currantknot"

func (n *node) start() error {
	o, err := os.OpenFile(n.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(program, "jobs")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CURRANTKNOT_SETTINGS=" + n.settings, "CURRANTKNOT_METRICS_LISTEN=" + n.metrics}
	c.Stdout, c.Stderr = o, o
	if err := c.Start(); err != nil {
		return err
	}
	d := make(chan struct{})
	n.process, n.done = c, d
	go func() {
		_ = c.Wait()
		close(d)
		o.Close()
	}()
	return nil
}

// kill kills the instance and waits for its end.
func (n *node) kill() {
	_ = n.process.Process.Signal(syscall.SIGCONT)
	_ = n.process.Process.Kill()
	<-n.done
}

// isOwner reports whether the instance decides, by its own log.
func (n *node) isOwner() bool {
	b, err := os.ReadFile(n.output)
	if err != nil {
		return false
	}
	at := bytes.LastIndex(b, []byte(`"Decision":"TookOver"`))
	return at >= 0 && at > bytes.LastIndex(b, []byte(`"Decision":"OwnerStops"`))
}

func (f *fleet) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready, owner := 0, false
		for _, n := range f.nodes {
			if s, _ := get("http://"+n.ready+"/api/ready", ""); s == http.StatusOK {
				ready++
			}
			owner = owner || n.isOwner()
		}
		if ready == len(f.nodes) && owner {
			f.record.printf("all instances are ready")
			return nil
		}
	}
	return errNotReady
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	f.stop()
	for _, n := range f.nodes {
		if n.process != nil {
			n.kill()
		}
	}
	_ = f.server.Close()
	_ = f.cloud.server.Close()
	for _, e := range f.executors {
		_ = e.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder) //nolint:gosec // made by newFleetWithAdvice
		return
	}
	_, _ = fmt.Fprintln(os.Stderr, "logs in", f.folder)
}

// send makes one call of a client, and returns the status, 0 without an answer, and the body.
func send(method, url, host string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body)) //nolint:gosec // the address is one of the test's own
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set("X-Currantknot-Deadline-Remaining", "3000")
	a, err := http.DefaultClient.Do(r) //nolint:gosec // the address is one of the test's own
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil
	}
	return a.StatusCode, b
}

func get(url, host string) (int, []byte) { return send(http.MethodGet, url, host, nil) }

// front returns the next instance in turn.
func (f *fleet) front() *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	return f.nodes[f.next%len(f.nodes)]
}

// submit hands a job in, and again as clients do while it is not accepted; it reports whether it was accepted.
func (f *fleet) submit(queue string, j *job) bool {
	b, err := json.Marshal(j)
	if err != nil {
		return false
	}
	f.add(j)
	for range 10 {
		n := f.front()
		s, _ := send(http.MethodPost, "http://"+n.front+queue+j.id, queueHost, b)
		f.record.printf("client hands %s in at %s: %d", j.id, n.name, s)
		if s == http.StatusOK {
			f.mu.Lock()
			j.accepted = time.Now()
			f.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job; it is empty without an answer.
func (f *fleet) state(queue, id string) string {
	n := f.front()
	s, b := get("http://"+n.front+queue+id, queueHost)
	if s == http.StatusGone {
		return "gone"
	}
	var x struct {
		State string `json:"state"`
	}
	if s != http.StatusOK || json.Unmarshal(b, &x) != nil {
		return ""
	}
	return x.State
}

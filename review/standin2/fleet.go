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
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"currantknot.dev/currantknot/platform/standin"
)

// The names of the deployment, and its configuration.
const (
	serviceName = "ledger"
	hostName    = "jobs.example"
	queuePath   = "/q/"
	maxAttempts = 3
	heartbeat   = 1500 * time.Millisecond
	clientWait  = 3 * time.Second
	zones       = 3
	nodeCount   = 3
)

// fleet is the processes of the deploy file and the stand-ins that they use.
type fleet struct {
	*world
	log    *standin.Log
	store  *httptest.Server
	nodes  []*node
	random *rand.Rand
	dir    string
	// guards is what the configuration says of the executors.
	guards  bool
	version int
	client  *http.Client
}

// node is one process of the deploy file.
type node struct {
	f            *fleet
	name         string
	front, ready string
	metrics      string
	settings     string
	output       *os.File
	process      *exec.Cmd
	exited       chan struct{}
}

// newFleet starts the store; the executors have to be added before start is called.
func newFleet(w *world, seed uint64) (*fleet, error) {
	d, err := os.MkdirTemp("", "standin2")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	f := &fleet{world: w, log: standin.NewLog(seed), random: rand.New(rand.NewPCG(seed, 1)), dir: d, guards: true, client: &http.Client{Timeout: clientWait}}
	f.store = httptest.NewServer(f.log)
	return f, nil
}

// configure publishes the next version of the configuration.
func (f *fleet) configure() {
	f.version++
	f.log.Put("keyed.op", "config", map[string]any{
		"version": f.version,
		"routes": []map[string]any{{
			"name": "q", "host": hostName, "path_prefix": queuePath, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 250,
			"priority": 0, "service": serviceName, "max_attempts": maxAttempts, "stretch": 1.5,
		}},
		"services": []map[string]any{{"name": serviceName, "enforces_capacity": f.guards}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	f.line("operator: configuration %d", f.version)
}

// publish writes the entries of the executors until the world stops: at every heartbeat, and when a life begins.
func (f *fleet) publish() {
	said, at := make(map[string]string), make(map[string]time.Time)
	for {
		f.mu.Lock()
		for _, x := range f.executors {
			key := fmt.Sprintf("%d %t %t", x.born, x.draining, x.lost)
			if x.down && !x.lost || said[x.id] == key && (x.lost || time.Since(at[x.id]) < heartbeat) {
				continue
			}
			if x.lost {
				if time.Since(at[x.id]) < 3*heartbeat {
					continue
				}
				f.log.PutRaw("keyed.servers", x.id, nil)
			} else {
				f.log.Put("keyed.servers", x.id, x.entry())
			}
			said[x.id], at[x.id] = key, time.Now()
		}
		f.mu.Unlock()
		select {
		case <-f.stopped:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// addExecutors adds executors of equal size, some in each rack.
func (f *fleet) addExecutors(n, perRack, cpu, mem int) {
	for i := range n {
		f.addExecutor(fmt.Sprintf("i-%02d", i), fmt.Sprintf("zone-%d", i%zones), fmt.Sprintf("r-%d", i/perRack), cpu, mem, f.guards)
	}
}

// start starts the nodes and waits until they are ready.
func (f *fleet) start() error {
	f.configure()
	go f.publish()
	go f.run()
	for n := range nodeCount {
		i, err := f.newNode(n)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		ready := 0
		for _, i := range f.nodes {
			if i.isReady() {
				ready++
			}
		}
		if ready == len(f.nodes) {
			f.line("all nodes are ready")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("nodes did not become ready")
}

// stop ends all processes that were started.
func (f *fleet) stop() {
	close(f.stopped)
	for _, i := range f.nodes {
		i.kill()
		_ = i.output.Close()
	}
	f.store.CloseClientConnections()
	f.store.Close()
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(f.dir) //nolint:gosec // a folder of its own
	} else {
		fmt.Println("kept", f.dir)
	}
}

// ownIP is a loopback address that stand-ins which run at the same time do not share.
var ownIP = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8%100, os.Getpid()%256) //nolint:mnd // parts of an address

// usedPorts holds the addresses that freePort has returned, which are free until a process listens.
var usedPorts = make(map[string]bool)

// freePort returns a loopback address that is free now, below the ephemeral ports.
func freePort() string {
	for {
		a := fmt.Sprintf("%s:%d", ownIP, 21000+rand.IntN(9000)) // below the ephemeral ports
		if usedPorts[a] {
			continue
		}
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", a)
		if err == nil {
			_ = l.Close()
			usedPorts[a] = true
			return a
		}
	}
}

const settingsText = `node = %q
role = "jobs"
machine_class = "frontend"
serves = ["frontend"]
ip = %q
zone = "zone-%d"
region = "region"
internal_port_range = [%s, %s]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "places", "platform", "sharing"]
orders = "invoke"
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.16
cores = 1
memory_mb = 284
max_fds = 4100
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
evacuate_ms = 5000
recovery_s = 12
hold_max_ms = 6000
stop_ms = 900
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far_x = 1.5
save_s = 1
restore_ms = 600
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
require_fence = true
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = %q
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
`

func (f *fleet) newNode(n int) (*node, error) {
	i := &node{f: f, name: fmt.Sprintf("node-%d", n), front: freePort(), ready: freePort(), metrics: freePort()}
	i.settings = filepath.Join(f.dir, i.name+".toml")
	_, port, err := net.SplitHostPort(freePort())
	if err != nil {
		return nil, fmt.Errorf("free port: %w", err)
	}
	t := fmt.Sprintf(settingsText, i.name, ownIP, n%zones, port, port, i.front, i.ready, strings.TrimPrefix(f.store.URL, "http://"))
	if err := os.WriteFile(i.settings, []byte(t), 0o600); err != nil { //nolint:gosec // in a folder of its own
		return nil, fmt.Errorf("write settings: %w", err)
	}
	i.output, err = os.Create(filepath.Join(f.dir, i.name+".log")) //nolint:gosec // in a folder of its own
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	return i, nil
}

// start starts the process with the command of the deploy file.
func (i *node) start() error {
	c := exec.CommandContext(context.Background(), "target/currantknot", "jobs")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.f.dir, "LANG=C", "CURRANTKNOT_SETTINGS=" + i.settings, "CURRANTKNOT_METRICS_LISTEN=" + i.metrics}
	c.Stdout, c.Stderr = i.output, i.output
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	i.process, i.exited = c, make(chan struct{})
	started.Lock()
	started.list = append(started.list, c)
	started.Unlock()
	i.f.line("process %s starts, pid %d", i.name, c.Process.Pid)
	go func(done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(i.exited)
	return nil
}

// started holds the processes that were started.
var started struct {
	sync.Mutex
	list []*exec.Cmd
}

// endProcesses ends all processes that were started.
func endProcesses() {
	started.Lock()
	defer started.Unlock()
	for _, c := range started.list {
		_ = c.Process.Kill()
	}
}

func (i *node) signal(s syscall.Signal) {
	i.f.line("process %s gets signal %v", i.name, s)
	_ = i.process.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (i *node) kill() {
	_ = i.process.Process.Signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	<-i.exited
}

func (i *node) isReady() bool {
	r, err := i.f.client.Get("http://" + i.ready + "/api/ready") //nolint:gosec // a loopback address
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// call makes a client's call to a node; the status is 0 if there was no answer.
func (f *fleet) call(i *node, method, path string, body any) (int, []byte) {
	var b io.Reader
	if body != nil {
		x, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		b = bytes.NewReader(x)
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+i.front+path, b) //nolint:gosec // a loopback address
	if err != nil {
		return 0, nil
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Currantknot-Deadline-Remaining", "3000")
	a, err := f.client.Do(r) //nolint:gosec // a loopback address
	if err != nil {
		f.line("client: %s %s at %s: no answer", method, path, i.name)
		return 0, nil
	}
	defer a.Body.Close()
	x, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil
	}
	f.line("client: %s %s at %s: %d %s", method, path, i.name, a.StatusCode, strings.TrimSpace(string(x)))
	return a.StatusCode, x
}

func (f *fleet) anyNode() *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[f.random.IntN(len(f.nodes))]
}

func (f *fleet) newID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf("%016x", f.random.Uint64())
}

// submit hands a job in until it is accepted, at any node.
func (f *fleet) submit(j *job) bool {
	if j.ID == "" {
		j.ID = f.newID()
	}
	j.Spec = "spec of " + j.ID
	f.mu.Lock()
	f.jobs[j.ID] = j
	f.mu.Unlock()
	for range 60 {
		s, _ := f.call(f.anyNode(), http.MethodPost, queuePath+j.ID, j)
		if s == http.StatusOK {
			f.mu.Lock()
			j.acceptedAt = time.Now()
			f.mu.Unlock()
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks for a job's state, "gone" for 410 and empty for no state.
func (f *fleet) state(j *job) string {
	s, b := f.call(f.anyNode(), http.MethodGet, queuePath+j.ID, nil)
	if s == http.StatusGone {
		return "gone"
	}
	var x struct {
		State string `json:"state"`
	}
	if s != http.StatusOK || json.Unmarshal(b, &x) != nil {
		return ""
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	j.lastState = x.State
	if x.State == "completed" {
		f.checkCompleted(j)
	}
	return x.State
}

// checkCompleted checks a job that is shown as completed; f.mu is held.
func (f *fleet) checkCompleted(j *job) {
	for k := range max(j.Times, 1) {
		for s := range j.Phases {
			for n := range j.Phases[s].Count {
				if t := (ref{j.ID, k, s, n}); !f.done[t.String()] {
					f.breaks("MIXED", "%s is shown as completed, and %s has not ended so", j.ID, t)
				}
			}
		}
	}
}

// waitState waits until a job is shown in a state.
func (f *fleet) waitState(j *job, state string, d time.Duration) bool {
	for t := time.Now().Add(d); time.Now().Before(t); time.Sleep(250 * time.Millisecond) {
		if f.state(j) == state {
			return true
		}
	}
	return false
}

// waitUntil waits until a condition holds, which is looked at with f.mu held.
func (f *fleet) waitUntil(d time.Duration, ok func() bool) bool {
	for t := time.Now().Add(d); time.Now().Before(t); time.Sleep(tick) {
		f.mu.Lock()
		x := ok()
		f.mu.Unlock()
		if x {
			return true
		}
	}
	return false
}

// background hands in small jobs until the world stops.
func (f *fleet) background() {
	for {
		f.mu.Lock()
		work := time.Duration(300+f.random.IntN(2700)) * time.Millisecond
		pause := time.Duration(100+f.random.IntN(100)) * time.Millisecond
		n := 2 + f.random.IntN(4)
		f.mu.Unlock()
		go f.submit(&job{Phases: []phase{{Count: n, CPU: 2000, MemoryMB: 500, EstimateMs: 1600}}, work: []time.Duration{work}})
		select {
		case <-f.stopped:
			return
		case <-time.After(pause):
		}
	}
}

// runsOf returns the number of tasks of a job that run; f.mu is held.
func (f *fleet) runsOf(j *job) int {
	n := 0
	for _, x := range f.executors {
		for _, a := range x.attempts {
			if a.job == j {
				n++
			}
		}
	}
	return n
}

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
	"sync"
	"syscall"
	"time"
)

const (
	instances = 3
	host      = "jobs.example"
	prefix    = "/q/"
	// restartDelay is the time from the end of a process to the start of the next one.
	restartDelay = time.Second
	// clientDeadline is how long a client waits.
	clientDeadline = 3 * time.Second
)

// zones are the zones of instances and executors.
var zones = []string{"accra-a", "tema-b", "kasoa-c"}

// fleet is a small deployment: the platform, and processes of currantknot.
type fleet struct {
	*platform
	dir, program string
	nodes        []*node
}

// node is one instance.
type node struct {
	name, front, ready, metrics, settings string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	closed  bool
}

func newFleet(r *record, dir, program string) *fleet {
	return &fleet{platform: newPlatform(newStore(), r), dir: dir, program: program}
}

// ports holds the ports that were given away.
var ports = struct {
	sync.Mutex
	given map[int]bool
}{given: make(map[int]bool)}

// freeAddress returns a free loopback address below the range of outgoing connections.
func freeAddress() string {
	ports.Lock()
	defer ports.Unlock()
	for {
		n := 12000 + rand.IntN(18000)
		if ports.given[n] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", n))
		if err != nil {
			continue
		}
		_ = l.Close()
		ports.given[n] = true
		return l.Addr().String()
	}
}

// maxAttempts is that of the queue.
const maxAttempts = 3

// open starts the platform and then the instances, and waits until all are ready.
func (f *fleet) open() error {
	if err := f.listen(); err != nil {
		return err
	}
	route := map[string]any{
		"name": "r-1", "host": host, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 250,
		"priority": 0, "service": pool, "max_attempts": maxAttempts, "stretch": 1.5,
	}
	if f.advisor != nil {
		route["advice"] = map[string]any{"decide_ms": decideTime.Milliseconds(), "each_ms": eachTime.Milliseconds(), "valid_ms": ticketTime.Milliseconds()}
	}
	f.store.log.Put("keyed.op", "config", map[string]any{
		"version":  3,
		"routes":   []map[string]any{route},
		"services": []map[string]any{{"name": pool, "enforces_capacity": true}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for i := range instances {
		if err := f.addNode(i); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if !within(20*time.Second, n.isReady) {
			return fmt.Errorf("instance %s: %w", n.name, errNotReady)
		}
	}
	if !within(10*time.Second, func() bool { return f.store.lastWriter() >= 0 }) {
		return errNotReady
	}
	time.Sleep(2 * time.Second)
	return nil
}

var errNotReady = errors.New("is not ready")

// within waits until a condition holds, and reports whether it did in time.
func within(d time.Duration, ok func() bool) bool {
	for t := time.Now(); time.Since(t) < d; time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// settingsText is the settings file of DEPLOY with the figures of a small site.
const settingsText = `node = %q
role = "jobs"
machine_class = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = %q
region = "gh-south"
internal_port_range = [%s, %s]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","places","platform","advice","upkeep","sharing"]
orders = "invoke"
advice = %q
[zones]
accra-a = "gh-south"
tema-b = "gh-south"
kasoa-c = "gh-south"
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.16
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
evacuate_ms = 5000
hold_max_ms = %d
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
append_ms = 2.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
[cloud]
address = %q
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
`

func (f *fleet) addNode(i int) error {
	store, err := f.store.listen(i)
	if err != nil {
		return err
	}
	n := &node{name: fmt.Sprintf("frontend-%s-%d", zones[i], i+1), front: freeAddress(), ready: freeAddress(), metrics: freeAddress()}
	_, port, err := net.SplitHostPort(freeAddress())
	if err != nil {
		return fmt.Errorf("port of %s: %w", n.name, err)
	}
	n.settings = filepath.Join(f.dir, n.name+".toml")
	advice := ""
	if f.advisor != nil {
		advice = f.advisor.address
	}
	text := fmt.Sprintf(settingsText, n.name, zones[i], port, port, advice, n.front, n.ready, f.maxLease.Milliseconds(), store, f.address)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil { //nolint:gosec // in a temporary folder of this process
		return fmt.Errorf("write settings: %w", err)
	}
	f.nodes = append(f.nodes, n)
	return f.start(n)
}

// start starts the process of an instance, with the command of the deploy file.
func (f *fleet) start(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // in a temporary folder of this process
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer out.Close()
	c := exec.Command(f.program, "jobs") //nolint:gosec // the program of the deploy file
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CURRANTKNOT_SETTINGS=" + n.settings, "CURRANTKNOT_METRICS_LISTEN=" + n.metrics}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	n.process, n.exited = c, make(chan struct{})
	go func(d chan struct{}) {
		_ = c.Wait()
		close(d)
	}(n.exited)
	f.rec.add("platform: starts %s, pid %d", n.name, c.Process.Pid)
	return nil
}

// kill kills the process of an instance, which starts again after restartDelay.
func (f *fleet) kill(i int) { f.killFor(i, restartDelay) }

// killFor kills the process of an instance, which starts again after some time.
func (f *fleet) killFor(i int, d time.Duration) {
	n := f.nodes[i]
	n.mu.Lock()
	_ = n.process.Process.Signal(syscall.SIGKILL)
	<-n.exited
	n.mu.Unlock()
	f.rec.add("trouble: %s was killed", n.name)
	time.AfterFunc(d, func() {
		if err := f.start(n); err != nil {
			f.rec.add("platform: %v", err)
		}
	})
}

// terminate sends SIGTERM to the process of an instance, which starts again after restartDelay from its end.
func (f *fleet) terminate(i int) {
	n := f.nodes[i]
	n.mu.Lock()
	exited := n.exited
	_ = n.process.Process.Signal(syscall.SIGTERM)
	n.mu.Unlock()
	f.rec.add("trouble: %s gets SIGTERM", n.name)
	go func() {
		<-exited
		f.rec.add("%s has ended", n.name)
		time.Sleep(restartDelay)
		if err := f.start(n); err != nil {
			f.rec.add("platform: %v", err)
		}
	}()
}

// close ends the processes and the platform. The logs of the processes stay beside the record if REVIEW_LOGS is set.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.mu.Lock()
		n.closed = true
		if n.process != nil {
			_ = n.process.Process.Kill()
			<-n.exited
		}
		n.mu.Unlock()
		if d := os.Getenv("REVIEW_LOGS"); d != "" {
			_ = os.Rename(filepath.Join(f.dir, n.name+".log"), filepath.Join(d, n.name+".log")) //nolint:gosec // a folder that the caller names
		}
	}
	if f.advisor != nil {
		_ = f.advisor.server.Close()
	}
	f.platform.close()
	f.store.close()
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// call sends one request of a client to an instance; the status is 0 if there was no answer.
func (f *fleet) call(i int, method, id string, body any) (int, string) {
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return 0, err.Error()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.nodes[i].front+prefix+id, bytes.NewReader(b)) //nolint:gosec // loopback
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Currantknot-Deadline-Remaining", "3000")
	status, text := 0, "no answer"
	if a, err := http.DefaultClient.Do(r); err == nil { //nolint:gosec // a loopback address of this process
		x, _ := io.ReadAll(a.Body)
		_ = a.Body.Close()
		status, text = a.StatusCode, string(x)
	}
	f.rec.add("client: %s %s at %s: %d %s", method, id, f.nodes[i].name, status, text)
	return status, text
}

// isUnanswered reports whether a client asks again after a status, at another instance.
func isUnanswered(status int) bool {
	return status == 0 || status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

// ask repeats a request, each time at the next instance, until it is answered, and returns the answer. It gives up after 10 s.
func (f *fleet) ask(first int, method, id string, body any) (int, string) {
	status, text := 0, ""
	for t, i := time.Now(), first; time.Since(t) < 10*time.Second; i++ {
		if status, text = f.call(i%instances, method, id, body); !isUnanswered(status) {
			return status, text
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status, text
}

// submit hands a job in, and returns an error unless it was accepted.
func (f *fleet) submit(id string, j map[string]any) error {
	if s, text := f.ask(rand.IntN(instances), http.MethodPost, id, j); s != http.StatusOK {
		return fmt.Errorf("job %s: %w: %d %s", id, errRefused, s, text)
	}
	return nil
}

var errRefused = errors.New("was not accepted")

// state returns the state of a job as an instance tells it.
func (f *fleet) state(id string) string {
	s, text := f.ask(rand.IntN(instances), http.MethodGet, id, nil)
	var x struct {
		State string `json:"state"`
	}
	if s != http.StatusOK || json.Unmarshal([]byte(text), &x) != nil {
		return fmt.Sprint(s)
	}
	return x.State
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// phase is a step of a job, as clients hand it in, with what its tasks do.
type phase struct {
	count    int
	work     stepSpec
	label    string
	lasts    bool
	apart    int
	after    []int
	estimate int
}

// job returns the body of a submission.
func job(l ...phase) map[string]any {
	var steps []stepSpec
	var phases []map[string]any
	for _, p := range l {
		steps = append(steps, p.work)
		m := map[string]any{"count": p.count, "cpu": p.work.CPU, "mem_mb": 100, "estimate_ms": max(p.estimate, p.work.Ms)}
		if p.label != "" {
			m["required_label"] = p.label
		}
		if p.lasts {
			m["persistent"] = true
		}
		if p.work.Gang > 0 {
			m["gang"] = true
		}
		if p.apart > 0 {
			m["max_per_server"] = p.apart
		}
		if len(p.after) > 0 {
			m["after"] = p.after
		}
		phases = append(phases, m)
	}
	b, err := json.Marshal(steps)
	if err != nil {
		return nil
	}
	return map[string]any{"spec": string(b), "phases": phases}
}

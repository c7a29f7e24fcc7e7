package integration_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/operator"
	"currantknot.dev/currantknot/internal/platform"
	"currantknot.dev/currantknot/internal/platform/standin"
	"currantknot.dev/currantknot/pkg/document"
)

// eventTimeout bounds the wait for an expected event; it is generous and not a bound that the system guarantees.
const eventTimeout = 90 * time.Second

// binary is the path of the program, built with buildFlags.
var binary string

func TestMain(m *testing.M) {
	logrus.SetLevel(logrus.PanicLevel)
	dir, err := os.MkdirTemp("", "currantknot")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "currantknot")
	build := exec.Command("go", append(append([]string{"build"}, buildFlags...), "-o", binary, "currantknot.dev/currantknot/cmd/currantknot")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// cluster is a stand-in platform and the instances that use it.
type cluster struct {
	t               *testing.T
	platform        *standin.Platform
	platformAddress string
	instances       []*instanceProcess
	// flags are passed to each instance in addition to its own, and environment is added to its environment.
	flags       []string
	environment []string
}

// instanceProcess is an instance, run as a process, with its proxies.
type instanceProcess struct {
	cluster         *cluster
	name            string
	callerAddress   string
	operatorAddress string
	peerAddress     string
	// The instance reaches the platform through platformProxy, and the other instances reach it through peerProxy.
	platformProxy *toxiproxy.Proxy
	peerProxy     *toxiproxy.Proxy
	process       *exec.Cmd
	exited        chan error
	stderr        *logBuffer
}

// logBuffer holds the log of a process; the test may read it while the process writes.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

const fleetText = `Section: fleet
Owner: ops
Placement: {Shards: 2}
FailureDomains: [{Name: north}, {Name: south}, {Name: west}]
Instances:
  - {Name: north-1, FailureDomain: north, Rack: r1, Processors: 16, MemoryMiB: 1000}
  - {Name: north-2, FailureDomain: north, Rack: r2, Processors: 16, MemoryMiB: 1000}
  - {Name: south-1, FailureDomain: south, Rack: r1, Processors: 16, MemoryMiB: 1000}
  - {Name: south-2, FailureDomain: south, Rack: r2, Processors: 16, MemoryMiB: 1000}
  - {Name: west-1, FailureDomain: west, Rack: r1, Processors: 16, MemoryMiB: 1000}
  - {Name: west-2, FailureDomain: west, Rack: r2, Processors: 16, MemoryMiB: 1000}
Quotas: [{Team: t, Processors: 96, MemoryMiB: 6000}]
Services:
  - {Name: search, ClientAccount: c, Team: t, PathPrefix: /search, Bound: 20s, Replicas: 6, IdempotentMethods: [GET], Processors: 2, MemoryMiB: 10}
`

const jobsText = `Section: jobs
Owner: t
Jobs:
  - {Name: reconcile, ClientAccount: c, Team: t, Priority: Patient, Tasks: %d, RunTime: 1500ms, Processors: 2, MemoryMiB: 10}
`

// newCluster starts a stand-in and n instances, and waits until the six replicas of fleetText run and every instance
// routes requests to them.
func newCluster(t *testing.T, n int, flags ...string) *cluster {
	t.Helper()
	return newClusterWithEnvironment(t, n, nil, flags...)
}

// newClusterWithEnvironment starts a cluster as newCluster does, with variables in the environment of its instances.
func newClusterWithEnvironment(t *testing.T, n int, environment []string, flags ...string) *cluster {
	t.Helper()
	ss, err := document.Parse([]byte(fleetText))
	require.NoError(t, err)
	c := &cluster{t: t, flags: flags, environment: environment}
	c.platform = standin.New(standin.Config{
		Workers: standin.WorkersOf(ss), AppendsPerSecond: 400, Retention: time.Hour,
		ListLag: 300 * time.Millisecond, ServiceTime: 2 * time.Millisecond, Seed: 7, Logger: zerolog.Nop(),
	})
	t.Cleanup(c.platform.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c.platformAddress = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.platform.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); <-done })
	for i := range n {
		c.addInstance(fmt.Sprintf("entry-%d", i))
	}
	c.registerInstances()
	for _, p := range c.instances {
		p.start()
	}
	c.edit(fleetText)
	c.eventually("six replicas run", func() bool { return len(c.platform.Audit().Starts) >= 6 })
	for _, p := range c.instances {
		c.eventually("an instance routes requests to the service", func() bool { return p.statusOfRead() == 200 })
	}
	return c
}

// freeAddress returns a free loopback address with a port below the ephemeral range, so that no outgoing connection takes
// the port before the process under test listens on it. It returns no port twice in one test process, since a returned port
// still looks free until then.
func freeAddress(t *testing.T) string {
	t.Helper()
	usedPorts.Lock()
	defer usedPorts.Unlock()
	for {
		port := firstPort + rand.IntN(portCount)
		if usedPorts.ports[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer l.Close()
			usedPorts.ports[port] = true
			return l.Addr().String()
		}
	}
}

// freeAddress chooses one of portCount ports, beginning with firstPort. The tests of package platform may run at the same
// time and use the ports from 20000 to 29999.
const (
	firstPort = 10000
	portCount = 10000
)

// usedPorts holds the ports that freeAddress has returned in this process.
var usedPorts = struct {
	sync.Mutex
	ports map[int]bool
}{ports: make(map[int]bool)}

// startProxy starts a proxy to the given address; the proxy listens on a free address.
func (c *cluster) startProxy(upstream string) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = upstream, freeAddress(c.t), upstream
	require.NoError(c.t, p.Start())
	c.t.Cleanup(p.Stop)
	return p
}

func (c *cluster) addInstance(name string) *instanceProcess {
	p := &instanceProcess{cluster: c, name: name, callerAddress: freeAddress(c.t), operatorAddress: freeAddress(c.t), peerAddress: freeAddress(c.t)}
	p.platformProxy, p.peerProxy = c.startProxy(c.platformAddress), c.startProxy(p.peerAddress)
	c.instances = append(c.instances, p)
	return p
}

// registerInstances sets the platform's list of instances.
func (c *cluster) registerInstances() {
	var instances []platform.Instance
	for _, p := range c.instances {
		instances = append(instances, platform.Instance{Name: p.name, PeerAddress: p.peerProxy.Listen})
	}
	c.platform.SetInstances(instances)
}

func (p *instanceProcess) start() {
	t := p.cluster.t
	args := append([]string{
		"serve", "--insecure", "--name", p.name, "--failure-domain", "north", "--caller-listen", p.callerAddress,
		"--operator-listen", p.operatorAddress, "--peer-listen", p.peerAddress, "--peer-advertise", p.peerProxy.Listen,
		"--platform", "http://" + p.platformProxy.Listen, "--heartbeat-every", "200ms", "--sync-every", "300ms",
		"--list-every", "200ms", "--drain-delay", "1s", "--log-level", "info",
	}, p.cluster.flags...)
	p.process = exec.Command(binary, args...)
	p.process.Env = append(os.Environ(), p.cluster.environment...)
	p.stderr = &logBuffer{}
	p.process.Stderr = p.stderr
	require.NoError(t, p.process.Start())
	exited := make(chan error, 1)
	p.exited = exited
	command := p.process
	go func() { exited <- command.Wait() }()
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		if t.Failed() {
			t.Logf("%s: %s", p.name, tail(p.stderr.String()))
		}
		require.NotContains(t, p.stderr.String(), "DATA RACE")
	})
}

// tail returns the last 4000 bytes of a log.
func tail(s string) string { return s[max(0, len(s)-4000):] }

func (p *instanceProcess) signal(s syscall.Signal) {
	require.NoError(p.cluster.t, p.process.Process.Signal(s))
}

// kill kills the process and waits until it has exited.
func (p *instanceProcess) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *instanceProcess) client() *operator.Client {
	return &operator.Client{BaseURL: "http://" + p.operatorAddress, Timeout: 10 * time.Second}
}

// eventually polls until the condition holds, and fails the test after eventTimeout.
func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	require.Eventually(c.t, ok, eventTimeout, 20*time.Millisecond, what)
}

// edit sends an edit with the sections to one instance after the other until one accepts it.
func (c *cluster) edit(text string) {
	c.t.Helper()
	ss, err := document.Parse([]byte(text))
	require.NoError(c.t, err)
	c.eventually("an edit is accepted", func() bool {
		for _, p := range c.instances {
			if c.tryEdit(p, ss) == nil {
				return true
			}
		}
		return false
	})
}

// tryEdit sends the instance an edit with the sections that differ from the document, or none if they are all equal.
func (c *cluster) tryEdit(p *instanceProcess, ss []*document.Section) error {
	d, err := p.client().Document(context.Background())
	if err != nil {
		return err
	}
	r := make(map[string]operator.SectionText)
	for _, s := range d.Sections {
		r[s.Section] = s
	}
	q := operator.EditRequest{Author: "test"}
	for _, s := range ss {
		if r[s.Section].Text != string(document.Render(s)) {
			q.Sections = append(q.Sections, operator.SectionEdit{Section: s.Section, Base: r[s.Section].Revision, Text: string(document.Render(s))})
		}
	}
	if len(q.Sections) == 0 {
		return nil
	}
	_, err = p.client().Edit(context.Background(), q)
	return err
}

// editJobs sets the number of tasks of the only job in the document.
func (c *cluster) editJobs(tasks int) { c.edit(fmt.Sprintf(jobsText, tasks)) }

// waitUntilFinished waits until the given number of batch tasks have finished, counted since the start of the cluster. It
// checks that no more have finished and that no guarantee was violated.
func (c *cluster) waitUntilFinished(tasks int) {
	c.t.Helper()
	c.eventually("all tasks finish", func() bool { return c.platform.Audit().Finished >= tasks })
	c.requireNoViolations()
	require.Equal(c.t, tasks, c.platform.Audit().Finished)
}

func (c *cluster) requireNoViolations() {
	c.t.Helper()
	require.Empty(c.t, c.platform.Audit().Violations)
}

// owner waits until the status of an instance shows an owner of the shard and returns that owner.
func (c *cluster) owner(shard int) *instanceProcess {
	c.t.Helper()
	var o *instanceProcess
	c.eventually("a shard has an owner", func() bool {
		for _, p := range c.instances {
			s, err := p.client().Status(context.Background())
			if err != nil {
				continue
			}
			for _, i := range s.Instances {
				if slices.Contains(i.Shards, shard) {
					o = c.instanceNamed(i.Name)
					return o != nil
				}
			}
		}
		return false
	})
	return o
}

func (c *cluster) instanceNamed(name string) *instanceProcess {
	for _, p := range c.instances {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (c *cluster) others(p *instanceProcess) []*instanceProcess {
	var a []*instanceProcess
	for _, other := range c.instances {
		if other != p {
			a = append(a, other)
		}
	}
	return a
}

// statusOfRead sends a read to the service through the instance and returns the HTTP status, 0 if no response came.
func (p *instanceProcess) statusOfRead() int {
	resp, err := (&http.Client{Timeout: 30 * time.Second}).Get("http://" + p.callerAddress + "/search/x") //nolint:noctx // the client has a timeout
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// metrics returns the numeric metrics of the instance by name; the map is empty if the instance can't be reached.
func (p *instanceProcess) metrics() map[string]float64 {
	v := make(map[string]float64)
	resp, err := http.Get("http://" + p.operatorAddress + "/debug/vars") //nolint:noctx // a test
	if err != nil {
		return v
	}
	defer resp.Body.Close()
	var vars map[string]any
	_ = json.NewDecoder(resp.Body).Decode(&vars)
	for name, value := range vars {
		if n, ok := value.(float64); ok {
			v[name] = n
		}
	}
	return v
}

// disconnect stops the proxies and closes their connections.
func disconnect(t *testing.T, ps ...*toxiproxy.Proxy) {
	t.Helper()
	for _, p := range ps {
		p.Stop()
	}
}

// reconnect starts stopped proxies again.
func reconnect(t *testing.T, ps ...*toxiproxy.Proxy) {
	t.Helper()
	for _, p := range ps {
		require.Eventually(t, func() bool {
			err := p.Start()
			return err == nil || errors.Is(err, toxiproxy.ErrProxyAlreadyStarted)
		}, eventTimeout, 20*time.Millisecond)
	}
}

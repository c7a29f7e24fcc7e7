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

// patience bounds the wait for something that must come; it is no measure of the system.
const patience = 90 * time.Second

// binary is the built program.
var binary string

func TestMain(m *testing.M) {
	logrus.SetLevel(logrus.PanicLevel)
	d, err := os.MkdirTemp("", "currantknot")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(d, "currantknot")
	b := exec.Command("go", "build", "-race", "-o", binary, "currantknot.dev/currantknot/cmd/currantknot")
	b.Stderr = os.Stderr
	if err := b.Run(); err != nil {
		panic(err)
	}
	c := m.Run()
	_ = os.RemoveAll(d)
	os.Exit(c)
}

// cluster is a stand-in platform with processes around it.
type cluster struct {
	t       *testing.T
	stand   *standin.Platform
	address string
	members []*member
	flags   []string
}

// member is one instance with its proxies.
type member struct {
	cluster  *cluster
	name     string
	caller   string
	operator string
	peer     string
	// toPlatform and toPeer can be cut; toPeer leads the other instances to this one.
	toPlatform *toxiproxy.Proxy
	toPeer     *toxiproxy.Proxy
	process    *exec.Cmd
	exited     chan error
	errors     *buffer
}

// buffer is a log that the test reads while a process writes it.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
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

// newCluster starts a stand-in and the given number of instances with the fleet in force.
func newCluster(t *testing.T, n int, flags ...string) *cluster {
	t.Helper()
	ss, err := document.Parse([]byte(fleetText))
	require.NoError(t, err)
	c := &cluster{t: t, flags: flags}
	c.stand = standin.New(standin.Config{
		Workers: standin.WorkersOf(ss), AppendsPerSecond: 400, Retention: time.Hour,
		ListLag: 300 * time.Millisecond, ServiceTime: 2 * time.Millisecond, Seed: 7, Logger: zerolog.Nop(),
	})
	t.Cleanup(c.stand.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c.address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.stand.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); <-done })
	for i := range n {
		c.add(fmt.Sprintf("entry-%d", i))
	}
	c.list()
	for _, m := range c.members {
		m.start()
	}
	c.edit(fleetText)
	c.eventually("six replicas run", func() bool { return len(c.stand.Audit().Starts) >= 6 })
	for _, m := range c.members {
		c.eventually("every instance routes", func() bool { return m.get() == 200 })
	}
	return c
}

// freeAddress returns a loopback address below the ports that outgoing connections take, so that none takes it before
// the process listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
}

const (
	firstPort = 10000
	ports     = 20000
)

func (c *cluster) proxy(to string) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = to, freeAddress(c.t), to
	require.NoError(c.t, p.Start())
	c.t.Cleanup(p.Stop)
	return p
}

func (c *cluster) add(name string) *member {
	m := &member{cluster: c, name: name, caller: freeAddress(c.t), operator: freeAddress(c.t), peer: freeAddress(c.t)}
	m.toPlatform, m.toPeer = c.proxy(c.address), c.proxy(m.peer)
	c.members = append(c.members, m)
	return m
}

// list tells the platform which instances exist.
func (c *cluster) list() {
	var es []platform.Entry
	for _, m := range c.members {
		es = append(es, platform.Entry{Name: m.name, PeerAddress: m.toPeer.Listen})
	}
	c.stand.SetEntries(es)
}

func (m *member) start() {
	t := m.cluster.t
	args := append([]string{
		"serve", "--insecure", "--name", m.name, "--failure-domain", "north", "--caller-listen", m.caller,
		"--operator-listen", m.operator, "--peer-listen", m.peer, "--peer-advertise", m.toPeer.Listen,
		"--platform", "http://" + m.toPlatform.Listen, "--heartbeat-every", "200ms", "--sync-every", "300ms",
		"--list-every", "200ms", "--drain-delay", "1s", "--log-level", "info",
	}, m.cluster.flags...)
	m.process = exec.Command(binary, args...)
	m.errors = &buffer{}
	m.process.Stderr = m.errors
	require.NoError(t, m.process.Start())
	x := make(chan error, 1)
	m.exited = x
	p := m.process
	go func() { x <- p.Wait() }()
	t.Cleanup(func() {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		if t.Failed() {
			t.Logf("%s: %s", m.name, tail(m.errors.String()))
		}
		require.NotContains(t, m.errors.String(), "DATA RACE")
	})
}

func tail(s string) string { return s[max(0, len(s)-4000):] }

func (m *member) signal(s syscall.Signal) {
	require.NoError(m.cluster.t, m.process.Process.Signal(s))
}

// kill kills the process and waits for its end.
func (m *member) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

func (m *member) client() *operator.Client {
	return &operator.Client{Base: "http://" + m.operator, Timeout: 10 * time.Second}
}

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	require.Eventually(c.t, ok, patience, 20*time.Millisecond, what)
}

// edit applies sections through the first instance that takes them.
func (c *cluster) edit(text string) {
	c.t.Helper()
	ss, err := document.Parse([]byte(text))
	require.NoError(c.t, err)
	c.eventually("an edit is accepted", func() bool {
		for _, m := range c.members {
			if c.tryEdit(m, ss) == nil {
				return true
			}
		}
		return false
	})
}

func (c *cluster) tryEdit(m *member, ss []*document.Section) error {
	d, err := m.client().Document(context.Background())
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
	_, err = m.client().Edit(context.Background(), q)
	return err
}

func (c *cluster) jobs(tasks int) { c.edit(fmt.Sprintf(jobsText, tasks)) }

// finished waits until all batch tasks are finished and checks that no promise was broken.
func (c *cluster) finished(tasks int) {
	c.t.Helper()
	c.eventually("all tasks finish", func() bool { return c.stand.Audit().Finished >= tasks })
	c.sound()
	require.Equal(c.t, tasks, c.stand.Audit().Finished)
}

func (c *cluster) sound() {
	c.t.Helper()
	require.Empty(c.t, c.stand.Audit().Violations)
}

// owner returns the member that owns the shard, as the others see it too.
func (c *cluster) owner(shard int) *member {
	c.t.Helper()
	var o *member
	c.eventually("a shard has an owner", func() bool {
		for _, m := range c.members {
			s, err := m.client().Status(context.Background())
			if err != nil {
				continue
			}
			for _, x := range s.Instances {
				if slices.Contains(x.Shards, shard) {
					o = c.named(x.Name)
					return o != nil
				}
			}
		}
		return false
	})
	return o
}

func (c *cluster) named(name string) *member {
	for _, m := range c.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (c *cluster) others(m *member) []*member {
	var a []*member
	for _, x := range c.members {
		if x != m {
			a = append(a, x)
		}
	}
	return a
}

// get sends a read of the service to the member and returns the status, 0 where no answer came.
func (m *member) get() int {
	s, err := (&http.Client{Timeout: 30 * time.Second}).Get("http://" + m.caller + "/search/x") //nolint:noctx // the client has a timeout
	if err != nil {
		return 0
	}
	defer s.Body.Close()
	return s.StatusCode
}

// vars returns the numbers among the metrics of the member.
func (m *member) vars() map[string]float64 {
	v := make(map[string]float64)
	s, err := http.Get("http://" + m.operator + "/debug/vars") //nolint:noctx // a test
	if err != nil {
		return v
	}
	defer s.Body.Close()
	var a map[string]any
	_ = json.NewDecoder(s.Body).Decode(&a)
	for k, x := range a {
		if n, ok := x.(float64); ok {
			v[k] = n
		}
	}
	return v
}

// cut stops the proxy and its connections; mend starts it again.
func cut(t *testing.T, ps ...*toxiproxy.Proxy) {
	t.Helper()
	for _, p := range ps {
		p.Stop()
	}
}

func mend(t *testing.T, ps ...*toxiproxy.Proxy) {
	t.Helper()
	for _, p := range ps {
		require.Eventually(t, func() bool {
			err := p.Start()
			return err == nil || errors.Is(err, toxiproxy.ErrProxyAlreadyStarted)
		}, patience, 20*time.Millisecond)
	}
}

package integration_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/demo"
	"currantknot.dev/currantknot/internal/platform/standin"
	"currantknot.dev/currantknot/pkg/outcome"
)

// balancer is the platform's balancer: it sends to the instances that are in its list.
type balancer struct {
	mu sync.Mutex
	up []string
}

func (b *balancer) entries() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.up...)
}

func (b *balancer) set(ms ...*member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.up = nil
	for _, m := range ms {
		b.up = append(b.up, m.caller)
	}
}

// load runs clients while the function brings about faults, and checks what they were told.
func (c *cluster) load(b *balancer, faults func()) demo.LoadResult {
	c.t.Helper()
	l := &demo.Load{Entries: b.entries, Paths: []string{"/search"}, Clients: 12, Pause: 2 * time.Millisecond, Seed: 3}
	ctx, cancel := context.WithCancel(c.t.Context())
	done := make(chan demo.LoadResult, 1)
	go func() { done <- l.Run(ctx) }()
	faults()
	cancel()
	r := <-done
	require.Empty(c.t, l.Check(c.stand.Audit()))
	require.Empty(c.t, r.Faults)
	require.Zero(c.t, r.CutShort)
	require.Zero(c.t, r.Lost)
	require.Positive(c.t, r.Answered)
	return r
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	c := newCluster(t, 3)
	b := &balancer{}
	b.set(c.members...)
	r := c.load(b, func() {
		time.Sleep(time.Second)
		m := c.members[0]
		m.signal(syscall.SIGTERM)
		// The balancer sees readiness fail and stops before the listener does.
		c.eventually("readiness fails", func() bool { return m.ready() != 200 })
		b.set(c.members[1:]...)
		require.NoError(t, <-m.exited)
		// The list still holds the instance for its lag; writes with a key that it may know are told to come back.
		c.members = c.members[1:]
		c.list()
		time.Sleep(500 * time.Millisecond)
	})
	require.Zero(t, r.Broken, r.Breaks)
	require.Zero(t, r.Unknown)
	c.sound()
}

func TestPlannedStopFinishesALongRequest(t *testing.T) {
	c := newCluster(t, 2)
	c.stand.SetFaults(standin.Faults{ServiceDelay: 4 * time.Second})
	m := c.members[0]
	status := make(chan int, 1)
	go func() { status <- m.get() }()
	c.eventually("the request has arrived", func() bool { return m.vars()["Requests"] > m.vars()["Answers"]+m.vars()["NotRun"] })
	m.signal(syscall.SIGTERM)
	require.NoError(t, <-m.exited)
	require.Equal(t, 200, <-status)
}

func TestKilledEntryDoublesNoWrite(t *testing.T) {
	c := newCluster(t, 3)
	b := &balancer{}
	b.set(c.members...)
	c.load(b, func() {
		for _, m := range c.members {
			time.Sleep(700 * time.Millisecond)
			m.kill()
			time.Sleep(300 * time.Millisecond)
			m.start()
			c.eventually("the replacement is ready", func() bool { return m.ready() == 200 })
		}
		time.Sleep(time.Second)
	})
	c.sound()
}

func TestPausedAndCutEntriesDoubleNoWrite(t *testing.T) {
	c := newCluster(t, 3)
	b := &balancer{}
	b.set(c.members...)
	c.load(b, func() {
		m := c.members[1]
		time.Sleep(500 * time.Millisecond)
		m.signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		m.signal(syscall.SIGCONT)
		time.Sleep(500 * time.Millisecond)
		cut(t, c.members[2].toPeer)
		time.Sleep(2 * time.Second)
		mend(t, c.members[2].toPeer)
		time.Sleep(500 * time.Millisecond)
	})
	c.sound()
}

func TestDrainedFailureDomainCutsNoRequest(t *testing.T) {
	c := newCluster(t, 2)
	b := &balancer{}
	b.set(c.members...)
	r := c.load(b, func() {
		for _, out := range []bool{true, false, true} {
			time.Sleep(1500 * time.Millisecond)
			c.setDomain("north", out)
		}
		time.Sleep(6 * time.Second)
	})
	require.Zero(t, r.Broken, r.Breaks)
	require.Zero(t, r.Unknown)
	c.sound()
}

func TestFaultyUpstreamsLoseNothing(t *testing.T) {
	c := newCluster(t, 2)
	b := &balancer{}
	b.set(c.members...)
	c.load(b, func() {
		time.Sleep(500 * time.Millisecond)
		c.stand.SetFaults(standin.Faults{SlowUpstreams: []string{"north-1"}, FailingUpstreams: []string{"south-1"}, TruncatingUpstreams: []string{"west-1"}})
		time.Sleep(3 * time.Second)
		c.stand.SetFaults(standin.Faults{})
		time.Sleep(time.Second)
	})
}

// TestKeySurvivesPlannedStopsOfAllInstances replaces every instance in turn between a write and its repeat.
func TestKeySurvivesPlannedStopsOfAllInstances(t *testing.T) {
	c := newCluster(t, 3)
	write := func(m *member) (int, string) {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+m.caller+"/search/award", strings.NewReader("award"))
		require.NoError(t, err)
		q.Header.Set(outcome.KeyHeader, "the key")
		q.Header.Set(standin.IdentityHeader, "the award")
		s, err := http.DefaultClient.Do(q)
		if err != nil {
			return 0, ""
		}
		defer s.Body.Close()
		b, _ := io.ReadAll(s.Body)
		return s.StatusCode, string(b)
	}
	var first string
	c.eventually("the write is answered", func() bool {
		s, b := write(c.members[0])
		first = b
		return s == http.StatusOK
	})
	for _, m := range c.members {
		m.signal(syscall.SIGTERM)
		require.NoError(t, <-m.exited)
		m.start()
		c.eventually("the replacement is ready", func() bool { return m.ready() == 200 && m.get() == 200 })
	}
	for _, m := range c.members {
		c.eventually("the repeat gets the first answer", func() bool {
			s, b := write(m)
			return s == http.StatusOK && b == first
		})
	}
	require.Equal(t, 1, c.stand.Audit().Writes["the award"])
	c.sound()
}

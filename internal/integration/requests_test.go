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

// loadBalancer simulates the platform's load balancer, which sends requests to the instances in its list.
type loadBalancer struct {
	mu sync.Mutex
	// inUse holds the caller addresses of the instances in the list.
	inUse []string
}

func (b *loadBalancer) addresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.inUse...)
}

func (b *loadBalancer) set(ps ...*instanceProcess) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse = nil
	for _, p := range ps {
		b.inUse = append(b.inUse, p.callerAddress)
	}
}

// runLoad runs clients while the function injects faults. It checks that no request was lost, that every response was
// complete, and that the reported outcomes of writes match their executions.
func (c *cluster) runLoad(b *loadBalancer, faults func()) demo.LoadResult {
	c.t.Helper()
	l := &demo.Load{Addresses: b.addresses, Paths: []string{"/search"}, Clients: 12, ThinkTime: 2 * time.Millisecond, Seed: 3}
	ctx, cancel := context.WithCancel(c.t.Context())
	done := make(chan demo.LoadResult, 1)
	go func() { done <- l.Run(ctx) }()
	faults()
	cancel()
	r := <-done
	require.Empty(c.t, l.Check(c.platform.Audit()))
	require.Empty(c.t, r.Failures)
	require.Zero(c.t, r.Truncated)
	require.Zero(c.t, r.Lost)
	require.Positive(c.t, r.Succeeded)
	return r
}

func TestPlannedStopBreaksNoRequest(t *testing.T) {
	c := newCluster(t, 3)
	b := &loadBalancer{}
	b.set(c.instances...)
	r := c.runLoad(b, func() {
		time.Sleep(time.Second)
		p := c.instances[0]
		p.signal(syscall.SIGTERM)
		// The load balancer notices that the readiness check fails and sends no more requests before the listener closes.
		c.eventually("readiness fails", func() bool { return p.readinessStatus() != 200 })
		b.set(c.instances[1:]...)
		require.NoError(t, <-p.exited)
		// The platform's list lags, so for a short time it still holds the stopped instance. Meanwhile, the other instances
		// reject writes whose idempotency key the stopped instance may have stored, and the clients retry these writes.
		c.instances = c.instances[1:]
		c.registerInstances()
		time.Sleep(500 * time.Millisecond)
	})
	require.Zero(t, r.BrokenConnections, r.ConnectionErrors)
	require.Zero(t, r.Unknown)
	c.requireNoViolations()
}

func TestPlannedStopFinishesALongRequest(t *testing.T) {
	c := newCluster(t, 2)
	c.platform.SetFaults(standin.Faults{ServiceDelay: 4 * time.Second})
	p := c.instances[0]
	status := make(chan int, 1)
	go func() { status <- p.statusOfRead() }()
	c.eventually("the request has arrived", func() bool { return p.metrics()["Requests"] > p.metrics()["Answers"]+p.metrics()["NotRun"] })
	p.signal(syscall.SIGTERM)
	require.NoError(t, <-p.exited)
	require.Equal(t, 200, <-status)
}

func TestKilledInstanceDuplicatesNoWrite(t *testing.T) {
	c := newCluster(t, 3)
	b := &loadBalancer{}
	b.set(c.instances...)
	c.runLoad(b, func() {
		for _, p := range c.instances {
			time.Sleep(700 * time.Millisecond)
			p.kill()
			time.Sleep(300 * time.Millisecond)
			p.start()
			c.eventually("the replacement is ready", func() bool { return p.readinessStatus() == 200 })
		}
		time.Sleep(time.Second)
	})
	c.requireNoViolations()
}

func TestPausedAndPartitionedInstancesDuplicateNoWrite(t *testing.T) {
	c := newCluster(t, 3)
	b := &loadBalancer{}
	b.set(c.instances...)
	c.runLoad(b, func() {
		p := c.instances[1]
		time.Sleep(500 * time.Millisecond)
		p.signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		p.signal(syscall.SIGCONT)
		time.Sleep(500 * time.Millisecond)
		disconnect(t, c.instances[2].peerProxy)
		time.Sleep(2 * time.Second)
		reconnect(t, c.instances[2].peerProxy)
		time.Sleep(500 * time.Millisecond)
	})
	c.requireNoViolations()
}

func TestDrainedFailureDomainBreaksNoRequest(t *testing.T) {
	c := newCluster(t, 2)
	b := &loadBalancer{}
	b.set(c.instances...)
	r := c.runLoad(b, func() {
		for _, outOfService := range []bool{true, false, true} {
			time.Sleep(1500 * time.Millisecond)
			c.setDomain("north", outOfService)
		}
		time.Sleep(6 * time.Second)
	})
	require.Zero(t, r.BrokenConnections, r.ConnectionErrors)
	require.Zero(t, r.Unknown)
	c.requireNoViolations()
}

func TestFaultyUpstreamsLoseNoRequest(t *testing.T) {
	c := newCluster(t, 2)
	b := &loadBalancer{}
	b.set(c.instances...)
	c.runLoad(b, func() {
		time.Sleep(500 * time.Millisecond)
		c.platform.SetFaults(standin.Faults{SlowUpstreams: []string{"north-1"}, FailingUpstreams: []string{"south-1"}, TruncatingUpstreams: []string{"west-1"}})
		time.Sleep(3 * time.Second)
		c.platform.SetFaults(standin.Faults{})
		time.Sleep(time.Second)
	})
}

// TestIdempotencyKeySurvivesRollingRestart restarts every instance in turn between a write and its retries. Each retry must
// get the response of the first attempt and must not run the write again.
func TestIdempotencyKeySurvivesRollingRestart(t *testing.T) {
	c := newCluster(t, 3)
	write := func(p *instanceProcess) (int, string) {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.callerAddress+"/search/award", strings.NewReader("award"))
		require.NoError(t, err)
		q.Header.Set(outcome.IdempotencyKeyHeader, "the key")
		q.Header.Set(standin.IdentityHeader, "the award")
		resp, err := http.DefaultClient.Do(q)
		if err != nil {
			return 0, ""
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b)
	}
	var first string
	c.eventually("the write succeeds", func() bool {
		s, b := write(c.instances[0])
		first = b
		return s == http.StatusOK
	})
	for _, p := range c.instances {
		p.signal(syscall.SIGTERM)
		require.NoError(t, <-p.exited)
		p.start()
		c.eventually("the replacement is ready", func() bool { return p.readinessStatus() == 200 && p.statusOfRead() == 200 })
	}
	for _, p := range c.instances {
		c.eventually("the retry gets the first response", func() bool {
			s, b := write(p)
			return s == http.StatusOK && b == first
		})
	}
	require.Equal(t, 1, c.platform.Audit().Writes["the award"])
	c.requireNoViolations()
}

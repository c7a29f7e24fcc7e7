package integration_test

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/operator"
	"currantknot.dev/currantknot/internal/platform/standin"
)

// drainBound is the guaranteed maximum time from the acceptance of a drain to the last start of a task in the failure domain.
const drainBound = 3 * time.Second

// waitForStarts waits until more than five further starts of tasks are recorded.
func (c *cluster) waitForStarts() {
	c.t.Helper()
	n := len(c.platform.Audit().Starts)
	c.eventually("batch tasks start", func() bool { return len(c.platform.Audit().Starts) > n+5 })
}

func TestEveryTaskFinishesOnceAfterOwnerIsKilled(t *testing.T) {
	c := newCluster(t, 3)
	c.editJobs(120)
	c.waitForStarts()
	c.owner(0).kill()
	c.waitUntilFinished(120)
}

func TestPausedOwnerCausesNoViolationAfterResuming(t *testing.T) {
	c := newCluster(t, 3)
	c.editJobs(150)
	c.waitForStarts()
	oldOwner := c.owner(1)
	oldOwner.signal(syscall.SIGSTOP)
	newOwner := oldOwner
	c.eventually("another instance takes over", func() bool {
		for _, p := range c.others(oldOwner) {
			s, err := p.client().Status(t.Context())
			if err != nil {
				continue
			}
			for _, i := range s.Instances {
				if slices.Contains(i.Shards, 1) && i.Name != oldOwner.name {
					newOwner = p
				}
			}
		}
		return newOwner != oldOwner
	})
	oldOwner.signal(syscall.SIGCONT)
	c.waitUntilFinished(150)
}

func TestTasksFinishWhileOwnerIsPartitionedFromPlatform(t *testing.T) {
	c := newCluster(t, 3, "--lease", "4s")
	c.editJobs(120)
	c.waitForStarts()
	o := c.owner(0)
	disconnect(t, o.platformProxy)
	c.waitUntilFinished(120)
	reconnect(t, o.platformProxy)
	c.editJobs(140)
	c.waitUntilFinished(140)
}

func TestEveryTaskFinishesOnceDespiteLostResponses(t *testing.T) {
	c := newCluster(t, 2)
	c.platform.SetFaults(standin.Faults{LoseAppendReplies: 0.3, LoseOrderReplies: 0.3})
	c.editJobs(100)
	c.waitUntilFinished(100)
}

func TestEveryTaskFinishesOnceDespiteDelayedOrders(t *testing.T) {
	c := newCluster(t, 2)
	// The delay is half of the timeout of a call to the platform: reports still arrive, but orders may arrive after the
	// deadline for the start.
	c.platform.SetFaults(standin.Faults{DelayOrders: 500 * time.Millisecond, LoseOrderReplies: 0.2})
	c.editJobs(40)
	c.waitForStarts()
	c.owner(0).kill()
	c.waitUntilFinished(40)
}

// TestServicesSurviveLogOutage checks that replicas keep running and serving during an outage of the log that lasts longer
// than three lease durations.
func TestServicesSurviveLogOutage(t *testing.T) {
	c := newCluster(t, 3, "--lease", "3s")
	c.platform.SetFaults(standin.Faults{LogDown: true})
	start := time.Now()
	for time.Since(start) < 10*time.Second {
		for _, p := range c.instances {
			require.Equal(t, 200, p.statusOfRead())
		}
		time.Sleep(200 * time.Millisecond)
	}
	require.Len(t, c.platform.Audit().Starts, 6, "a replica was started again during the outage")
	c.platform.SetFaults(standin.Faults{})
	c.editJobs(30)
	c.waitUntilFinished(30)
}

// TestTasksFinishWhileOwnerIsIsolated isolates the owner of a shard from the platform and from the other instances. The
// owner must not mistake this for an outage of the log, during which owners keep renewing leases. Another instance must take
// over the shard, and every task must finish exactly once.
func TestTasksFinishWhileOwnerIsIsolated(t *testing.T) {
	c := newCluster(t, 3, "--lease", "3s")
	o := c.owner(0)
	disconnect(t, o.platformProxy, o.peerProxy)
	c.editJobs(60)
	c.waitUntilFinished(60)
	reconnect(t, o.platformProxy, o.peerProxy)
	c.editJobs(80)
	c.waitUntilFinished(80)
}

func TestNoStartInDrainedFailureDomainAfterBound(t *testing.T) {
	c := newCluster(t, 3)
	c.platform.SetFaults(standin.Faults{LoseOrderReplies: 0.1, DelayOrders: 100 * time.Millisecond})
	c.editJobs(200)
	for range 2 {
		c.waitForStarts()
		_, err := c.instances[0].client().SetDomain(t.Context(), operator.DomainRequest{Name: "south", OutOfService: true})
		require.NoError(t, err)
		start := time.Now()
		time.Sleep(drainBound + 3*time.Second)
		end := time.Now()
		_, err = c.instances[1].client().SetDomain(t.Context(), operator.DomainRequest{Name: "south"})
		require.NoError(t, err)
		for _, s := range c.platform.Audit().Starts {
			late := s.FailureDomain == "south" && s.At.After(start.Add(drainBound)) && s.At.Before(end)
			require.False(t, late, "%+v started %s after the drain", s, s.At.Sub(start))
		}
	}
	c.waitUntilFinished(200)
	explanation, err := c.instances[0].client().Explain(t.Context(), "south")
	require.NoError(t, err)
	kinds := make(map[string]bool)
	for _, e := range explanation.Entries {
		kinds[e.Kind] = true
	}
	require.True(t, kinds["Bind"] && kinds["Evacuate"], "explain lacks the bind or the evacuation in the failure domain: %v", kinds)
}

func TestAllInstancesRestartedAtOnce(t *testing.T) {
	c := newCluster(t, 3)
	c.editJobs(100)
	c.waitForStarts()
	for _, p := range c.instances {
		p.kill()
	}
	for _, p := range c.instances {
		p.start()
	}
	c.waitUntilFinished(100)
	require.Equal(t, 200, c.instances[0].statusOfRead())
}

func TestTasksFinishAfterPlannedStopOfOwner(t *testing.T) {
	c := newCluster(t, 3)
	c.editJobs(100)
	c.waitForStarts()
	o := c.owner(0)
	o.signal(syscall.SIGTERM)
	require.NoError(t, <-o.exited)
	c.waitUntilFinished(100)
}

// TestInstancesPartitionedFromEachOther checks that more than 80 of 160 tasks finish while the instances can't reach each
// other but can all reach the platform, and that every task finishes exactly once.
func TestInstancesPartitionedFromEachOther(t *testing.T) {
	c := newCluster(t, 4)
	c.editJobs(160)
	c.waitForStarts()
	for _, p := range c.instances {
		disconnect(t, p.peerProxy)
	}
	c.eventually("tasks finish during the partition", func() bool { return c.platform.Audit().Finished > 80 })
	for _, p := range c.instances {
		reconnect(t, p.peerProxy)
	}
	c.waitUntilFinished(160)
}

func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	c := newCluster(t, 2)
	c.platform.SetFaults(standin.Faults{WorkersFailing: []string{"west-1"}})
	c.editJobs(120)
	c.eventually("the worker is quarantined", func() bool {
		for _, p := range c.instances {
			if s, err := p.client().Status(t.Context()); err == nil && len(s.Quarantined) == 1 && s.Quarantined[0] == "west-1" {
				return true
			}
		}
		return false
	})
	c.waitUntilFinished(120)
}

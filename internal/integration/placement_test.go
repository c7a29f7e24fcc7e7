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

// drainBound is the promised time after which no task starts in a drained failure domain.
const drainBound = 3 * time.Second

// running waits until batch tasks run.
func (c *cluster) running() {
	c.t.Helper()
	n := len(c.stand.Audit().Starts)
	c.eventually("batch tasks start", func() bool { return len(c.stand.Audit().Starts) > n+5 })
}

func TestKilledOwnerIsReplacedAndEveryTaskRunsOnce(t *testing.T) {
	c := newCluster(t, 3)
	c.jobs(120)
	c.running()
	c.owner(0).kill()
	c.finished(120)
}

func TestPausedOwnerDoesNoHarmWhenItWakesUp(t *testing.T) {
	c := newCluster(t, 3)
	c.jobs(150)
	c.running()
	o := c.owner(1)
	o.signal(syscall.SIGSTOP)
	n := o
	c.eventually("another instance takes over", func() bool {
		for _, m := range c.others(o) {
			s, err := m.client().Status(t.Context())
			if err != nil {
				continue
			}
			for _, x := range s.Instances {
				if slices.Contains(x.Shards, 1) && x.Name != o.name {
					n = m
				}
			}
		}
		return n != o
	})
	o.signal(syscall.SIGCONT)
	c.finished(150)
}

func TestOwnerCutFromThePlatformLosesItsShard(t *testing.T) {
	c := newCluster(t, 3, "--lease", "4s")
	c.jobs(120)
	c.running()
	o := c.owner(0)
	cut(t, o.toPlatform)
	c.finished(120)
	mend(t, o.toPlatform)
	c.jobs(140)
	c.finished(140)
}

func TestLostRepliesStartAndEndEveryTaskOnce(t *testing.T) {
	c := newCluster(t, 2)
	c.stand.SetFaults(standin.Faults{LoseAppendReplies: 0.3, LoseOrderReplies: 0.3})
	c.jobs(100)
	c.finished(100)
}

func TestDelayedOrdersNeverStartLate(t *testing.T) {
	c := newCluster(t, 2)
	// Half of the platform's timeout, so that reports still arrive, and enough for starts to miss their deadline.
	c.stand.SetFaults(standin.Faults{DelayOrders: 500 * time.Millisecond, LoseOrderReplies: 0.2})
	c.jobs(40)
	c.running()
	c.owner(0).kill()
	c.finished(40)
}

// TestServicesOutliveAnOutageOfTheLog has an outage that is longer than three leases.
func TestServicesOutliveAnOutageOfTheLog(t *testing.T) {
	c := newCluster(t, 3, "--lease", "3s")
	c.stand.SetFaults(standin.Faults{LogDown: true})
	began := time.Now()
	for time.Since(began) < 10*time.Second {
		for _, m := range c.members {
			require.Equal(t, 200, m.get())
		}
		time.Sleep(200 * time.Millisecond)
	}
	require.Len(t, c.stand.Audit().Starts, 6, "no replica ended with its lease")
	c.stand.SetFaults(standin.Faults{})
	c.jobs(30)
	c.finished(30)
}

// TestCutOffOwnerDoesNotRenewDuringAnOutageOfItsOwn has an owner that only believes in an outage of the log.
func TestCutOffOwnerDoesNotRenewDuringAnOutageOfItsOwn(t *testing.T) {
	c := newCluster(t, 3, "--lease", "3s")
	o := c.owner(0)
	cut(t, o.toPlatform, o.toPeer)
	c.jobs(60)
	c.finished(60)
	mend(t, o.toPlatform, o.toPeer)
	c.jobs(80)
	c.finished(80)
}

func TestNoStartInADrainedFailureDomain(t *testing.T) {
	c := newCluster(t, 3)
	c.stand.SetFaults(standin.Faults{LoseOrderReplies: 0.1, DelayOrders: 100 * time.Millisecond})
	c.jobs(200)
	for range 2 {
		c.running()
		_, err := c.members[0].client().SetDomain(t.Context(), operator.DomainRequest{Name: "south", OutOfService: true})
		require.NoError(t, err)
		from := time.Now()
		time.Sleep(drainBound + 3*time.Second)
		to := time.Now()
		_, err = c.members[1].client().SetDomain(t.Context(), operator.DomainRequest{Name: "south"})
		require.NoError(t, err)
		for _, s := range c.stand.Audit().Starts {
			late := s.FailureDomain == "south" && s.At.After(from.Add(drainBound)) && s.At.Before(to)
			require.False(t, late, "%+v started %s after the drain", s, s.At.Sub(from))
		}
	}
	c.finished(200)
	x, err := c.members[0].client().Explain(t.Context(), "south")
	require.NoError(t, err)
	kinds := make(map[string]bool)
	for _, e := range x.Entries {
		kinds[e.Kind] = true
	}
	require.True(t, kinds["Bind"] && kinds["Evacuate"], "explain tells what happened in the failure domain: %v", kinds)
}

func TestAllInstancesReplacedAtOnce(t *testing.T) {
	c := newCluster(t, 3)
	c.jobs(100)
	c.running()
	for _, m := range c.members {
		m.kill()
	}
	for _, m := range c.members {
		m.start()
	}
	c.finished(100)
	require.Equal(t, 200, c.members[0].get())
}

func TestPlannedStopHandsShardsOver(t *testing.T) {
	c := newCluster(t, 3)
	c.jobs(100)
	c.running()
	o := c.owner(0)
	o.signal(syscall.SIGTERM)
	require.NoError(t, <-o.exited)
	c.finished(100)
}

// TestHalvesCutFromEachOther cuts the instances from each other, while all reach the platform.
func TestHalvesCutFromEachOther(t *testing.T) {
	c := newCluster(t, 4)
	c.jobs(160)
	c.running()
	for _, m := range c.members {
		cut(t, m.toPeer)
	}
	c.eventually("work goes on", func() bool { return c.stand.Audit().Finished > 80 })
	for _, m := range c.members {
		mend(t, m.toPeer)
	}
	c.finished(160)
}

func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	c := newCluster(t, 2)
	c.stand.SetFaults(standin.Faults{WorkersFailing: []string{"west-1"}})
	c.jobs(120)
	c.eventually("the worker is quarantined", func() bool {
		for _, m := range c.members {
			if s, err := m.client().Status(t.Context()); err == nil && len(s.Quarantined) == 1 && s.Quarantined[0] == "west-1" {
				return true
			}
		}
		return false
	})
	c.finished(120)
}

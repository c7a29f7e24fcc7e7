package serve

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"flag"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/caller"
	"currantknot.dev/currantknot/internal/idempotency"
	"currantknot.dev/currantknot/internal/peer"
	"currantknot.dev/currantknot/internal/platform"
	"currantknot.dev/currantknot/internal/settings"
	"currantknot.dev/currantknot/pkg/outcome"
)

var update = flag.Bool("update", false, "write docs/METRICS.md")

// TestMetricsDocument compares docs/METRICS.md with the table of metrics.
func TestMetricsDocument(t *testing.T) {
	f := filepath.Join("..", "..", "docs", "METRICS.md")
	if *update {
		require.NoError(t, os.WriteFile(f, []byte(MetricsMarkdown()), 0o600))
	}
	b, err := os.ReadFile(f)
	require.NoError(t, err)
	require.Equal(t, MetricsMarkdown(), string(b), "run make docs")
}

func newInstance(t *testing.T) *Instance {
	t.Helper()
	i, err := New(settings.Serve{
		Name: "a", Platform: "http://127.0.0.1:1", PlatformTimeout: time.Second, RoutingPolicy: "slots",
		PlacementPolicy: "colocated", Insecure: true, HeartbeatEvery: time.Second,
	}, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(i.pool.close)
	return i
}

func TestEveryMetricIsPublished(t *testing.T) {
	i := newInstance(t)
	for _, m := range metricTable() {
		n := i.metrics.prefix + m.name
		if m.name == "AnswerSeconds" {
			n += ".p99"
		}
		v := expvar.Get(n)
		require.NotNil(t, v, n)
		require.True(t, json.Valid([]byte(v.String())), n)
	}
}

func TestShardsAreBalancedAndFewMove(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	const shards = 18
	all := assignShards(names, shards)
	count := make(map[string]int)
	for _, n := range all {
		count[n]++
	}
	for _, n := range names {
		require.LessOrEqual(t, count[n], 3, n)
	}
	moved := 0
	for s, n := range assignShards(names[:8], shards) {
		if all[s] != "i" && n != all[s] {
			moved++
		}
	}
	require.LessOrEqual(t, moved, 4, "the loss of one instance must move few shards of the others")
}

// TestLeaseStartAdvancesOnlyWhileNoOtherInstanceCanClaim covers what the other instances may report during an outage of
// the log.
func TestLeaseStartAdvancesOnlyWhileNoOtherInstanceCanClaim(t *testing.T) {
	now := time.Now()
	confirmed := now.Add(-time.Minute)
	cutOff := func(ago time.Duration) knownInstance {
		return knownInstance{peer.Heartbeat{At: now.Add(-ago), LogConfirmedAt: now.Add(-time.Minute)}, now.Add(-ago)}
	}
	for n, x := range map[string]struct {
		known  map[string]knownInstance
		listed []string
		want   time.Time
	}{
		"alone":                            {nil, nil, now},
		"all cut off":                      {map[string]knownInstance{"b": cutOff(time.Second), "c": cutOff(time.Second / 2)}, nil, now.Add(-time.Second)},
		"one reaches the log":              {map[string]knownInstance{"b": cutOff(0), "c": {peer.Heartbeat{At: now, LogConfirmedAt: now}, now}}, nil, confirmed},
		"one is unresponsive":              {map[string]knownInstance{"b": cutOff(0), "c": cutOff(10 * time.Second)}, nil, confirmed},
		"one is unresponsive and unlisted": {map[string]knownInstance{"b": cutOff(0), "c": cutOff(10 * time.Second)}, []string{"a", "b"}, now},
		"one is unresponsive and listed":   {map[string]knownInstance{"b": cutOff(0), "c": cutOff(10 * time.Second)}, []string{"a", "b", "c"}, confirmed},
		"one owns a later epoch":           {map[string]knownInstance{"b": {peer.Heartbeat{At: now, LogConfirmedAt: confirmed, Shards: map[int]uint64{4: 8}}, now}}, nil, confirmed},
	} {
		t.Run(n, func(t *testing.T) {
			i := newInstance(t)
			i.knownInstances = x.known
			for _, l := range x.listed {
				i.listedInstances = append(i.listedInstances, platform.Instance{Name: l})
			}
			i.listedInstancesAt = now
			require.True(t, x.want.Equal(i.leaseStart(4, 7, confirmed, now)))
		})
	}
	i := newInstance(t)
	require.True(t, now.Add(-time.Second).Equal(i.leaseStart(4, 7, now.Add(-time.Second), now)), "a recent confirmation is itself the start of the lease")
}

// TestHandOverCallsAnUnresponsiveInstanceOnce guards against a shutdown that waits for a timeout per key: another
// instance accepts connections but never responds.
func TestHandOverCallsAnUnresponsiveInstanceOnce(t *testing.T) {
	i := newInstance(t)
	i.listedInstances = []platform.Instance{{Name: "a"}, {Name: "b"}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	own, unresponsive := listen(t), listen(t)
	var keyCalls atomic.Int64
	go countKeyCalls(unresponsive, &keyCalls)
	go func() { defer close(done); _ = i.mesh.Run(ctx, own) }()
	defer func() { cancel(); <-done }()
	c, err := net.Dial("tcp", own.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.Eventually(t, func() bool {
		_, err := peer.WriteFrame(c, &peer.Message{Heartbeat: &peer.Heartbeat{Name: "b", Address: unresponsive.Addr().String(), Leaving: true}})
		require.NoError(t, err)
		x, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err = i.mesh.Call(x, "b", &peer.Message{})
		return errors.Is(err, context.DeadlineExceeded)
	}, time.Minute, 50*time.Millisecond, "the unresponsive instance must be connected")
	for n := range 100 {
		i.keys.table.Finish(strconv.Itoa(n), "a", nil, time.Now())
	}
	i.keys.handOver(ctx)
	require.EqualValues(t, 1, keyCalls.Load(), "an instance that does not respond must be called once")
}

// TestKeysAreReplicatedBeforeTheNextLoss guards against the loss of keys when instances fail in quick succession. Two
// other instances respond slowly and one of them restarts: all keys must reach both before the next instance could
// fail.
func TestKeysAreReplicatedBeforeTheNextLoss(t *testing.T) {
	const (
		keys = 4000
		// lossInterval is the time between two losses of instances in TestKilledInstanceDuplicatesNoWrite.
		lossInterval = 700 * time.Millisecond
	)
	i := newInstance(t)
	i.listedInstances = []platform.Instance{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	own := listen(t)
	go func() { defer close(done); _ = i.mesh.Run(ctx, own) }()
	defer func() { cancel(); <-done }()
	received := make(chan string, 4*keys)
	c, err := net.Dial("tcp", own.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	addresses := make(map[string]string)
	for _, n := range []string{"b", "c"} {
		l := listen(t)
		addresses[n] = l.Addr().String()
		go respondSlowly(l, n, received)
	}
	sendHeartbeat := func(name string, incarnation int64) {
		h := &peer.Heartbeat{Name: name, Address: addresses[name], Incarnation: incarnation}
		_, err := peer.WriteFrame(c, &peer.Message{Heartbeat: h})
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		sendHeartbeat("b", 1)
		sendHeartbeat("c", 1)
		x, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, errB := i.mesh.Call(x, "b", &peer.Message{})
		_, errC := i.mesh.Call(x, "c", &peer.Message{})
		return errB == nil && errC == nil
	}, time.Minute, 50*time.Millisecond, "the other instances must be connected")
	for n := range keys {
		i.keys.table.Finish(strconv.Itoa(n), "a", nil, time.Now())
	}
	sendHeartbeat("b", 2)
	timeout := time.After(lossInterval)
	for range 2 * keys {
		select {
		case <-received:
		case <-timeout:
			require.Fail(t, "not all keys reached both other instances in time")
		}
	}
}

// respondSlowly responds to the frames of each connection to a listener one after the other. It sends each key in these
// frames to the channel, with the instance name as prefix.
func respondSlowly(l net.Listener, name string, received chan<- string) {
	const responseTime = 10 * time.Millisecond
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for {
				m, _, err := peer.ReadFrame(c)
				if err != nil {
					return
				}
				if m.Key != nil {
					received <- name + m.Key.Key
				}
				for _, k := range m.Keys {
					received <- name + k.Key
				}
				time.Sleep(responseTime)
				if _, err := peer.WriteFrame(c, &peer.Message{ID: m.ID, Key: &peer.Key{State: peer.KeyNew}}); err != nil {
					return
				}
			}
		}()
	}
}

// countKeyCalls reads the frames of the connections to a listener, responds to none, and counts those about a key.
func countKeyCalls(l net.Listener, keyCalls *atomic.Int64) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for {
				m, _, err := peer.ReadFrame(c)
				if err != nil {
					return
				}
				if m.Key != nil {
					keyCalls.Add(1)
				}
			}
		}()
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// A request with a new key is refused without being run while there is no room for its key; a duplicate of a known one still gets its
// answer.
func TestRequestWithoutRoomForItsKeyIsRefused(t *testing.T) {
	i := newInstance(t)
	i.keys.table.Limit = 1
	d := time.Now().Add(time.Minute)
	i.keys.table.Finish("known", i.Name, nil, time.Now())
	var e *caller.KeyError
	require.ErrorAs(t, i.keys.Begin(t.Context(), "new", d), &e)
	require.Equal(t, outcome.NotRun, e.Outcome)
	require.True(t, e.RetryAt.After(time.Now()))
	s, _ := i.keys.table.Lookup("new", time.Now())
	require.Equal(t, idempotency.New, s)
	require.Equal(t, int64(1), i.metrics.limitedCounts()["callers.keys"])
	require.ErrorAs(t, i.keys.Begin(t.Context(), "known", d), &e)
	require.Equal(t, outcome.Unknown, e.Outcome)
}

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

	"currantknot.dev/currantknot/internal/peer"
	"currantknot.dev/currantknot/internal/platform"
	"currantknot.dev/currantknot/internal/settings"
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

func TestEveryMetricIsServed(t *testing.T) {
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

func TestShardsAreSpreadEvenlyAndMoveLittle(t *testing.T) {
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
	require.LessOrEqual(t, moved, 4, "the death of one instance moves few shards of others")
}

// TestLeaseBasisMovesOnlyWhileNobodyCanHaveClaimed goes through what the other instances may say during an outage.
func TestLeaseBasisMovesOnlyWhileNobodyCanHaveClaimed(t *testing.T) {
	now := time.Now()
	confirmed := now.Add(-time.Minute)
	down := func(ago time.Duration) knownInstance {
		return knownInstance{peer.Heartbeat{At: now.Add(-ago), LogConfirmedAt: now.Add(-time.Minute)}, now.Add(-ago)}
	}
	for n, x := range map[string]struct {
		known  map[string]knownInstance
		listed []string
		want   time.Time
	}{
		"alone":                      {nil, nil, now},
		"all cut off":                {map[string]knownInstance{"b": down(time.Second), "c": down(time.Second / 2)}, nil, now.Add(-time.Second)},
		"one reaches the log":        {map[string]knownInstance{"b": down(0), "c": {peer.Heartbeat{At: now, LogConfirmedAt: now}, now}}, nil, confirmed},
		"one is silent":              {map[string]knownInstance{"b": down(0), "c": down(10 * time.Second)}, nil, confirmed},
		"one is silent and gone":     {map[string]knownInstance{"b": down(0), "c": down(10 * time.Second)}, []string{"a", "b"}, now},
		"one is silent and not gone": {map[string]knownInstance{"b": down(0), "c": down(10 * time.Second)}, []string{"a", "b", "c"}, confirmed},
		"one owns a later epoch":     {map[string]knownInstance{"b": {peer.Heartbeat{At: now, LogConfirmedAt: confirmed, Shards: map[int]uint64{4: 8}}, now}}, nil, confirmed},
	} {
		t.Run(n, func(t *testing.T) {
			i := newInstance(t)
			i.knownInstances = x.known
			for _, l := range x.listed {
				i.listedInstances = append(i.listedInstances, platform.Entry{Name: l})
			}
			i.listedInstancesAt = now
			require.True(t, x.want.Equal(i.leaseStart(4, 7, confirmed, now)))
		})
	}
	i := newInstance(t)
	require.True(t, now.Add(-time.Second).Equal(i.leaseStart(4, 7, now.Add(-time.Second), now)), "a fresh confirmation is the basis itself")
}

// TestHandOverToSilentInstancesEnds has many keys and another instance that takes them and never answers.
func TestHandOverToSilentInstancesEnds(t *testing.T) {
	i := newInstance(t)
	i.listedInstances = []platform.Entry{{Name: "a"}, {Name: "b"}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	own, silent := listen(t), listen(t)
	var asked atomic.Int64
	go countKeys(silent, &asked)
	go func() { defer close(done); _ = i.mesh.Run(ctx, own) }()
	defer func() { cancel(); <-done }()
	c, err := net.Dial("tcp", own.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.Eventually(t, func() bool {
		_, err := peer.WriteFrame(c, &peer.Message{Heartbeat: &peer.Heartbeat{Name: "b", Address: silent.Addr().String(), Leaving: true}})
		require.NoError(t, err)
		x, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err = i.mesh.Call(x, "b", &peer.Message{})
		return errors.Is(err, context.DeadlineExceeded)
	}, time.Minute, 50*time.Millisecond, "the silent instance is connected")
	for n := range 100 {
		i.keys.table.Finish(strconv.Itoa(n), "a", nil, time.Now())
	}
	i.keys.handOver(ctx)
	require.EqualValues(t, 1, asked.Load(), "an instance that does not answer is asked once")
}

// TestKeysAreToldBeforeTheNextInstanceIsLost has many keys, others that answer slowly, and one of them that begins anew.
func TestKeysAreToldBeforeTheNextInstanceIsLost(t *testing.T) {
	const (
		known = 4000
		// lossEvery is the time between two losses of instances in TestKilledEntryDoublesNoWrite.
		lossEvery = 700 * time.Millisecond
	)
	i := newInstance(t)
	i.listedInstances = []platform.Entry{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	own := listen(t)
	go func() { defer close(done); _ = i.mesh.Run(ctx, own) }()
	defer func() { cancel(); <-done }()
	told := make(chan string, 4*known)
	c, err := net.Dial("tcp", own.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	addresses := make(map[string]string)
	for _, n := range []string{"b", "c"} {
		l := listen(t)
		addresses[n] = l.Addr().String()
		go answerSlowly(l, n, told)
	}
	beat := func(name string, incarnation int64) {
		h := &peer.Heartbeat{Name: name, Address: addresses[name], Incarnation: incarnation}
		_, err := peer.WriteFrame(c, &peer.Message{Heartbeat: h})
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		beat("b", 1)
		beat("c", 1)
		x, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, errB := i.mesh.Call(x, "b", &peer.Message{})
		_, errC := i.mesh.Call(x, "c", &peer.Message{})
		return errB == nil && errC == nil
	}, time.Minute, 50*time.Millisecond, "the others are connected")
	for n := range known {
		i.keys.table.Finish(strconv.Itoa(n), "a", nil, time.Now())
	}
	beat("b", 2)
	limit := time.After(lossEvery)
	for range 2 * known {
		select {
		case <-told:
		case <-limit:
			require.Fail(t, "not all keys were told to both others in time")
		}
	}
}

// answerSlowly answers the frames of the connections to a listener one after the other, and passes on the keys that they tell.
func answerSlowly(l net.Listener, name string, told chan<- string) {
	const answerTime = 10 * time.Millisecond
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
					told <- name + m.Key.Key
				}
				for _, k := range m.Keys {
					told <- name + k.Key
				}
				time.Sleep(answerTime)
				if _, err := peer.WriteFrame(c, &peer.Message{ID: m.ID, Key: &peer.Key{State: peer.KeyNew}}); err != nil {
					return
				}
			}
		}()
	}
}

// countKeys reads the frames of the connections to a listener, answers none, and counts those about keys.
func countKeys(l net.Listener, asked *atomic.Int64) {
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
					asked.Add(1)
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

package stream_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"currantknot.dev/currantknot/internal/record"
	"currantknot.dev/currantknot/internal/stream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errResponseLost = errors.New("response lost")

// fakeLog is an in-memory log of one stream with injected faults.
type fakeLog struct {
	mu      sync.Mutex
	first   uint64
	entries [][]byte
	down    bool
	// lostResponses is the number of further appends that take effect but return an error.
	lostResponses int
	appends       int
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.down {
		return errors.New("down")
	}
	l.entries = append(l.entries, data)
	if l.lostResponses > 0 {
		l.lostResponses--
		return errResponseLost
	}
	return nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from uint64, until time.Time) (record.Page, error) {
	for {
		l.mu.Lock()
		p := record.Page{First: l.first, Next: l.first + uint64(len(l.entries))}
		if l.down {
			l.mu.Unlock()
			return p, errors.New("down")
		}
		for i := from; i >= l.first && i < p.Next; i++ {
			p.Entries = append(p.Entries, record.Entry{Offset: i, Data: l.entries[i-l.first]})
		}
		l.mu.Unlock()
		if len(p.Entries) > 0 || from < p.First || !time.Now().Before(until) {
			return p, ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}

func (l *fakeLog) withLock(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
}

// expire removes the oldest n entries, as retention does.
func (l *fakeLog) expire(n int) {
	l.withLock(func() {
		l.first += uint64(n)
		l.entries = l.entries[n:]
	})
}

// counter is a state machine that accepts a release only if its attempt is the next number. This is a compare-and-set,
// as for the records of the system.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) Apply(_ uint64, _ *record.Envelope, r *record.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Release == nil || r.Release.Attempt != c.n+1 {
		return fmt.Errorf("attempt does not follow attempt %d", c.n)
	}
	c.n++
	return nil
}

func (c *counter) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return []byte(strconv.Itoa(c.n)), nil
}

func (c *counter) Restore(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := strconv.Atoi(string(b))
	c.n = n
	return err
}

func (c *counter) value() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// release returns the record that counter accepts as the n-th one.
func release(n int) record.Record { return record.Record{Release: &record.Release{Attempt: n}} }

func startFollower(t *testing.T, l stream.Log) (*stream.Follower, *counter) {
	t.Helper()
	c := &counter{}
	f := stream.NewFollower(l, c, stream.Config{Stream: "s", Writer: "w", PollTimeout: 5 * time.Millisecond, Logger: zerolog.Nop()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, c
}

func commit(ctx context.Context, f *stream.Follower, r record.Record) error {
	_, err := f.Commit(ctx, r)
	return err
}

func withTimeout(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, 20*time.Second, time.Millisecond)
}

func TestOnlyOneOfTwoEqualRecordsIsAccepted(t *testing.T) {
	l := &fakeLog{}
	f, _ := startFollower(t, l)
	g, _ := startFollower(t, l)
	ctx := withTimeout(t)
	errs := make(chan error, 2)
	go func() { errs <- commit(ctx, f, release(1)) }()
	go func() { errs <- commit(ctx, g, release(1)) }()
	a, b := <-errs, <-errs
	require.True(t, (a == nil) != (b == nil), "exactly one of two equal records must be accepted: %v, %v", a, b)
}

func TestRetryAfterLostAppendResponseTakesEffectOnce(t *testing.T) {
	l := &fakeLog{lostResponses: 3}
	f, c := startFollower(t, l)
	require.NoError(t, commit(withTimeout(t), f, release(1)))
	require.NoError(t, commit(withTimeout(t), f, release(2)))
	eventually(t, func() bool { return f.Position().Next == uint64(len(l.entries)) })
	require.Equal(t, 2, c.value())
}

func TestCommitDuringOutageIsUnknownAndALaterOneSucceeds(t *testing.T) {
	l := &fakeLog{down: true}
	f, c := startFollower(t, l)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var u *stream.UnknownError
	require.ErrorAs(t, commit(ctx, f, release(1)), &u)
	require.False(t, f.IsFresh(time.Now().Add(-time.Hour)))
	l.withLock(func() { l.down = false })
	require.NoError(t, commit(withTimeout(t), f, release(1)))
	require.Equal(t, 1, c.value())
}

func TestGroupCommitAppendsQueuedRecordsTogether(t *testing.T) {
	l := &fakeLog{}
	f, _ := startFollower(t, l)
	var rs []record.Record
	for n := range 100 {
		rs = append(rs, release(n+1))
	}
	for _, o := range f.CommitAll(withTimeout(t), rs...) {
		require.NoError(t, o.Err)
	}
	require.LessOrEqual(t, l.appends, 2)
}

func TestFollowerBehindRetentionRestoresTheCheckpoint(t *testing.T) {
	l := &fakeLog{}
	f, _ := startFollower(t, l)
	for n := range 5 {
		require.NoError(t, commit(withTimeout(t), f, release(n+1)))
	}
	require.NoError(t, f.WriteCheckpoint(withTimeout(t)))
	require.NoError(t, commit(withTimeout(t), f, release(6)))
	l.expire(5)
	g, c := startFollower(t, l)
	eventually(t, func() bool { return c.value() == 6 })
	require.Empty(t, g.Position().Blocked)
}

func TestFollowerBehindRetentionWithoutCheckpointIsBlockedUntilRestored(t *testing.T) {
	l := &fakeLog{}
	f, _ := startFollower(t, l)
	for n := range 3 {
		require.NoError(t, commit(withTimeout(t), f, release(n+1)))
	}
	l.expire(2)
	g, c := startFollower(t, l)
	eventually(t, func() bool { return g.Position().Blocked != "" })
	n, b, err := f.State()
	require.NoError(t, err)
	require.NoError(t, g.Restore(n, b))
	require.NoError(t, commit(withTimeout(t), g, release(4)))
	require.Equal(t, 4, c.value())
}

func TestNewFollowerStartsAtTheCheckpoint(t *testing.T) {
	l := &fakeLog{}
	f, _ := startFollower(t, l)
	require.NoError(t, commit(withTimeout(t), f, release(1)))
	// The state in the checkpoint differs from the result of a replay, so the new follower's state shows where it started.
	require.NoError(t, commit(withTimeout(t), f, record.Record{Checkpoint: &record.Checkpoint{Covers: 1, State: []byte("50")}}))
	require.Error(t, commit(withTimeout(t), f, release(51)), "the first follower is at 1 and refuses what the second accepts")
	_, c := startFollower(t, l)
	eventually(t, func() bool { return c.value() == 51 })
}

// TestCheckpointWithRemovedTailIsNotUsed guards against a follower that starts from a checkpoint and misses entries:
// retention has removed some of the entries that the checkpoint does not cover.
func TestCheckpointWithRemovedTailIsNotUsed(t *testing.T) {
	l := &fakeLog{}
	f, _ := startFollower(t, l)
	n, b, err := f.State()
	require.NoError(t, err)
	require.NoError(t, commit(withTimeout(t), f, release(1)))
	require.NoError(t, commit(withTimeout(t), f, record.Record{Checkpoint: &record.Checkpoint{Covers: n, State: b}}))
	l.expire(1)
	g, _ := startFollower(t, l)
	eventually(t, func() bool { return g.Position().Blocked != "" })
}

func TestCheckpointNeverMovesAFollowerBack(t *testing.T) {
	l := &fakeLog{}
	f, c := startFollower(t, l)
	require.NoError(t, commit(withTimeout(t), f, release(1)))
	require.NoError(t, f.Restore(0, []byte("41")))
	require.NoError(t, commit(withTimeout(t), f, record.Record{Checkpoint: &record.Checkpoint{State: []byte("41")}}))
	require.Equal(t, 1, c.value())
	require.NoError(t, commit(withTimeout(t), f, release(2)))
}

func TestCorruptEntryIsSkippedAndCounted(t *testing.T) {
	l := &fakeLog{entries: [][]byte{[]byte("garbage that is long enough")}}
	f, _ := startFollower(t, l)
	require.NoError(t, commit(withTimeout(t), f, release(1)))
	require.Equal(t, 1, f.Position().CorruptEntries)
}

func TestNewerFormatBlocksWithoutSkipping(t *testing.T) {
	b, err := record.Encode(&record.Envelope{Records: []record.Record{release(1)}})
	require.NoError(t, err)
	b[0] = record.Version + 1
	l := &fakeLog{entries: [][]byte{b}}
	f, c := startFollower(t, l)
	eventually(t, func() bool { return f.Position().Blocked != "" })
	require.Zero(t, f.Position().Next)
	require.Zero(t, c.value())
	require.False(t, f.IsFresh(time.Time{}))
}

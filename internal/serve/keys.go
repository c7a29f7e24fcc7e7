package serve

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"currantknot.dev/currantknot/internal/caller"
	"currantknot.dev/currantknot/internal/idempotency"
	"currantknot.dev/currantknot/internal/limits"
	"currantknot.dev/currantknot/internal/peer"
	"currantknot.dev/currantknot/pkg/outcome"
)

const (
	// keyRetryDelay is the time after which a caller is told to retry a request whose key could not be checked.
	keyRetryDelay = time.Second
	// keysFullRetry is the time after which a caller is told to retry while there is no room for its key.
	keysFullRetry = 10 * time.Second
	// keyHandOverTimeout is the maximum time in which an instance sends its keys to others, when it shuts down or when
	// another instance is lost.
	keyHandOverTimeout = 10 * time.Second
	// keyCallTimeout is the maximum duration of a call about keys.
	keyCallTimeout = 500 * time.Millisecond
)

// idempotencyKeys decides, together with the other instances, whether a request with an idempotency key may run. It
// implements caller.IdempotencyKeys. The primary of a key is the instance that ranks first in rankedHolders; the
// instances that rank next are the backups of the key.
type idempotencyKeys struct {
	instance *Instance
	table    *idempotency.Table

	// mu guards the fields below.
	mu sync.Mutex
	// instanceSet is a hash of the names of the instances that may hold keys. instanceSetSince is the time at which this
	// hash last changed.
	instanceSet      uint64
	instanceSetSince time.Time
	// incarnations holds the last seen incarnation of each other live instance, by name.
	incarnations map[string]int64
}

func (i *Instance) newIdempotencyKeys() *idempotencyKeys {
	i.keys = &idempotencyKeys{instance: i, table: idempotency.NewTable(), instanceSetSince: time.Now()}
	i.keys.table.Limit = i.Plan().KeyBytes
	return i.keys
}

// holders returns the names of all instances that may hold keys: this instance and those on the platform's list, or the
// live members if the list has no other instance.
func (k *idempotencyKeys) holders(now time.Time) []string {
	i := k.instance
	names := []string{i.Name}
	i.mu.Lock()
	for _, x := range i.listedInstances {
		if x.Name != i.Name {
			names = append(names, x.Name)
		}
	}
	i.mu.Unlock()
	if len(names) > 1 {
		return names
	}
	for _, m := range i.mesh.LiveMembers(now) {
		names = append(names, m.Name)
	}
	return names
}

// rankedHolders returns the instances that may hold keys, sorted by rendezvous hashing: the primary of the key first.
// recentlyChanged reports whether the set of these instances changed within the retention of keys, in which case an
// earlier primary may know the key.
func (k *idempotencyKeys) rankedHolders(key string, now time.Time) (names []string, recentlyChanged bool) {
	hs := k.holders(now)
	var set uint64
	h := make(map[string]uint64, len(hs))
	for _, n := range hs {
		h[n] = xxhash.Sum64String(key + "|" + n)
		set ^= xxhash.Sum64String(n)
	}
	slices.SortFunc(hs, func(a, b string) int { return -cmp.Compare(h[a], h[b]) })
	k.mu.Lock()
	defer k.mu.Unlock()
	if set != k.instanceSet {
		k.instanceSet, k.instanceSetSince = set, now
	}
	return hs, now.Sub(k.instanceSetSince) < idempotency.Retention
}

// Begin implements caller.IdempotencyKeys.
func (k *idempotencyKeys) Begin(ctx context.Context, key string, deadline time.Time) error {
	now := time.Now()
	i := k.instance
	q := &peer.Key{Verb: peer.KeyBegin, Key: key, Instance: i.Name, Deadline: deadline}
	if s, r := k.table.Lookup(key, now); s != idempotency.New {
		return keyError(newKeyResponse(q, s, r), now)
	}
	if k.table.IsFull(now) {
		i.metrics.Limited(callersListener, limits.ReasonKeys)
		return &caller.KeyError{Outcome: outcome.NotRun, Reason: "this instance keeps as many idempotency keys as it may", RetryAt: now.Add(keysFullRetry)}
	}
	hs, _ := k.rankedHolders(key, now)
	r := k.beginAtPrimary(ctx, hs, q, now)
	if r.State != peer.KeyNew {
		return keyError(r, now)
	}
	k.table.MarkRunning(key, i.Name, deadline)
	return nil
}

// beginAtPrimary asks the primary of the key whether the request may run. hs are the ranked holders of the key. If this
// instance is the primary, a backup must also store the key, unless there is no other instance.
func (k *idempotencyKeys) beginAtPrimary(ctx context.Context, hs []string, q *peer.Key, now time.Time) *peer.Key {
	i := k.instance
	if hs[0] != i.Name {
		r := k.call(ctx, hs[0], q)
		if r.State == peer.KeyRefused {
			k.send(hs[0], peer.Key{Verb: peer.KeyComplete, Key: q.Key, Instance: i.Name, State: peer.KeyNew})
		}
		return r
	}
	r := k.beginAsPrimary(ctx, q, now)
	if r.State != peer.KeyNew || len(hs) == 1 {
		return r
	}
	n := *q
	n.Verb = peer.KeyMarkRunning
	for _, h := range hs[1:] {
		if b := k.call(ctx, h, &n); b.State == peer.KeyNew {
			return r
		}
	}
	k.releaseEverywhere(q, now)
	return &peer.Key{State: peer.KeyRefused, Reason: "no other instance can note the key"}
}

// keyError returns the error for a request that must not run. r is the response of the primary, or the state of the key
// in the table of this instance. The error holds the recorded response, if there is one.
func keyError(r *peer.Key, now time.Time) error {
	switch {
	case r.State == peer.KeyRefused:
		return &caller.KeyError{Outcome: outcome.NotRun, Reason: r.Reason, RetryAt: now.Add(keyRetryDelay)}
	case r.State == peer.KeyDone && r.Status != 0:
		return &caller.KeyError{Reason: "repeat", Response: &caller.RecordedResponse{Status: r.Status, Header: r.Header, Body: r.Body}}
	case r.State == peer.KeyDone:
		return &caller.KeyError{Outcome: outcome.Unknown, Reason: "a request with this key has run, its answer is not known"}
	default:
		return &caller.KeyError{Outcome: outcome.Unknown, Reason: "a request with this key is running", RetryAt: now.Add(keyRetryDelay)}
	}
}

// Complete implements caller.IdempotencyKeys.
func (k *idempotencyKeys) Complete(key string, o outcome.Outcome, response *caller.RecordedResponse) {
	now := time.Now()
	i := k.instance
	hs, _ := k.rankedHolders(key, now)
	m := peer.Key{Verb: peer.KeyComplete, Key: key, Instance: i.Name, State: peer.KeyDone}
	if o == outcome.NotRun {
		m.State = peer.KeyNew
	}
	if response != nil {
		m.Status, m.Header, m.Body = response.Status, response.Header, response.Body
	}
	k.complete(&m, now)
	for _, n := range hs[:min(keyReplicas, len(hs))] {
		if n != i.Name {
			k.send(n, m)
		}
	}
}

// handOver sends each completed key to two other instances before this instance
// shuts down.
//
// An instance that fails to respond to one call is not called again. Otherwise
// a shutdown of many instances at once would wait for a timeout per key.
func (k *idempotencyKeys) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, keyHandOverTimeout)
	defer cancel()
	now := time.Now()
	skip := map[string]bool{k.instance.Name: true}
	for _, x := range k.table.DoneKeys(now) {
		m := newRecordMessage(x)
		hs, _ := k.rankedHolders(x.Key, now)
		copies := 0
		for _, n := range hs {
			if skip[n] || copies == 2 {
				continue
			}
			if k.call(ctx, n, &m).State == peer.KeyRefused {
				skip[n] = true
				continue
			}
			copies++
		}
	}
}

// onMembersUpdate replicates the keys again when another instance is lost or has a new incarnation.
func (k *idempotencyKeys) onMembersUpdate(ms []peer.Member) {
	k.mu.Lock()
	seen := make(map[string]int64, len(ms))
	for _, m := range ms {
		seen[m.Name] = m.Incarnation
	}
	lost := false
	for n, x := range k.incarnations {
		lost = lost || seen[n] != x
	}
	k.incarnations = seen
	k.mu.Unlock()
	if lost {
		go k.replicate()
	}
}

// replicate sends each key whose request may be running or has run to other
// instances. After the loss or restart of an instance that stored the key,
// keyReplicas instances thus store it again, including this one.
//
// The keys are sent in few large messages, starting with those of running and
// most recently finished requests: callers may still retry these requests, and
// the next instance may be lost within a second.
func (k *idempotencyKeys) replicate() {
	ctx, cancel := context.WithTimeout(context.Background(), keyHandOverTimeout)
	defer cancel()
	now := time.Now()
	batches := make(map[string][]peer.Key)
	for _, x := range k.table.RunningAndDoneKeys(now) {
		hs, _ := k.rankedHolders(x.Key, now)
		m := newRecordMessage(x)
		for _, n := range k.others(hs)[:min(keyReplicas-1, len(hs)-1)] {
			batches[n] = append(batches[n], m)
		}
	}
	var g errgroup.Group
	for n, l := range batches {
		g.Go(func() error {
			k.sendBatches(ctx, n, l)
			return nil
		})
	}
	_ = g.Wait()
}

const (
	// keyReplicas is the number of instances that should store a key, so that the key survives the loss of two instances
	// within a second.
	keyReplicas = 3
	// keysPerMessage is the maximum number of keys in one message.
	keysPerMessage = 256
)

// others returns the names without the name of this instance, in the same order.
func (k *idempotencyKeys) others(hs []string) []string {
	return slices.DeleteFunc(slices.Clone(hs), func(n string) bool { return n == k.instance.Name })
}

// sendBatches sends many keys to one instance. It stops at the first message without a response.
func (k *idempotencyKeys) sendBatches(ctx context.Context, name string, l []peer.Key) {
	for b := range slices.Chunk(l, keysPerMessage) {
		c, cancel := context.WithTimeout(ctx, keyCallTimeout)
		_, err := k.instance.mesh.Call(c, name, &peer.Message{Keys: b})
		cancel()
		if err != nil {
			k.instance.logger.Warn().Err(err).Str("To", name).Int("Keys", len(l)).Msg("replication of idempotency keys not confirmed")
			return
		}
	}
}

// newRecordMessage returns the message that makes another instance store the key and its state.
func newRecordMessage(x idempotency.KeyRecord) peer.Key {
	if !x.RunningUntil.IsZero() {
		return peer.Key{Verb: peer.KeyMarkRunning, Key: x.Key, Instance: x.Instance, Deadline: x.RunningUntil}
	}
	m := peer.Key{Verb: peer.KeyComplete, Key: x.Key, Instance: x.Instance, State: peer.KeyDone}
	if x.Response != nil {
		m.Status, m.Header, m.Body = x.Response.Status, x.Response.Header, x.Response.Body
	}
	return m
}

// send sends a message about a key in the background and ignores the response.
func (k *idempotencyKeys) send(name string, m peer.Key) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), keyCallTimeout)
		defer cancel()
		_, _ = k.instance.mesh.Call(ctx, name, &peer.Message{Key: &m})
	}()
}

// handleKey handles a request of another instance about a key.
func (i *Instance) handleKey(ctx context.Context, q *peer.Key) *peer.Key {
	now := time.Now()
	switch q.Verb {
	case peer.KeyBegin:
		return i.keys.beginAsPrimary(ctx, q, now)
	case peer.KeyMarkRunning:
		i.keys.table.MarkRunning(q.Key, q.Instance, q.Deadline)
		return &peer.Key{Verb: q.Verb, Key: q.Key, State: peer.KeyNew}
	case peer.KeyComplete:
		i.keys.complete(q, now)
		return &peer.Key{Verb: q.Verb, Key: q.Key}
	default:
		// If this instance does not know the key, it stores the claim, and refuses the key to all other claimants.
		s, r := i.keys.table.Claim(q.Key, q.Instance, q.Deadline, now)
		return newKeyResponse(q, s, r)
	}
}

// handleKeyBatch handles a message of another instance about many keys.
func (i *Instance) handleKeyBatch(ctx context.Context, l []peer.Key) {
	for n := range l {
		i.handleKey(ctx, &l[n])
	}
}

// beginAsPrimary decides, as the primary of the key, whether a request may run. It queries all other instances if the
// set of instances changed recently, or if another instance is the primary by the list of this one.
func (k *idempotencyKeys) beginAsPrimary(ctx context.Context, q *peer.Key, now time.Time) *peer.Key {
	i := k.instance
	s, r := k.table.Claim(q.Key, q.Instance, q.Deadline, now)
	if s != idempotency.New {
		return newKeyResponse(q, s, r)
	}
	if hs, recentlyChanged := k.rankedHolders(q.Key, now); recentlyChanged || hs[0] != i.Name {
		if refusal := k.queryAll(ctx, q, now); refusal != nil {
			k.releaseEverywhere(q, now)
			return refusal
		}
	}
	k.table.MarkRunning(q.Key, q.Instance, q.Deadline)
	return &peer.Key{Verb: q.Verb, Key: q.Key, State: peer.KeyNew}
}

// releaseEverywhere releases a key whose request was refused, at this instance and at all others that may hold it.
func (k *idempotencyKeys) releaseEverywhere(q *peer.Key, now time.Time) {
	k.table.Release(q.Key, q.Instance)
	for _, h := range k.holders(now) {
		if h != k.instance.Name {
			k.send(h, peer.Key{Verb: peer.KeyComplete, Key: q.Key, Instance: q.Instance, State: peer.KeyNew})
		}
	}
}

// complete records that the request of a key has run, or releases the key if the state is KeyNew.
func (k *idempotencyKeys) complete(q *peer.Key, now time.Time) {
	if q.State == peer.KeyNew {
		k.table.Release(q.Key, q.Instance)
		return
	}
	var r *idempotency.RecordedResponse
	if q.Status != 0 {
		r = &idempotency.RecordedResponse{Status: q.Status, Header: q.Header, Body: q.Body}
	}
	k.table.Finish(q.Key, q.Instance, r, now)
}

// newKeyResponse returns the message that reports the state of a key and its recorded response r, nil if there is none.
func newKeyResponse(q *peer.Key, s idempotency.State, r *idempotency.RecordedResponse) *peer.Key {
	m := &peer.Key{Verb: q.Verb, Key: q.Key}
	switch s {
	case idempotency.New:
		m.State = peer.KeyNew
	case idempotency.Claimed:
		m.State, m.Reason = peer.KeyRefused, "another instance decides on this key"
	case idempotency.Running:
		m.State = peer.KeyRunning
	case idempotency.Done:
		m.State = peer.KeyDone
	}
	if r != nil {
		m.Status, m.Header, m.Body = r.Status, r.Header, r.Body
	}
	return m
}

// queryAll queries all other instances about the key, except for the instance that received the request. It returns a
// response that forbids the request to run, or nil if there is none.
func (k *idempotencyKeys) queryAll(ctx context.Context, q *peer.Key, now time.Time) *peer.Key {
	i := k.instance
	var g errgroup.Group
	hs := k.holders(now)
	rs := make([]*peer.Key, len(hs))
	x := *q
	x.Verb = peer.KeyQuery
	for n, h := range hs {
		// The instance that received the request has looked the key up in its own table already.
		if h == i.Name || h == q.Instance {
			continue
		}
		g.Go(func() error {
			rs[n] = k.call(ctx, h, &x)
			return nil
		})
	}
	_ = g.Wait()
	for _, r := range rs {
		if r != nil && r.State != peer.KeyNew {
			return r
		}
	}
	return nil
}

// call sends a request about a key and returns the response. If no response arrives, the returned Key is in state
// KeyRefused.
func (k *idempotencyKeys) call(ctx context.Context, name string, q *peer.Key) *peer.Key {
	ctx, cancel := context.WithTimeout(ctx, keyCallTimeout)
	defer cancel()
	r, err := k.instance.mesh.Call(ctx, name, &peer.Message{Key: q})
	if err != nil || r.Key == nil {
		return &peer.Key{State: peer.KeyRefused, Reason: "instance " + name + " can't be asked about the key"}
	}
	return r.Key
}

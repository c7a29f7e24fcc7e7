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
	"currantknot.dev/currantknot/internal/peer"
	"currantknot.dev/currantknot/pkg/outcome"
)

const (
	// keyRetry is the time after which a caller is asked to repeat a request whose key could not be checked.
	keyRetryDelay = time.Second
	// handOverTimeout bounds the time in which an instance that leaves tells the others its keys.
	keyHandOverTimeout = 10 * time.Second
	// keyCallTimeout bounds one question about a key.
	keyCallTimeout = 500 * time.Millisecond
)

// keys decides with the other instances whether a request with a key may run.
type idempotencyKeys struct {
	instance *Instance
	table    *idempotency.Table

	// mu guards the fields below.
	mu sync.Mutex
	// homes is a hash of the set of instances that keys were last hashed over, and homesSince its beginning.
	instanceSet      uint64
	instanceSetSince time.Time
	// incarnations holds those of the other instances that were seen last.
	incarnations map[string]int64
}

func (i *Instance) newIdempotencyKeys() *idempotencyKeys {
	i.keys = &idempotencyKeys{instance: i, table: idempotency.NewTable(), instanceSetSince: time.Now()}
	return i.keys
}

// members returns the names of all instances that may hold keys, without those that the list shows as gone.
func (k *idempotencyKeys) holders(now time.Time) []string {
	i := k.instance
	names := []string{i.Name}
	i.mu.Lock()
	for _, e := range i.listedInstances {
		if e.Name != i.Name {
			names = append(names, e.Name)
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

// ranked returns the instances that may hold keys, the home of the key first, and whether that set is young.
func (k *idempotencyKeys) rankedHolders(key string, now time.Time) (names []string, young bool) {
	ms := k.holders(now)
	var set uint64
	h := make(map[string]uint64, len(ms))
	for _, m := range ms {
		h[m] = xxhash.Sum64String(key + "|" + m)
		set ^= xxhash.Sum64String(m)
	}
	slices.SortFunc(ms, func(a, b string) int { return -cmp.Compare(h[a], h[b]) })
	k.mu.Lock()
	defer k.mu.Unlock()
	if set != k.instanceSet {
		k.instanceSet, k.instanceSetSince = set, now
	}
	return ms, now.Sub(k.instanceSetSince) < idempotency.Retention
}

// Begin implements caller.Keys.
func (k *idempotencyKeys) Begin(ctx context.Context, key string, deadline time.Time) error {
	now := time.Now()
	i := k.instance
	q := &peer.Key{Verb: peer.KeyBegin, Key: key, Instance: i.Name, Deadline: deadline}
	if s, a := k.table.Lookup(key, now); s != idempotency.New {
		return keyError(newKeyResponse(q, s, a), now)
	}
	ms, _ := k.rankedHolders(key, now)
	a := k.beginAtPrimary(ctx, ms, q, now)
	if a.State != peer.KeyNew {
		return keyError(a, now)
	}
	k.table.MarkRunning(key, i.Name, deadline)
	return nil
}

// askHome asks the home of the key whether the request may run; two instances know the key when it may.
func (k *idempotencyKeys) beginAtPrimary(ctx context.Context, ms []string, q *peer.Key, now time.Time) *peer.Key {
	i := k.instance
	if ms[0] != i.Name {
		a := k.call(ctx, ms[0], q)
		if a.State == peer.KeyRefused {
			k.send(ms[0], peer.Key{Verb: peer.KeyComplete, Key: q.Key, Instance: i.Name, State: peer.KeyNew})
		}
		return a
	}
	a := k.beginAsPrimary(ctx, q, now)
	if a.State != peer.KeyNew || len(ms) == 1 {
		return a
	}
	n := *q
	n.Verb = peer.KeyMarkRunning
	for _, m := range ms[1:] {
		if w := k.call(ctx, m, &n); w.State == peer.KeyNew {
			return a
		}
	}
	k.releaseEverywhere(q, now)
	return &peer.Key{State: peer.KeyRefused, Reason: "no other instance can note the key"}
}

func keyError(a *peer.Key, now time.Time) error {
	switch {
	case a.State == peer.KeyRefused:
		return &caller.KeyError{Outcome: outcome.NotRun, Reason: a.Reason, RetryAt: now.Add(keyRetryDelay)}
	case a.State == peer.KeyDone && a.Status != 0:
		return &caller.KeyError{Reason: "repeat", Response: &caller.RecordedResponse{Status: a.Status, Header: a.Header, Body: a.Body}}
	case a.State == peer.KeyDone:
		return &caller.KeyError{Outcome: outcome.Unknown, Reason: "a request with this key has run, its answer is not known"}
	default:
		return &caller.KeyError{Outcome: outcome.Unknown, Reason: "a request with this key is running", RetryAt: now.Add(keyRetryDelay)}
	}
}

// End implements caller.Keys.
func (k *idempotencyKeys) Complete(key string, o outcome.Outcome, answer *caller.RecordedResponse) {
	now := time.Now()
	i := k.instance
	ms, _ := k.rankedHolders(key, now)
	m := peer.Key{Verb: peer.KeyComplete, Key: key, Instance: i.Name, State: peer.KeyDone}
	if o == outcome.NotRun {
		m.State = peer.KeyNew
	}
	if answer != nil {
		m.Status, m.Header, m.Body = answer.Status, answer.Header, answer.Body
	}
	k.complete(&m, now)
	for _, n := range ms[:min(keyReplicas, len(ms))] {
		if n != i.Name {
			k.send(n, m)
		}
	}
}

// handOver tells two other instances of each key that this one knows, before it leaves.
//
// An instance that does not answer once is not asked again, so that a stop of many at once takes no time.
func (k *idempotencyKeys) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, keyHandOverTimeout)
	defer cancel()
	now := time.Now()
	silent := map[string]bool{k.instance.Name: true}
	for _, x := range k.table.Completed(now) {
		m := newRecordMessage(x)
		ms, _ := k.rankedHolders(x.Key, now)
		told := 0
		for _, n := range ms {
			if silent[n] || told == 2 {
				continue
			}
			if k.call(ctx, n, &m).State == peer.KeyRefused {
				silent[n] = true
				continue
			}
			told++
		}
	}
}

// onMembers tells other instances of the keys that this one knows when one of them is gone or has begun anew.
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

// spread tells the others of each key that this one knows, so that again keyCopies instances know it.
//
// The keys go in few large messages, those whose requests run or ended last first: the next instance may be lost within
// a second, while callers still repeat these.
func (k *idempotencyKeys) replicate() {
	ctx, cancel := context.WithTimeout(context.Background(), keyHandOverTimeout)
	defer cancel()
	now := time.Now()
	batches := make(map[string][]peer.Key)
	for _, x := range k.table.Started(now) {
		ms, _ := k.rankedHolders(x.Key, now)
		m := newRecordMessage(x)
		for _, n := range k.others(ms)[:min(keyReplicas-1, len(ms)-1)] {
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
	// keyCopies is the number of instances that are to know a key, so that it outlives the loss of two within a second.
	keyReplicas = 3
	// keysPerMessage bounds the keys that one message tells.
	keysPerMessage = 256
)

// others returns the names without this instance's own, in their order.
func (k *idempotencyKeys) others(ms []string) []string {
	return slices.DeleteFunc(slices.Clone(ms), func(n string) bool { return n == k.instance.Name })
}

// tellAll tells one instance many keys; one that does not answer once is not told the rest.
func (k *idempotencyKeys) sendBatches(ctx context.Context, name string, l []peer.Key) {
	for b := range slices.Chunk(l, keysPerMessage) {
		c, cancel := context.WithTimeout(ctx, keyCallTimeout)
		_, err := k.instance.mesh.Call(c, name, &peer.Message{Keys: b})
		cancel()
		if err != nil {
			k.instance.logger.Warn().Err(err).Str("To", name).Int("Keys", len(l)).Msg("idempotency keys were not told")
			return
		}
	}
}

// itemMessage returns the message that tells of a key.
func newRecordMessage(x idempotency.Record) peer.Key {
	if !x.Until.IsZero() {
		return peer.Key{Verb: peer.KeyMarkRunning, Key: x.Key, Instance: x.Instance, Deadline: x.Until}
	}
	m := peer.Key{Verb: peer.KeyComplete, Key: x.Key, Instance: x.Instance, State: peer.KeyDone}
	if x.Response != nil {
		m.Status, m.Header, m.Body = x.Response.Status, x.Response.Header, x.Response.Body
	}
	return m
}

// tell sends a message about a key without waiting for its effect.
func (k *idempotencyKeys) send(home string, m peer.Key) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), keyCallTimeout)
		defer cancel()
		_, _ = k.instance.mesh.Call(ctx, home, &peer.Message{Key: &m})
	}()
}

// handleKey answers another instance about a key.
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
		// Who does not know the key remembers who asked, and lets nobody else run it.
		s, a := i.keys.table.Claim(q.Key, q.Instance, q.Deadline, now)
		return newKeyResponse(q, s, a)
	}
}

// handleKeys takes in what another instance tells of many keys.
func (i *Instance) handleKeyBatch(ctx context.Context, l []peer.Key) {
	for n := range l {
		i.handleKey(ctx, &l[n])
	}
}

// begin decides as the home of the key.
func (k *idempotencyKeys) beginAsPrimary(ctx context.Context, q *peer.Key, now time.Time) *peer.Key {
	i := k.instance
	s, a := k.table.Claim(q.Key, q.Instance, q.Deadline, now)
	if s != idempotency.New {
		return newKeyResponse(q, s, a)
	}
	if ms, young := k.rankedHolders(q.Key, now); young || ms[0] != i.Name {
		if r := k.queryAll(ctx, q, now); r != nil {
			k.releaseEverywhere(q, now)
			return r
		}
	}
	k.table.MarkRunning(q.Key, q.Instance, q.Deadline)
	return &peer.Key{Verb: q.Verb, Key: q.Key, State: peer.KeyNew}
}

// forgetAsked lets go of a key whose request was refused, here and where it was asked about.
func (k *idempotencyKeys) releaseEverywhere(q *peer.Key, now time.Time) {
	k.table.Release(q.Key, q.Instance)
	for _, m := range k.holders(now) {
		if m != k.instance.Name {
			k.send(m, peer.Key{Verb: peer.KeyComplete, Key: q.Key, Instance: q.Instance, State: peer.KeyNew})
		}
	}
}

func (k *idempotencyKeys) complete(q *peer.Key, now time.Time) {
	if q.State == peer.KeyNew {
		k.table.Release(q.Key, q.Instance)
		return
	}
	var a *idempotency.Response
	if q.Status != 0 {
		a = &idempotency.Response{Status: q.Status, Header: q.Header, Body: q.Body}
	}
	k.table.Finish(q.Key, q.Instance, a, now)
}

func newKeyResponse(q *peer.Key, s idempotency.State, a *idempotency.Response) *peer.Key {
	r := &peer.Key{Verb: q.Verb, Key: q.Key}
	switch s {
	case idempotency.New:
		r.State = peer.KeyNew
	case idempotency.Claimed:
		r.State, r.Reason = peer.KeyRefused, "another instance decides on this key"
	case idempotency.Running:
		r.State = peer.KeyRunning
	case idempotency.Done:
		r.State = peer.KeyDone
	}
	if a != nil {
		r.Status, r.Header, r.Body = a.Status, a.Header, a.Body
	}
	return r
}

// askAll asks every other instance about the key and returns what forbids the request, nil where nothing does.
func (k *idempotencyKeys) queryAll(ctx context.Context, q *peer.Key, now time.Time) *peer.Key {
	i := k.instance
	var g errgroup.Group
	ms := k.holders(now)
	as := make([]*peer.Key, len(ms))
	x := *q
	x.Verb = peer.KeyQuery
	for n, m := range ms {
		// The instance that sends the request has looked at its own table first.
		if m == i.Name || m == q.Instance {
			continue
		}
		g.Go(func() error {
			as[n] = k.call(ctx, m, &x)
			return nil
		})
	}
	_ = g.Wait()
	for _, a := range as {
		if a != nil && a.State != peer.KeyNew {
			return a
		}
	}
	return nil
}

// askOne sends a message about a key and returns the answer, KeyRefused where none comes.
func (k *idempotencyKeys) call(ctx context.Context, name string, q *peer.Key) *peer.Key {
	ctx, cancel := context.WithTimeout(ctx, keyCallTimeout)
	defer cancel()
	a, err := k.instance.mesh.Call(ctx, name, &peer.Message{Key: q})
	if err != nil || a.Key == nil {
		return &peer.Key{State: peer.KeyRefused, Reason: "instance " + name + " can't be asked about the key"}
	}
	return a.Key
}

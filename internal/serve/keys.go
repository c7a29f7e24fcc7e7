package serve

import (
	"context"
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
	keyRetry = time.Second
	// keyCallTimeout bounds one question about a key.
	keyCallTimeout = 500 * time.Millisecond
)

// keys decides with the other instances whether a request with a key may run.
type keys struct {
	instance *Instance
	table    *idempotency.Table

	// mu guards the fields below.
	mu sync.Mutex
	// homes is a hash of the set of instances that keys were last hashed over, and homesSince its beginning.
	homes      uint64
	homesSince time.Time
}

func (i *Instance) newKeys() *keys {
	i.keys = &keys{instance: i, table: idempotency.NewTable(), homesSince: time.Now()}
	return i.keys
}

// members returns the names of all instances that may hold keys, without those that the list shows as gone.
func (k *keys) members(now time.Time) []string {
	i := k.instance
	names := []string{i.Name}
	i.mu.Lock()
	for _, e := range i.entries {
		if e.Name != i.Name {
			names = append(names, e.Name)
		}
	}
	i.mu.Unlock()
	if len(names) > 1 {
		return names
	}
	for _, m := range i.mesh.Live(now) {
		names = append(names, m.Name)
	}
	return names
}

// home returns the instance that decides on a key, and whether that may have been another one lately.
func (k *keys) home(key string, now time.Time) (name string, young bool) {
	ms := k.members(now)
	var high uint64
	var set uint64
	for _, m := range ms {
		if h := xxhash.Sum64String(key + "|" + m); name == "" || h > high {
			name, high = m, h
		}
		set ^= xxhash.Sum64String(m)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if set != k.homes {
		k.homes, k.homesSince = set, now
	}
	return name, now.Sub(k.homesSince) < idempotency.Memory
}

// Begin implements caller.Keys.
func (k *keys) Begin(ctx context.Context, key string, deadline time.Time) error {
	now := time.Now()
	i := k.instance
	h, _ := k.home(key, now)
	q := &peer.Key{Verb: peer.KeyBegin, Key: key, Entry: i.Name, Deadline: deadline}
	var a *peer.Key
	if h == i.Name {
		a = k.begin(ctx, q, now)
	} else {
		x, cancel := context.WithTimeout(ctx, 2*keyCallTimeout)
		defer cancel()
		m, err := i.mesh.Call(x, h, &peer.Message{Key: q})
		if err != nil || m.Key == nil {
			k.tell(h, peer.Key{Verb: peer.KeyEnd, Key: key, Entry: i.Name, State: peer.KeyNew})
			return &caller.KeyError{Outcome: outcome.NotRun, Reason: "the home of the key can't be reached", RetryAt: now.Add(keyRetry)}
		}
		a = m.Key
	}
	if a.State == peer.KeyNew {
		k.table.Run(key, i.Name, deadline)
		return nil
	}
	return keyError(a, now)
}

func keyError(a *peer.Key, now time.Time) error {
	switch {
	case a.State == peer.KeyRefused:
		return &caller.KeyError{Outcome: outcome.NotRun, Reason: a.Reason, RetryAt: now.Add(keyRetry)}
	case a.State == peer.KeyDone && a.Status != 0:
		return &caller.KeyError{Reason: "repeat", Answer: &caller.Recorded{Status: a.Status, Header: a.Header, Body: a.Body}}
	case a.State == peer.KeyDone:
		return &caller.KeyError{Outcome: outcome.Unknown, Reason: "a request with this key has run, its answer is not known"}
	default:
		return &caller.KeyError{Outcome: outcome.Unknown, Reason: "a request with this key is running", RetryAt: now.Add(keyRetry)}
	}
}

// End implements caller.Keys.
func (k *keys) End(key string, o outcome.Outcome, answer *caller.Recorded) {
	now := time.Now()
	i := k.instance
	h, _ := k.home(key, now)
	m := peer.Key{Verb: peer.KeyEnd, Key: key, Entry: i.Name, State: peer.KeyDone}
	if o == outcome.NotRun {
		m.State = peer.KeyNew
	}
	if answer != nil {
		m.Status, m.Header, m.Body = answer.Status, answer.Header, answer.Body
	}
	k.end(&m, now)
	if h != i.Name {
		k.tell(h, m)
	}
}

// tell sends a message about a key without waiting for its effect.
func (k *keys) tell(home string, m peer.Key) {
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
		return i.keys.begin(ctx, q, now)
	case peer.KeyEnd:
		i.keys.end(q, now)
		return &peer.Key{Verb: q.Verb, Key: q.Key}
	default:
		// Who does not know the key remembers who asked, and lets nobody else run it.
		s, a := i.keys.table.Ask(q.Key, q.Entry, q.Deadline, now)
		return keyAnswer(q, s, a)
	}
}

// begin decides as the home of the key.
func (k *keys) begin(ctx context.Context, q *peer.Key, now time.Time) *peer.Key {
	i := k.instance
	s, a := k.table.Ask(q.Key, q.Entry, q.Deadline, now)
	if s != idempotency.New {
		return keyAnswer(q, s, a)
	}
	if h, young := k.home(q.Key, now); young || h != i.Name {
		if r := k.askAll(ctx, q, now); r != nil {
			k.forgetAsked(q, now)
			return r
		}
	}
	k.table.Run(q.Key, q.Entry, q.Deadline)
	return &peer.Key{Verb: q.Verb, Key: q.Key, State: peer.KeyNew}
}

// forgetAsked lets go of a key whose request was refused, here and where it was asked about.
func (k *keys) forgetAsked(q *peer.Key, now time.Time) {
	k.table.Drop(q.Key, q.Entry)
	for _, m := range k.members(now) {
		if m != k.instance.Name {
			k.tell(m, peer.Key{Verb: peer.KeyEnd, Key: q.Key, Entry: q.Entry, State: peer.KeyNew})
		}
	}
}

func (k *keys) end(q *peer.Key, now time.Time) {
	if q.State == peer.KeyNew {
		k.table.Drop(q.Key, q.Entry)
		return
	}
	var a *idempotency.Answer
	if q.Status != 0 {
		a = &idempotency.Answer{Status: q.Status, Header: q.Header, Body: q.Body}
	}
	k.table.Finish(q.Key, q.Entry, a, now)
}

func keyAnswer(q *peer.Key, s idempotency.State, a *idempotency.Answer) *peer.Key {
	r := &peer.Key{Verb: q.Verb, Key: q.Key}
	switch s {
	case idempotency.New:
		r.State = peer.KeyNew
	case idempotency.Asking:
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
func (k *keys) askAll(ctx context.Context, q *peer.Key, now time.Time) *peer.Key {
	i := k.instance
	g, ctx := errgroup.WithContext(ctx)
	ctx, cancel := context.WithTimeout(ctx, keyCallTimeout)
	defer cancel()
	ms := k.members(now)
	as := make([]*peer.Key, len(ms))
	for n, m := range ms {
		// The instance that sends the request waits for this answer and has not run it.
		if m == i.Name || m == q.Entry {
			continue
		}
		g.Go(func() error {
			as[n] = k.askOne(ctx, m, q)
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

func (k *keys) askOne(ctx context.Context, name string, q *peer.Key) *peer.Key {
	m := &peer.Message{Key: &peer.Key{Verb: peer.KeyQuery, Key: q.Key, Entry: q.Entry, Deadline: q.Deadline}}
	a, err := k.instance.mesh.Call(ctx, name, m)
	if err != nil || a.Key == nil {
		return &peer.Key{State: peer.KeyRefused, Reason: "instance " + name + " can't be asked about the key"}
	}
	return a.Key
}

package idempotency

import (
	"slices"
	"sync"
	"time"
)

// Memory is the time for which a key is remembered after its request has ended.
const Memory = 10 * time.Minute

// askMemory is the time for which a key is kept for a home that asked about it: well above the lag of the platform's list.
const askMemory = 10 * time.Second

// State is what a table knows of a key.
type State int

// The states of a key.
const (
	// New tells that the key was not known.
	New State = iota
	// Asking tells that a home asks the other instances about the key; its request has not run.
	Asking
	// Running tells that the request may be running.
	Running
	// Done tells that the request was answered, or that its outcome is unknown.
	Done
)

// Answer is the remembered answer of a request.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// entry is one key. It ends at the instant until.
type entry struct {
	state  State
	entry  string
	until  time.Time
	answer *Answer
}

// Table remembers keys.
type Table struct {
	// mu guards the fields below.
	mu      sync.Mutex
	entries map[string]*entry
	sweptAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[string]*entry)} }

// Ask claims an unknown key for a home that is about to ask others, and returns what was known before.
func (t *Table) Ask(key, home string, deadline, now time.Time) (State, *Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.get(key, now); e != nil {
		return e.state, e.answer
	}
	u := now.Add(askMemory)
	if deadline.After(u) {
		u = deadline
	}
	t.entries[key] = &entry{state: Asking, entry: home, until: u}
	return New, nil
}

// Peek returns what is known of a key and its request, New where that is nothing.
func (t *Table) Peek(key string, now time.Time) (State, *Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(key, now)
	if e == nil || e.state == Asking {
		return New, nil
	}
	return e.state, e.answer
}

// Run notes that the request may run at an instance from now on; one that has ended stays so.
func (t *Table) Run(key, at string, deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil && e.state == Done {
		return
	}
	t.entries[key] = &entry{state: Running, entry: at, until: deadline}
}

// Drop forgets a key whose request was not run, if it is the named instance's.
func (t *Table) Drop(key, at string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil && e.entry == at && e.state != Done {
		delete(t.entries, key)
	}
}

// Finish notes the end of a request with its answer, nil where it is unknown.
func (t *Table) Finish(key, at string, a *Answer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[key] = &entry{state: Done, entry: at, until: now.Add(Memory), answer: a}
}

// Item is one key whose request has run, or may run until the given instant.
type Item struct {
	Key    string
	Entry  string
	Answer *Answer
	Until  time.Time
}

// Done returns the keys whose requests have run, in no order.
func (t *Table) Done(now time.Time) []Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	var a []Item
	for k := range t.entries {
		if e := t.get(k, now); e != nil && e.state == Done {
			a = append(a, Item{Key: k, Entry: e.entry, Answer: e.answer})
		}
	}
	return a
}

// Known returns the keys whose requests have run or may be running: the latter first, then those that ended last.
func (t *Table) Known(now time.Time) []Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	var running, done []Item
	ends := make(map[string]time.Time)
	for k := range t.entries {
		e := t.get(k, now)
		switch {
		case e == nil || e.state == Asking:
		case e.state == Running:
			running = append(running, Item{Key: k, Entry: e.entry, Until: e.until})
		default:
			done = append(done, Item{Key: k, Entry: e.entry, Answer: e.answer})
			ends[k] = e.until
		}
	}
	slices.SortFunc(done, func(a, b Item) int { return ends[b.Key].Compare(ends[a.Key]) })
	return append(running, done...)
}

// Len returns the number of keys.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// get returns the live entry of a key; the caller holds mu.
//
// A request that did not end by its deadline counts as run with an unknown outcome.
func (t *Table) get(key string, now time.Time) *entry {
	t.sweep(now)
	e := t.entries[key]
	if e == nil {
		return nil
	}
	e.age(now)
	if now.After(e.until) {
		delete(t.entries, key)
		return nil
	}
	return e
}

func (e *entry) age(now time.Time) {
	if e.state == Running && now.After(e.until) {
		e.state = Done
		e.until = e.until.Add(Memory)
	}
}

// sweep drops what has ended, at most once a second; the caller holds mu.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < time.Second {
		return
	}
	t.sweptAt = now
	for k, e := range t.entries {
		e.age(now)
		if now.After(e.until) {
			delete(t.entries, k)
		}
	}
}

package idempotency

import (
	"slices"
	"sync"
	"time"
)

// Retention is the time for which a key is kept after its request has finished.
const Retention = 10 * time.Minute

// claimRetention is the minimum time for which a claim on a key is kept: well above the lag of the platform's list.
const claimRetention = 10 * time.Second

// State is the state of a key in a table.
type State int

// States of a key.
const (
	// New means that the table does not hold the key.
	New State = iota
	// Claimed means that the key is claimed for a request that has not run, while the primary queries the other instances.
	Claimed
	// Running means that the request may be running.
	Running
	// Done means that the request finished or that its outcome is unknown.
	Done
)

// RecordedResponse is the recorded response to a request.
type RecordedResponse struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// keyEntry holds the state of one key until expiresAt.
type keyEntry struct {
	state State
	// instance is the one that received the request.
	instance  string
	expiresAt time.Time
	response  *RecordedResponse
}

// Table stores the idempotency keys that one instance knows.
type Table struct {
	// mu guards the fields below.
	mu          sync.Mutex
	entries     map[string]*keyEntry
	lastSweepAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[string]*keyEntry)} }

// Claim claims a key that is not in the table for the instance that received the request. It returns the previous state.
func (t *Table) Claim(key, instance string, deadline, now time.Time) (State, *RecordedResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.liveEntry(key, now); e != nil {
		return e.state, e.response
	}
	u := now.Add(claimRetention)
	if deadline.After(u) {
		u = deadline
	}
	t.entries[key] = &keyEntry{state: Claimed, instance: instance, expiresAt: u}
	return New, nil
}

// Lookup returns the state and the response of a key. A key that is only claimed counts as New.
func (t *Table) Lookup(key string, now time.Time) (State, *RecordedResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.liveEntry(key, now)
	if e == nil || e.state == Claimed {
		return New, nil
	}
	return e.state, e.response
}

// MarkRunning records that an instance may be running the request until the deadline. A key in state Done is left unchanged.
func (t *Table) MarkRunning(key, instance string, deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil && e.state == Done {
		return
	}
	t.entries[key] = &keyEntry{state: Running, instance: instance, expiresAt: deadline}
}

// Release removes a key whose request was not run, if the named instance holds it. A key in state Done is kept.
func (t *Table) Release(key, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil && e.instance == instance && e.state != Done {
		delete(t.entries, key)
	}
}

// Finish records that a request has finished, and its response, nil if unknown.
func (t *Table) Finish(key, instance string, a *RecordedResponse, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[key] = &keyEntry{state: Done, instance: instance, expiresAt: now.Add(Retention), response: a}
}

// KeyRecord is a key whose request has run, or may be running until the time Until.
type KeyRecord struct {
	Key      string
	Instance string
	Response *RecordedResponse
	Until    time.Time
}

// Completed returns the keys in state Done, in no particular order.
func (t *Table) Completed(now time.Time) []KeyRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var a []KeyRecord
	for k := range t.entries {
		if e := t.liveEntry(k, now); e != nil && e.state == Done {
			a = append(a, KeyRecord{Key: k, Instance: e.instance, Response: e.response})
		}
	}
	return a
}

// Started returns the keys in state Running, followed by those in state Done, the last finished first.
func (t *Table) Started(now time.Time) []KeyRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var running, done []KeyRecord
	expiresAt := make(map[string]time.Time)
	for k := range t.entries {
		e := t.liveEntry(k, now)
		switch {
		case e == nil || e.state == Claimed:
		case e.state == Running:
			running = append(running, KeyRecord{Key: k, Instance: e.instance, Until: e.expiresAt})
		default:
			done = append(done, KeyRecord{Key: k, Instance: e.instance, Response: e.response})
			expiresAt[k] = e.expiresAt
		}
	}
	slices.SortFunc(done, func(a, b KeyRecord) int { return expiresAt[b.Key].Compare(expiresAt[a.Key]) })
	return append(running, done...)
}

// Len returns the number of keys.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// liveEntry returns the entry of a key, or nil if there is none or it has expired. The caller holds mu.
//
// A request that did not finish by its deadline counts as run with an unknown outcome.
func (t *Table) liveEntry(key string, now time.Time) *keyEntry {
	t.removeExpired(now)
	e := t.entries[key]
	if e == nil {
		return nil
	}
	e.completeIfOverdue(now)
	if now.After(e.expiresAt) {
		delete(t.entries, key)
		return nil
	}
	return e
}

// completeIfOverdue changes a running entry to Done once the request's deadline has passed.
func (e *keyEntry) completeIfOverdue(now time.Time) {
	if e.state == Running && now.After(e.expiresAt) {
		e.state = Done
		e.expiresAt = e.expiresAt.Add(Retention)
	}
}

// removeExpired removes expired entries, at most once a second. The caller holds mu.
func (t *Table) removeExpired(now time.Time) {
	if now.Sub(t.lastSweepAt) < time.Second {
		return
	}
	t.lastSweepAt = now
	for k, e := range t.entries {
		e.completeIfOverdue(now)
		if now.After(e.expiresAt) {
			delete(t.entries, k)
		}
	}
}

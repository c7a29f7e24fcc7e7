package idempotency

import (
	"slices"
	"sync"
	"time"
)

// Retention is the time for which a key is kept after its request has finished, or after the request's deadline if the
// outcome is unknown.
const Retention = 10 * time.Minute

// claimRetention is the minimum time for which a claim on a key is kept. It is well above the lag of the platform's
// list of instances, during which two instances can act as primary of the same key.
const claimRetention = 10 * time.Second

// State is the state of a key in a table.
type State int

// States of a key.
const (
	// New means that the table does not hold the key.
	New State = iota
	// Claimed means that a primary has claimed the key, in its own table or by a query, to decide whether a request may
	// run. The table does not hold the decision.
	Claimed
	// Running means that the request may be running.
	Running
	// Done means that the request has finished, or that its deadline has passed without a known outcome.
	Done
)

// RecordedResponse is the response to a request, recorded for later requests with the same key.
type RecordedResponse struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// keyEntry holds the state of one key.
type keyEntry struct {
	state State
	// instance is the name of the instance that received the request.
	instance string
	// expiresAt is the time at which a running entry becomes Done, or at which any other entry is removed.
	expiresAt time.Time
	// response is nil if the request has not finished or if its response is not known.
	response *RecordedResponse
}

// Table stores the idempotency keys that one instance knows.
type Table struct {
	// Limit is the memory of the keys, in bytes, from which no responses are recorded and the table is full; 0 is no limit. It is set
	// before the first key.
	Limit int

	// mu guards the fields below.
	mu          sync.Mutex
	entries     map[string]*keyEntry
	lastSweepAt time.Time
	// bytes is the memory of all entries.
	bytes int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[string]*keyEntry)} }

// Claim stores the key as claimed if the table does not hold it. The instance is the one that received the request, and
// the deadline that of the request. Claim returns the state of the key before the call and its recorded response.
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
	t.put(key, &keyEntry{state: Claimed, instance: instance, expiresAt: u})
	return New, nil
}

// Lookup returns the state and the recorded response of a key. It returns New for a claimed key.
func (t *Table) Lookup(key string, now time.Time) (State, *RecordedResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.liveEntry(key, now)
	if e == nil || e.state == Claimed {
		return New, nil
	}
	return e.state, e.response
}

// MarkRunning records that the request, which the instance received, may be running until the deadline. A key in state
// Done is left unchanged.
func (t *Table) MarkRunning(key, instance string, deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil && e.state == Done {
		return
	}
	t.put(key, &keyEntry{state: Running, instance: instance, expiresAt: deadline})
}

// Release removes a key whose request was not run, if the named instance received the request. A key in state Done is
// kept.
func (t *Table) Release(key, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil && e.instance == instance && e.state != Done {
		t.remove(key)
	}
}

// Finish records that a request has finished or that its outcome is unknown. The response is nil if it is not known. A full table
// records no response, so that the outcome is unknown to duplicates.
func (t *Table) Finish(key, instance string, response *RecordedResponse, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isFull() {
		response = nil
	}
	t.put(key, &keyEntry{state: Done, instance: instance, expiresAt: now.Add(Retention), response: response})
}

// KeyRecord is a key in state Running or Done.
type KeyRecord struct {
	Key string
	// Instance is the name of the instance that received the request.
	Instance string
	// Response is the recorded response, nil in state Running or if it is not known.
	Response *RecordedResponse
	// RunningUntil is the time until which the request may be running, zero in state Done.
	RunningUntil time.Time
}

// DoneKeys returns the keys in state Done, in no particular order.
func (t *Table) DoneKeys(now time.Time) []KeyRecord {
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

// RunningAndDoneKeys returns the keys in state Running, in no particular order, followed by those in state Done, the last finished
// first.
func (t *Table) RunningAndDoneKeys(now time.Time) []KeyRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var running, done []KeyRecord
	expiresAt := make(map[string]time.Time)
	for k := range t.entries {
		e := t.liveEntry(k, now)
		switch {
		case e == nil || e.state == Claimed:
		case e.state == Running:
			running = append(running, KeyRecord{Key: k, Instance: e.instance, RunningUntil: e.expiresAt})
		default:
			done = append(done, KeyRecord{Key: k, Instance: e.instance, Response: e.response})
			expiresAt[k] = e.expiresAt
		}
	}
	slices.SortFunc(done, func(a, b KeyRecord) int { return expiresAt[b.Key].Compare(expiresAt[a.Key]) })
	return append(running, done...)
}

// IsFull reports whether the keys take more memory than they may.
func (t *Table) IsFull(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	return t.isFull()
}

// isFull reports whether the keys take more memory than they may; the caller holds mu.
func (t *Table) isFull() bool { return t.Limit > 0 && t.bytes >= t.Limit }

// Bytes returns the memory of the keys in the table.
func (t *Table) Bytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes
}

// entryBytes is the memory of an entry beside its texts.
const entryBytes = 256

// memory returns the memory of an entry.
func (e *keyEntry) memory(key string) int {
	n := entryBytes + len(key) + len(e.instance)
	if e.response == nil {
		return n
	}
	n += entryBytes + len(e.response.Body)
	for k, l := range e.response.Header {
		for _, v := range l {
			n += len(k) + len(v)
		}
	}
	return n
}

// put stores an entry; the caller holds mu.
func (t *Table) put(key string, e *keyEntry) {
	t.remove(key)
	t.entries[key] = e
	t.bytes += e.memory(key)
}

// remove removes an entry, if there is one; the caller holds mu.
func (t *Table) remove(key string) {
	if e := t.entries[key]; e != nil {
		t.bytes -= e.memory(key)
		delete(t.entries, key)
	}
}

// Len returns the number of keys in the table, including expired keys that have not been removed yet.
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
		t.remove(key)
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
			t.remove(k)
		}
	}
}

package decision

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Entry is one decision about routing, placement, the ownership of a shard or an edit of the document.
type Entry struct {
	At time.Time
	// Instance is the name of the instance that made the decision.
	Instance string
	// Kind is the kind of the decision, such as Bind, Claim or Edit.
	Kind string
	// Subjects lists what the decision is about: a request, a task, a group (a service or job with its generation), a
	// service, worker, upstream, failure domain, section or shard stream. Empty strings have no meaning.
	Subjects []string
	Reason   string
	// Rejected says which alternatives were rejected, or why the decision did not take effect.
	Rejected string
}

// Ring is a ring buffer of the latest decisions.
type Ring struct {
	instance string
	logger   zerolog.Logger

	// mu guards the fields below.
	mu      sync.Mutex
	entries []Entry
	// oldest is the index of the oldest decision once the ring is full, and 0 before.
	oldest int
}

// NewRing returns a ring that stores up to the given number of decisions.
func NewRing(instance string, size int, l zerolog.Logger) *Ring {
	return &Ring{instance: instance, logger: l, entries: make([]Entry, 0, size)}
}

// Add logs and stores a decision made by this instance. If the ring is full, it replaces the oldest decision.
func (r *Ring) Add(e Entry) {
	e.Instance = r.instance
	r.logger.Info().Str("Kind", e.Kind).Strs("Subjects", e.Subjects).Str("Reason", e.Reason).Str("Rejected", e.Rejected).Msg("decision")
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) < cap(r.entries) {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.oldest] = e
	r.oldest = (r.oldest + 1) % len(r.entries)
}

// Find returns the stored decisions about a subject, oldest first.
func (r *Ring) Find(subject string) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var a []Entry
	for i := range r.entries {
		e := r.entries[(r.oldest+i)%len(r.entries)]
		if slices.Contains(e.Subjects, subject) {
			a = append(a, e)
		}
	}
	return a
}

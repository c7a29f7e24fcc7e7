package relay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantknot.dev/currantknot/internal/jobserve"
	"currantknot.dev/currantknot/internal/storepath"
)

const (
	// maxForwardedRecords bounds the records in one forwarded append.
	maxForwardedRecords = 128
	// appendTimeout bounds the append of forwarded records.
	appendTimeout = 2500 * time.Millisecond
	// avoidPeriod is the time after a failed append through an instance in which no records are handed over to it.
	avoidPeriod = 2 * time.Second
	// maxQueuedAppends bounds the forwarded appends, or their results, queued for one connection.
	maxQueuedAppends = 64
)

// appendRequest asks a possible owner to append records.
type appendRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	ID       uint64
	Records  []record
}

// record is a jobserve.Record on the wire.
type record struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Key      string
	Value    []byte
}

// appendResult is the outcome of an appendRequest. Rejected means that none of the records is stored; with another Failure some
// may be.
type appendResult struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	ID       uint64
	Failure  string
	Rejected bool
}

// err returns the outcome as Store.Append would.
func (r *appendResult) err() error {
	if r.Failure == "" {
		return nil
	}
	return &jobserve.StoreError{Call: "forwarded append", NotApplied: r.Rejected, Cause: &ForwardError{Reason: r.Failure}}
}

// ForwardError reports that an append through another instance failed.
type ForwardError struct {
	Reason string
}

// Error returns the reason.
func (e *ForwardError) Error() string { return "append through another instance: " + e.Reason }

// SetAppender sets the address of the instance that appends for others; it is empty if that is this instance or none.
func (a *Agent) SetAppender(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.appender = address
}

// Forward implements jobserve.Forwarder.
func (a *Agent) Forward(ctx context.Context, l []jobserve.Record) (bool, error) {
	a.mu.Lock()
	s := a.sessions[a.appender]
	away := s != nil && s.reach == storepath.ReachesNothing
	a.mu.Unlock()
	if s == nil || away || len(l) > maxForwardedRecords {
		return false, nil
	}
	return s.forward(ctx, l)
}

// Peers implements jobserve.Peers with the instances to which this one is connected.
func (a *Agent) Peers() []storepath.Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := make([]storepath.Peer, 0, len(a.sessions))
	for address, s := range a.sessions {
		l = append(l, storepath.Peer{Address: address, Reach: s.reach, AvoidUntil: a.avoidUntil[address], Rank: xxhash.Sum64String(a.Name + " " + address)})
	}
	return l
}

// HandOver implements jobserve.Peers.
func (a *Agent) HandOver(ctx context.Context, address string, l []jobserve.Record) (bool, error) {
	a.mu.Lock()
	s := a.sessions[address]
	a.mu.Unlock()
	sent := false
	var err error
	if s != nil && len(l) <= maxForwardedRecords {
		sent, err = s.forward(ctx, l)
	}
	if !sent || err != nil {
		a.avoid(address)
	}
	return sent, err
}

// avoid keeps records from being handed over to an instance for avoidPeriod.
func (a *Agent) avoid(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(a.avoidUntil, func(_ string, t time.Time) bool { return !now.Before(t) })
	a.avoidUntil[address] = now.Add(avoidPeriod)
}

// forward sends records over the connection and waits for the outcome. It returns false if they were not sent.
func (s *session) forward(ctx context.Context, l []jobserve.Record) (bool, error) {
	m := appendRequest{Records: make([]record, len(l))}
	for i, r := range l {
		m.Records[i] = record{Key: r.Key, Value: r.Value}
	}
	w := make(chan appendResult, 1)
	m.ID = s.addPending(w)
	defer s.removePending(m.ID)
	select {
	case s.appends <- m:
	default:
		return false, nil
	}
	select {
	case r := <-w:
		return true, r.err()
	case <-s.closed:
		return true, &jobserve.StoreError{Call: "forwarded append", Cause: &ForwardError{Reason: "connection lost"}}
	case <-ctx.Done():
		return true, &jobserve.StoreError{Call: "forwarded append", Cause: ctx.Err()}
	}
}

func (s *session) addPending(w chan appendResult) uint64 {
	s.appendsMu.Lock()
	defer s.appendsMu.Unlock()
	s.lastAppend++
	s.pendingAppends[s.lastAppend] = w
	return s.lastAppend
}

func (s *session) removePending(id uint64) {
	s.appendsMu.Lock()
	defer s.appendsMu.Unlock()
	delete(s.pendingAppends, id)
}

// deliverAppended passes results to the appends that wait for them.
func (s *session) deliverAppended(l []appendResult) {
	s.appendsMu.Lock()
	defer s.appendsMu.Unlock()
	for _, r := range l {
		if w := s.pendingAppends[r.ID]; w != nil {
			w <- r
			delete(s.pendingAppends, r.ID)
		}
	}
}

// serveAppend appends the records of another instance and queues the result. Without a response the other instance appends the
// records by itself, which has no further effect.
func (p *Pool) serveAppend(ctx context.Context, l *link, m *appendRequest) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	r := appendResult{ID: m.ID}
	if err := p.appendRecords(ctx, m.Records); err != nil {
		r.Failure, r.Rejected = err.Error(), errors.Is(err, jobserve.ErrNotAccepted)
	}
	select {
	case l.appended <- r:
	case <-l.closed:
	case <-ctx.Done():
	}
}

// appendRecords appends records, at most maxForwardedRecords.
func (p *Pool) appendRecords(ctx context.Context, l []record) error {
	if p.Append == nil || len(l) > maxForwardedRecords {
		return fmt.Errorf("%d records of another instance: %w", len(l), jobserve.ErrNotAccepted)
	}
	r := make([]jobserve.Record, len(l))
	for i, x := range l {
		r[i] = jobserve.Record{Key: x.Key, Value: x.Value}
	}
	return p.Append(ctx, r)
}

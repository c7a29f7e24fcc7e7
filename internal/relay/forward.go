package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"currantknot.dev/currantknot/internal/jobserve"
	"currantknot.dev/currantknot/internal/storepath"
)

const (
	// maxForwardedRecords bounds the records in one forwarded append.
	maxForwardedRecords = 128
	// appendTimeout bounds the append of forwarded records.
	appendTimeout = 2500 * time.Millisecond
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
// may be, though not those whose indexes are in RejectedRecords, which earlier versions neither send nor read.
type appendResult struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	ID       uint64
	Failure  string
	Rejected bool

	RejectedRecords []int
}

// err returns the outcome as Store.Append would.
func (r *appendResult) err() error {
	if r.Failure == "" {
		return nil
	}
	e := &jobserve.StoreError{Call: "forwarded append", NotApplied: r.Rejected, Cause: &ForwardError{Reason: r.Failure}}
	if len(r.RejectedRecords) > 0 {
		e.Cause = &jobserve.PartialAppendError{Rejected: r.RejectedRecords}
	}
	return e
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

// appendClient appends records through the instance at the other end of a connection.
type appendClient struct {
	// appends holds the appends to be sent; closed is closed when the connection has ended.
	appends chan appendRequest
	closed  chan struct{}

	appendsMu  sync.Mutex
	lastAppend uint64
	// pendingAppends holds, by ID, the channel that gets the result.
	pendingAppends map[uint64]chan appendResult
}

func newAppendClient() *appendClient {
	return &appendClient{appends: make(chan appendRequest, maxQueuedAppends), closed: make(chan struct{}), pendingAppends: make(map[uint64]chan appendResult)}
}

// forward sends records over the connection and waits for the outcome. It returns false if they were not sent.
func (c *appendClient) forward(ctx context.Context, l []jobserve.Record) (bool, error) {
	m := appendRequest{Records: make([]record, len(l))}
	for i, r := range l {
		m.Records[i] = record{Key: r.Key, Value: r.Value}
	}
	w := make(chan appendResult, 1)
	m.ID = c.addPending(w)
	defer c.removePending(m.ID)
	select {
	case c.appends <- m:
	default:
		return false, nil
	}
	select {
	case r := <-w:
		return true, r.err()
	case <-c.closed:
		return true, &jobserve.StoreError{Call: "forwarded append", Cause: &ForwardError{Reason: "connection lost"}}
	case <-ctx.Done():
		return true, &jobserve.StoreError{Call: "forwarded append", Cause: ctx.Err()}
	}
}

func (c *appendClient) addPending(w chan appendResult) uint64 {
	c.appendsMu.Lock()
	defer c.appendsMu.Unlock()
	c.lastAppend++
	c.pendingAppends[c.lastAppend] = w
	return c.lastAppend
}

func (c *appendClient) removePending(id uint64) {
	c.appendsMu.Lock()
	defer c.appendsMu.Unlock()
	delete(c.pendingAppends, id)
}

// deliverAppended passes results to the appends that wait for them.
func (c *appendClient) deliverAppended(l []appendResult) {
	c.appendsMu.Lock()
	defer c.appendsMu.Unlock()
	for _, r := range l {
		if w := c.pendingAppends[r.ID]; w != nil {
			w <- r
			delete(c.pendingAppends, r.ID)
		}
	}
}

// appendServer appends the records of other instances.
type appendServer func(ctx context.Context, l []jobserve.Record) error

// serve appends the records of another instance and queues the result. Without a response the other instance appends the records by
// itself, which has no further effect.
func (f appendServer) serve(ctx context.Context, m *appendRequest, results chan<- appendResult, closed <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	r := appendResult{ID: m.ID}
	if err := f.appendRecords(ctx, m.Records); err != nil {
		r.Failure, r.Rejected = err.Error(), errors.Is(err, jobserve.ErrNotAccepted)
		var e *jobserve.PartialAppendError
		if errors.As(err, &e) {
			r.RejectedRecords = e.Rejected
		}
	}
	select {
	case results <- r:
	case <-closed:
	case <-ctx.Done():
	}
}

// appendRecords appends records, at most maxForwardedRecords.
func (f appendServer) appendRecords(ctx context.Context, l []record) error {
	if f == nil || len(l) > maxForwardedRecords {
		return fmt.Errorf("%d records of another instance: %w", len(l), jobserve.ErrNotAccepted)
	}
	r := make([]jobserve.Record, len(l))
	for i, x := range l {
		r[i] = jobserve.Record{Key: x.Key, Value: x.Value}
	}
	return f(ctx, r)
}

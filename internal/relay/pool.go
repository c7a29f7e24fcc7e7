package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/jobserve"
	"currantknot.dev/currantknot/internal/storepath"
)

const (
	// responseMargin is the time by which a relay's deadline for a call precedes the owner's, so that the response of the relay
	// arrives before the owner's call times out.
	responseMargin = 80 * time.Millisecond
	// directWorkersPerCore is the number of workers that an owner calls directly for each core that it may use.
	directWorkersPerCore = 400
	// relayConnectTimeout is the time for which calls wait for a first relay, so that an owner of many workers does not open
	// direct connections to all workers and abandon the connections once relays connect.
	relayConnectTimeout = 2500 * time.Millisecond
	// maxDirectWorkers bounds the workers that an instance calls directly once it has been without a relay for
	// relayConnectTimeout, to limit the file descriptors of the instance.
	maxDirectWorkers = 1500
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = 3 * time.Second
)

// Pool calls workers through connected relays, or directly if the workers are few or no relay is connected.
type Pool struct {
	// Identity is the identity of this process, which relays learn; it is set before Run.
	Identity string
	// Append stores records that another instance forwards; it is set before Run, and nil if none may be forwarded.
	Append func(ctx context.Context, l []jobserve.Record) error
	// Reach returns whether this instance reaches the store, which relays learn; it is set before Run, and nil if that is not
	// known.
	Reach func() storepath.Reach
	// Commits is what this instance exchanges with relays about commits; it is set before Run, and nil if it exchanges nothing.
	Commits Commits
	// FinishedPage is the number of finished attempts that a worker lists at a time, 0 if it lists all. Relays of earlier versions don't
	// say whether there are more. It is set before Run.
	FinishedPage int
	local        jobserve.Workers
	logger       zerolog.Logger
	// directLimit is the number of workers up to which this instance calls all of them directly.
	directLimit int

	mu sync.Mutex
	// usesRelays is set, and never reset, once there are more workers than directLimit.
	usesRelays bool
	// links and relays hold the connected relays by name.
	links       map[string]*link
	relays      map[string]Hello
	assignments *assignments
	// directWorkers holds the workers that this instance calls directly although it uses relays.
	directWorkers map[string]bool
	// relayWaitUntil is the instant up to which calls beyond directLimit wait for a relay; relayConnected is closed and
	// replaced when a relay connects.
	relayWaitUntil time.Time
	relayConnected chan struct{}
}

// NewPool returns a pool without relays for an instance that may use the given processors, in cores.
func NewPool(local jobserve.Workers, processors float64, l zerolog.Logger) *Pool {
	return &Pool{
		local: local, logger: l, directLimit: int(directWorkersPerCore * processors), links: make(map[string]*link),
		relays: make(map[string]Hello), assignments: newAssignments(), directWorkers: make(map[string]bool), relayConnected: make(chan struct{}),
	}
}

// Run accepts connections of relays until the context is cancelled.
func (p *Pool) Run(ctx context.Context, l net.Listener) error {
	context.AfterFunc(ctx, func() { _ = l.Close() })
	var w sync.WaitGroup
	defer w.Wait()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept relay: %w", err)
		}
		w.Go(func() { p.serve(ctx, c) })
	}
}

// serve handles one connection until it is closed.
func (p *Pool) serve(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	l := newLink(c, p.Identity)
	l.ownReach, l.commits = p.Reach, p.Commits
	var w sync.WaitGroup
	w.Go(func() {
		if err := l.writeLoop(); err != nil {
			p.logger.Debug().Err(err).Msg("writing a frame to a relay failed")
			_ = c.Close()
		}
	})
	err := l.readLoop(func(m *toOwner) { p.handle(ctx, l, m) })
	// Unregister the link before its calls fail, so that retries of the calls do not choose the same link again.
	p.connectionClosed(l, err)
	close(l.closed)
	_ = c.Close()
	w.Wait()
}

// handle serves the appends of a frame, and registers the relay that it introduces or removes a relay that is leaving.
func (p *Pool) handle(ctx context.Context, l *link, m *toOwner) {
	for i := range m.Appends {
		go appendServer(p.Append).serve(ctx, &m.Appends[i], l.appended, l.closed)
	}
	if m.Hello == nil && !m.Leaving {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Hello != nil {
		p.links[m.Hello.Name], p.relays[m.Hello.Name] = l, *m.Hello
		close(p.relayConnected)
		p.relayConnected = make(chan struct{})
		p.logger.Info().Str("Relay", m.Hello.Name).Str("FailureDomain", m.Hello.FailureDomain).Int("Relays", len(p.relays)).Str("Decision", "RelayConnected").Msg("relay connected")
	}
	if m.Leaving {
		p.unregister(l, "relay is shutting down")
	}
}

// unregister removes the relay of a link, so that it gets no more calls; p.mu is held.
func (p *Pool) unregister(l *link, reason string) {
	for n, x := range p.links {
		if x != l {
			continue
		}
		delete(p.links, n)
		delete(p.relays, n)
		if len(p.relays) == 0 {
			p.relayWaitUntil = time.Now().Add(relayConnectTimeout)
		}
		p.logger.Info().Str("Relay", n).Int("Relays", len(p.relays)).Str("Reason", reason).Str("Decision", "RelayLost").Msg("relay removed")
	}
}

func (p *Pool) connectionClosed(l *link, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reason := "connection closed"
	if err != nil {
		reason = err.Error()
	}
	p.unregister(l, reason)
}

// Count returns the number of relays that are connected.
func (p *Pool) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.relays)
}

// relayFor returns the name and the link of the relay for a worker, or an empty name and a nil link if this instance is to
// call the worker directly. If no relay is connected, relayFor may wait for one; it returns an error if the context is done
// first.
func (p *Pool) relayFor(ctx context.Context, worker, domain string) (string, *link, error) {
	for {
		n, l, wait := p.tryRelayFor(worker, domain, time.Now())
		if wait == nil {
			return n, l, nil
		}
		t := time.NewTimer(relayConnectTimeout)
		select {
		case <-wait:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return "", nil, &LinkError{Relay: "none", Reason: "no relay is connected"}
		}
		t.Stop()
	}
}

// tryRelayFor returns the name and the link of the relay for a worker, without waiting. A nil link and a nil channel mean that
// this instance is to call the worker directly. A nil link and a channel mean that the caller must wait; the channel is closed
// when a relay connects.
func (p *Pool) tryRelayFor(worker, domain string, now time.Time) (string, *link, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.usesRelays {
		return "", nil, nil
	}
	if n := p.assignments.relayFor(worker, domain, p.relays); n != "" {
		delete(p.directWorkers, worker)
		return n, p.links[n], nil
	}
	limit := p.directLimit
	if !now.Before(p.relayWaitUntil) {
		limit = maxDirectWorkers
	}
	if !p.directWorkers[worker] && len(p.directWorkers) >= limit {
		return "", nil, p.relayConnected
	}
	p.directWorkers[worker] = true
	return "", nil, nil
}

// recordOutcome records whether a worker responded through a relay. A failed order does not count against the relay, since a
// worker may leave an order without a response.
func (p *Pool) recordOutcome(c *call, relay string, responded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case responded:
		p.assignments.recordSuccess(c.Worker, relay)
	case c.Order == nil:
		p.assignments.recordFailure(c.Worker, relay)
	}
}

// SetWorkerCount implements jobserve.Workers; from the first time that the number exceeds directLimit, the pool uses relays.
func (p *Pool) SetWorkerCount(workers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usesRelays || workers <= p.directLimit {
		return
	}
	p.usesRelays, p.relayWaitUntil = true, time.Now().Add(relayConnectTimeout)
	p.logger.Info().Int("Workers", workers).Int("Direct", p.directLimit).Int("Relays", len(p.relays)).Str("Decision", "ShareCalls").Msg("too many workers for direct calls; using relays")
}

// Sync implements jobserve.Workers. If the connection to the relay is lost, Sync retries at once, through another relay or
// directly; the retry grants no lease, since the owner may have been suspended meanwhile.
func (p *Pool) Sync(ctx context.Context, s jobserve.Sync) (dispatch.Report, error) {
	for {
		n, l, err := p.relayFor(ctx, s.Worker, s.FailureDomain)
		switch {
		case err != nil:
			return dispatch.Report{}, err
		case l == nil:
			return p.local.Sync(ctx, s)
		}
		requestedAt := time.Now()
		if !p.isKnownTo(s.Worker, n) {
			// The relay has no recent reading of the worker's clock, by which it could date a lease.
			s.LongPollUntil, s.LeaseUntil = requestedAt, time.Time{}
		}
		r, err := p.exchange(ctx, n, l, syncCall(s, relayDeadline(ctx)))
		if err == nil {
			return r.report(s.Worker, requestedAt, p.FinishedPage), nil
		}
		var e *LinkError
		if ctx.Err() != nil || !errors.As(err, &e) || !e.Lost {
			return dispatch.Report{}, err
		}
		s.LeaseUntil = time.Time{}
	}
}

// isKnownTo reports whether the latest response of a worker came through a relay.
func (p *Pool) isKnownTo(worker, relay string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.assignments.isKnownTo(worker, relay)
}

// Execute implements jobserve.Workers.
func (p *Pool) Execute(ctx context.Context, s jobserve.FencedOrder) (dispatch.OrderResult, error) {
	n, l, err := p.relayFor(ctx, s.Worker, "")
	switch {
	case err != nil:
		return dispatch.ResultNotSent, nil //nolint:nilerr // the result already says that the order was not executed
	case l == nil:
		return p.local.Execute(ctx, s)
	case s.Kind == dispatch.OrderStart && !p.isKnownTo(s.Worker, n):
		return dispatch.ResultNotSent, nil
	}
	r, err := p.exchange(ctx, n, l, orderCall(s, relayDeadline(ctx)))
	if err != nil {
		return dispatch.ResultUnknown, err
	}
	return r.Result, nil
}

// Forget implements jobserve.Workers.
func (p *Pool) Forget(worker string) {
	p.local.Forget(worker)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assignments.forget(worker)
	delete(p.directWorkers, worker)
}

// relayDeadline returns the deadline of a call at the relay, given the context of the call at this instance.
func relayDeadline(ctx context.Context) time.Time {
	d, ok := ctx.Deadline()
	if !ok {
		d = time.Now().Add(defaultCallTimeout)
	}
	return d.Add(-responseMargin)
}

// exchange sends a call through a relay, and records whether the worker responded; a call that was cancelled or
// fenced is not recorded.
func (p *Pool) exchange(ctx context.Context, name string, l *link, c call) (response, error) {
	r, err := l.call(ctx, name, c)
	switch {
	case errors.Is(err, context.Canceled):
		return r, err
	case err != nil:
		p.recordOutcome(&c, name, false)
		return r, err
	case r.Fenced:
		return r, fmt.Errorf("worker %s through relay %s: %w", c.Worker, name, jobserve.ErrFenced)
	case r.Failure != "":
		p.recordOutcome(&c, name, false)
		return r, &LinkError{Relay: name, Reason: r.Failure}
	}
	p.recordOutcome(&c, name, true)
	return r, nil
}

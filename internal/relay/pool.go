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
)

const (
	// answerMargin is kept of the time for an answer, so that a relay's word arrives before the owner gives up.
	answerMargin = 80 * time.Millisecond
	// workersPerCore is the number of workers that an owner calls by itself for each core that it may use.
	workersPerCore = 400
	// relaysWithin is the time for which calls wait for the first relay, so that an owner of many workers does not open
	// connections to all that it gives up at once.
	relaysWithin = 2500 * time.Millisecond
	// mostDirect bounds the workers that an instance calls by itself without relays, for its descriptors.
	mostDirect = 1500
	// defaultTimeout bounds a call whose caller sets no deadline.
	defaultTimeout = 3 * time.Second
)

// Pool calls workers through the relays that are connected, and by itself where there is none.
type Pool struct {
	local  jobserve.Workers
	logger zerolog.Logger
	// direct is the number of workers that this instance calls by itself.
	direct int

	mu sync.Mutex
	// shared tells that there are more workers than that, or were.
	shared bool
	links  map[string]*link
	relays map[string]Hello
	homes  *homes
	// called holds the workers that this instance calls by itself although calls are shared out.
	called map[string]bool
	// awaitUntil is the instant up to which calls wait for a relay, and connected is closed when one comes.
	awaitUntil time.Time
	connected  chan struct{}
}

// NewPool returns a pool without relays of an instance that may use the given processors, in cores.
func NewPool(local jobserve.Workers, processors float64, l zerolog.Logger) *Pool {
	return &Pool{
		local: local, logger: l, direct: int(workersPerCore * processors), links: make(map[string]*link),
		relays: make(map[string]Hello), homes: newHomes(), called: make(map[string]bool), connected: make(chan struct{}),
	}
}

// Run takes connections of relays in until the context ends.
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

// serve keeps one connection until it ends.
func (p *Pool) serve(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	l := newLink(c)
	var w sync.WaitGroup
	w.Go(func() {
		if err := l.write(); err != nil {
			p.logger.Debug().Err(err).Msg("frame to a relay was not written")
			_ = c.Close()
		}
	})
	err := l.read(func(m *toOwner) { p.took(l, m) })
	// Calls that fail with the connection must not find it again.
	p.remove(l, err)
	close(l.closed)
	_ = c.Close()
	w.Wait()
}

// took takes in what a relay says of itself.
func (p *Pool) took(l *link, m *toOwner) {
	if m.Hello == nil && !m.Leaving {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Hello != nil {
		p.links[m.Hello.Name], p.relays[m.Hello.Name] = l, *m.Hello
		close(p.connected)
		p.connected = make(chan struct{})
		p.logger.Info().Str("Relay", m.Hello.Name).Str("FailureDomain", m.Hello.FailureDomain).Int("Relays", len(p.relays)).Str("Decision", "RelayConnected").Msg("an instance makes calls for this one")
	}
	if m.Leaving {
		p.leave(l, "the relay stops")
	}
}

// leave sends no more calls through a connection; p.mu is held.
func (p *Pool) leave(l *link, reason string) {
	for n, x := range p.links {
		if x != l {
			continue
		}
		delete(p.links, n)
		delete(p.relays, n)
		if len(p.relays) == 0 {
			p.awaitUntil = time.Now().Add(relaysWithin)
		}
		p.logger.Info().Str("Relay", n).Int("Relays", len(p.relays)).Str("Reason", reason).Str("Decision", "RelayLost").Msg("an instance no longer makes calls for this one")
	}
}

func (p *Pool) remove(l *link, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reason := "connection ended"
	if err != nil {
		reason = err.Error()
	}
	p.leave(l, reason)
}

// Relays returns the number of relays that are connected.
func (p *Pool) Relays() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.relays)
}

// home returns the relay for a worker and its connection, nil where this instance calls by itself. Without any relay it
// waits for one, and returns an error if the worker cannot be called.
func (p *Pool) home(ctx context.Context, worker, domain string) (string, *link, error) {
	for {
		n, l, wait := p.tryHome(worker, domain, time.Now())
		if wait == nil {
			return n, l, nil
		}
		t := time.NewTimer(relaysWithin)
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

// tryHome is home without waiting; the channel tells when a relay has come, nil where the answer stands.
func (p *Pool) tryHome(worker, domain string, now time.Time) (string, *link, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.shared {
		return "", nil, nil
	}
	if n := p.homes.of(worker, domain, p.relays); n != "" {
		delete(p.called, worker)
		return n, p.links[n], nil
	}
	limit := p.direct
	if !now.Before(p.awaitUntil) {
		limit = mostDirect
	}
	if !p.called[worker] && len(p.called) >= limit {
		return "", nil, p.connected
	}
	p.called[worker] = true
	return "", nil, nil
}

// settle notes whether a worker answered through a relay. An order without an answer tells nothing of the relay, since
// workers may leave orders unanswered.
func (p *Pool) settle(c *call, relay string, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case answered:
		p.homes.succeed(c.Worker)
	case c.Order == nil:
		p.homes.fail(c.Worker, relay)
	}
}

// SetWorkerCount implements jobserve.Workers; it decides whether calls are shared out.
func (p *Pool) SetWorkerCount(workers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shared || workers <= p.direct {
		return
	}
	p.shared, p.awaitUntil = true, time.Now().Add(relaysWithin)
	p.logger.Info().Int("Workers", workers).Int("Direct", p.direct).Int("Relays", len(p.relays)).Str("Decision", "ShareCalls").Msg("relays call the workers")
}

// Sync implements jobserve.Workers. A report whose relay is lost is asked for through another at once.
func (p *Pool) Sync(ctx context.Context, s jobserve.Sync) (dispatch.Report, error) {
	for {
		n, l, err := p.home(ctx, s.Worker, s.FailureDomain)
		switch {
		case err != nil:
			return dispatch.Report{}, err
		case l == nil:
			return p.local.Sync(ctx, s)
		}
		asked := time.Now()
		a, err := p.exchange(ctx, n, l, syncCall(s, until(ctx)))
		if err == nil {
			return a.report(s.Worker, asked), nil
		}
		var e *LinkError
		if ctx.Err() != nil || !errors.As(err, &e) || !e.Lost {
			return dispatch.Report{}, err
		}
	}
}

// Execute implements jobserve.Workers.
func (p *Pool) Execute(ctx context.Context, s jobserve.FencedOrder) (dispatch.OrderResult, error) {
	n, l, err := p.home(ctx, s.Worker, "")
	switch {
	case err != nil:
		// The order did not leave.
		return dispatch.ResultRefused, nil //nolint:nilerr // a refusal says all that is known
	case l == nil:
		return p.local.Execute(ctx, s)
	}
	a, err := p.exchange(ctx, n, l, orderCall(s, until(ctx)))
	if err != nil {
		return dispatch.ResultUnknown, err
	}
	return a.Outcome, nil
}

// Forget implements jobserve.Workers.
func (p *Pool) Forget(worker string) {
	p.local.Forget(worker)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.homes.forget(worker)
	delete(p.called, worker)
}

// until returns the instant after which a relay shall not make a call.
func until(ctx context.Context) time.Time {
	d, ok := ctx.Deadline()
	if !ok {
		d = time.Now().Add(defaultTimeout)
	}
	return d.Add(-answerMargin)
}

// exchange makes a call through a relay.
func (p *Pool) exchange(ctx context.Context, name string, l *link, c call) (answer, error) {
	a, err := l.call(ctx, name, c)
	switch {
	case errors.Is(err, context.Canceled):
		return a, err
	case err != nil:
		p.settle(&c, name, false)
		return a, err
	case a.Fenced:
		return a, fmt.Errorf("worker %s through relay %s: %w", c.Worker, name, jobserve.ErrFenced)
	case a.Failure != "":
		p.settle(&c, name, false)
		return a, &LinkError{Relay: name, Reason: a.Failure}
	}
	p.settle(&c, name, true)
	return a, nil
}

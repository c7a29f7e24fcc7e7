package relay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/bootclock"
	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/frame"
	"currantknot.dev/currantknot/internal/jobserve"
	"currantknot.dev/currantknot/internal/storepath"
)

const (
	// dialTimeout bounds a connection attempt to an owner.
	dialTimeout = 600 * time.Millisecond
	// redialInterval is the time from a failed attempt or a lost connection to the next attempt.
	redialInterval = 300 * time.Millisecond
	// responseRetention is the time for which the latest response of an owner is remembered.
	responseRetention = time.Minute
)

// Agent calls workers on behalf of the instances that may own the jobs.
type Agent struct {
	Hello
	// Append stores records that an owner hands over; it is set before Run, and nil if none may be handed over.
	Append func(ctx context.Context, l []jobserve.Record) error
	// Reach returns whether this instance reaches the store, which owners learn; it is set before Run, and nil if that is not known.
	Reach func() storepath.Reach
	// Commits is what this instance exchanges with owners about commits; it is set before Run, and nil if it exchanges nothing.
	Commits Commits
	workers jobserve.Workers
	logger  zerolog.Logger

	mu sync.Mutex
	// cancelByOwner holds, by owner address, the function that closes the connection and stops reconnecting.
	cancelByOwner map[string]context.CancelFunc
	// heard holds, by the owner's identity, when this instance has heard from it last.
	heard map[string]heardOwner
	// sessions holds the connections on which the owner's clock is known, by owner address, and appender the address of the
	// instance that appends for others.
	sessions map[string]*session
	appender string
	ctx      context.Context //nolint:containedctx // SetOwners opens connections while Run serves
	// leaving is closed by Leave.
	leaving    chan struct{}
	goroutines sync.WaitGroup
}

// heardOwner is the address of an owner, and the time of its latest response to a ping, or of the beginning of new attempts to
// connect if that is later.
type heardOwner struct {
	address string
	at      time.Time
	// refusedAt is the first of the attempts to connect since then that were refused, zero if there was none.
	refusedAt time.Time
}

// NewAgent returns an agent; Run starts it.
func NewAgent(h Hello, w jobserve.Workers, l zerolog.Logger) *Agent {
	return &Agent{Hello: h, workers: w, logger: l, cancelByOwner: make(map[string]context.CancelFunc), heard: make(map[string]heardOwner), sessions: make(map[string]*session), leaving: make(chan struct{})}
}

// Run maintains the connections to owners until the context is cancelled, and waits until they are closed.
func (a *Agent) Run(ctx context.Context) {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	<-ctx.Done()
	a.goroutines.Wait()
}

// SilentSince returns from when on the process with an identity has not responded although this instance tried to reach it,
// zero if it never responded.
func (a *Agent) SilentSince(identity string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.heard[identity].at
}

// RefusedSince returns from when on all attempts to connect to the process with an identity were refused, zero if it never
// responded or none was refused since.
func (a *Agent) RefusedSince(identity string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.heard[identity].refusedAt
}

// recordRefusal records that no process listens at an address.
func (a *Agent) recordRefusal(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, x := range a.heard {
		if x.address == address && x.refusedAt.IsZero() {
			x.refusedAt = time.Now()
			a.heard[id] = x
		}
	}
}

// recordResponse records a response, and forgets processes that have not responded for responseRetention.
func (s *session) recordResponse() {
	if s.owner == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if _, ok := s.heard[s.owner]; !ok {
		maps.DeleteFunc(s.heard, func(_ string, x heardOwner) bool { return now.Sub(x.at) > responseRetention })
	}
	s.heard[s.owner] = heardOwner{address: s.address, at: now}
}

// restartSilence makes the silence of the processes at an address begin now; a.mu is held.
func (a *Agent) restartSilence(address string) {
	for id, x := range a.heard {
		if x.address == address {
			a.heard[id] = heardOwner{address: address, at: time.Now()}
		}
	}
}

// Leave tells the owners to send no more calls; calls in flight are completed.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.leaving:
	default:
		close(a.leaving)
	}
}

// SetOwners replaces the addresses of the instances that may own the jobs; it does nothing unless Run serves.
func (a *Agent) SetOwners(addresses []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil || a.ctx.Err() != nil {
		return
	}
	wanted := make(map[string]bool, len(addresses))
	for _, x := range addresses {
		wanted[x] = true
		if a.cancelByOwner[x] != nil {
			continue
		}
		a.restartSilence(x)
		c, cancel := context.WithCancel(a.ctx)
		a.cancelByOwner[x] = cancel
		a.goroutines.Go(func() { a.reconnectLoop(c, x) })
	}
	for x, cancel := range a.cancelByOwner {
		if !wanted[x] {
			cancel()
			delete(a.cancelByOwner, x)
		}
	}
}

// reconnectLoop connects to an owner, and again after each lost connection, until the context is cancelled.
func (a *Agent) reconnectLoop(ctx context.Context, address string) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := a.connect(ctx, address)
		if ctx.Err() == nil {
			a.logger.Info().Err(err).Str("Address", address).Dur("After", time.Since(startedAt)).Str("Decision", "OwnerLinkEnded").Msg("connection to a possible owner failed or was lost")
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
}

// session is the relay's side of one connection to an owner.
type session struct {
	*Agent
	*appendClient
	conn    net.Conn
	address string
	// owner is the owner's identity, once known.
	owner string
	// reach is what the owner said last about its path to the store; the mutex of the agent guards it.
	reach     storepath.Reach
	clock     clock
	responses chan response
	// clockKnown receives a value after the first reading of the owner's clock; only then does writeLoop send the
	// Hello, after which the owner sends calls.
	clockKnown chan struct{}
	// appended holds the results of the appends of the owner.
	appended chan appendResult
}

func (a *Agent) connect(ctx context.Context, address string) error {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		a.recordRefusal(address)
	}
	if err != nil {
		return fmt.Errorf("connect to owner: %w", err)
	}
	defer c.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = c.Close() })
	s := &session{
		Agent: a, appendClient: newAppendClient(), conn: c, address: address, responses: make(chan response, maxQueuedCalls), clockKnown: make(chan struct{}, 1),
		appended: make(chan appendResult, maxQueuedAppends),
	}
	defer s.end()
	a.goroutines.Go(func() {
		if err := s.writeLoop(ctx); err != nil {
			a.logger.Debug().Err(err).Msg("writing a frame to an owner failed")
			cancel()
		}
	})
	return s.readLoop(ctx)
}

// end ends the use of the connection for forwarded appends.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[s.address] == s {
		delete(s.sessions, s.address)
	}
	close(s.closed)
}

// readLoop reads the owner's frames until the connection is lost, and executes each call in a goroutine.
func (s *session) readLoop(ctx context.Context) error {
	for {
		if err := s.conn.SetReadDeadline(time.Now().Add(receiveTimeout)); err != nil {
			return fmt.Errorf("set read deadline: %w", err)
		}
		var m toRelay
		if _, err := frame.Read(s.conn, &m); err != nil {
			return err
		}
		if m.Owner != "" {
			s.owner = m.Owner
		}
		if m.Echo != 0 {
			s.recordResponse()
			s.handlePong(m.Echo, m.OwnerTime, m.Reach)
			learnCommit(s.Commits, m.Commit)
		}
		s.deliverAppended(m.Appended)
		for i := range m.Appends {
			go appendServer(s.Append).serve(ctx, &m.Appends[i], s.appended, s.closed)
		}
		for i := range m.Calls {
			go s.serveCall(ctx, &m.Calls[i])
		}
	}
}

// handlePong records the owner's response to a ping.
func (s *session) handlePong(sentAt, ownerAt time.Duration, r storepath.Reach) {
	first := !s.clock.isKnown()
	s.clock.observe(sentAt, ownerAt)
	if first {
		s.clockKnown <- struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reach = r
	if !first {
		return
	}
	s.sessions[s.address] = s
}

// writeLoop sends pings and responses, batching queued responses, until the context is cancelled or a write fails.
func (s *session) writeLoop(ctx context.Context) error {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	leaving := s.leaving
	m := s.ping()
	for {
		if err := writeFrame(s.conn, m); err != nil {
			return err
		}
		m = &toOwner{}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			m = s.ping()
		case <-s.clockKnown:
			m.Hello = &s.Hello
		case <-leaving:
			leaving = nil
			m.Leaving = true
		case x := <-s.responses:
			m.setResponses(collectBatch(s.responses, x))
		case x := <-s.appends:
			m.Appends = collectBatch(s.appends, x)
		case x := <-s.appended:
			m.Appended = collectBatch(s.appended, x)
		}
	}
}

// ping returns a frame that requests a pong.
func (s *session) ping() *toOwner {
	m := &toOwner{Ping: bootclock.Now(), Commit: sendCommit(s.Commits)}
	if s.Reach != nil {
		m.Reach = s.Reach()
	}
	return m
}

// serveCall executes a call and queues its response.
func (s *session) serveCall(ctx context.Context, c *call) {
	x := s.execute(ctx, c)
	x.ID = c.ID
	select {
	case s.responses <- x:
	case <-ctx.Done():
	}
}

// execute calls the worker, unless the deadline of the call has passed; an order then gets the result ResultRefused.
//
// The call continues when the connection to the owner is lost, since cancelling the call would close the connection to the
// worker.
func (s *session) execute(ctx context.Context, c *call) response {
	until := s.clock.relayTime(c.Deadline)
	if !time.Now().Before(until) {
		return response{Result: dispatch.ResultRefused, Failure: lateFailure(c)}
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), until)
	defer cancel()
	if c.Order == nil {
		r, err := s.workers.Sync(ctx, c.toSync(&s.clock))
		x := responseForError(err)
		x.setReport(r)
		return x
	}
	r, err := s.workers.Execute(ctx, c.toOrder(&s.clock))
	x := responseForError(err)
	x.Result = r
	return x
}

// lateFailure returns the failure of a call whose deadline has passed: a text for a sync, and none for an order, since the
// result ResultRefused already says that the order was not executed.
func lateFailure(c *call) string {
	if c.Order == nil {
		return "the call arrived too late"
	}
	return ""
}

func responseForError(err error) response {
	switch {
	case err == nil:
		return response{}
	case errors.Is(err, jobserve.ErrFenced):
		return response{Fenced: true}
	}
	return response{Failure: err.Error()}
}

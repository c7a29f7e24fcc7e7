package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/bootclock"
	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/frame"
	"currantknot.dev/currantknot/internal/jobserve"
)

const (
	// dialTimeout bounds the opening of a connection to an owner.
	dialTimeout = 600 * time.Millisecond
	// redialEvery is the time between two tries to connect.
	redialEvery = 300 * time.Millisecond
)

// Agent makes calls to workers for the instances that may own the jobs.
type Agent struct {
	Hello
	workers jobserve.Workers
	logger  zerolog.Logger

	mu sync.Mutex
	// owners holds what ends the connection to each address.
	owners  map[string]context.CancelFunc
	ctx     context.Context //nolint:containedctx // connections begin whenever an owner is named
	leaving chan struct{}
	work    sync.WaitGroup
}

// NewAgent returns an agent that is not running yet.
func NewAgent(h Hello, w jobserve.Workers, l zerolog.Logger) *Agent {
	return &Agent{Hello: h, workers: w, logger: l, owners: make(map[string]context.CancelFunc), leaving: make(chan struct{})}
}

// Run keeps the connections until the context ends.
func (a *Agent) Run(ctx context.Context) {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	<-ctx.Done()
	a.work.Wait()
}

// Leave tells the owners to send no more calls; those under way are finished.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.leaving:
	default:
		close(a.leaving)
	}
}

// SetOwners names the addresses of the instances that may own the jobs.
func (a *Agent) SetOwners(addresses []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil || a.ctx.Err() != nil {
		return
	}
	wanted := make(map[string]bool, len(addresses))
	for _, x := range addresses {
		wanted[x] = true
		if a.owners[x] != nil {
			continue
		}
		c, cancel := context.WithCancel(a.ctx)
		a.owners[x] = cancel
		a.work.Go(func() { a.keep(c, x) })
	}
	for x, cancel := range a.owners {
		if !wanted[x] {
			cancel()
			delete(a.owners, x)
		}
	}
}

// keep connects to an owner again and again.
func (a *Agent) keep(ctx context.Context, address string) {
	for ctx.Err() == nil {
		begun := time.Now()
		err := a.connect(ctx, address)
		if ctx.Err() == nil {
			a.logger.Info().Err(err).Str("Address", address).Dur("After", time.Since(begun)).Str("Decision", "OwnerLinkEnded").Msg("no connection to an instance that may own the jobs")
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialEvery):
		}
	}
}

// session is a relay's end of one connection.
type session struct {
	*Agent
	conn    net.Conn
	clock   clock
	answers chan answer
	// known tells that the owner's clock was read, so that the owner may send calls.
	known chan struct{}
}

func (a *Agent) connect(ctx context.Context, address string) error {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("connect to owner: %w", err)
	}
	defer c.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = c.Close() })
	s := &session{Agent: a, conn: c, answers: make(chan answer, queuedCalls), known: make(chan struct{}, 1)}
	a.work.Go(func() {
		if err := s.write(ctx); err != nil {
			a.logger.Debug().Err(err).Msg("frame to an owner was not written")
			cancel()
		}
	})
	return s.read(ctx)
}

// read carries out the calls of an owner until the connection ends.
func (s *session) read(ctx context.Context) error {
	for {
		if err := s.conn.SetReadDeadline(time.Now().Add(silenceLimit)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		var m toRelay
		if _, err := frame.Read(s.conn, &m); err != nil {
			return err
		}
		if m.Echo != 0 {
			s.readClock(m.Echo, m.At)
		}
		for i := range m.Calls {
			go s.carry(ctx, &m.Calls[i])
		}
	}
}

// readClock takes in the answer to a ping.
func (s *session) readClock(sentAt, ownerAt time.Duration) {
	first := !s.clock.isKnown()
	s.clock.read(sentAt, ownerAt)
	if first {
		s.known <- struct{}{}
	}
}

// write sends pings and answers, as many at once as wait, until the connection ends.
func (s *session) write(ctx context.Context) error {
	t := time.NewTicker(pingEvery)
	defer t.Stop()
	leaving := s.leaving
	m := &toOwner{Ping: bootclock.Now()}
	for {
		if err := writeFrame(s.conn, m); err != nil {
			return err
		}
		m = &toOwner{}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			m.Ping = bootclock.Now()
		case <-s.known:
			m.Hello = &s.Hello
		case <-leaving:
			leaving = nil
			m.Leaving = true
		case x := <-s.answers:
			m.Answers = gather(s.answers, x)
		}
	}
}

// carry makes a call to a worker and queues its outcome.
func (s *session) carry(ctx context.Context, c *call) {
	x := s.call(ctx, c)
	x.ID = c.ID
	select {
	case s.answers <- x:
	case <-ctx.Done():
	}
}

// call makes a call unless its time is over; one that was not made is told as refused.
//
// A call goes on when the connection to the owner ends, since its end would close the connection to the worker.
func (s *session) call(ctx context.Context, c *call) answer {
	until := s.clock.local(c.Until)
	if !time.Now().Before(until) {
		return answer{Outcome: dispatch.ResultRefused, Failure: tooLate(c)}
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), until)
	defer cancel()
	if c.Order == nil {
		r, err := s.workers.Sync(ctx, c.sync(&s.clock))
		x := failure(err)
		x.setReport(r)
		return x
	}
	o, err := s.workers.Execute(ctx, c.start(&s.clock))
	x := failure(err)
	x.Outcome = o
	return x
}

// tooLate is the failure of a report that was not asked for; an order that was not sent is an answer by itself.
func tooLate(c *call) string {
	if c.Order == nil {
		return "the call arrived too late"
	}
	return ""
}

func failure(err error) answer {
	switch {
	case err == nil:
		return answer{}
	case errors.Is(err, jobserve.ErrFenced):
		return answer{Fenced: true}
	}
	return answer{Failure: err.Error()}
}

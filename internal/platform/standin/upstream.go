package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantknot.dev/currantknot/internal/placement"
	"currantknot.dev/currantknot/internal/platform"
)

const (
	// upstreamSlots is the maximum number of requests that an upstream processes at a time; further requests wait.
	upstreamSlots = 8
	// upstreamConns is the maximum number of open connections of an upstream; it closes further ones at once.
	upstreamConns = 64
	// leaveDuration is the time for which an upstream still serves requests after its replica was stopped.
	leaveDuration = 4 * time.Second
	// lateRequestBound is added to Config.ListLag. The system guarantees that an upstream that has been leaving for longer
	// than their sum gets no new requests.
	lateRequestBound = 3 * time.Second
	// slowFactor multiplies the service time of the upstreams in Faults.SlowUpstreams.
	slowFactor = 10
)

// IdentityHeader is the HTTP header with the identity of a request; the audit counts the executions of each write by it.
const IdentityHeader = "Request-Identity"

// upstream is the HTTP server of one service replica.
type upstream struct {
	platform.Upstream

	worker *worker
	// slots holds a token for each request that is being processed.
	slots  chan struct{}
	server *http.Server
	// leavingSince is the time at which the replica was stopped, zero while the replica runs.
	leavingSince time.Time
}

// openUpstream starts the HTTP server of a replica and adds it to the list of upstreams. It returns nil if it can't listen.
func (p *Platform) openUpstream(w *worker, o placement.StartOrder) *upstream {
	u := &upstream{worker: w, slots: make(chan struct{}, upstreamSlots)}
	l, err := (&net.ListenConfig{}).Listen(p.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		p.Logger.Error().Err(err).Msg("cannot listen for a service replica; it has no upstream")
		return nil
	}
	u.Upstream = platform.Upstream{
		Name: o.Task + "#" + strconv.Itoa(o.Attempt), Service: o.Service, Address: l.Addr().String(),
		FailureDomain: w.FailureDomain, Worker: w.Name,
	}
	u.server = &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serveUpstream(u, w, r) }),
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = u.server.Serve(&limitListener{Listener: l, slots: make(chan struct{}, upstreamConns)}) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams = append(p.upstreams, u)
	return u
}

// drainUpstream marks the upstream as leaving. After leaveDuration, or earlier if the stand-in is closed, the upstream is
// shut down and removed from the list.
func (p *Platform) drainUpstream(u *upstream) {
	p.mu.Lock()
	u.Leaving = true
	u.leavingSince = time.Now()
	p.mu.Unlock()
	p.wg.Go(func() {
		t := time.NewTimer(leaveDuration)
		defer t.Stop()
		select {
		case <-t.C:
		case <-p.ctx.Done():
		}
		_ = u.server.Shutdown(context.WithoutCancel(p.ctx))
		p.mu.Lock()
		defer p.mu.Unlock()
		p.upstreams = slices.DeleteFunc(p.upstreams, func(other *upstream) bool { return other == u })
	})
}

// serveUpstream responds to a request after a random service time, which is longer while batch tasks that interfere with the
// service run on the same worker. Injected faults may change the service time and the response.
func (p *Platform) serveUpstream(u *upstream, w http.ResponseWriter, r *http.Request) {
	f := p.faults.get()
	p.checkLateRequest(u)
	id := r.Header.Get(IdentityHeader)
	if slices.Contains(f.FailingUpstreams, u.Worker) {
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	if r.Method == http.MethodPost && id != "" {
		p.audit.onWrite(id)
	}
	time.Sleep(p.serviceTime(u, f))
	body := fmt.Sprintf("%s %s %s %d %s\n", u.Service, r.Method, r.URL.RequestURI(), len(b), id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if slices.Contains(f.TruncatingUpstreams, u.Worker) {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// checkLateRequest records a violation if the upstream gets a request later than lateRequestBound allows.
func (p *Platform) checkLateRequest(u *upstream) {
	p.mu.Lock()
	leftAt := u.leavingSince
	p.mu.Unlock()
	if !leftAt.IsZero() && time.Since(leftAt) > lateRequestBound+p.ListLag {
		p.audit.onLateRequest(u.Name, time.Since(leftAt))
	}
}

// serviceTime returns a random service time for a request, including the slowdown by batch tasks and injected faults.
func (p *Platform) serviceTime(u *upstream, f Faults) time.Duration {
	d := p.faults.exponential(p.ServiceTime)
	d = time.Duration(float64(d) * u.worker.slowdown(u.Service))
	if slices.Contains(f.SlowUpstreams, u.Worker) {
		d *= slowFactor
	}
	return d + f.ServiceDelay
}

// slowdown returns the factor by which the worker's running batch tasks multiply the service time of the service, at least 1.
func (w *worker) slowdown(service string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowdownLocked(service)
}

// slowdownLocked returns the same as slowdown; the caller holds mu.
func (w *worker) slowdownLocked(service string) float64 {
	s := 1.0
	for _, a := range w.attempts {
		if !a.isRunning() || a.order.Service != "" {
			continue
		}
		job, _, _ := strings.Cut(a.order.Task, "@")
		f := interferenceFactor(service, job) * float64(a.order.Size.Processors) / float64(w.Processors)
		if a.throttled {
			f /= 2
		}
		s += f
	}
	return s
}

// interferenceFactor returns the amount that a task of the job would add to the slowdown of a service if the task used all
// processors of the worker. It depends only on a hash of the two names: 0 for about 60% of all pairs, up to 6 for the others.
func interferenceFactor(service, job string) float64 {
	bucket := xxhash.Sum64String(service+"/"+job) % 100
	if bucket < 60 {
		return 0
	}
	return float64(bucket-60) * 6 / 40
}

// limitListener closes each new connection at once while open connections hold all slots.
type limitListener struct {
	net.Listener

	slots chan struct{}
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, fmt.Errorf("accept: %w", err)
		}
		select {
		case l.slots <- struct{}{}:
			return &limitConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			_ = c.Close()
		}
	}
}

// limitConn is a connection that releases its slot when it is closed.
type limitConn struct {
	net.Conn

	release func()
}

func (c *limitConn) Close() error {
	c.release()
	return c.Conn.Close()
}

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
	// upstreamSlots is the number of requests that an upstream works on at a time.
	upstreamSlots = 8
	// upstreamConns is the number of connections that an upstream accepts.
	upstreamConns = 64
	// leaveFor is the time that an upstream still serves after it was listed as leaving.
	leaveFor = 4 * time.Second
	// leaveBound is the promised time, beyond the lag of the list, after which a leaving upstream gets nothing new.
	leaveBound = 3 * time.Second
	// slowFactor is the slowdown of an upstream with the fault of that name.
	slowFactor = 10
)

// IdentityHeader carries the identity under which the audit counts a write.
const IdentityHeader = "Request-Identity"

// upstream is the HTTP server of one service replica.
type upstream struct {
	platform.Upstream

	host   *worker
	slots  chan struct{}
	server *http.Server
	// leftAt is the time at which the replica was stopped, zero while it serves.
	leftAt time.Time
}

// openUpstream starts the HTTP server of a replica.
func (p *Platform) openUpstream(w *worker, o placement.StartOrder) *upstream {
	u := &upstream{host: w, slots: make(chan struct{}, upstreamSlots)}
	l, err := (&net.ListenConfig{}).Listen(p.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		p.Logger.Error().Err(err).Msg("upstream not opened")
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

// closeUpstream lists the replica as leaving and shuts it down when it has left.
func (p *Platform) closeUpstream(u *upstream) {
	p.mu.Lock()
	u.Leaving = true
	u.leftAt = time.Now()
	p.mu.Unlock()
	p.wait.Go(func() {
		t := time.NewTimer(leaveFor)
		defer t.Stop()
		select {
		case <-t.C:
		case <-p.ctx.Done():
		}
		_ = u.server.Shutdown(context.WithoutCancel(p.ctx))
		p.mu.Lock()
		defer p.mu.Unlock()
		p.upstreams = slices.DeleteFunc(p.upstreams, func(x *upstream) bool { return x == u })
	})
}

// serveUpstream answers a request after a service time that depends on what runs beside the replica.
func (p *Platform) serveUpstream(u *upstream, w http.ResponseWriter, r *http.Request) {
	f := p.faults.get()
	p.checkLeft(u)
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
	a := fmt.Sprintf("%s %s %s %d %s\n", u.Service, r.Method, r.URL.RequestURI(), len(b), id)
	w.Header().Set("Content-Length", strconv.Itoa(len(a)))
	if slices.Contains(f.TruncatingUpstreams, u.Worker) {
		_, _ = io.WriteString(w, a[:len(a)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, a)
}

// checkLeft notes a request that came long after the replica was listed as leaving.
func (p *Platform) checkLeft(u *upstream) {
	p.mu.Lock()
	t := u.leftAt
	p.mu.Unlock()
	if !t.IsZero() && time.Since(t) > leaveBound+p.ListLag {
		p.audit.onLateRequest(u.Name, time.Since(t))
	}
}

func (p *Platform) serviceTime(u *upstream, f Faults) time.Duration {
	d := p.faults.exponential(p.ServiceTime)
	d = time.Duration(float64(d) * u.host.slowdown(u.Service))
	if slices.Contains(f.SlowUpstreams, u.Worker) {
		d *= slowFactor
	}
	return d + f.ServiceDelay
}

// slowdown returns how much longer the service takes beside the worker's batch tasks.
func (w *worker) slowdown(service string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowdownOf(service)
}

// slowdownOf is slowdown for a caller that holds mu.
func (w *worker) slowdownOf(service string) float64 {
	s := 1.0
	for _, a := range w.attempts {
		if !a.isRunning() || a.order.Service != "" {
			continue
		}
		n, _, _ := strings.Cut(a.order.Task, "@")
		f := pairFactor(service, n) * float64(a.order.Size.Processors) / float64(w.Processors)
		if a.slow {
			f /= 2
		}
		s += f
	}
	return s
}

// pairFactor returns how much a job disturbs a service when it holds a whole worker: 0 for most pairs, up to 6.
func pairFactor(service, job string) float64 {
	h := xxhash.Sum64String(service+"/"+job) % 100
	if h < 60 {
		return 0
	}
	return float64(h-60) * 6 / 40
}

// limitListener closes connections beyond its number of slots.
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

type limitConn struct {
	net.Conn

	release func()
}

func (c *limitConn) Close() error {
	c.release()
	return c.Conn.Close()
}

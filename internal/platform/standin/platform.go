package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/placement"
	"currantknot.dev/currantknot/internal/platform"
	"currantknot.dev/currantknot/pkg/document"
)

// Config holds the properties of a stand-in.
type Config struct {
	Workers          []placement.Worker
	AppendsPerSecond int
	Retention        time.Duration
	// ListLag is the age of the lists.
	ListLag time.Duration
	// ServiceTime is the mean time that an upstream takes for a request without neighbours.
	ServiceTime time.Duration
	Seed        uint64
	Logger      zerolog.Logger
}

// tickEvery is the time between two looks at the attempts of all workers.
const tickEvery = 20 * time.Millisecond

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 8 << 20

// Platform is the stand-in.
type Platform struct {
	Config

	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	log     *log
	faults  *faultBox
	audit   *auditor
	workers map[string]*worker

	// mu guards the fields below; a worker's lock is taken before it.
	mu        sync.Mutex
	upstreams []*upstream
	entries   []platform.Entry
	lists     []lists
}

// lists is what the platform knew at one instant.
type lists struct {
	at        time.Time
	upstreams []platform.Upstream
	entries   []platform.Entry
}

// New returns a running stand-in; Close ends it.
func New(c Config) *Platform {
	x, cancel := context.WithCancel(context.Background())
	p := &Platform{
		Config:  c,
		ctx:     x,
		cancel:  cancel,
		log:     newLog(c.AppendsPerSecond, c.Retention),
		faults:  newFaultBox(c.Seed),
		audit:   newAuditor(),
		workers: make(map[string]*worker, len(c.Workers)),
	}
	for _, w := range c.Workers {
		p.workers[w.Name] = &worker{
			Worker: w, platform: p, epochs: make(map[int]uint64), attempts: make(map[string]*attempt),
		}
	}
	p.wait.Go(p.tick)
	return p
}

// Close stops all upstreams and waits for them.
func (p *Platform) Close() {
	p.cancel()
	p.mu.Lock()
	for _, u := range p.upstreams {
		_ = u.server.Close()
	}
	p.mu.Unlock()
	p.wait.Wait()
}

// SetFaults replaces the current faults.
func (p *Platform) SetFaults(f Faults) { p.faults.set(f) }

// Faults returns the current faults.
func (p *Platform) Faults() Faults { return p.faults.get() }

// Audit returns what the stand-in saw.
func (p *Platform) Audit() Audit {
	a := p.audit.get()
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	a.Appends, a.AppendedBytes = p.log.appends, p.log.bytes
	return a
}

func (p *Platform) tick() {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case n := <-t.C:
			f := p.faults.get()
			for _, w := range p.workers {
				w.tick(n, slices.Contains(f.WorkersFailing, w.Name))
			}
			p.record(n)
		}
	}
}

// record remembers the lists of now and drops those that are older than the lag.
func (p *Platform) record(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := lists{at: now, entries: p.entries}
	for _, u := range p.upstreams {
		l.upstreams = append(l.upstreams, u.Upstream)
	}
	p.lists = append(p.lists, l)
	n := 0
	for n < len(p.lists)-1 && now.Sub(p.lists[n+1].at) >= p.ListLag {
		n++
	}
	p.lists = p.lists[n:]
}

func (p *Platform) lagging() lists {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lists) == 0 {
		return lists{}
	}
	return p.lists[0]
}

// Handler serves the platform's calls and the control calls.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /log/{stream}", p.serveAppend)
	m.HandleFunc("GET /log/{stream}", p.serveRead)
	m.HandleFunc("GET /workers", p.serveWorkers)
	m.HandleFunc("GET /upstreams", func(w http.ResponseWriter, _ *http.Request) { answer(w, notNil(p.lagging().upstreams)) })
	m.HandleFunc("GET /entries", func(w http.ResponseWriter, _ *http.Request) { answer(w, notNil(p.lagging().entries)) })
	m.HandleFunc("POST /workers/{worker}/start", func(w http.ResponseWriter, r *http.Request) {
		serveOrder(p, w, r, func(k *worker, o placement.StartOrder) any { return k.start(o, time.Now()) })
	})
	m.HandleFunc("POST /workers/{worker}/stop", func(w http.ResponseWriter, r *http.Request) {
		serveOrder(p, w, r, func(k *worker, o placement.StopOrder) any { return k.stop(o, time.Now()) })
	})
	m.HandleFunc("POST /workers/{worker}/sync", func(w http.ResponseWriter, r *http.Request) {
		serveOrder(p, w, r, func(k *worker, o placement.SyncOrder) any { return k.sync(o) })
	})
	m.HandleFunc("GET /control/audit", func(w http.ResponseWriter, _ *http.Request) { answer(w, p.Audit()) })
	m.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) { answer(w, p.Faults()) })
	m.HandleFunc("PUT /control/faults", p.serveFaults)
	m.HandleFunc("PUT /control/entries", p.serveEntries)
	return m
}

func notNil[T any](a []T) []T {
	if a == nil {
		return []T{}
	}
	return a
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (p *Platform) isLogDown(w http.ResponseWriter) bool {
	f := p.faults.get()
	time.Sleep(f.LogDelay)
	if f.LogDown {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
	}
	return f.LogDown
}

func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request) {
	if p.isLogDown(w) {
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n, ok := p.log.append(r.PathValue("stream"), b, time.Now())
	if !ok {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	if p.faults.roll(p.faults.get().LoseAppendReplies) {
		http.Error(w, "reply lost", http.StatusGatewayTimeout)
		return
	}
	answer(w, platform.AppendAnswer{Offset: n})
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	if p.isLogDown(w) {
		return
	}
	n, err := strconv.ParseUint(r.FormValue("From"), 10, 64)
	ms, err2 := strconv.Atoi(r.FormValue("WaitMs"))
	if err := errors.Join(err, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	answer(w, p.log.read(c, r.PathValue("stream"), n))
}

func (p *Platform) serveWorkers(w http.ResponseWriter, _ *http.Request) {
	f := p.faults.get()
	a := make([]placement.Worker, 0, len(p.Workers))
	for _, k := range p.Workers {
		k.Leaving = slices.Contains(f.WorkersLeaving, k.Name)
		a = append(a, k)
	}
	answer(w, a)
}

// serveOrder decodes an order, carries it out and answers, as far as the faults let it.
func serveOrder[O any](p *Platform, w http.ResponseWriter, r *http.Request, do func(*worker, O) any) {
	k := p.workers[r.PathValue("worker")]
	if k == nil {
		http.Error(w, "no such worker", http.StatusNotFound)
		return
	}
	var o O
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := p.faults.get()
	time.Sleep(f.DelayOrders)
	if slices.Contains(f.WorkersDown, k.Name) {
		http.Error(w, "worker is down", http.StatusServiceUnavailable)
		return
	}
	a := do(k, o)
	if p.faults.roll(f.LoseOrderReplies) {
		http.Error(w, "reply lost", http.StatusGatewayTimeout)
		return
	}
	answer(w, a)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	answer(w, f)
}

func (p *Platform) serveEntries(w http.ResponseWriter, r *http.Request) {
	var e []platform.Entry
	if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetEntries(e)
	answer(w, e)
}

// SetEntries replaces the list of the system's own instances.
func (p *Platform) SetEntries(e []platform.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = e
}

// Serve serves the stand-in at the address until the context ends.
func (p *Platform) Serve(ctx context.Context, l net.Listener) error {
	s := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve stand-in platform: %w", err)
	}
	return nil
}

// WorkersOf returns a worker for each instance of the sections.
func WorkersOf(ss []*document.Section) []placement.Worker {
	var a []placement.Worker
	for _, s := range ss {
		for _, i := range s.Instances {
			a = append(a, placement.Worker{Name: i.Name, FailureDomain: i.FailureDomain, Rack: i.Rack, Size: i.Size})
		}
	}
	return a
}

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

// Config holds the settings of a stand-in.
type Config struct {
	Workers []placement.Worker
	// AppendsPerSecond is the rate above which the log rejects appends, and also the largest burst.
	AppendsPerSecond int
	// Retention is the time for which the log keeps entries, 0 for no limit.
	Retention time.Duration
	// ListLag is the time by which the lists of upstreams and instances lag behind the actual state.
	ListLag time.Duration
	// ServiceTime is the mean time that an upstream takes for a request while no batch task runs on its worker.
	ServiceTime time.Duration
	// Seed seeds the random service times and the choice of lost responses.
	Seed   uint64
	Logger zerolog.Logger
}

// tickInterval is the interval at which the attempts on all workers are advanced and the lists are recorded.
const tickInterval = 20 * time.Millisecond

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 8 << 20

// Platform is a running stand-in.
type Platform struct {
	Config

	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	log     *log
	faults  *faultInjector
	audit   *auditor
	workers map[string]*worker

	// mu guards the fields below. A goroutine that needs both locks takes worker.mu before mu.
	mu        sync.Mutex
	upstreams []*upstream
	instances []platform.Instance
	// history holds snapshots of the lists, oldest first.
	history []listSnapshot
}

// listSnapshot holds the lists as they were at one instant.
type listSnapshot struct {
	at        time.Time
	upstreams []platform.Upstream
	instances []platform.Instance
}

// New starts a stand-in; Close stops it.
func New(c Config) *Platform {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Platform{
		Config:  c,
		ctx:     ctx,
		cancel:  cancel,
		log:     newLog(c.AppendsPerSecond, c.Retention),
		faults:  newFaultInjector(c.Seed),
		audit:   newAuditor(),
		workers: make(map[string]*worker, len(c.Workers)),
	}
	for _, w := range c.Workers {
		p.workers[w.Name] = &worker{
			Worker: w, platform: p, epochs: make(map[int]uint64), attempts: make(map[string]*attempt),
		}
	}
	p.wg.Go(p.tick)
	return p
}

// Close stops the stand-in and its upstreams and waits until they have stopped.
func (p *Platform) Close() {
	p.cancel()
	p.mu.Lock()
	for _, u := range p.upstreams {
		_ = u.server.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// SetFaults replaces the current faults.
func (p *Platform) SetFaults(f Faults) { p.faults.set(f) }

// Faults returns the current faults.
func (p *Platform) Faults() Faults { return p.faults.get() }

// Audit returns a copy of the events and violations recorded so far.
func (p *Platform) Audit() Audit {
	a := p.audit.snapshot()
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	a.Appends, a.AppendedBytes = p.log.appends, p.log.bytes
	return a
}

// tick advances all workers and records the lists once per tickInterval until the stand-in is closed.
func (p *Platform) tick() {
	t := time.NewTicker(tickInterval)
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
			p.recordLists(n)
		}
	}
}

// recordLists adds the current lists to the history and drops the snapshots that laggedLists no longer needs.
func (p *Platform) recordLists(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := listSnapshot{at: now, instances: p.instances}
	for _, u := range p.upstreams {
		l.upstreams = append(l.upstreams, u.Upstream)
	}
	p.history = append(p.history, l)
	n := 0
	for n < len(p.history)-1 && now.Sub(p.history[n+1].at) >= p.ListLag {
		n++
	}
	p.history = p.history[n:]
}

// laggedLists returns the newest snapshot that was at least ListLag old at the last tick, or the oldest if none was. It is
// empty before the first tick.
func (p *Platform) laggedLists() listSnapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.history) == 0 {
		return listSnapshot{}
	}
	return p.history[0]
}

// Handler returns an HTTP handler for the platform's calls and for the control calls, which read the audit and set faults
// and the list of instances.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /log/{stream}", p.serveAppend)
	m.HandleFunc("GET /log/{stream}", p.serveRead)
	m.HandleFunc("GET /workers", p.serveWorkers)
	m.HandleFunc("GET /upstreams", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, notNil(p.laggedLists().upstreams)) })
	m.HandleFunc("GET /entries", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, notNil(p.laggedLists().instances)) })
	m.HandleFunc("POST /workers/{worker}/start", func(w http.ResponseWriter, r *http.Request) {
		serveOrder(p, w, r, func(k *worker, o placement.StartOrder) any { return k.start(o, time.Now()) })
	})
	m.HandleFunc("POST /workers/{worker}/stop", func(w http.ResponseWriter, r *http.Request) {
		serveOrder(p, w, r, func(k *worker, o placement.StopOrder) any { return k.stop(o, time.Now()) })
	})
	m.HandleFunc("POST /workers/{worker}/sync", func(w http.ResponseWriter, r *http.Request) {
		serveOrder(p, w, r, func(k *worker, o placement.SyncOrder) any { return k.sync(o) })
	})
	m.HandleFunc("GET /control/audit", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Audit()) })
	m.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Faults()) })
	m.HandleFunc("PUT /control/faults", p.serveFaults)
	m.HandleFunc("PUT /control/entries", p.serveInstances)
	return m
}

// notNil replaces a nil slice by an empty one, so that its JSON is [] and not null.
func notNil[T any](a []T) []T {
	if a == nil {
		return []T{}
	}
	return a
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// applyLogFaults delays a call to the log and rejects it if the log is down; it reports whether the call was rejected.
func (p *Platform) applyLogFaults(w http.ResponseWriter) bool {
	f := p.faults.get()
	time.Sleep(f.LogDelay)
	if f.LogDown {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
	}
	return f.LogDown
}

func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request) {
	if p.applyLogFaults(w) {
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
	if p.faults.chance(p.faults.get().LoseAppendReplies) {
		http.Error(w, "reply lost", http.StatusGatewayTimeout)
		return
	}
	writeJSON(w, platform.AppendResponse{Offset: n})
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	if p.applyLogFaults(w) {
		return
	}
	n, err := strconv.ParseUint(r.FormValue("From"), 10, 64)
	ms, err2 := strconv.Atoi(r.FormValue("WaitMs"))
	if err := errors.Join(err, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	writeJSON(w, p.log.read(ctx, r.PathValue("stream"), n))
}

func (p *Platform) serveWorkers(w http.ResponseWriter, _ *http.Request) {
	f := p.faults.get()
	a := make([]placement.Worker, 0, len(p.Workers))
	for _, k := range p.Workers {
		k.Leaving = slices.Contains(f.WorkersLeaving, k.Name)
		a = append(a, k)
	}
	writeJSON(w, a)
}

// serveOrder decodes an order, executes it on the worker in the path and sends the report. Injected faults may delay or
// reject the order, or lose the response.
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
	report := do(k, o)
	if p.faults.chance(f.LoseOrderReplies) {
		http.Error(w, "reply lost", http.StatusGatewayTimeout)
		return
	}
	writeJSON(w, report)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	writeJSON(w, f)
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	var instances []platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetInstances(instances)
	writeJSON(w, instances)
}

// SetInstances replaces the list of the system's own instances.
func (p *Platform) SetInstances(instances []platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = instances
}

// Serve serves the platform's calls and the control calls on the listener until the context is done.
func (p *Platform) Serve(ctx context.Context, l net.Listener) error {
	s := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve stand-in platform: %w", err)
	}
	return nil
}

// WorkersOf returns a worker for each instance (machine) in the sections of a document.
func WorkersOf(ss []*document.Section) []placement.Worker {
	var a []placement.Worker
	for _, s := range ss {
		for _, i := range s.Instances {
			a = append(a, placement.Worker{Name: i.Name, FailureDomain: i.FailureDomain, Rack: i.Rack, Size: i.Size})
		}
	}
	return a
}

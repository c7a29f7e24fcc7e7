package jobserve

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"currantknot.dev/currantknot/internal/dispatch"
)

// instrumentedStore counts and times the calls to a store, except Leave.
type instrumentedStore struct {
	Store
	metrics *Metrics
}

// InstrumentStore returns s with all calls but Leave counted and timed in m.
func InstrumentStore(s Store, m *Metrics) Store { return &instrumentedStore{s, m} }

// InstrumentWorkers returns w with its calls to workers counted and timed in m.
func InstrumentWorkers(w Workers, m *Metrics) Workers { return &instrumentedWorkers{w, m} }

func (s *instrumentedStore) observe(call string, start time.Time, err error) {
	s.metrics.Observe(metricStoreCalls, label("call", call, "outcome", outcomeLabel(err)), start)
}

// outcomeLabel returns the outcome of a call as the value of a label.
func outcomeLabel(err error) string {
	var e *StoreError
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrFenced):
		return "fenced"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrTruncated):
		return "truncated"
	case errors.As(err, &e) && e.Status != 0:
		return strconv.Itoa(e.Status)
	}
	return "unknown"
}

// Append implements Store.
func (s *instrumentedStore) Append(ctx context.Context, p Partition, r []Record, w *Writer) (int64, error) {
	t := time.Now()
	n, err := s.Store.Append(ctx, p, r, w)
	s.observe("append", t, err)
	return n, err
}

// AppendAt implements Store.
func (s *instrumentedStore) AppendAt(ctx context.Context, p Partition, at int64, r []Record) error {
	t := time.Now()
	err := s.Store.AppendAt(ctx, p, at, r)
	s.observe("append", t, err)
	return err
}

// Read implements Store; the measured time includes the long poll for a record.
func (s *instrumentedStore) Read(ctx context.Context, p Partition, from int64, until time.Time) (Page, error) {
	t := time.Now()
	g, err := s.Store.Read(ctx, p, from, until)
	s.observe("read", t, err)
	return g, err
}

// NewestByKey implements Store.
func (s *instrumentedStore) NewestByKey(ctx context.Context, p Partition, after string) (NewestByKeyPage, error) {
	t := time.Now()
	n, err := s.Store.NewestByKey(ctx, p, after)
	s.observe("newest", t, err)
	return n, err
}

// Join implements Store.
func (s *instrumentedStore) Join(ctx context.Context, generation int64, lease time.Duration) (Membership, error) {
	t := time.Now()
	m, err := s.Store.Join(ctx, generation, lease)
	s.observe("join", t, err)
	return m, err
}

// Members implements Store.
func (s *instrumentedStore) Members(ctx context.Context) ([]string, error) {
	t := time.Now()
	n, err := s.Store.Members(ctx)
	s.observe("members", t, err)
	return n, err
}

// instrumentedWorkers counts and times the calls to workers.
type instrumentedWorkers struct {
	Workers
	metrics *Metrics
}

// Sync implements Workers; the measured time includes the long poll for a finished attempt.
func (w *instrumentedWorkers) Sync(ctx context.Context, s Sync) (dispatch.Report, error) {
	t := time.Now()
	r, err := w.Workers.Sync(ctx, s)
	w.metrics.Observe(metricWorkerCalls, label("call", "sync", "outcome", outcomeLabel(err)), t)
	for _, e := range r.Finished {
		w.metrics.Add(metricFinishedAttempts, label("how", string(e.Outcome)), 1)
	}
	return r, err
}

// Execute implements Workers.
func (w *instrumentedWorkers) Execute(ctx context.Context, s FencedOrder) (dispatch.OrderResult, error) {
	t := time.Now()
	r, err := w.Workers.Execute(ctx, s)
	w.metrics.Observe(metricWorkerCalls, label("call", string(s.Kind), "outcome", outcomeLabel(err)), t)
	if err == nil {
		w.metrics.Add(metricOrders, label("order", string(s.Kind), "answer", r.String()), 1)
	}
	return r, err
}

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// instrumentHandler returns h with requests counted and timed in m, by method and status.
func instrumentHandler(m *Metrics, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := time.Now()
		s := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		h.ServeHTTP(s, r)
		m.Observe(metricRequests, label("method", methodLabel(r.Method), "status", strconv.Itoa(s.status)), t)
	})
}

// methodLabel returns a method as the value of a label. A client may send any method, and each value of a label takes memory for good.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete, http.MethodPut, http.MethodHead:
		return method
	}
	return "other"
}

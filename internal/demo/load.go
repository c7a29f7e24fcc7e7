package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"currantknot.dev/currantknot/internal/platform/standin"
	"currantknot.dev/currantknot/pkg/outcome"
)

const (
	// maxAttempts bounds how often a client sends the same request.
	maxAttempts = 30
	// maxUnknownRetries bounds the retries of a write of which an earlier attempt may have run.
	maxUnknownRetries = 5
	// attemptTimeout bounds one attempt at a request.
	attemptTimeout = 10 * time.Second
	// retryBackoff is the client's wait before a retry, and the minimum where the response names a time.
	retryBackoff = 50 * time.Millisecond
	// maxRetryBackoff bounds the wait that a response may ask for, and is the wait after an unknown outcome.
	maxRetryBackoff = time.Second
)

// Load sends reads and non-idempotent writes through all instances with a fixed number of clients.
type Load struct {
	// Addresses returns the addresses of the instances that the load balancer currently uses.
	Addresses func() []string
	// Paths lists the path prefixes of the services.
	Paths []string
	// Clients is the number of clients; each has at most one request in flight.
	Clients int
	// ThinkTime is the time that a client waits between two requests.
	ThinkTime time.Duration
	Seed      uint64

	client *http.Client
	lastID atomic.Int64

	// mu guards the fields below.
	mu            sync.Mutex
	result        LoadResult
	writeOutcomes map[string]writeOutcome
	latency       *hdrhistogram.Histogram
}

// writeOutcome is the outcome of a write as its client knows it.
type writeOutcome struct {
	succeeded bool
	unknown   bool
}

// LoadResult holds the statistics of all clients.
type LoadResult struct {
	Requests  int
	Succeeded int
	// Lost counts requests without a successful response after all attempts, except those whose outcome is unknown.
	Lost int
	// Truncated counts successful responses whose body was incomplete or wrong although the connection did not fail.
	Truncated int
	// NotRun and Unknown count attempts by the outcome that a failure response reports.
	NotRun  int
	Unknown int
	// Errors counts responses in which the upstream itself reported a failure.
	Errors int
	// BrokenConnections counts attempts whose connection failed, and ConnectionErrors describes some of them.
	BrokenConnections int
	ConnectionErrors  []string
	// Failures describes some of the wrong or malformed responses.
	Failures []string
	P50      time.Duration
	P99      time.Duration
	P999     time.Duration
}

// maxDescriptions bounds the length of each list of descriptions in a result.
const maxDescriptions = 20

// Run sends requests until the context ends and returns the statistics.
func (l *Load) Run(ctx context.Context) LoadResult {
	l.client = &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: l.Clients}}
	l.writeOutcomes = make(map[string]writeOutcome)
	l.latency = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var w sync.WaitGroup
	for i := range l.Clients {
		w.Go(func() {
			r := rand.New(rand.NewPCG(l.Seed, uint64(i))) //nolint:gosec // a small index
			for ctx.Err() == nil {
				l.sendRequest(r)
				time.Sleep(l.ThinkTime)
			}
		})
	}
	w.Wait()
	l.client.CloseIdleConnections()
	l.result.P50 = time.Duration(l.latency.ValueAtQuantile(50)) * time.Microsecond
	l.result.P99 = time.Duration(l.latency.ValueAtQuantile(99)) * time.Microsecond
	l.result.P999 = time.Duration(l.latency.ValueAtQuantile(99.9)) * time.Microsecond
	return l.result
}

// Check compares the outcome of each write as its client knows it with how often the upstreams ran it.
func (l *Load) Check(a standin.Audit) []string {
	var v []string
	for id, o := range l.writeOutcomes {
		switch n := a.Writes[id]; {
		case n > 1:
			v = append(v, fmt.Sprintf("write %s ran %d times", id, n))
		case n == 0 && o.succeeded:
			v = append(v, fmt.Sprintf("write %s succeeded but never ran", id))
		case n > 0 && !o.succeeded && !o.unknown:
			v = append(v, fmt.Sprintf("write %s was reported as not run but ran", id))
		}
	}
	return v
}

// sendRequest sends a request and retries it until it succeeds or the number of attempts is exhausted.
func (l *Load) sendRequest(r *rand.Rand) {
	id := fmt.Sprintf("r%d", l.lastID.Add(1))
	write := r.IntN(10) < 3
	path := l.Paths[r.IntN(len(l.Paths))] + "/" + id
	start := time.Now()
	var o writeOutcome
	for n := range maxAttempts {
		done, retry, backoff := l.attempt(r, id, path, write, &o)
		if done || !retry || write && o.unknown && n >= maxUnknownRetries {
			break
		}
		time.Sleep(backoff)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Requests++
	if write {
		l.writeOutcomes[id] = o
	}
	if !o.succeeded {
		if !o.unknown {
			l.result.Lost++
		}
		return
	}
	l.result.Succeeded++
	_ = l.latency.RecordValue(time.Since(start).Microseconds())
}

// attempt sends a request once and reports whether it succeeded, and if not, whether and after what backoff to retry it.
func (l *Load) attempt(r *rand.Rand, id, path string, write bool, o *writeOutcome) (done, retry bool, backoff time.Duration) {
	addresses := l.Addresses()
	if len(addresses) == 0 {
		return false, true, retryBackoff
	}
	m, body := http.MethodGet, ""
	if write {
		m, body = http.MethodPost, strings.Repeat("x", r.IntN(2000))
	}
	q, err := http.NewRequest(m, "http://"+addresses[r.IntN(len(addresses))]+path, strings.NewReader(body)) //nolint:noctx // the client has a timeout
	if err != nil {
		l.recordFailure("%s: %v", id, err)
		return false, false, 0
	}
	q.Header.Set(standin.IdentityHeader, id)
	q.Header.Set(outcome.ClientAccountHeader, "demo")
	if write {
		q.Header.Set(outcome.IdempotencyKeyHeader, id)
	}
	resp, err := l.client.Do(q)
	if err != nil {
		l.recordBrokenConnection(id, err)
		o.unknown = o.unknown || write
		return false, true, retryBackoff
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		l.recordBrokenConnection(id, err)
		o.unknown = o.unknown || write
		return false, true, retryBackoff
	}
	if resp.StatusCode == http.StatusOK {
		l.checkResponse(id, m, path, len(body), string(b))
		o.succeeded = true
		return true, false, 0
	}
	return l.handleFailure(id, resp, b, o)
}

// checkResponse checks that a successful response is complete and belongs to the request.
func (l *Load) checkResponse(id, method, path string, sentBytes int, body string) {
	suffix := fmt.Sprintf(" %s %s %d %s\n", method, path, sentBytes, id)
	// A retry of a write carries another body, but gets the recorded response of the first attempt.
	if strings.HasSuffix(body, suffix) || method == http.MethodPost && strings.Contains(body, path+" ") && strings.HasSuffix(body, " "+id+"\n") {
		return
	}
	l.update(func(r *LoadResult) { r.Truncated++ })
	l.recordFailure("%s: response %q does not end in %q", id, body, suffix)
}

// handleFailure records a failure response; its results are those of attempt.
func (l *Load) handleFailure(id string, resp *http.Response, b []byte, o *writeOutcome) (done, retry bool, backoff time.Duration) {
	var failure outcome.Failure
	if resp.StatusCode >= http.StatusInternalServerError && resp.Header.Get(outcome.Header) == "" {
		// An error response of the upstream itself does not show whether the request ran.
		l.update(func(r *LoadResult) { r.Errors++ })
		o.unknown = true
		return false, true, retryBackoff
	}
	if err := json.Unmarshal(b, &failure); err != nil || string(failure.Outcome) != resp.Header.Get(outcome.Header) {
		l.recordFailure("%s: status %d without outcome: %q", id, resp.StatusCode, b)
		return false, true, retryBackoff
	}
	if failure.Outcome == outcome.Unknown {
		l.update(func(r *LoadResult) { r.Unknown++ })
		o.unknown = true
		return false, true, maxRetryBackoff
	}
	l.update(func(r *LoadResult) { r.NotRun++ })
	return false, true, min(max(time.Until(failure.RetryAt), retryBackoff), maxRetryBackoff)
}

func (l *Load) update(do func(*LoadResult)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do(&l.result)
}

func (l *Load) recordBrokenConnection(id string, err error) {
	l.update(func(r *LoadResult) {
		r.BrokenConnections++
		if len(r.ConnectionErrors) < maxDescriptions {
			r.ConnectionErrors = append(r.ConnectionErrors, id+": "+err.Error())
		}
	})
}

func (l *Load) recordFailure(format string, args ...any) {
	l.update(func(r *LoadResult) {
		if len(r.Failures) < maxDescriptions {
			r.Failures = append(r.Failures, fmt.Sprintf(format, args...))
		}
	})
}

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
	// maxAttempts is the maximum number of times that a client sends the same request.
	maxAttempts = 30
	// maxUnknownRetries is the number of retries after which a client gives up a write that may have run.
	maxUnknownRetries = 5
	// attemptTimeout bounds one attempt at a request.
	attemptTimeout = 10 * time.Second
	// retryBackoff is the client's wait before a retry. If the response names a time for the retry, it is the minimum wait.
	retryBackoff = 50 * time.Millisecond
	// maxRetryBackoff is the maximum wait before a retry at a time that the response names, and the wait after a response
	// that reports an unknown outcome.
	maxRetryBackoff = time.Second
)

// Load runs a fixed number of clients that send reads and non-idempotent writes to all instances.
type Load struct {
	// Addresses returns the addresses of the instances that the load balancer currently uses.
	Addresses func() []string
	// Paths lists the path prefixes of the services.
	Paths []string
	// Clients is the number of clients; each has at most one request in flight.
	Clients int
	// ThinkTime is the time that a client waits between two requests.
	ThinkTime time.Duration
	// Seed seeds the random choices of the clients.
	Seed uint64

	client *http.Client
	lastID atomic.Int64

	// mu guards the fields below.
	mu     sync.Mutex
	result LoadResult
	// writeOutcomes holds the outcome of each write, by the identity of the request.
	writeOutcomes map[string]writeOutcome
	// latency holds the latency of successful requests in microseconds, including retries.
	latency *hdrhistogram.Histogram
}

// writeOutcome is the outcome of a write as its client knows it.
type writeOutcome struct {
	// succeeded means that the client got a successful response.
	succeeded bool
	// unknown means that an attempt without a successful response may have run.
	unknown bool
}

// LoadResult holds the statistics of all clients.
type LoadResult struct {
	// Requests and Succeeded count requests; a request and its retries count once.
	Requests  int
	Succeeded int
	// Lost counts requests without a successful response after all attempts, except those whose outcome is unknown.
	Lost int
	// Truncated counts responses with status 200 whose body was incomplete or wrong although the connection did not fail.
	Truncated int
	// NotRun and Unknown count the attempts whose failure response reports that outcome.
	NotRun  int
	Unknown int
	// Errors counts responses with a status of 500 or above that came from the upstream itself.
	Errors int
	// BrokenConnections counts attempts whose connection failed or timed out, and ConnectionErrors describes some of them.
	BrokenConnections int
	ConnectionErrors  []string
	// Failures describes some of the wrong or malformed responses.
	Failures []string
	// P50, P99 and P999 are percentiles of the latency of successful requests, including retries.
	P50  time.Duration
	P99  time.Duration
	P999 time.Duration
}

// maxDescriptions bounds the length of each list of descriptions in a result.
const maxDescriptions = 20

// Run sends requests until the context is done, waits for the requests in flight and returns the statistics.
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

// Check compares the outcome of each write, as its client knows it, with the number of times that upstreams ran the write. It
// returns a description of each contradiction.
func (l *Load) Check(a standin.Audit) []string {
	var v []string
	for id, o := range l.writeOutcomes {
		switch n := a.Writes[id]; {
		case n > 1:
			v = append(v, fmt.Sprintf("write %s ran %d times", id, n))
		case n == 0 && o.succeeded:
			v = append(v, fmt.Sprintf("write %s was reported as successful but never ran", id))
		case n > 0 && !o.succeeded && !o.unknown:
			v = append(v, fmt.Sprintf("write %s was reported as not run but ran", id))
		}
	}
	return v
}

// sendRequest sends a request and retries it until it succeeds, can't be retried or the number of attempts is exhausted.
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

// attempt sends a request once. It reports whether the request succeeded (done) and, if not, whether to retry it and after
// which backoff.
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
	// Each attempt at a write has a body of random length. A retry may get the recorded response of an earlier attempt, which
	// states the length of that attempt's body.
	if strings.HasSuffix(body, suffix) || method == http.MethodPost && strings.Contains(body, path+" ") && strings.HasSuffix(body, " "+id+"\n") {
		return
	}
	l.update(func(r *LoadResult) { r.Truncated++ })
	l.recordFailure("%s: response %q does not end in %q", id, body, suffix)
}

// handleFailure records a failure response. Its results have the same meaning as those of attempt.
func (l *Load) handleFailure(id string, resp *http.Response, b []byte, o *writeOutcome) (done, retry bool, backoff time.Duration) {
	var failure outcome.Failure
	if resp.StatusCode >= http.StatusInternalServerError && resp.Header.Get(outcome.Header) == "" {
		// This error response comes from the upstream itself and does not show whether the request ran.
		l.update(func(r *LoadResult) { r.Errors++ })
		o.unknown = true
		return false, true, retryBackoff
	}
	if err := json.Unmarshal(b, &failure); err != nil || string(failure.Outcome) != resp.Header.Get(outcome.Header) {
		l.recordFailure("%s: status %d without a valid outcome: %q", id, resp.StatusCode, b)
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

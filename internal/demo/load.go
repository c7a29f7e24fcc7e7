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
	// maxTries bounds how often a client sends the same request.
	maxTries = 30
	// maxUnknownTries bounds the tries of a write that may have run.
	maxUnknownTries = 5
	// clientTimeout bounds one try.
	clientTimeout = 10 * time.Second
	// retryPause is the client's wait before another try where the answer names none.
	retryPause = 50 * time.Millisecond
	// maxRetryPause bounds the wait that an answer may ask for.
	maxRetryPause = time.Second
)

// Load is a steady load of reads and non-idempotent writes through all entries.
type Load struct {
	// Entries returns the addresses of the entries that the balancer uses now.
	Entries func() []string
	// Paths lists the path prefixes of the services.
	Paths []string
	// Clients is the number of requests under way at a time.
	Clients int
	// Pause is the time that a client waits between two requests.
	Pause time.Duration
	Seed  uint64

	client *http.Client
	lastID atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	result  LoadResult
	writes  map[string]fate
	latency *hdrhistogram.Histogram
}

// fate is what a client was told of a write.
type fate struct {
	answered bool
	unknown  bool
}

// LoadResult is what the clients saw.
type LoadResult struct {
	Requests int
	Answered int
	// Lost counts requests without any answer after all tries.
	Lost int
	// CutShort counts answers that were not whole and not visibly broken.
	CutShort int
	NotRun   int
	Unknown  int
	// Errors counts answers by which an upstream itself reported a failure.
	Errors int
	// Broken counts tries that ended with a broken connection, and Breaks describes some of them.
	Broken int
	Breaks []string
	// Faults describes some of what went wrong.
	Faults []string
	P50    time.Duration
	P99    time.Duration
	P999   time.Duration
}

// maxFaults bounds the descriptions in a result.
const maxFaults = 20

// Run sends requests until the context ends and returns what the clients saw.
func (l *Load) Run(ctx context.Context) LoadResult {
	l.client = &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: l.Clients}}
	l.writes = make(map[string]fate)
	l.latency = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var w sync.WaitGroup
	for i := range l.Clients {
		w.Go(func() {
			r := rand.New(rand.NewPCG(l.Seed, uint64(i))) //nolint:gosec // a small index
			for ctx.Err() == nil {
				l.request(r)
				time.Sleep(l.Pause)
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

// Check compares what the clients were told of their writes with what the upstreams ran.
func (l *Load) Check(a standin.Audit) []string {
	var v []string
	for id, f := range l.writes {
		switch n := a.Writes[id]; {
		case n > 1:
			v = append(v, fmt.Sprintf("write %s ran %d times", id, n))
		case n == 0 && f.answered:
			v = append(v, fmt.Sprintf("write %s was answered and never ran", id))
		case n > 0 && !f.answered && !f.unknown:
			v = append(v, fmt.Sprintf("write %s was called not run and ran", id))
		}
	}
	return v
}

// request sends one request, again until it is answered or its outcome is final.
func (l *Load) request(r *rand.Rand) {
	id := fmt.Sprintf("r%d", l.lastID.Add(1))
	write := r.IntN(10) < 3
	path := l.Paths[r.IntN(len(l.Paths))] + "/" + id
	a := time.Now()
	var f fate
	for n := range maxTries {
		done, again, wait := l.try(r, id, path, write, &f)
		if done || !again || write && f.unknown && n >= maxUnknownTries {
			break
		}
		time.Sleep(wait)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Requests++
	if write {
		l.writes[id] = f
	}
	if !f.answered {
		if !f.unknown {
			l.result.Lost++
		}
		return
	}
	l.result.Answered++
	_ = l.latency.RecordValue(time.Since(a).Microseconds())
}

// try sends a request once and reports whether it is done, and if not, whether and when to send it again.
func (l *Load) try(r *rand.Rand, id, path string, write bool, f *fate) (done, again bool, wait time.Duration) {
	es := l.Entries()
	if len(es) == 0 {
		return false, true, retryPause
	}
	m, body := http.MethodGet, ""
	if write {
		m, body = http.MethodPost, strings.Repeat("x", r.IntN(2000))
	}
	q, err := http.NewRequest(m, "http://"+es[r.IntN(len(es))]+path, strings.NewReader(body)) //nolint:noctx // the client has a timeout
	if err != nil {
		l.fault("%s: %v", id, err)
		return false, false, 0
	}
	q.Header.Set(standin.IdentityHeader, id)
	q.Header.Set(outcome.AccountHeader, "demo")
	if write {
		q.Header.Set(outcome.KeyHeader, id)
	}
	s, err := l.client.Do(q)
	if err != nil {
		l.broken(id, err)
		f.unknown = f.unknown || write
		return false, true, retryPause
	}
	defer s.Body.Close()
	b, err := io.ReadAll(s.Body)
	if err != nil {
		l.broken(id, err)
		f.unknown = f.unknown || write
		return false, true, retryPause
	}
	if s.StatusCode == http.StatusOK {
		l.checkAnswer(id, m, path, len(body), string(b))
		f.answered = true
		return true, false, 0
	}
	return l.failed(id, s, b, f)
}

func (l *Load) checkAnswer(id, method, path string, sent int, got string) {
	w := fmt.Sprintf(" %s %s %d %s\n", method, path, sent, id)
	// A repeat of a write carries another body, and its answer is that of the first.
	if strings.HasSuffix(got, w) || method == http.MethodPost && strings.Contains(got, path+" ") && strings.HasSuffix(got, " "+id+"\n") {
		return
	}
	l.count(func(x *LoadResult) { x.CutShort++ })
	l.fault("%s: answer %q does not end in %q", id, got, w)
}

func (l *Load) failed(id string, s *http.Response, b []byte, f *fate) (done, again bool, wait time.Duration) {
	var x outcome.Failure
	if s.StatusCode >= http.StatusInternalServerError && s.Header.Get(outcome.Header) == "" {
		// The upstream's own answer tells nothing of what ran.
		l.count(func(r *LoadResult) { r.Errors++ })
		f.unknown = true
		return false, true, retryPause
	}
	if err := json.Unmarshal(b, &x); err != nil || string(x.Outcome) != s.Header.Get(outcome.Header) {
		l.fault("%s: status %d without outcome: %q", id, s.StatusCode, b)
		return false, true, retryPause
	}
	if x.Outcome == outcome.Unknown {
		l.count(func(r *LoadResult) { r.Unknown++ })
		f.unknown = true
		return false, true, maxRetryPause
	}
	l.count(func(r *LoadResult) { r.NotRun++ })
	return false, true, min(max(time.Until(x.RetryAt), retryPause), maxRetryPause)
}

func (l *Load) count(do func(*LoadResult)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do(&l.result)
}

func (l *Load) broken(id string, err error) {
	l.count(func(x *LoadResult) {
		x.Broken++
		if len(x.Breaks) < maxFaults {
			x.Breaks = append(x.Breaks, id+": "+err.Error())
		}
	})
}

func (l *Load) fault(format string, args ...any) {
	l.count(func(x *LoadResult) {
		if len(x.Faults) < maxFaults {
			x.Faults = append(x.Faults, fmt.Sprintf(format, args...))
		}
	})
}

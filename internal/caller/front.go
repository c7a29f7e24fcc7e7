package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/go-kit/kit/metrics"
	kithttp "github.com/go-kit/kit/transport/http"

	"currantknot.dev/currantknot/internal/decision"
	"currantknot.dev/currantknot/internal/routing"
	"currantknot.dev/currantknot/pkg/document"
	"currantknot.dev/currantknot/pkg/outcome"
)

// Router decides on requests.
type Router interface {
	Offer(q *routing.Request, now time.Time) *routing.Verdict
	Done(d routing.Result, now time.Time) []routing.Verdict
	Cancel(q *routing.Request) bool
}

// Sender sends a request to an upstream.
type Sender interface {
	Send(ctx context.Context, r *http.Request) (*http.Response, error)
}

// Keys makes repeats of a request with the same key run at most once together.
type Keys interface {
	// Begin returns nil if the request may run, or a *KeyError.
	Begin(ctx context.Context, key string, deadline time.Time) error
	// End records what became of a request that Begin let run.
	End(key string, o outcome.Outcome, answer *Recorded)
}

// Recorded is an answer that is remembered for repeats of its request.
type Recorded struct {
	Status int
	Header http.Header
	Body   []byte

	tooLarge bool
}

// KeyError reports a repeat of a request that must not run again.
type KeyError struct {
	// Outcome is NotRun where this repeat was refused without knowing of another run.
	Outcome outcome.Outcome
	Reason  string
	RetryAt time.Time
	// Answer is the remembered answer of the first run, nil where there is none.
	Answer *Recorded
}

// Error returns the reason.
func (e *KeyError) Error() string { return e.Reason }

// Metrics counts the requests of callers.
type Metrics struct {
	Requests metrics.Counter
	Answers  metrics.Counter
	NotRun   metrics.Counter
	Unknown  metrics.Counter
	Retries  metrics.Counter
	Aborted  metrics.Counter
	Seconds  metrics.Histogram
}

// Handler serves callers.
type Handler struct {
	Router  Router
	Sender  Sender
	Keys    Keys
	Ring    *decision.Ring
	Metrics Metrics
	// Services returns the services of the current document.
	Services func() []document.Service
	// Prefix begins the identity of each request of this instance.
	Prefix string

	lastID  atomic.Uint64
	retries retryBudget
}

// Handler returns the HTTP handler for callers.
func (f *Handler) Handler() http.Handler {
	var e endpoint.Endpoint = func(ctx context.Context, q any) (any, error) {
		return f.serve(ctx, q.(*call)) //nolint:forcetypeassert // decode returns nothing else
	}
	return kithttp.NewServer(e, f.decode, f.encode, kithttp.ServerErrorEncoder(f.encodeError))
}

// call is one request of a caller.
type call struct {
	routing.Request

	service *document.Service
	in      *http.Request
	name    string
	key     string
}

func (c *call) isIdempotent() bool { return c.service.IsIdempotent(c.in.Method) }

// hasBody reports whether the request can't be sent twice from here because its body streams through.
func (c *call) hasBody() bool { return c.in.ContentLength != 0 }

// decode classifies a request.
func (f *Handler) decode(_ context.Context, r *http.Request) (any, error) {
	f.Metrics.Requests.Add(1)
	n := f.lastID.Add(1)
	c := &call{in: r, name: requestName(f.Prefix, n)}
	c.ID = n
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, &callError{status: http.StatusMethodNotAllowed, name: c.name, reason: "method " + r.Method + " is not served"}
	}
	c.service = match(f.Services(), r.URL.Path)
	if c.service == nil {
		return nil, &callError{status: http.StatusNotFound, name: c.name, reason: "no service has this path"}
	}
	c.Service = c.service.Name
	c.ArrivedAt = time.Now()
	c.Deadline = c.ArrivedAt.Add(c.service.Bound)
	c.ClientAccount = r.Header.Get(outcome.AccountHeader)
	if d, err := time.Parse(time.RFC3339Nano, r.Header.Get(outcome.DeadlineHeader)); err == nil && d.Before(c.Deadline) {
		c.Deadline = d
	}
	if k := r.Header.Get(outcome.KeyHeader); k != "" && !c.isIdempotent() {
		c.key = c.Service + "\x00" + c.ClientAccount + "\x00" + k
	}
	return c, nil
}

// match returns the service with the longest prefix of the path, nil where none has one.
func match(ss []document.Service, path string) *document.Service {
	var b *document.Service
	for i, s := range ss {
		if isUnder(path, s.PathPrefix) && (b == nil || len(s.PathPrefix) > len(b.PathPrefix)) {
			b = &ss[i]
		}
	}
	return b
}

func isUnder(path, prefix string) bool {
	p := strings.TrimSuffix(prefix, "/")
	return path == p || strings.HasPrefix(path, p+"/")
}

// callError is a failure that is told to the caller.
type callError struct {
	status  int
	outcome outcome.Outcome
	name    string
	reason  string
	retryAt time.Time
}

func (e *callError) Error() string { return e.reason }

func notRun(c *call, reason string, retryAt time.Time) *callError {
	return &callError{http.StatusServiceUnavailable, outcome.NotRun, c.name, reason, retryAt}
}

func unknown(c *call, reason string) *callError {
	s := http.StatusBadGateway
	if !time.Now().Before(c.Deadline) {
		s = http.StatusGatewayTimeout
	}
	return &callError{s, outcome.Unknown, c.name, reason, time.Time{}}
}

// answer is an upstream's answer on its way to the caller, or one remembered from an earlier run.
type answer struct {
	*http.Response

	call     *call
	recorded *Recorded
	// finish frees the slot and tells whether the body was whole.
	finish func(whole bool)
	// abort ends the exchange with the upstream.
	abort context.CancelFunc
}

// serve finds an upstream that answers the request.
func (f *Handler) serve(ctx context.Context, c *call) (any, error) {
	if c.key == "" {
		return f.try(ctx, c)
	}
	if err := f.Keys.Begin(ctx, c.key, c.Deadline); err != nil {
		return f.repeated(c, err)
	}
	a, err := f.try(ctx, c)
	if e := (*callError)(nil); errors.As(err, &e) {
		f.Keys.End(c.key, e.outcome, nil)
	}
	return a, err
}

func (f *Handler) repeated(c *call, err error) (any, error) {
	var k *KeyError
	if !errors.As(err, &k) {
		return nil, notRun(c, err.Error(), time.Now().Add(time.Second))
	}
	if k.Answer != nil {
		return &answer{call: c, recorded: k.Answer}, nil
	}
	if k.Outcome == outcome.NotRun {
		return nil, notRun(c, k.Reason, k.RetryAt)
	}
	return nil, &callError{http.StatusConflict, outcome.Unknown, c.name, k.Reason, k.RetryAt}
}

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

// Router binds requests to upstreams or refuses them.
type Router interface {
	Route(q *routing.Request, now time.Time) *routing.Decision
	HandleResult(res routing.Result, now time.Time) []routing.Decision
	Cancel(q *routing.Request) bool
}

// Sender sends a request to an upstream.
type Sender interface {
	Send(ctx context.Context, r *http.Request) (*http.Response, error)
}

// IdempotencyKeys ensures that, while an idempotency key is kept, at most one of the requests with that key runs.
type IdempotencyKeys interface {
	// Begin returns nil if the request may run, and a *KeyError if not.
	Begin(ctx context.Context, key string, deadline time.Time) error
	// Complete records the outcome and the response of a request that Begin allowed to run.
	Complete(key string, o outcome.Outcome, response *RecordedResponse)
}

// RecordedResponse is a response that is stored for later requests with the same idempotency key.
type RecordedResponse struct {
	Status int
	Header http.Header
	Body   []byte

	// tooLarge means that the body exceeded maxRecordedBytes and was discarded.
	tooLarge bool
}

// KeyError reports a request that must not run because of its idempotency key.
type KeyError struct {
	// Outcome is NotRun if no request with the key is known to have run, Unknown if one has run or may be running, and
	// empty if Response is set.
	Outcome outcome.Outcome
	Reason  string
	RetryAt time.Time
	// Response is the recorded response to the request that ran, nil if there is none.
	Response *RecordedResponse
}

// Error returns the reason.
func (e *KeyError) Error() string { return e.Reason }

// Metrics holds the metrics of callers' requests.
type Metrics struct {
	Requests metrics.Counter
	// Responses counts the responses that were copied completely.
	Responses metrics.Counter
	// NotRun and Unknown count the reported failures by outcome.
	NotRun  metrics.Counter
	Unknown metrics.Counter
	Retries metrics.Counter
	// Aborted counts the responses that ended before they were complete.
	Aborted metrics.Counter
	// LatencySeconds observes the time from the arrival of a request to the end of its response, if that was copied
	// completely.
	LatencySeconds metrics.Histogram
}

// Handler serves the requests of callers over HTTP.
type Handler struct {
	Router Router
	Sender Sender
	Keys   IdempotencyKeys
	// Decisions records the decisions on requests.
	Decisions *decision.Ring
	Metrics   Metrics
	// Services returns the services of the current document.
	Services func() []document.Service
	// RequestIDPrefix is the prefix of the request IDs that this instance assigns.
	RequestIDPrefix string

	lastID  atomic.Uint64
	retries retryBudget
}

// HTTPHandler returns the HTTP handler for callers.
func (h *Handler) HTTPHandler() http.Handler {
	var e endpoint.Endpoint = func(ctx context.Context, q any) (any, error) {
		return h.serve(ctx, q.(*call)) //nolint:forcetypeassert // parseRequest returns nothing else
	}
	return kithttp.NewServer(e, h.parseRequest, h.writeResponse, kithttp.ServerErrorEncoder(h.writeError))
}

// call holds a caller's request and the state of serving it.
type call struct {
	routing.Request

	service     *document.Service
	httpRequest *http.Request
	requestID   string
	// idempotencyKey is the request's key, prefixed with service and client account. It is empty if the request has none
	// or if its method is idempotent.
	idempotencyKey string
}

func (c *call) isIdempotent() bool { return c.service.IsIdempotent(c.httpRequest.Method) }

// hasBody reports whether the request has a body. Bodies are streamed without a copy and can't be sent twice.
func (c *call) hasBody() bool { return c.httpRequest.ContentLength != 0 }

// parseRequest finds the service of a request and sets its deadline, client account and idempotency key.
func (h *Handler) parseRequest(_ context.Context, r *http.Request) (any, error) {
	h.Metrics.Requests.Add(1)
	n := h.lastID.Add(1)
	c := &call{httpRequest: r, requestID: formatRequestID(h.RequestIDPrefix, n)}
	c.ID = n
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, &callError{status: http.StatusMethodNotAllowed, requestID: c.requestID, reason: "method " + r.Method + " is not served"}
	}
	c.service = matchService(h.Services(), r.URL.Path)
	if c.service == nil {
		return nil, &callError{status: http.StatusNotFound, requestID: c.requestID, reason: "no service has this path"}
	}
	c.Service = c.service.Name
	c.ArrivedAt = time.Now()
	c.Deadline = c.ArrivedAt.Add(c.service.Bound)
	c.ClientAccount = r.Header.Get(outcome.ClientAccountHeader)
	if d, err := time.Parse(time.RFC3339Nano, r.Header.Get(outcome.DeadlineHeader)); err == nil && d.Before(c.Deadline) {
		c.Deadline = d
	}
	if k := r.Header.Get(outcome.IdempotencyKeyHeader); k != "" && !c.isIdempotent() {
		c.idempotencyKey = c.Service + "\x00" + c.ClientAccount + "\x00" + k
	}
	return c, nil
}

// matchService returns the service whose path prefix is the longest that matches, or nil if none matches.
func matchService(ss []document.Service, path string) *document.Service {
	var b *document.Service
	for i, s := range ss {
		if hasPathPrefix(path, s.PathPrefix) && (b == nil || len(s.PathPrefix) > len(b.PathPrefix)) {
			b = &ss[i]
		}
	}
	return b
}

func hasPathPrefix(path, prefix string) bool {
	p := strings.TrimSuffix(prefix, "/")
	return path == p || strings.HasPrefix(path, p+"/")
}

// callError is a failure that is reported to the caller.
type callError struct {
	// status is the HTTP status code.
	status int
	// outcome counts as NotRun if it is empty.
	outcome   outcome.Outcome
	requestID string
	reason    string
	retryAt   time.Time
}

func (e *callError) Error() string { return e.reason }

func newNotRunError(c *call, reason string, retryAt time.Time) *callError {
	return &callError{http.StatusServiceUnavailable, outcome.NotRun, c.requestID, reason, retryAt}
}

func newUnknownError(c *call, reason string) *callError {
	s := http.StatusBadGateway
	if !time.Now().Before(c.Deadline) {
		s = http.StatusGatewayTimeout
	}
	return &callError{s, outcome.Unknown, c.requestID, reason, time.Time{}}
}

// response is an upstream's response or, for a duplicate request, the recorded response.
type response struct {
	*http.Response

	call     *call
	recorded *RecordedResponse
	// complete frees the slot at the upstream and reports to the router whether the response was received completely.
	complete func(received bool)
	// cancel cancels the request to the upstream.
	cancel context.CancelFunc
}

// serve sends the request to an upstream, or returns the recorded response of a duplicate.
func (h *Handler) serve(ctx context.Context, c *call) (any, error) {
	if c.idempotencyKey == "" {
		return h.sendWithRetries(ctx, c)
	}
	if err := h.Keys.Begin(ctx, c.idempotencyKey, c.Deadline); err != nil {
		return h.duplicateResult(c, err)
	}
	r, err := h.sendWithRetries(ctx, c)
	if e := (*callError)(nil); errors.As(err, &e) {
		h.Keys.Complete(c.idempotencyKey, e.outcome, nil)
	}
	return r, err
}

// duplicateResult returns the result of a request that IdempotencyKeys did not allow to run.
func (h *Handler) duplicateResult(c *call, err error) (any, error) {
	var k *KeyError
	if !errors.As(err, &k) {
		return nil, newNotRunError(c, err.Error(), time.Now().Add(time.Second))
	}
	if k.Response != nil {
		return &response{call: c, recorded: k.Response}, nil
	}
	if k.Outcome == outcome.NotRun {
		return nil, newNotRunError(c, k.Reason, k.RetryAt)
	}
	return nil, &callError{http.StatusConflict, outcome.Unknown, c.requestID, k.Reason, k.RetryAt}
}

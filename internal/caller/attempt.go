package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"currantknot.dev/currantknot/internal/decision"
	"currantknot.dev/currantknot/internal/routing"
	"currantknot.dev/currantknot/internal/upstream"
	"currantknot.dev/currantknot/pkg/outcome"
)

const (
	// maxAttempts bounds the number of upstreams that one request is sent to.
	maxAttempts = 4
	// maxBrokenAttempts bounds the number of upstreams whose connection breaks after a byte of a request was written: the request
	// may be what makes them crash.
	maxBrokenAttempts = 2
)

// sendWithRetries sends the request to one upstream after another until one responds or no retry is allowed.
func (h *Handler) sendWithRetries(ctx context.Context, c *call) (*response, error) {
	var last *callError
	broken := 0
	for n := 1; ; n++ {
		t, err := h.acquireSlot(ctx, c)
		if err != nil {
			return nil, errorToReport(last, err)
		}
		r, e := h.sendOnce(ctx, c, t, n)
		if e == nil && !h.tryRetryAfterResponse(c, r, n) {
			return r, nil
		}
		if e == nil {
			r.complete(true)
			r.Body.Close()
			r.cancel()
		} else {
			if e.outcome != outcome.NotRun {
				broken++
			}
			if broken >= maxBrokenAttempts || !h.tryRetryAfterError(c, e, n) {
				return nil, e
			}
		}
		last = preferUnknown(last, e)
		c.Tried = append(c.Tried, t.Name)
		h.Metrics.Retries.Add(1)
	}
}

// errorToReport returns the error to report after err, a refusal by the router, whose outcome is NotRun. If an earlier
// attempt failed with another outcome (last), the request may have run, and errorToReport returns last. Otherwise it
// returns err.
func errorToReport(last, err *callError) *callError {
	if last != nil && last.outcome != err.outcome {
		return last
	}
	return err
}

// preferUnknown returns the failure to remember after an attempt. last is the failure remembered so far. e is the
// failure of the attempt, nil if the attempt got a response. If the outcome of last is Unknown, preferUnknown returns
// last, so that a later NotRun does not hide that the request may have run. Otherwise it returns e, or last if e is
// nil.
func preferUnknown(last, e *callError) *callError {
	if e == nil || last != nil && last.outcome == outcome.Unknown {
		return last
	}
	return e
}

// tryRetryAfterResponse reports whether the request is retried at another upstream after attempt n got the response. If
// so, it withdraws the retry from the budget.
func (h *Handler) tryRetryAfterResponse(c *call, r *response, n int) bool {
	return r.StatusCode >= http.StatusInternalServerError && c.isIdempotent() && !c.hasBody() &&
		n < maxAttempts && h.retries.tryWithdraw(time.Now())
}

// tryRetryAfterError reports whether the request is retried at another upstream after attempt n failed. If so, it
// withdraws the retry from the budget.
func (h *Handler) tryRetryAfterError(c *call, e *callError, n int) bool {
	if n >= maxAttempts || !time.Now().Before(c.Deadline) || c.httpRequest.Context().Err() != nil {
		return false
	}
	if e.outcome != outcome.NotRun && (!c.isIdempotent() || c.hasBody()) {
		return false
	}
	return h.retries.tryWithdraw(time.Now())
}

// acquireSlot waits for a free slot at an upstream and returns the upstream, or an error if the router refuses the
// request.
func (h *Handler) acquireSlot(ctx context.Context, c *call) (*routing.Target, *callError) {
	q := c.Request
	q.Decision = make(chan routing.Decision, 1)
	d := h.Router.Route(&q, time.Now())
	if d == nil {
		d = h.waitForDecision(ctx, c, &q)
	}
	if d.Refusal != nil {
		h.recordDecision(c, "Refuse", d.Refusal.Error(), nil)
		return nil, newNotRunError(c, d.Refusal.Error(), d.Refusal.RetryAt)
	}
	return d.Upstream, nil
}

// waitForDecision returns the router's decision on a waiting request. If the request's deadline passes or its caller
// cancels it first, waitForDecision returns a refusal.
func (h *Handler) waitForDecision(ctx context.Context, c *call, q *routing.Request) *routing.Decision {
	t := time.NewTimer(time.Until(c.Deadline))
	defer t.Stop()
	select {
	case d := <-q.Decision:
		return &d
	case <-t.C:
	case <-ctx.Done():
	}
	if !h.Router.Cancel(q) {
		d := <-q.Decision
		return &d
	}
	return &routing.Decision{Request: q, Refusal: &routing.RefusalError{Reason: routing.RefusedDeadline, RetryAt: time.Now().Add(time.Second)}}
}

// sendOnce makes attempt n: it sends the request to one upstream and returns the response once its header has arrived.
func (h *Handler) sendOnce(ctx context.Context, c *call, t *routing.Target, n int) (*response, *callError) {
	start := time.Now()
	sendCtx, cancel := context.WithCancel(ctx)
	// The deadline limits the wait for the response header. The transfer of the body has no time limit.
	d := time.AfterFunc(time.Until(c.Deadline), cancel)
	s, err := h.Sender.Send(sendCtx, newUpstreamRequest(sendCtx, c, t)) //nolint:bodyclose // writeResponse and sendWithRetries close it
	deadlineExpired := !d.Stop()
	complete := func(failed, notMeasured bool) {
		Deliver(h.Router.HandleResult(routing.Result{
			Upstream: t.Name, Service: c.Service, Failed: failed, NotMeasured: notMeasured, Latency: time.Since(start),
		}, time.Now()))
	}
	if err != nil {
		cancel()
		complete(true, ctx.Err() != nil)
		return nil, h.attemptError(c, t, err, deadlineExpired)
	}
	failed := s.StatusCode >= http.StatusInternalServerError
	h.recordDecision(c, "Route", fmt.Sprintf("attempt %d, %s, status %d", n, t.Reason, s.StatusCode), t)
	return &response{Response: s, call: c, cancel: cancel, complete: func(received bool) { complete(failed || !received, ctx.Err() != nil) }}, nil
}

// attemptError records the decision Fail for an attempt that got no response, and returns the error for the caller.
func (h *Handler) attemptError(c *call, t *routing.Target, err error, deadlineExpired bool) *callError {
	var s *upstream.SendError
	r := err.Error()
	if deadlineExpired {
		r = "no answer within the deadline"
	}
	h.recordDecision(c, "Fail", r, t)
	if errors.As(err, &s) && s.NotRun {
		return newNotRunError(c, r, time.Now().Add(time.Second))
	}
	return newUnknownError(c, r)
}

// Deliver sends each decision to the request that waits for it.
func Deliver(ds []routing.Decision) {
	for _, d := range ds {
		d.Request.Decision <- d
	}
}

func (h *Handler) recordDecision(c *call, kind, reason string, t *routing.Target) {
	e := decision.Entry{At: time.Now(), Kind: kind, Subjects: []string{c.requestID, c.Service}, Reason: reason}
	if t != nil {
		e.Subjects = append(e.Subjects, t.Name)
	}
	h.Decisions.Add(e)
}

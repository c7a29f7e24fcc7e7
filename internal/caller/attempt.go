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

// maxAttempts bounds the upstreams that one request is sent to.
const maxAttempts = 4

// try sends the request to one upstream after the other until one answers.
func (f *Handler) try(ctx context.Context, c *call) (*answer, error) {
	var last *callError
	for n := 1; ; n++ {
		t, err := f.acquire(ctx, c)
		if err != nil {
			return nil, firstError(last, err)
		}
		a, e := f.attempt(ctx, c, t, n)
		if e == nil && !f.wantsRetry(c, a, n) {
			return a, nil
		}
		if e == nil {
			a.finish(true)
			a.Body.Close()
			a.abort()
		} else if !f.mayRetry(c, e, n) {
			return nil, e
		}
		last = worse(last, e)
		c.Tried = append(c.Tried, t.Name)
		f.Metrics.Retries.Add(1)
	}
}

// firstError returns the failure of an earlier attempt that may have run the request, or else the refusal.
func firstError(last, err *callError) *callError {
	if last != nil && last.outcome != err.outcome {
		return last
	}
	return err
}

// worse keeps the failure that tells less about the request: Unknown before NotRun.
func worse(last, e *callError) *callError {
	if e == nil || last != nil && last.outcome == outcome.Unknown {
		return last
	}
	return e
}

// wantsRetry reports whether an upstream's error answer is to be tried elsewhere.
func (f *Handler) wantsRetry(c *call, a *answer, n int) bool {
	return a.StatusCode >= http.StatusInternalServerError && c.isIdempotent() && !c.hasBody() &&
		n < maxAttempts && f.retries.take(time.Now())
}

// mayRetry reports whether the request may be sent again after the failure.
func (f *Handler) mayRetry(c *call, e *callError, n int) bool {
	if n >= maxAttempts || !time.Now().Before(c.Deadline) || c.in.Context().Err() != nil {
		return false
	}
	if e.outcome != outcome.NotRun && (!c.isIdempotent() || c.hasBody()) {
		return false
	}
	return f.retries.take(time.Now())
}

// acquire waits for a slot at an upstream.
func (f *Handler) acquire(ctx context.Context, c *call) (*routing.Target, *callError) {
	q := c.Request
	q.Verdict = make(chan routing.Verdict, 1)
	v := f.Router.Offer(&q, time.Now())
	if v == nil {
		v = f.wait(ctx, c, &q)
	}
	if v.Refusal != nil {
		f.log(c, "Refuse", v.Refusal.Error(), nil)
		return nil, notRun(c, v.Refusal.Error(), v.Refusal.RetryAt)
	}
	return v.Upstream, nil
}

// wait returns the verdict on a waiting request, or a refusal when its deadline has come or its caller is gone.
func (f *Handler) wait(ctx context.Context, c *call, q *routing.Request) *routing.Verdict {
	t := time.NewTimer(time.Until(c.Deadline))
	defer t.Stop()
	select {
	case v := <-q.Verdict:
		return &v
	case <-t.C:
	case <-ctx.Done():
	}
	if !f.Router.Cancel(q) {
		v := <-q.Verdict
		return &v
	}
	return &routing.Verdict{Request: q, Refusal: &routing.RefusalError{Reason: routing.RefusedDeadline, RetryAt: time.Now().Add(time.Second)}}
}

// attempt sends the request to one upstream and returns its answer up to the body.
func (f *Handler) attempt(ctx context.Context, c *call, t *routing.Target, n int) (*answer, *callError) {
	a := time.Now()
	x, cancel := context.WithCancel(ctx)
	// The deadline ends the wait for the answer's header; a body that has begun may take its time.
	d := time.AfterFunc(time.Until(c.Deadline), cancel)
	s, err := f.Sender.Send(x, outgoing(x, c, t)) //nolint:bodyclose // encode and try close it
	late := !d.Stop()
	done := func(failed, ignored bool) {
		Deliver(f.Router.Done(routing.Result{
			Upstream: t.Name, Service: c.Service, Failed: failed, Ignored: ignored, Took: time.Since(a),
		}, time.Now()))
	}
	if err != nil {
		cancel()
		done(true, ctx.Err() != nil)
		return nil, f.failure(c, t, err, late)
	}
	failed := s.StatusCode >= http.StatusInternalServerError
	f.log(c, "Route", fmt.Sprintf("attempt %d, %s, status %d", n, t.Reason, s.StatusCode), t)
	return &answer{Response: s, call: c, abort: cancel, finish: func(whole bool) { done(failed || !whole, ctx.Err() != nil) }}, nil
}

func (f *Handler) failure(c *call, t *routing.Target, err error, late bool) *callError {
	var s *upstream.SendError
	r := err.Error()
	if late {
		r = "no answer within the deadline"
	}
	f.log(c, "Fail", r, t)
	if errors.As(err, &s) && s.NotRun {
		return notRun(c, r, time.Now().Add(time.Second))
	}
	return unknown(c, r)
}

// Deliver hands verdicts to the requests that wait for them.
func Deliver(vs []routing.Verdict) {
	for _, v := range vs {
		v.Request.Verdict <- v
	}
}

func (f *Handler) log(c *call, kind, reason string, t *routing.Target) {
	e := decision.Entry{At: time.Now(), Kind: kind, Subjects: []string{c.name, c.Service}, Reason: reason}
	if t != nil {
		e.Subjects = append(e.Subjects, t.Name)
	}
	f.Ring.Add(e)
}

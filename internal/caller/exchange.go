package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"currantknot.dev/currantknot/internal/routing"
	"currantknot.dev/currantknot/pkg/outcome"
)

// hopByHopHeaders lists the headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyBufferBytes is the size of the buffer that copies a response body from the upstream to the caller.
const copyBufferBytes = 32 << 10

// maxRecordedBytes is the maximum size of a response body that is recorded for duplicate requests.
const maxRecordedBytes = 16 << 10

func formatRequestID(prefix string, n uint64) string { return prefix + "-" + strconv.FormatUint(n, 36) }

// newUpstreamRequest returns the caller's request in the form in which it is sent to the upstream.
func newUpstreamRequest(ctx context.Context, c *call, t *routing.Target) *http.Request {
	q := c.httpRequest.Clone(ctx)
	q.URL.Scheme = "http"
	q.URL.Host = t.Address
	q.RequestURI = ""
	q.Close = false
	removeHopByHopHeaders(q.Header)
	q.Header.Set(outcome.DeadlineHeader, c.Deadline.UTC().Format(time.RFC3339Nano))
	q.Header.Set(outcome.RequestIDHeader, c.requestID)
	if _, ok := q.Header["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its default.
		q.Header.Set("User-Agent", "")
	}
	if c.httpRequest.ContentLength == 0 {
		q.Body = http.NoBody
	} else {
		// The transport closes the body even if it has not read it. NopCloser keeps it open for the next attempt.
		q.Body = io.NopCloser(c.httpRequest.Body)
	}
	return q
}

func removeHopByHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for k := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(k))
		}
	}
	for _, k := range hopByHopHeaders {
		h.Del(k)
	}
}

// writeResponse writes a response to the caller. It aborts the caller's connection if the response is truncated.
func (h *Handler) writeResponse(_ context.Context, w http.ResponseWriter, v any) error {
	r := v.(*response) //nolint:forcetypeassert // serve returns nothing else
	w.Header().Set(outcome.RequestIDHeader, r.call.requestID)
	h.retries.deposit()
	if r.recorded != nil {
		writeRecordedResponse(w, r.recorded)
		return nil
	}
	defer r.cancel()
	defer r.Body.Close()
	rec, err := h.copyResponse(w, r)
	r.complete(err == nil)
	h.completeKey(r.call, rec, err)
	if err != nil {
		h.Metrics.Aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
	h.Metrics.Responses.Add(1)
	h.Metrics.LatencySeconds.Observe(time.Since(r.call.ArrivedAt).Seconds())
	return nil
}

func writeRecordedResponse(w http.ResponseWriter, r *RecordedResponse) {
	copyHeader(w.Header(), r.Header)
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = append(to[k], v...)
	}
}

// copyResponse copies header, body and trailer to the caller. If the request has an idempotency key, copyResponse also
// returns the response to record for duplicate requests.
func (h *Handler) copyResponse(w http.ResponseWriter, r *response) (*RecordedResponse, error) {
	removeHopByHopHeaders(r.Header)
	copyHeader(w.Header(), r.Header)
	for k := range r.Trailer {
		w.Header().Add("Trailer", k)
	}
	w.WriteHeader(r.StatusCode)
	var rec *RecordedResponse
	if r.call.idempotencyKey != "" {
		rec = &RecordedResponse{Status: r.StatusCode, Header: r.Header.Clone()}
	}
	if err := copyBody(w, r.Body, r.ContentLength < 0, rec); err != nil {
		return nil, err
	}
	copyHeader(w.Header(), r.Trailer)
	return rec, nil
}

// copyBody copies a body to the caller. If flush is true, copyBody flushes after each read. Unless rec is nil, copyBody
// also records the body in rec.
func copyBody(w http.ResponseWriter, r io.Reader, flush bool, rec *RecordedResponse) error {
	b := make([]byte, copyBufferBytes)
	c := http.NewResponseController(w)
	for {
		n, err := r.Read(b)
		if n > 0 {
			if _, err := w.Write(b[:n]); err != nil {
				return err
			}
			rec.appendBody(b[:n])
			if flush {
				_ = c.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// appendBody adds a chunk to the recorded body. It discards the recorded body once that exceeds maxRecordedBytes.
func (r *RecordedResponse) appendBody(b []byte) {
	if r == nil || r.tooLarge {
		return
	}
	r.Body = append(r.Body, b...)
	if len(r.Body) > maxRecordedBytes {
		r.Body, r.tooLarge = nil, true
	}
}

// completeKey records the response to a request with an idempotency key. A response that was truncated or exceeds
// maxRecordedBytes is not recorded, so that the outcome is unknown to duplicates.
func (h *Handler) completeKey(c *call, rec *RecordedResponse, err error) {
	if c.idempotencyKey == "" {
		return
	}
	if err != nil || rec == nil || rec.tooLarge {
		rec = nil
	}
	h.Keys.Complete(c.idempotencyKey, outcome.Unknown, rec)
}

// writeError writes a failure to the caller.
func (h *Handler) writeError(_ context.Context, err error, w http.ResponseWriter) {
	e := &callError{status: http.StatusInternalServerError, outcome: outcome.Unknown, reason: err.Error()}
	_ = errors.As(err, &e)
	if e.outcome == "" {
		e.outcome = outcome.NotRun
	}
	switch e.outcome {
	case outcome.NotRun:
		h.Metrics.NotRun.Add(1)
	case outcome.Unknown:
		h.Metrics.Unknown.Add(1)
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(outcome.Header, string(e.outcome))
	header.Set(outcome.RequestIDHeader, e.requestID)
	if !e.retryAt.IsZero() {
		// Retry-After has a resolution of one second; the body holds the exact time.
		s := int(time.Until(e.retryAt).Seconds()) + 1
		header.Set("Retry-After", strconv.Itoa(max(1, s)))
	}
	var b bytes.Buffer
	_ = json.NewEncoder(&b).Encode(outcome.Failure{Outcome: e.outcome, Reason: e.reason, Request: e.requestID, RetryAt: e.retryAt})
	w.WriteHeader(e.status)
	_, _ = w.Write(b.Bytes())
}

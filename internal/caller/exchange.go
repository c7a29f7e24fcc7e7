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

// hopHeaders are the headers that concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyBufferBytes is the size of the buffer between upstream and caller.
const copyBufferBytes = 32 << 10

// maxRecordedBytes bounds the body of an answer that is remembered for repeats.
const maxRecordedBytes = 16 << 10

func requestName(prefix string, n uint64) string { return prefix + "-" + strconv.FormatUint(n, 36) }

// outgoing returns the request that is sent to the upstream.
func outgoing(ctx context.Context, c *call, t *routing.Target) *http.Request {
	q := c.in.Clone(ctx)
	q.URL.Scheme = "http"
	q.URL.Host = t.Address
	q.RequestURI = ""
	q.Close = false
	removeHopHeaders(q.Header)
	q.Header.Set(outcome.DeadlineHeader, c.Deadline.UTC().Format(time.RFC3339Nano))
	q.Header.Set(outcome.RequestHeader, c.name)
	if _, ok := q.Header["User-Agent"]; !ok {
		// An empty value keeps the transport from adding one of its own.
		q.Header.Set("User-Agent", "")
	}
	if c.in.ContentLength == 0 {
		q.Body = http.NoBody
	} else {
		// The transport closes a body that it never read, and another attempt would find it closed.
		q.Body = io.NopCloser(c.in.Body)
	}
	return q
}

func removeHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for k := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(k))
		}
	}
	for _, k := range hopHeaders {
		h.Del(k)
	}
}

// encode writes an answer to the caller, and aborts the caller's connection where it is not whole.
func (f *Handler) encode(_ context.Context, w http.ResponseWriter, v any) error {
	a := v.(*answer) //nolint:forcetypeassert // serve returns nothing else
	w.Header().Set(outcome.RequestHeader, a.call.name)
	f.retries.earn()
	if a.recorded != nil {
		writeRecorded(w, a.recorded)
		return nil
	}
	defer a.abort()
	defer a.Body.Close()
	k, err := f.copyAnswer(w, a)
	a.finish(err == nil)
	f.endKey(a.call, k, err)
	if err != nil {
		f.Metrics.Aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
	f.Metrics.Answers.Add(1)
	f.Metrics.Seconds.Observe(time.Since(a.call.ArrivedAt).Seconds())
	return nil
}

func writeRecorded(w http.ResponseWriter, r *Recorded) {
	copyHeader(w.Header(), r.Header)
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = append(to[k], v...)
	}
}

// copyAnswer copies header, body and trailer, and returns what is to be remembered for repeats.
func (f *Handler) copyAnswer(w http.ResponseWriter, a *answer) (*Recorded, error) {
	removeHopHeaders(a.Header)
	copyHeader(w.Header(), a.Header)
	for k := range a.Trailer {
		w.Header().Add("Trailer", k)
	}
	w.WriteHeader(a.StatusCode)
	var k *Recorded
	if a.call.key != "" {
		k = &Recorded{Status: a.StatusCode, Header: a.Header.Clone()}
	}
	if err := copyBody(w, a.Body, a.ContentLength < 0, k); err != nil {
		return nil, err
	}
	copyHeader(w.Header(), a.Trailer)
	return k, nil
}

// copyBody copies a body, flushes what streams, and keeps a small body for repeats.
func copyBody(w http.ResponseWriter, r io.Reader, streams bool, k *Recorded) error {
	b := make([]byte, copyBufferBytes)
	c := http.NewResponseController(w)
	for {
		n, err := r.Read(b)
		if n > 0 {
			if _, err := w.Write(b[:n]); err != nil {
				return err
			}
			k.keep(b[:n])
			if streams {
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

// keep adds a part of the body, as long as the whole is small.
func (r *Recorded) keep(b []byte) {
	if r == nil || r.tooLarge {
		return
	}
	r.Body = append(r.Body, b...)
	if len(r.Body) > maxRecordedBytes {
		r.Body, r.tooLarge = nil, true
	}
}

// endKey records what became of a request with a key; an answer that can't be repeated whole counts as unknown.
func (f *Handler) endKey(c *call, k *Recorded, err error) {
	if c.key == "" {
		return
	}
	if err != nil || k == nil || k.tooLarge {
		k = nil
	}
	f.Keys.End(c.key, outcome.Unknown, k)
}

// encodeError tells the caller a failure.
func (f *Handler) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	e := &callError{status: http.StatusInternalServerError, outcome: outcome.Unknown, reason: err.Error()}
	_ = errors.As(err, &e)
	if e.outcome == "" {
		e.outcome = outcome.NotRun
	}
	switch e.outcome {
	case outcome.NotRun:
		f.Metrics.NotRun.Add(1)
	case outcome.Unknown:
		f.Metrics.Unknown.Add(1)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(outcome.Header, string(e.outcome))
	h.Set(outcome.RequestHeader, e.name)
	if !e.retryAt.IsZero() {
		// The header knows whole seconds only; the body holds the instant.
		s := int(time.Until(e.retryAt).Seconds()) + 1
		h.Set("Retry-After", strconv.Itoa(max(1, s)))
	}
	var b bytes.Buffer
	_ = json.NewEncoder(&b).Encode(outcome.Failure{Outcome: e.outcome, Reason: e.reason, Request: e.name, RetryAt: e.retryAt})
	w.WriteHeader(e.status)
	_, _ = w.Write(b.Bytes())
}

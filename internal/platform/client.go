package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"currantknot.dev/currantknot/internal/placement"
	"currantknot.dev/currantknot/internal/record"
)

// maxAnswerBytes bounds an answer of the platform.
const maxAnswerBytes = 64 << 20

// maxIdleConns bounds the idle connections to the platform.
const maxIdleConns = 32

// Error reports a failed call to the platform.
type Error struct {
	Call string
	// Status is the HTTP status, 0 where no answer came.
	Status int
	// NotApplied tells that the call had surely no effect.
	NotApplied bool
	Cause      error
}

// Error names the call and the failure.
func (e *Error) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("platform call %s: status %d", e.Call, e.Status)
	}
	return fmt.Sprintf("platform call %s: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Upstream is one entry of the platform's lagging list of upstreams.
type Upstream struct {
	Name          string
	Service       string
	Address       string
	FailureDomain string
	Worker        string
	Leaving       bool
}

// Entry is one entry of the platform's lagging list of the system's own instances.
type Entry struct {
	Name        string
	PeerAddress string
	Leaving     bool
}

// AppendAnswer is the log's answer to an append.
type AppendAnswer struct {
	Offset uint64
}

// Client calls the platform.
type Client struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

// NewClient returns a client of the platform at the URL; every call ends after the timeout.
func NewClient(base string, timeout time.Duration) *Client {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{base: base, timeout: timeout, client: &http.Client{Transport: t}}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Append appends data to a stream of the log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) error {
	var a AppendAnswer
	return c.call(ctx, http.MethodPost, "/log/"+url.PathEscape(stream), data, time.Time{}, &a)
}

// Read reads a stream from an offset and waits for news until the given instant.
func (c *Client) Read(ctx context.Context, stream string, from uint64, until time.Time) (record.Page, error) {
	w := max(0, time.Until(until)).Milliseconds()
	p := "/log/" + url.PathEscape(stream) + "?From=" + strconv.FormatUint(from, 10) + "&WaitMs=" + strconv.FormatInt(w, 10)
	var a record.Page
	err := c.call(ctx, http.MethodGet, p, nil, until, &a)
	return a, err
}

// Workers returns the platform's lagging list of workers.
func (c *Client) Workers(ctx context.Context) ([]placement.Worker, error) {
	var a []placement.Worker
	err := c.call(ctx, http.MethodGet, "/workers", nil, time.Time{}, &a)
	return a, err
}

// Upstreams returns the platform's lagging list of upstreams.
func (c *Client) Upstreams(ctx context.Context) ([]Upstream, error) {
	var a []Upstream
	err := c.call(ctx, http.MethodGet, "/upstreams", nil, time.Time{}, &a)
	return a, err
}

// Entries returns the platform's lagging list of the system's own instances.
func (c *Client) Entries(ctx context.Context) ([]Entry, error) {
	var a []Entry
	err := c.call(ctx, http.MethodGet, "/entries", nil, time.Time{}, &a)
	return a, err
}

// Start sends a start order to a worker.
func (c *Client) Start(ctx context.Context, o placement.StartOrder) (placement.TaskReport, error) {
	var a placement.TaskReport
	err := c.order(ctx, o.Worker, "start", o, &a)
	return a, err
}

// Stop sends a stop order to a worker.
func (c *Client) Stop(ctx context.Context, o placement.StopOrder) (placement.TaskReport, error) {
	var a placement.TaskReport
	err := c.order(ctx, o.Worker, "stop", o, &a)
	return a, err
}

// Sync renews leases at a worker and returns its report.
func (c *Client) Sync(ctx context.Context, o placement.SyncOrder) (placement.WorkerReport, error) {
	var a placement.WorkerReport
	err := c.order(ctx, o.Worker, "sync", o, &a)
	return a, err
}

func (c *Client) order(ctx context.Context, worker, verb string, order, answer any) error {
	b, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode %s order: %w", verb, err)
	}
	return c.call(ctx, http.MethodPost, "/workers/"+url.PathEscape(worker)+"/"+verb, b, time.Time{}, answer)
}

// call makes one request; a wait until the given instant is added to the timeout.
func (c *Client) call(ctx context.Context, method, path string, body []byte, until time.Time, answer any) error {
	t := c.timeout + max(0, time.Until(until))
	ctx, cancel := context.WithTimeout(ctx, t)
	defer cancel()
	e := &Error{Call: method + " " + path}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build platform call %s: %w", path, err)
	}
	s, err := c.client.Do(r)
	if err != nil {
		e.Cause = err
		e.NotApplied = errors.Is(err, syscall.ECONNREFUSED)
		return e
	}
	defer s.Body.Close()
	b, err := io.ReadAll(io.LimitReader(s.Body, maxAnswerBytes))
	if err != nil {
		e.Cause = err
		return e
	}
	if s.StatusCode != http.StatusOK {
		e.Status = s.StatusCode
		e.NotApplied = s.StatusCode != http.StatusGatewayTimeout
		return e
	}
	if err := json.Unmarshal(b, answer); err != nil {
		e.Cause = err
		return e
	}
	return nil
}

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

// maxResponseBytes bounds the part of a response body that is read.
const maxResponseBytes = 64 << 20

// maxIdleConns bounds the idle connections to the platform.
const maxIdleConns = 32

// Error reports a failed call to the platform.
type Error struct {
	// Call is the HTTP method and the path with the query.
	Call string
	// Status is the HTTP status of the response if that was not 200 OK, 0 if the call failed in another way.
	Status int
	// NotApplied means that the call is known to have had no effect.
	NotApplied bool
	// Cause is the error of the connection or of decoding the response, nil if Status is set.
	Cause error
}

// Error returns the call and the status or cause of its failure.
func (e *Error) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("platform call %s: status %d", e.Call, e.Status)
	}
	return fmt.Sprintf("platform call %s: %v", e.Call, e.Cause)
}

// Unwrap returns the cause, nil if the platform responded with an error status.
func (e *Error) Unwrap() error { return e.Cause }

// Upstream describes the HTTP server of one service replica in the platform's list of upstreams. The list lags behind the
// actual state.
type Upstream struct {
	Name          string
	Service       string
	Address       string
	FailureDomain string
	Worker        string
	// Leaving means that the replica was stopped and that its server shuts down soon; it must get no new requests.
	Leaving bool
}

// Instance describes one of the system's own instances in the platform's list of them. The list lags behind the actual
// state.
type Instance struct {
	Name        string
	PeerAddress string
	// Leaving means that the other instances must not connect to the instance any more.
	Leaving bool
}

// AppendResponse holds the offset that the log assigned to an appended entry.
type AppendResponse struct {
	Offset uint64
}

// Client sends calls to the platform over HTTP.
type Client struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

// NewClient returns a client of the platform at the base URL. The timeout bounds each call, not counting the time that Read
// may wait for an append.
func NewClient(base string, timeout time.Duration) *Client {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{base: base, timeout: timeout, client: &http.Client{Transport: t}}
}

// Close closes the idle connections to the platform.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Append appends data to a stream of the log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) error {
	var r AppendResponse
	return c.call(ctx, http.MethodPost, "/log/"+url.PathEscape(stream), data, time.Time{}, &r)
}

// Read reads a stream from an offset on. If the stream has no entry at or after the offset yet, the platform waits for an
// append until the given instant.
func (c *Client) Read(ctx context.Context, stream string, from uint64, until time.Time) (record.Page, error) {
	waitMs := max(0, time.Until(until)).Milliseconds()
	path := "/log/" + url.PathEscape(stream) + "?From=" + strconv.FormatUint(from, 10) + "&WaitMs=" + strconv.FormatInt(waitMs, 10)
	var page record.Page
	err := c.call(ctx, http.MethodGet, path, nil, until, &page)
	return page, err
}

// Workers returns the platform's list of workers, which lags behind the actual state.
func (c *Client) Workers(ctx context.Context) ([]placement.Worker, error) {
	var workers []placement.Worker
	err := c.call(ctx, http.MethodGet, "/workers", nil, time.Time{}, &workers)
	return workers, err
}

// Upstreams returns the platform's list of upstreams, which lags behind the actual state.
func (c *Client) Upstreams(ctx context.Context) ([]Upstream, error) {
	var upstreams []Upstream
	err := c.call(ctx, http.MethodGet, "/upstreams", nil, time.Time{}, &upstreams)
	return upstreams, err
}

// Instances returns the platform's list of the system's own instances, which lags behind the actual state.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var instances []Instance
	err := c.call(ctx, http.MethodGet, "/entries", nil, time.Time{}, &instances)
	return instances, err
}

// Start sends a start order to a worker.
func (c *Client) Start(ctx context.Context, o placement.StartOrder) (placement.TaskReport, error) {
	var r placement.TaskReport
	err := c.sendOrder(ctx, o.Worker, "start", o, &r)
	return r, err
}

// Stop sends a stop order to a worker.
func (c *Client) Stop(ctx context.Context, o placement.StopOrder) (placement.TaskReport, error) {
	var r placement.TaskReport
	err := c.sendOrder(ctx, o.Worker, "stop", o, &r)
	return r, err
}

// Sync sends a sync order, which renews leases, to a worker and returns the worker's report.
func (c *Client) Sync(ctx context.Context, o placement.SyncOrder) (placement.WorkerReport, error) {
	var r placement.WorkerReport
	err := c.sendOrder(ctx, o.Worker, "sync", o, &r)
	return r, err
}

func (c *Client) sendOrder(ctx context.Context, worker, verb string, order, response any) error {
	b, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode %s order: %w", verb, err)
	}
	return c.call(ctx, http.MethodPost, "/workers/"+url.PathEscape(worker)+"/"+verb, b, time.Time{}, response)
}

// call sends one request and decodes the response. The request times out c.timeout after the given instant, or after now
// if the instant has passed or is zero.
func (c *Client) call(ctx context.Context, method, path string, body []byte, until time.Time, response any) error {
	t := c.timeout + max(0, time.Until(until))
	ctx, cancel := context.WithTimeout(ctx, t)
	defer cancel()
	e := &Error{Call: method + " " + path}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build platform call %s: %w", path, err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		e.Cause = err
		e.NotApplied = errors.Is(err, syscall.ECONNREFUSED)
		return e
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		e.Cause = err
		return e
	}
	if resp.StatusCode != http.StatusOK {
		e.Status = resp.StatusCode
		e.NotApplied = resp.StatusCode != http.StatusGatewayTimeout
		return e
	}
	if err := json.Unmarshal(b, response); err != nil {
		e.Cause = err
		return e
	}
	return nil
}

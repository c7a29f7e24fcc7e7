package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"currantknot.dev/currantknot/internal/docstore"
)

// Client calls the operators' API of an instance.
type Client struct {
	// BaseURL is the URL of the operator address, without a trailing slash.
	BaseURL string
	Token   string
	Timeout time.Duration
}

// Document returns the whole document.
func (c *Client) Document(ctx context.Context) (DocumentResponse, error) {
	var r DocumentResponse
	err := c.call(ctx, http.MethodGet, "/document", nil, &r)
	return r, err
}

// Edit commits an edit.
func (c *Client) Edit(ctx context.Context, q EditRequest) (EditResponse, error) {
	var r EditResponse
	err := c.call(ctx, http.MethodPost, "/document", q, &r)
	return r, err
}

// Check returns the error with which an edit would be refused, or nil.
func (c *Client) Check(ctx context.Context, q EditRequest) error {
	return c.call(ctx, http.MethodPost, "/document/check", q, &EditResponse{})
}

// Log returns the latest changes of the document, oldest first.
func (c *Client) Log(ctx context.Context) ([]docstore.Change, error) {
	var cs []docstore.Change
	err := c.call(ctx, http.MethodGet, "/document/log", nil, &cs)
	return cs, err
}

// SetDomain takes a failure domain out of service or brings it back.
func (c *Client) SetDomain(ctx context.Context, q DomainRequest) (EditResponse, error) {
	var r EditResponse
	err := c.call(ctx, http.MethodPost, "/domains/"+url.PathEscape(q.Name), q, &r)
	return r, err
}

// Status returns the state of the system.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, "/status", nil, &s)
	return s, err
}

// Explain returns the decisions of all instances about a subject.
func (c *Client) Explain(ctx context.Context, subject string) (ExplainResponse, error) {
	var r ExplainResponse
	err := c.call(ctx, http.MethodGet, "/explain?Subject="+url.QueryEscape(subject), nil, &r)
	return r, err
}

// call sends one request and decodes the response. It returns a *ResponseError for a status other than 200.
func (c *Client) call(ctx context.Context, method, path string, body, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	b, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	s, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("call instance %s: %w", c.BaseURL, err)
	}
	defer s.Body.Close()
	d, err := io.ReadAll(s.Body)
	if err != nil {
		return fmt.Errorf("read response of instance %s: %w", c.BaseURL, err)
	}
	if s.StatusCode != http.StatusOK {
		e := &ResponseError{Status: s.StatusCode}
		if json.Unmarshal(d, &e.Failure) != nil {
			e.Message = string(d)
		}
		return e
	}
	if err := json.Unmarshal(d, response); err != nil {
		return fmt.Errorf("decode response of instance %s: %w", c.BaseURL, err)
	}
	return nil
}

package operator

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"strings"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/inbound"
	"currantknot.dev/currantknot/internal/limits"
	"currantknot.dev/currantknot/internal/stream"
	"currantknot.dev/currantknot/pkg/document"
)

// maxBodyBytes is the maximum size of a request body: twice the maximum size of a section's text, to leave space for
// JSON escapes.
const maxBodyBytes = 2 * document.MaxTextBytes

// Failure is the body of an error response.
type Failure struct {
	Message  string
	Findings []document.Finding `json:",omitempty"`
}

// ResponseError reports an error response to a request of the client.
type ResponseError struct {
	Failure

	Status int
}

// Error returns the message and all findings, one per line.
func (e *ResponseError) Error() string {
	l := []string{e.Message}
	for _, x := range e.Findings {
		l = append(l, "  "+x.String())
	}
	return strings.Join(l, "\n")
}

// InputError reports an invalid request.
type InputError struct {
	Reason string
}

// Error returns the reason.
func (e *InputError) Error() string { return e.Reason }

// ForbiddenError reports an edit that the team of the token may not make. Team is empty if the token is missing or
// invalid. Owner is the team that owns the section.
type ForbiddenError struct {
	Team    string
	Section string
	Owner   string
}

// Error names the team, the section and its owner, or reports an invalid token.
func (e *ForbiddenError) Error() string {
	if e.Team == "" {
		return "no valid token"
	}
	return fmt.Sprintf("team %s may not edit section %s of team %s", e.Team, e.Section, e.Owner)
}

// NotFoundError reports a name that is not declared in the document.
type NotFoundError struct {
	Kind string
	Name string
}

// Error names the kind and name that were not found.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no %s %q", e.Kind, e.Name) }

// route is one route of the HTTP API.
type route struct {
	pattern  string
	endpoint func(Backend) endpoint.Endpoint
	decode   kithttp.DecodeRequestFunc
}

// NewHandler returns the HTTP handler of the operator address.
func NewHandler(b Backend) http.Handler {
	m := http.NewServeMux()
	for _, r := range []route{
		{"GET /document", getDocument, decodeEmpty},
		{"POST /document", editDocument, decodeEdit},
		{"POST /document/check", checkDocument, decodeEdit},
		{"GET /document/log", documentLog, decodeEmpty},
		{"GET /status", status, decodeEmpty},
		{"GET /explain", explain, decodeSubject},
		{"POST /domains/{name}", setDomain, decodeDomain},
	} {
		m.Handle(r.pattern, kithttp.NewServer(r.endpoint(b), limitBody(r.decode), encodeResponse,
			kithttp.ServerBefore(storeToken), kithttp.ServerErrorEncoder(encodeError)))
	}
	m.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { serveReady(b, w) })
	m.Handle("GET /debug/vars", expvar.Handler())
	return m
}

// limitBody limits the request body that a decoder reads to maxBodyBytes.
func limitBody(d kithttp.DecodeRequestFunc) kithttp.DecodeRequestFunc {
	return func(ctx context.Context, r *http.Request) (any, error) {
		r.Body = http.MaxBytesReader(nil, r.Body, maxBodyBytes)
		return d(ctx, r)
	}
}

// tokenKey is the context key of the operator's token.
type tokenKey struct{}

// storeToken stores the bearer token of the request in the context.
func storeToken(ctx context.Context, r *http.Request) context.Context {
	t := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return context.WithValue(ctx, tokenKey{}, t)
}

func tokenFromContext(ctx context.Context) string {
	t, _ := ctx.Value(tokenKey{}).(string)
	return t
}

func decodeEmpty(context.Context, *http.Request) (any, error) { return nil, nil } //nolint:nilnil // the request has no input

// decodeJSON decodes the JSON value at the start of the request body. An unknown field is an error.
func decodeJSON(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	switch {
	case inbound.IsRefused(err):
		return err
	case err != nil:
		return &InputError{Reason: "body: " + err.Error()}
	}
	return nil
}

func encodeResponse(_ context.Context, w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(v)
}

// encodeError writes an error response with the HTTP status for the type of the error.
func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	f := Failure{Message: err.Error()}
	s := http.StatusInternalServerError
	var (
		findings  *document.FindingsError
		conflict  *docstore.ConflictError
		unknown   *stream.UnknownError
		stale     *stream.StaleError
		input     *InputError
		forbidden *ForbiddenError
		notFound  *NotFoundError
		refused   *limits.RefusedError
	)
	switch {
	case errors.As(err, &findings):
		s, f.Message, f.Findings = http.StatusBadRequest, "the document has findings", findings.Findings
	case errors.As(err, &conflict):
		s = http.StatusConflict
	case errors.As(err, &unknown):
		s = http.StatusGatewayTimeout
	case errors.As(err, &stale), errors.As(err, &refused):
		s = http.StatusServiceUnavailable
	case errors.As(err, &input):
		s = http.StatusBadRequest
	case errors.As(err, &forbidden):
		s = http.StatusForbidden
	case errors.As(err, &notFound):
		s = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(s)
	_ = json.NewEncoder(w).Encode(f)
}

func serveReady(b Backend, w http.ResponseWriter) {
	ok, why := b.IsReady()
	if !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

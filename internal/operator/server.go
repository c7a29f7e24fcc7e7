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
	"currantknot.dev/currantknot/internal/stream"
	"currantknot.dev/currantknot/pkg/document"
)

// maxBodyBytes bounds the body of a request: the text of a document and what JSON adds to it.
const maxBodyBytes = 2 * document.MaxTextBytes

// Failure is the body of a failed answer.
type Failure struct {
	Message  string
	Findings []document.Finding `json:",omitempty"`
}

// FailedError reports a failed answer to a command.
type FailedError struct {
	Failure

	Status int
}

// Error returns the message and all findings, one a line.
func (e *FailedError) Error() string {
	l := []string{e.Message}
	for _, x := range e.Findings {
		l = append(l, "  "+x.String())
	}
	return strings.Join(l, "\n")
}

// InputError reports a request that can't be understood.
type InputError struct {
	Reason string
}

// Error returns the reason.
func (e *InputError) Error() string { return e.Reason }

// ForbiddenError reports a token that may not do what was asked.
type ForbiddenError struct {
	Team    string
	Section string
	Owner   string
}

// Error names the team, the section and its owner.
func (e *ForbiddenError) Error() string {
	if e.Team == "" {
		return "no valid token"
	}
	return fmt.Sprintf("team %s may not edit section %s of team %s", e.Team, e.Section, e.Owner)
}

// NotFoundError reports a name that the document does not hold.
type NotFoundError struct {
	Kind string
	Name string
}

// Error names what was looked for.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no %s %q", e.Kind, e.Name) }

// route is one kind of request.
type route struct {
	pattern  string
	endpoint func(Backend) endpoint.Endpoint
	decode   kithttp.DecodeRequestFunc
}

// NewHandler returns the handler of the operators' address.
func NewHandler(b Backend) http.Handler {
	m := http.NewServeMux()
	for _, r := range []route{
		{"GET /document", getDocument, decodeNothing},
		{"POST /document", editDocument, decodeEdit},
		{"POST /document/check", checkDocument, decodeEdit},
		{"GET /document/log", documentLog, decodeNothing},
		{"GET /status", status, decodeNothing},
		{"GET /explain", explain, decodeSubject},
		{"POST /domains/{name}", setDomain, decodeDomain},
	} {
		m.Handle(r.pattern, kithttp.NewServer(r.endpoint(b), limited(r.decode), encode,
			kithttp.ServerBefore(rememberToken), kithttp.ServerErrorEncoder(encodeError)))
	}
	m.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { serveReady(b, w) })
	m.Handle("GET /debug/vars", expvar.Handler())
	return m
}

// limited bounds the body that a decoder reads.
func limited(d kithttp.DecodeRequestFunc) kithttp.DecodeRequestFunc {
	return func(ctx context.Context, r *http.Request) (any, error) {
		r.Body = http.MaxBytesReader(nil, r.Body, maxBodyBytes)
		return d(ctx, r)
	}
}

type tokenKey struct{}

func rememberToken(ctx context.Context, r *http.Request) context.Context {
	t := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return context.WithValue(ctx, tokenKey{}, t)
}

func tokenOf(ctx context.Context) string {
	t, _ := ctx.Value(tokenKey{}).(string)
	return t
}

func decodeNothing(context.Context, *http.Request) (any, error) { return nil, nil } //nolint:nilnil // the request has no input

// decodeJSON reads a body that holds exactly one value without unknown fields.
func decodeJSON(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &InputError{Reason: "body: " + err.Error()}
	}
	return nil
}

func encode(_ context.Context, w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(v)
}

// encodeError answers with the status of the error's kind.
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
	)
	switch {
	case errors.As(err, &findings):
		s, f.Message, f.Findings = http.StatusBadRequest, "the document has findings", findings.Findings
	case errors.As(err, &conflict):
		s = http.StatusConflict
	case errors.As(err, &unknown):
		s = http.StatusGatewayTimeout
	case errors.As(err, &stale):
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

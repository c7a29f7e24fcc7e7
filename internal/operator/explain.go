package operator

import (
	"context"
	"net/http"

	"github.com/go-kit/kit/endpoint"

	"currantknot.dev/currantknot/internal/decision"
)

// ExplainResponse holds the recent decisions about a subject of all instances that responded.
type ExplainResponse struct {
	Subject string
	Entries []decision.Entry
	// Silent lists the instances that did not respond.
	Silent []string
}

func decodeSubject(_ context.Context, r *http.Request) (any, error) {
	s := r.FormValue("Subject")
	if s == "" {
		return nil, &InputError{Reason: "a Subject is needed"}
	}
	return s, nil
}

func explain(b Backend) endpoint.Endpoint {
	return func(ctx context.Context, v any) (any, error) {
		s := v.(string) //nolint:forcetypeassert // decodeSubject returns nothing else
		e, unresponsive := b.Explain(ctx, s)
		if e == nil {
			e = []decision.Entry{}
		}
		return ExplainResponse{s, e, unresponsive}, nil
	}
}

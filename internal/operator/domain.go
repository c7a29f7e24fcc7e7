package operator

import (
	"context"
	"net/http"
	"slices"

	"github.com/go-kit/kit/endpoint"

	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/record"
	"currantknot.dev/currantknot/pkg/document"
)

// maxEditAttempts is the maximum number of attempts to change a failure domain while other edits of its section are
// committed first.
const maxEditAttempts = 10

// DomainRequest takes a failure domain out of service or brings it back into service.
type DomainRequest struct {
	Name         string
	OutOfService bool
	Author       string
	Reason       string
}

func decodeDomain(_ context.Context, r *http.Request) (any, error) {
	var q DomainRequest
	if err := decodeJSON(r, &q); err != nil {
		return nil, err
	}
	q.Name = r.PathValue("name")
	return &q, nil
}

// setDomain edits the section that declares the failure domain, and retries after each conflict.
func setDomain(b Backend) endpoint.Endpoint {
	return func(ctx context.Context, v any) (any, error) {
		q := v.(*DomainRequest) //nolint:forcetypeassert // decodeDomain returns nothing else
		for n := 1; ; n++ {
			r, err := trySetDomain(ctx, b, q)
			if err == nil || !isConflict(err) || n >= maxEditAttempts {
				return r, err
			}
		}
	}
}

// trySetDomain makes one attempt to edit the failure domain. If the view lacks the failure domain, it looks again after
// the view has caught up.
func trySetDomain(ctx context.Context, b Backend, q *DomainRequest) (any, error) {
	e, err := domainEdit(b.View(), q)
	if err != nil {
		if err := b.CatchUp(ctx); err != nil {
			return nil, err
		}
		e, err = domainEdit(b.View(), q)
	}
	if err != nil {
		return nil, err
	}
	if err := authorize(ctx, b, e); err != nil {
		return nil, err
	}
	return commitEdit(ctx, b, e)
}

// domainEdit returns an edit of the section that declares the failure domain, or a *NotFoundError.
func domainEdit(v *docstore.View, q *DomainRequest) (*record.Edit, error) {
	s, i, ok := v.Document.FindFailureDomain(q.Name)
	if !ok {
		return nil, &NotFoundError{"failure domain", q.Name}
	}
	c := *s
	c.FailureDomains = slices.Clone(s.FailureDomains)
	c.FailureDomains[i].OutOfService = q.OutOfService
	c.FailureDomains[i].Reason = ""
	if q.OutOfService {
		c.FailureDomains[i].Reason = q.Reason
	}
	return &record.Edit{
		Author: q.Author, Reason: q.Reason,
		Sections: []record.SectionEdit{{Section: c.Section, Base: v.Revisions[c.Section], Text: document.Render(&c)}},
	}, nil
}

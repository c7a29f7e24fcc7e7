package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/go-kit/kit/endpoint"

	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/record"
	"currantknot.dev/currantknot/pkg/document"
)

// SectionText is one section with its revision.
type SectionText struct {
	Section  string
	Owner    string
	Revision uint64
	Text     string
}

// DocumentAnswer is the whole document.
type DocumentAnswer struct {
	Next     uint64
	Sections []SectionText
}

func getDocument(b Backend) endpoint.Endpoint {
	return func(context.Context, any) (any, error) { return documentOf(b.View()), nil }
}

func documentOf(v *docstore.View) DocumentAnswer {
	a := DocumentAnswer{Next: v.Next, Sections: []SectionText{}}
	for _, s := range v.Document.All() {
		a.Sections = append(a.Sections, SectionText{s.Section, s.Owner, v.Revisions[s.Section], string(document.Render(s))})
	}
	return a
}

// EditRequest replaces sections, all of them or none.
type EditRequest struct {
	Sections []SectionEdit
	Author   string
	Reason   string
}

// SectionEdit replaces one section; an empty text removes it.
type SectionEdit struct {
	Section string
	Base    uint64
	Text    string
}

// EditAnswer tells what became of an edit.
type EditAnswer struct {
	// Revision is the revision of the edited sections, and the first offset after the edit.
	Revision uint64
	// InForce lists the instances that have applied the edit, and Instances counts all.
	InForce   []string
	Instances int
}

func decodeEdit(_ context.Context, r *http.Request) (any, error) {
	var q EditRequest
	if err := decodeJSON(r, &q); err != nil {
		return nil, err
	}
	if len(q.Sections) == 0 {
		return nil, &InputError{Reason: "an edit needs at least one section"}
	}
	return &q, nil
}

func (q *EditRequest) record() *record.Edit {
	e := &record.Edit{Author: q.Author, Reason: q.Reason}
	for _, s := range q.Sections {
		e.Sections = append(e.Sections, record.SectionEdit{Section: s.Section, Base: s.Base, Text: []byte(s.Text)})
	}
	return e
}

func editDocument(b Backend) endpoint.Endpoint {
	return func(ctx context.Context, v any) (any, error) {
		q := v.(*EditRequest) //nolint:forcetypeassert // decodeEdit returns nothing else
		e := q.record()
		if err := authorize(ctx, b, e); err != nil {
			return nil, err
		}
		if err := check(ctx, b, e); err != nil {
			return nil, err
		}
		return commit(ctx, b, e)
	}
}

// commit commits an edit and tells on which instances it is in force already.
func commit(ctx context.Context, b Backend, e *record.Edit) (any, error) {
	n, err := b.Edit(ctx, e)
	if err != nil {
		return nil, err
	}
	in, t := b.InForce(n)
	return EditAnswer{Revision: n, InForce: in, Instances: t}, nil
}

func checkDocument(b Backend) endpoint.Endpoint {
	return func(ctx context.Context, v any) (any, error) {
		q := v.(*EditRequest) //nolint:forcetypeassert // decodeEdit returns nothing else
		if err := check(ctx, b, q.record()); err != nil {
			return nil, err
		}
		return EditAnswer{Revision: b.View().Next}, nil
	}
}

// check returns the findings of an edit before the log decides on what races.
//
// A view that lags may find faults in an edit that builds on what it has not
// read yet, so findings count only after it has caught up.
func check(ctx context.Context, b Backend, e *record.Edit) error {
	if b.View().Check(e) == nil {
		return nil
	}
	if err := b.CatchUp(ctx); err != nil {
		return err
	}
	return b.View().Check(e)
}

// authorize lets a team edit the sections that it owns before and after the edit.
func authorize(ctx context.Context, b Backend, e *record.Edit) error {
	t := b.Team(tokenOf(ctx))
	if t == "" {
		return &ForbiddenError{}
	}
	if t == "*" {
		return nil
	}
	v := b.View()
	for _, x := range e.Sections {
		if s := v.Document.Sections[x.Section]; s != nil && s.Owner != t {
			return &ForbiddenError{t, x.Section, s.Owner}
		}
		a, err := document.Parse(x.Text)
		if err == nil && len(a) == 1 && a[0].Owner != t {
			return &ForbiddenError{t, x.Section, a[0].Owner}
		}
	}
	return nil
}

func documentLog(b Backend) endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		h := b.View().History
		if h == nil {
			h = []docstore.Change{}
		}
		return h, nil
	}
}

// isConflict reports whether an edit lost a race and may be tried again.
func isConflict(err error) bool {
	var c *docstore.ConflictError
	return errors.As(err, &c)
}

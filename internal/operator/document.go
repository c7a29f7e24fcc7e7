package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/go-kit/kit/endpoint"

	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/jsonlist"
	"currantknot.dev/currantknot/internal/record"
	"currantknot.dev/currantknot/pkg/document"
)

// SectionText is the canonical text of one section, with its owner and revision.
type SectionText struct {
	Section  string
	Owner    string
	Revision uint64
	Text     string
}

// DocumentResponse is the response with the whole document.
type DocumentResponse struct {
	// Next is the first offset of the document's stream that the document does not include.
	Next     uint64
	Sections []SectionText
}

func getDocument(b Backend) endpoint.Endpoint {
	return func(context.Context, any) (any, error) { return documentResponse(b.View()), nil }
}

func documentResponse(v *docstore.View) DocumentResponse {
	r := DocumentResponse{Next: v.Next, Sections: []SectionText{}}
	for _, s := range v.Document.SortedSections() {
		r.Sections = append(r.Sections, SectionText{s.Section, s.Owner, v.Revisions[s.Section], string(document.Render(s))})
	}
	return r
}

// EditRequest replaces or removes sections. Either all of its edits are applied or none.
type EditRequest struct {
	Sections SectionEdits
	Author   string
	Reason   string
}

// maxSectionEdits is the maximum number of sections in one edit.
const maxSectionEdits = 10_000

// SectionEdits is the sections of an edit. It refuses a list that is too long before it takes the memory for it.
type SectionEdits []SectionEdit

// UnmarshalJSON implements json.Unmarshaler.
func (l *SectionEdits) UnmarshalJSON(b []byte) error {
	x, err := jsonlist.Decode[SectionEdit](b, maxSectionEdits, true)
	if err != nil {
		return fmt.Errorf("sections: %w", err)
	}
	*l = x
	return nil
}

// SectionEdit replaces one section, or removes it if Text is empty.
type SectionEdit struct {
	Section string
	// Base is the revision on which the edit is based, 0 for a section that does not exist.
	Base uint64
	Text string
}

// EditResponse is the response to an edit. In the response to the check of an edit, only Revision is set.
type EditResponse struct {
	// Revision is the revision of the edited sections, which is also the first offset after the edit. After a check, it is
	// the first offset that the document does not include.
	Revision uint64
	// InForce lists the live instances that had applied the edit at the time of the response.
	InForce []string
	// Instances is the number of all live instances.
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
		if err := checkEdit(ctx, b, e); err != nil {
			return nil, err
		}
		return commitEdit(ctx, b, e)
	}
}

// commitEdit commits an edit and returns an EditResponse.
func commitEdit(ctx context.Context, b Backend, e *record.Edit) (any, error) {
	n, err := b.Edit(ctx, e)
	if err != nil {
		return nil, err
	}
	names, t := b.AppliedBy(n)
	return EditResponse{Revision: n, InForce: names, Instances: t}, nil
}

func checkDocument(b Backend) endpoint.Endpoint {
	return func(ctx context.Context, v any) (any, error) {
		q := v.(*EditRequest) //nolint:forcetypeassert // decodeEdit returns nothing else
		if err := checkEdit(ctx, b, q.record()); err != nil {
			return nil, err
		}
		return EditResponse{Revision: b.View().Next}, nil
	}
}

// checkEdit returns the error with which an edit would be refused now, or nil.
//
// A view that lags behind the log may refuse an edit that depends on a recent
// edit. The check is therefore repeated after the view has caught up. An edit
// that passes may still be refused when it is read from the log, if another
// edit is accepted before it.
func checkEdit(ctx context.Context, b Backend, e *record.Edit) error {
	if b.View().Check(e) == nil {
		return nil
	}
	if err := b.CatchUp(ctx); err != nil {
		return err
	}
	return b.View().Check(e)
}

// authorize returns a *ForbiddenError unless the team of the token owns all edited sections, both before and after the
// edit, or the token is valid for all teams. A new text that does not parse has no owner; checkEdit refuses it.
func authorize(ctx context.Context, b Backend, e *record.Edit) error {
	t := b.Team(tokenFromContext(ctx))
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

// isConflict reports whether an edit was refused because the section no longer has the revision on which the edit is
// based. The edit may then be retried on the new revision.
func isConflict(err error) bool {
	var c *docstore.ConflictError
	return errors.As(err, &c)
}

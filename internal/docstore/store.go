package docstore

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"currantknot.dev/currantknot/internal/msgpackcheck"
	"currantknot.dev/currantknot/internal/record"
	"currantknot.dev/currantknot/pkg/document"
)

// maxHistory is the maximum number of changes in the history of a view.
const maxHistory = 500

// Change is an accepted edit of one section.
type Change struct {
	// Offset is the offset of the edit in the stream of the document.
	Offset  uint64
	Section string
	Author  string
	Reason  string
	// At is the time at which the envelope of the edit was made, by the clock of its writer.
	At time.Time
}

// View is an immutable snapshot of the document.
type View struct {
	Document *document.Document
	// Next is the first offset of the document's stream that the view does not include.
	Next uint64
	// Revisions holds the revision of each section, by section name: the offset of the latest edit of the section, plus 1.
	Revisions map[string]uint64
	// Generations holds the generation of each service and job, by name: the revision of the edit that added it.
	Generations map[string]uint64
	// RackShards holds the shard of each rack, by failure domain and rack name separated by a slash.
	RackShards map[string]int
	// History holds the latest changes, oldest first.
	History []Change
}

// ConflictError reports an edit that is not based on the current revision of the section.
type ConflictError struct {
	Section string
	// Base is the revision on which the edit is based. Current is the revision of the section, 0 if it does not exist.
	Base    uint64
	Current uint64
}

// Error names the section and both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("section %s is at revision %d, the edit was based on %d", e.Section, e.Current, e.Base)
}

// Store applies edits in log order and publishes views.
type Store struct {
	view atomic.Pointer[View]
}

// NewStore returns a store with an empty document.
func NewStore() *Store {
	s := &Store{}
	s.view.Store(&View{Document: document.New()})
	return s
}

// View returns the current view.
func (s *Store) View() *View { return s.view.Load() }

// Apply applies a log record and advances Next. It returns the *ConflictError or *document.FindingsError for which an
// edit is refused; records of other kinds have no effect on the document.
func (s *Store) Apply(offset uint64, e *record.Envelope, r *record.Record) error {
	v := *s.View()
	v.Next = offset + 1
	if r.Edit == nil {
		s.view.Store(&v)
		return nil
	}
	n, err := v.withEdit(offset, e, r.Edit)
	if err != nil {
		s.view.Store(&v)
		return err
	}
	s.view.Store(n)
	return nil
}

// Check returns the error with which the edit would be refused if it were applied to the view, or nil.
func (v *View) Check(e *record.Edit) error {
	_, err := v.withEdit(v.Next, &record.Envelope{}, e)
	return err
}

// withEdit returns a view with the edit applied, or the error with which the edit is refused.
func (v *View) withEdit(offset uint64, e *record.Envelope, d *record.Edit) (*View, error) {
	n := *v
	// The revision is the offset plus 1, since offsets begin at 0 and revision 0 means that the section does not exist.
	r := offset + 1
	n.Revisions = maps.Clone(v.Revisions)
	if n.Revisions == nil {
		n.Revisions = make(map[string]uint64, 1)
	}
	n.History = slices.Clone(v.History)
	for _, x := range d.Sections {
		if err := n.replaceSection(v, x, r); err != nil {
			return nil, err
		}
		n.History = append(n.History, Change{offset, x.Section, d.Author, d.Reason, e.At})
	}
	if err := checkShards(v.Document, n.Document); err != nil {
		return nil, err
	}
	if err := document.Check(n.Document); err != nil {
		return nil, err
	}
	n.Generations = updateGenerations(v.Generations, n.Document, r)
	n.RackShards = assignRackShards(v.RackShards, n.Document)
	n.History = n.History[max(0, len(n.History)-maxHistory):]
	return &n, nil
}

// replaceSection replaces or removes the edited section in v, a copy of the view old that is not published yet. It
// returns a *ConflictError unless the edit is based on the revision of the section in old.
func (v *View) replaceSection(old *View, x record.SectionEdit, revision uint64) error {
	if c := old.Revisions[x.Section]; c != x.Base {
		return &ConflictError{Section: x.Section, Base: x.Base, Current: c}
	}
	if len(x.Text) == 0 {
		v.Document = v.Document.Without(x.Section)
		delete(v.Revisions, x.Section)
		return nil
	}
	s, err := parseSection(x)
	if err != nil {
		return err
	}
	v.Document = v.Document.With(s)
	v.Revisions[x.Section] = revision
	return nil
}

// parseSection parses the text of a section edit, which must hold exactly the named section.
func parseSection(x record.SectionEdit) (*document.Section, error) {
	a, err := document.Parse(x.Text)
	if err != nil {
		return nil, err
	}
	if len(a) != 1 || a[0].Section != x.Section {
		return nil, findingError(x.Section, "Section", "a section edit holds exactly the section that it names")
	}
	return a[0], nil
}

// findingError returns a *document.FindingsError with one finding.
func findingError(section, field, format string, args ...any) error {
	f := document.Finding{Section: section, Field: field, Message: fmt.Sprintf(format, args...)}
	return &document.FindingsError{Findings: []document.Finding{f}}
}

// checkShards refuses a change of the number of shards while the old document declares instances, since tasks and racks
// keep their shard.
func checkShards(old, n *document.Document) error {
	if old.Shards() == n.Shards() || !hasInstances(old) {
		return nil
	}
	return findingError("", "Placement.Shards", "cannot change from %d to %d while instances are declared", old.Shards(), n.Shards())
}

func hasInstances(d *document.Document) bool {
	return slices.ContainsFunc(d.SortedSections(), func(s *document.Section) bool { return len(s.Instances) > 0 })
}

// updateGenerations returns the generations of all services and jobs. A service or job that is in old keeps its
// generation; a new one gets the revision.
func updateGenerations(old map[string]uint64, d *document.Document, revision uint64) map[string]uint64 {
	g := make(map[string]uint64, len(old))
	assign := func(name string) {
		g[name] = revision
		if o, ok := old[name]; ok {
			g[name] = o
		}
	}
	for _, s := range d.SortedSections() {
		for i := range s.Services {
			assign(s.Services[i].Name)
		}
		for i := range s.Jobs {
			assign(s.Jobs[i].Name)
		}
	}
	return g
}

// checkpoint is the encoding of a view in a checkpoint. Sections holds the canonical text of each section, by section
// name.
type checkpoint struct {
	Next        uint64
	Sections    map[string][]byte
	Revisions   map[string]uint64
	Generations map[string]uint64
	RackShards  map[string]int
	History     []Change
}

// Snapshot returns the current view in the encoded form that Restore accepts.
func (s *Store) Snapshot() ([]byte, error) {
	v := s.View()
	x := checkpoint{v.Next, make(map[string][]byte), v.Revisions, v.Generations, v.RackShards, v.History}
	for n, c := range v.Document.Sections {
		x.Sections[n] = document.Render(c)
	}
	b, err := msgpack.Marshal(&x)
	if err != nil {
		return nil, fmt.Errorf("encode checkpoint of the document: %w", err)
	}
	return b, nil
}

// Restore replaces the current view with one that Snapshot returned.
func (s *Store) Restore(state []byte) error {
	var x checkpoint
	if err := msgpackcheck.Unmarshal(state, &x); err != nil {
		return fmt.Errorf("decode checkpoint of the document: %w", err)
	}
	d := document.New()
	for n, t := range x.Sections {
		a, err := document.Parse(t)
		if err != nil {
			return fmt.Errorf("parse section %s of the checkpoint: %w", n, err)
		}
		d = d.With(a[0])
	}
	s.view.Store(&View{d, x.Next, x.Revisions, x.Generations, x.RackShards, x.History})
	return nil
}

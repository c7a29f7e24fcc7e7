package docstore

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"currantknot.dev/currantknot/internal/record"
	"currantknot.dev/currantknot/pkg/document"
)

// maxHistory bounds the changes that a view remembers.
const maxHistory = 500

// Change is one accepted edit.
type Change struct {
	Offset  uint64
	Section string
	Author  string
	Reason  string
	At      time.Time
}

// View is an immutable state of the document.
type View struct {
	Document *document.Document
	// Next is the first offset of the stream that the view does not include.
	Next uint64
	// Revisions holds the offset of the edit that made each section what it is.
	Revisions map[string]uint64
	// Generations holds the offset at which each service or job appeared.
	Generations map[string]uint64
	// RackShards holds the shard of each rack.
	RackShards map[string]int
	// History holds the latest changes, the oldest first.
	History []Change
}

// ConflictError reports an edit that was based on another revision than the current one.
type ConflictError struct {
	Section string
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

// Apply applies an edit, or returns a *ConflictError or *document.FindingsError.
func (s *Store) Apply(offset uint64, e *record.Envelope, r *record.Record) error {
	v := *s.View()
	v.Next = offset + 1
	if r.Edit == nil {
		s.view.Store(&v)
		return nil
	}
	n, err := v.edited(offset, e, r.Edit)
	if err != nil {
		s.view.Store(&v)
		return err
	}
	s.view.Store(n)
	return nil
}

// Check returns the findings that the edit would have on the view.
func (v *View) Check(e *record.Edit) error {
	_, err := v.edited(v.Next, &record.Envelope{}, e)
	return err
}

func (v *View) edited(offset uint64, e *record.Envelope, d *record.Edit) (*View, error) {
	n := *v
	// Offsets begin at 0, and revision 0 stands for a section that does not exist.
	r := offset + 1
	n.Revisions = maps.Clone(v.Revisions)
	if n.Revisions == nil {
		n.Revisions = make(map[string]uint64, 1)
	}
	n.History = slices.Clone(v.History)
	for _, x := range d.Sections {
		if err := n.replace(v, x, r); err != nil {
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
	n.Generations = generations(v.Generations, n.Document, r)
	n.RackShards = rackShards(v.RackShards, n.Document)
	n.History = n.History[max(0, len(n.History)-maxHistory):]
	return &n, nil
}

// replace puts the edited section into the view under construction.
func (v *View) replace(old *View, x record.SectionEdit, revision uint64) error {
	if c := old.Revisions[x.Section]; c != x.Base {
		return &ConflictError{Section: x.Section, Base: x.Base, Current: c}
	}
	if len(x.Text) == 0 {
		v.Document = v.Document.Without(x.Section)
		delete(v.Revisions, x.Section)
		return nil
	}
	s, err := parseOne(x)
	if err != nil {
		return err
	}
	v.Document = v.Document.With(s)
	v.Revisions[x.Section] = revision
	return nil
}

func parseOne(x record.SectionEdit) (*document.Section, error) {
	a, err := document.Parse(x.Text)
	if err != nil {
		return nil, err
	}
	if len(a) != 1 || a[0].Section != x.Section {
		return nil, finding(x.Section, "Section", "a section edit holds exactly the section that it names")
	}
	return a[0], nil
}

func finding(section, field, format string, args ...any) error {
	f := document.Finding{Section: section, Field: field, Message: fmt.Sprintf(format, args...)}
	return &document.FindingsError{Findings: []document.Finding{f}}
}

// checkShards refuses another number of shards once instances exist: tasks and racks keep their shard.
func checkShards(old, n *document.Document) error {
	if old.Shards() == n.Shards() || !hasInstances(old) {
		return nil
	}
	return finding("", "Placement.Shards", "cannot change from %d to %d while instances are declared", old.Shards(), n.Shards())
}

func hasInstances(d *document.Document) bool {
	return slices.ContainsFunc(d.All(), func(s *document.Section) bool { return len(s.Instances) > 0 })
}

func generations(old map[string]uint64, d *document.Document, offset uint64) map[string]uint64 {
	g := make(map[string]uint64, len(old))
	keep := func(name string) {
		g[name] = offset
		if o, ok := old[name]; ok {
			g[name] = o
		}
	}
	for _, s := range d.All() {
		for i := range s.Services {
			keep(s.Services[i].Name)
		}
		for i := range s.Jobs {
			keep(s.Jobs[i].Name)
		}
	}
	return g
}

// saved is the form of a view in a checkpoint.
type saved struct {
	Next        uint64
	Sections    map[string][]byte
	Revisions   map[string]uint64
	Generations map[string]uint64
	RackShards  map[string]int
	History     []Change
}

// Save returns the current view in the form of a checkpoint.
func (s *Store) Save() ([]byte, error) {
	v := s.View()
	x := saved{v.Next, make(map[string][]byte), v.Revisions, v.Generations, v.RackShards, v.History}
	for n, c := range v.Document.Sections {
		x.Sections[n] = document.Render(c)
	}
	b, err := msgpack.Marshal(&x)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return b, nil
}

// Load replaces the current view by that of a checkpoint.
func (s *Store) Load(state []byte) error {
	var x saved
	if err := msgpack.Unmarshal(state, &x); err != nil {
		return fmt.Errorf("decode document: %w", err)
	}
	d := document.New()
	for n, t := range x.Sections {
		a, err := document.Parse(t)
		if err != nil {
			return fmt.Errorf("section %s of the checkpoint: %w", n, err)
		}
		d = d.With(a[0])
	}
	s.view.Store(&View{d, x.Next, x.Revisions, x.Generations, x.RackShards, x.History})
	return nil
}

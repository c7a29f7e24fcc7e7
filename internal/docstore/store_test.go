package docstore_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/record"
	"currantknot.dev/currantknot/pkg/document"
)

// section returns the text of a section with one job.
func section(name, job string) []byte {
	return fmt.Appendf(nil, "Section: %s\nOwner: o\nJobs:\n  - {Name: %s, Team: t, Priority: Normal, Tasks: 1, Processors: 1, MemoryMiB: 1}\n", name, job)
}

// fleet returns the text of a section with three shards, two failure domains, one quota, and the given number of racks.
// The racks alternate between the failure domains and have one instance each.
func fleet(racks int) []byte {
	b := []byte("Section: fleet\nOwner: o\nPlacement: {Shards: 3}\nFailureDomains: [{Name: n}, {Name: s}]\nQuotas: [{Team: t, Processors: 1, MemoryMiB: 1}]\nInstances:\n")
	for i := range racks {
		b = fmt.Appendf(b, "  - {Name: i%d, FailureDomain: %c, Rack: r%d, Processors: 8, MemoryMiB: 8}\n", i, "ns"[i%2], i/2)
	}
	return b
}

// apply applies an edit of one section that is based on the given revision.
func apply(t *testing.T, s *docstore.Store, name string, base uint64, text []byte) error {
	t.Helper()
	e := &record.Edit{Sections: []record.SectionEdit{{Section: name, Base: base, Text: text}}}
	return s.Apply(s.View().Next, &record.Envelope{}, &record.Record{Edit: e})
}

func TestSecondEditBasedOnARevisionConflicts(t *testing.T) {
	s := docstore.NewStore()
	require.NoError(t, apply(t, s, "fleet", 0, fleet(6)))
	require.NoError(t, apply(t, s, "a", 0, section("a", "x")))
	var c *docstore.ConflictError
	require.ErrorAs(t, apply(t, s, "a", 0, section("a", "y")), &c)
	require.Equal(t, s.View().Revisions["a"], c.Current)
	require.Equal(t, "x", s.View().Document.Sections["a"].Jobs[0].Name)
}

// TestSecondSectionWithTheSameJobNameIsRefused guards against two edits that are each valid but contradict each other.
// They change different sections, so no conflict of revisions prevents the second one.
func TestSecondSectionWithTheSameJobNameIsRefused(t *testing.T) {
	s := docstore.NewStore()
	require.NoError(t, apply(t, s, "fleet", 0, fleet(6)))
	require.NoError(t, apply(t, s, "a", 0, section("a", "same")))
	var f *document.FindingsError
	require.ErrorAs(t, apply(t, s, "b", 0, section("b", "same")), &f)
	require.NotContains(t, s.View().Document.Sections, "b")
}

func TestEditOfSeveralSectionsIsAtomic(t *testing.T) {
	s := docstore.NewStore()
	e := &record.Edit{Sections: []record.SectionEdit{
		{Section: "fleet", Text: fleet(2)},
		{Section: "a", Base: 7, Text: section("a", "x")},
	}}
	require.Error(t, s.Apply(0, &record.Envelope{}, &record.Record{Edit: e}))
	require.Empty(t, s.View().Document.Sections)
	e.Sections[1].Base = 0
	require.NoError(t, s.Apply(1, &record.Envelope{}, &record.Record{Edit: e}))
	require.Len(t, s.View().Document.Sections, 2)
}

func TestJobAddedAgainGetsNewGeneration(t *testing.T) {
	s := docstore.NewStore()
	require.NoError(t, apply(t, s, "fleet", 0, fleet(2)))
	require.NoError(t, apply(t, s, "a", 0, section("a", "x")))
	g := s.View().Generations["x"]
	require.NoError(t, apply(t, s, "a", s.View().Revisions["a"], section("a", "y")))
	require.NoError(t, apply(t, s, "a", s.View().Revisions["a"], section("a", "x")))
	require.NotEqual(t, g, s.View().Generations["x"])
}

func TestRacksKeepShardAndEachShardSpansDomains(t *testing.T) {
	s := docstore.NewStore()
	require.NoError(t, apply(t, s, "fleet", 0, fleet(12)))
	before := s.View().RackShards
	seen := make(map[string]int)
	for r, n := range before {
		seen[fmt.Sprintf("%c%d", r[0], n)]++
	}
	require.Equal(t, map[string]int{"n0": 2, "n1": 2, "n2": 2, "s0": 2, "s1": 2, "s2": 2}, seen)
	require.NoError(t, apply(t, s, "fleet", s.View().Revisions["fleet"], fleet(30)))
	for r, n := range before {
		require.Equal(t, n, s.View().RackShards[r])
	}
}

func TestShardCountIsFixedWhileInstancesExist(t *testing.T) {
	s := docstore.NewStore()
	require.NoError(t, apply(t, s, "fleet", 0, fleet(2)))
	var f *document.FindingsError
	require.ErrorAs(t, apply(t, s, "fleet", s.View().Revisions["fleet"], []byte("Section: fleet\nOwner: o\nPlacement: {Shards: 4}\n")), &f)
}

func TestCheckpointRestoresView(t *testing.T) {
	s := docstore.NewStore()
	require.NoError(t, apply(t, s, "fleet", 0, fleet(5)))
	require.NoError(t, apply(t, s, "a", 0, section("a", "x")))
	b, err := s.Snapshot()
	require.NoError(t, err)
	n := docstore.NewStore()
	require.NoError(t, n.Restore(b))
	v, w := s.View(), n.View()
	require.Equal(t, v.Revisions, w.Revisions)
	require.Equal(t, v.Generations, w.Generations)
	require.Equal(t, v.RackShards, w.RackShards)
	require.Equal(t, v.Next, w.Next)
	require.Equal(t, document.Render(v.Document.SortedSections()...), document.Render(w.Document.SortedSections()...))
	require.NoError(t, apply(t, n, "a", w.Revisions["a"], section("a", "z")))
}

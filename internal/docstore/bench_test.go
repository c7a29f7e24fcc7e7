package docstore_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/record"
)

// bigSection returns the text of the section of the team with the given number. Its jobs are about 140 bytes long each.
func bigSection(team, jobs int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "Section: team%d\nOwner: o\nJobs:\n", team)
	for i := range jobs {
		fmt.Fprintf(&b, "  - Name: job-%d-%d\n    ClientAccount: account\n    Team: t\n    Priority: Patient\n    Tasks: 1\n    Processors: 1\n    MemoryMiB: 1\n", team, i)
	}
	return b.Bytes()
}

// BenchmarkDayOfEdits applies 1,400 edits, the edits of one day, to a document of 49 sections, for several document
// sizes.
func BenchmarkDayOfEdits(b *testing.B) {
	const edits = 1400
	for _, jobs := range []int{15, 50, 150} {
		b.Run(fmt.Sprintf("jobs=%d", jobs*49), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := docstore.NewStore()
				require.NoError(b, applyText(s, "fleet", fleet(670)))
				size := 0
				start := time.Now()
				for n := range edits {
					t := bigSection(n%49, jobs)
					if n < 49 {
						size += len(t)
					}
					require.NoError(b, applyText(s, fmt.Sprintf("team%d", n%49), t))
				}
				elapsed := time.Since(start)
				runtime.GC()
				runtime.ReadMemStats(&after)
				c, err := s.Snapshot()
				require.NoError(b, err)
				b.ReportMetric(elapsed.Seconds()*1000/edits, "ms/edit")
				b.ReportMetric(elapsed.Seconds(), "s/day")
				b.ReportMetric(float64(size)/1000, "document-kB")
				b.ReportMetric(float64(len(c))/1000, "checkpoint-kB")
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "heap-MiB")
				runtime.KeepAlive(s)
			}
		})
	}
}

// applyText applies an edit that replaces the text of the section. The edit is based on the current revision.
func applyText(s *docstore.Store, name string, text []byte) error {
	v := s.View()
	e := &record.Edit{Sections: []record.SectionEdit{{Section: name, Base: v.Revisions[name], Text: text}}}
	return s.Apply(v.Next, &record.Envelope{}, &record.Record{Edit: e})
}

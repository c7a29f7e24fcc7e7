package integration_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/operator"
	"currantknot.dev/currantknot/internal/platform/standin"
)

// changeBound is the promised time after which an accepted change is in force everywhere.
const changeBound = 4 * time.Second

func (m *member) ready() int {
	s, err := http.Get("http://" + m.operator + "/ready") //nolint:noctx // a test
	if err != nil {
		return 0
	}
	defer s.Body.Close()
	return s.StatusCode
}

func (c *cluster) setDomain(name string, out bool) {
	c.t.Helper()
	c.eventually("the failure domain is set", func() bool {
		_, err := c.members[len(c.members)-1].client().SetDomain(c.t.Context(), operator.DomainRequest{Name: name, OutOfService: out})
		return err == nil
	})
}

// input is a read or a compare-and-set of the section; output is the revision seen or made.
type input struct {
	write bool
	base  uint64
}

type output struct {
	revision uint64
	conflict bool
	unknown  bool
}

// sectionModel is one section with compare-and-set. Revisions only grow.
var sectionModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, in, out any) []any {
		s, i, o := state.(uint64), in.(input), out.(output) //nolint:forcetypeassert // the history holds nothing else
		switch {
		case !i.write:
			if o.revision == s {
				return []any{s}
			}
			return nil
		case o.conflict:
			if i.base != s {
				return []any{s}
			}
			return nil
		case o.unknown:
			// An edit without an answer may have taken effect; its revision is not known to its author.
			return []any{s}
		default:
			if i.base == s && o.revision > s {
				return []any{o.revision}
			}
			return nil
		}
	},
}

// TestRacingOperatorsSeeOneOrder checks a history of edits through all instances under faults for linearizability.
//
// Reads go through an edit that can't be accepted, since a plain read may lag behind.
func TestRacingOperatorsSeeOneOrder(t *testing.T) {
	c := newCluster(t, 3)
	c.stand.SetFaults(standin.Faults{LoseAppendReplies: 0.3, LogDelay: 10 * time.Millisecond})
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	var w sync.WaitGroup
	for id := range 4 {
		w.Go(func() {
			r := rand.New(rand.NewPCG(uint64(id), 1))
			base := uint64(0)
			for n := range 25 {
				m := c.members[r.IntN(len(c.members))]
				call := time.Since(began).Nanoseconds()
				o := casEdit(m, base, fmt.Sprintf("job-%d-%d", id, n))
				op := porcupine.Operation{ClientId: id, Input: input{true, base}, Call: call, Output: o, Return: time.Since(began).Nanoseconds()}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
				base = nextBase(m, base, o)
			}
		})
	}
	w.Wait()
	accepted := 0
	for _, h := range history {
		if o := h.Output.(output); !o.conflict && !o.unknown { //nolint:forcetypeassert // the history holds nothing else
			accepted++
		}
		require.False(t, h.Output.(output).unknown, "no edit is unknown while the log is reachable") //nolint:forcetypeassert // as above
	}
	require.Greater(t, accepted, 10)
	require.True(t, porcupine.CheckOperations(sectionModel.ToModel(), history))
}

// nextBase returns the revision that the client bases its next edit on.
func nextBase(m *member, base uint64, o output) uint64 {
	if !o.conflict && !o.unknown {
		return o.revision
	}
	d, err := m.client().Document(context.Background())
	if err != nil {
		return base
	}
	for _, s := range d.Sections {
		if s.Section == "race" {
			return s.Revision
		}
	}
	return base
}

func casEdit(m *member, base uint64, job string) output {
	text := fmt.Sprintf("Section: race\nOwner: t\nJobs:\n  - {Name: %s, Team: t, Priority: Patient, Tasks: 1, RunTime: 1ms, Processors: 1, MemoryMiB: 1}\n", job)
	a, err := m.client().Edit(context.Background(), operator.EditRequest{Sections: []operator.SectionEdit{{Section: "race", Base: base, Text: text}}})
	var f *operator.FailedError
	switch {
	case err == nil:
		return output{revision: a.Revision}
	case errors.As(err, &f) && f.Status == http.StatusConflict:
		return output{conflict: true}
	default:
		return output{unknown: true}
	}
}

func TestChangeIsInForceEverywhereInTimeAndStays(t *testing.T) {
	c := newCluster(t, 3)
	for n := range 5 {
		c.jobs(n + 1)
		began := time.Now()
		next := uint64(0)
		for _, m := range c.members {
			s, err := m.client().Status(t.Context())
			require.NoError(t, err)
			next = max(next, s.DocumentNext)
		}
		for _, m := range c.members {
			c.eventually("the change arrives", func() bool {
				s, err := m.client().Status(t.Context())
				return err == nil && s.DocumentNext >= next
			})
		}
		require.Less(t, time.Since(began), changeBound)
	}
	for _, m := range c.members {
		m.kill()
		m.start()
		c.eventually("the change is there after a restart", func() bool {
			d, err := m.client().Document(t.Context())
			if err != nil {
				return false
			}
			for _, s := range d.Sections {
				if s.Section == "jobs" {
					return s.Text != ""
				}
			}
			return false
		})
	}
}

func TestInstanceThatStartsDuringAnOutageTakesTheDocumentFromOthers(t *testing.T) {
	c := newCluster(t, 2)
	c.stand.SetFaults(standin.Faults{LogDown: true})
	m := c.members[0]
	m.kill()
	m.start()
	c.eventually("the new instance serves", func() bool { return m.get() == 200 })
	require.Contains(t, m.errors.String(), "document taken from another instance")
}

func TestEditDuringAnOutageIsToldAsUnknownAndNeverHalfApplied(t *testing.T) {
	c := newCluster(t, 2)
	c.stand.SetFaults(standin.Faults{LogDown: true})
	_, err := c.members[0].client().SetDomain(t.Context(), operator.DomainRequest{Name: "north", OutOfService: true})
	var f *operator.FailedError
	require.ErrorAs(t, err, &f)
	require.Equal(t, http.StatusGatewayTimeout, f.Status)
	c.stand.SetFaults(standin.Faults{})
	c.setDomain("north", true)
	for _, m := range c.members {
		c.eventually("the change arrives", func() bool {
			s, err := m.client().Status(t.Context())
			return err == nil && s.Domains[0].OutOfService
		})
	}
}

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

// propagationBound is the guaranteed time after which an accepted change is in force on all instances.
const propagationBound = 4 * time.Second

// readinessStatus returns the HTTP status of the instance's readiness check, 0 if no response came.
func (p *instanceProcess) readinessStatus() int {
	resp, err := http.Get("http://" + p.operatorAddress + "/ready") //nolint:noctx // a test
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func (c *cluster) setDomain(name string, outOfService bool) {
	c.t.Helper()
	c.eventually("the failure domain is set", func() bool {
		_, err := c.instances[len(c.instances)-1].client().SetDomain(c.t.Context(), operator.DomainRequest{Name: name, OutOfService: outOfService})
		return err == nil
	})
}

// input is an operation on the section.
type input struct {
	// write means a compare-and-set, in contrast to a read.
	write bool
	// base is the revision that a compare-and-set expects.
	base uint64
}

// output is the result of an operation on the section.
type output struct {
	// revision is the revision that was read or written, if the operation succeeded.
	revision uint64
	// conflict means that the section had another revision than the base.
	conflict bool
	// unknown means that the operation failed in another way and may have been applied.
	unknown bool
}

// sectionModel models one section as a register with compare-and-set. Its state is the latest revision, which only increases.
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
			// The edit may have been applied under a revision that its client does not know. The model takes it as not applied;
			// the test fails on such an edit before it checks the history.
			return []any{s}
		default:
			if i.base == s && o.revision > s {
				return []any{o.revision}
			}
			return nil
		}
	},
}

// TestConcurrentEditsAreLinearizable checks a history of edits through all instances for linearizability, while the log
// is slow and loses responses.
//
// The history holds no reads, since a read of the document may return an old revision. A conflict shows that the base of the
// edit was not the latest revision.
func TestConcurrentEditsAreLinearizable(t *testing.T) {
	c := newCluster(t, 3)
	c.platform.SetFaults(standin.Faults{LoseAppendReplies: 0.3, LogDelay: 10 * time.Millisecond})
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	var w sync.WaitGroup
	for id := range 4 {
		w.Go(func() {
			r := rand.New(rand.NewPCG(uint64(id), 1))
			base := uint64(0)
			for n := range 25 {
				p := c.instances[r.IntN(len(c.instances))]
				call := time.Since(start).Nanoseconds()
				o := compareAndSet(p, base, fmt.Sprintf("job-%d-%d", id, n))
				op := porcupine.Operation{ClientId: id, Input: input{true, base}, Call: call, Output: o, Return: time.Since(start).Nanoseconds()}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
				base = nextBaseRevision(p, base, o)
			}
		})
	}
	w.Wait()
	accepted := 0
	for _, h := range history {
		if o := h.Output.(output); !o.conflict && !o.unknown { //nolint:forcetypeassert // the history holds nothing else
			accepted++
		}
		require.False(t, h.Output.(output).unknown, "an edit had an unknown outcome although the log was reachable") //nolint:forcetypeassert // as above
	}
	require.Greater(t, accepted, 10)
	require.True(t, porcupine.CheckOperations(sectionModel.ToModel(), history))
}

// nextBaseRevision returns the revision on which a client bases its next edit after an edit with the output o. If it needs
// the current revision but can't read it, it returns the old base.
func nextBaseRevision(p *instanceProcess, base uint64, o output) uint64 {
	if !o.conflict && !o.unknown {
		return o.revision
	}
	d, err := p.client().Document(context.Background())
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

// compareAndSet edits the section "race" through the instance; the edit conflicts if the section's revision is not base.
func compareAndSet(p *instanceProcess, base uint64, job string) output {
	text := fmt.Sprintf("Section: race\nOwner: t\nJobs:\n  - {Name: %s, Team: t, Priority: Patient, Tasks: 1, RunTime: 1ms, Processors: 1, MemoryMiB: 1}\n", job)
	r, err := p.client().Edit(context.Background(), operator.EditRequest{Sections: []operator.SectionEdit{{Section: "race", Base: base, Text: text}}})
	var f *operator.ResponseError
	switch {
	case err == nil:
		return output{revision: r.Revision}
	case errors.As(err, &f) && f.Status == http.StatusConflict:
		return output{conflict: true}
	default:
		return output{unknown: true}
	}
}

func TestEditReachesAllInstancesInTimeAndSurvivesRestarts(t *testing.T) {
	c := newCluster(t, 3)
	for n := range 5 {
		c.editJobs(n + 1)
		start := time.Now()
		next := uint64(0)
		for _, p := range c.instances {
			s, err := p.client().Status(t.Context())
			require.NoError(t, err)
			next = max(next, s.DocumentNext)
		}
		for _, p := range c.instances {
			c.eventually("the change arrives", func() bool {
				s, err := p.client().Status(t.Context())
				return err == nil && s.DocumentNext >= next
			})
		}
		require.Less(t, time.Since(start), propagationBound)
	}
	for _, p := range c.instances {
		p.kill()
		p.start()
		c.eventually("the jobs section is present after a restart", func() bool {
			d, err := p.client().Document(t.Context())
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

// TestInstanceStartedDuringLogOutageGetsDocumentFromPeer checks that an instance restarted during an outage of the log
// serves requests with the document of another instance.
func TestInstanceStartedDuringLogOutageGetsDocumentFromPeer(t *testing.T) {
	c := newCluster(t, 2)
	c.platform.SetFaults(standin.Faults{LogDown: true})
	p := c.instances[0]
	p.kill()
	p.start()
	c.eventually("the new instance serves", func() bool { return p.statusOfRead() == 200 })
	require.Contains(t, p.stderr.String(), "document taken from another instance")
}

func TestEditDuringLogOutageHasUnknownOutcomeAndCanBeRetried(t *testing.T) {
	c := newCluster(t, 2)
	c.platform.SetFaults(standin.Faults{LogDown: true})
	_, err := c.instances[0].client().SetDomain(t.Context(), operator.DomainRequest{Name: "north", OutOfService: true})
	var f *operator.ResponseError
	require.ErrorAs(t, err, &f)
	require.Equal(t, http.StatusGatewayTimeout, f.Status)
	c.platform.SetFaults(standin.Faults{})
	c.setDomain("north", true)
	for _, p := range c.instances {
		c.eventually("the change arrives", func() bool {
			s, err := p.client().Status(t.Context())
			return err == nil && s.Domains[0].OutOfService
		})
	}
}

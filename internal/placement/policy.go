package placement

import (
	"fmt"
	"math/rand/v2"
)

// Policy chooses among the workers that have room for a task.
type Policy interface {
	Name() string
	// MindsTension tells that batch shall wait rather than slow services beyond their bound.
	MindsTension() bool
	// Choose returns the index of one of the candidates, of which there is at least one.
	Choose(s *Spec, cs []Candidate) int
}

// The names of the placement policies.
const (
	PolicyRandom    = "random"
	PolicyFirstFit  = "first-fit"
	PolicyBestFit   = "best-fit"
	PolicySpread    = "spread"
	PolicyColocated = "colocated"
)

// PolicyNames lists the placement policies.
func PolicyNames() []string {
	return []string{PolicyRandom, PolicyFirstFit, PolicyBestFit, PolicySpread, PolicyColocated}
}

// PolicyError reports an unknown placement policy.
type PolicyError struct {
	Name string
}

// Error names the policy.
func (e *PolicyError) Error() string { return fmt.Sprintf("no placement policy %q", e.Name) }

// NewPolicy returns the named policy, or a *PolicyError.
func NewPolicy(name string, r *rand.Rand) (Policy, error) {
	switch name {
	case PolicyRandom:
		return &randomPolicy{r: r}, nil
	case PolicyFirstFit:
		return &scorePolicy{name, func(*Spec, Candidate) float64 { return 0 }}, nil
	case PolicyBestFit:
		return &scorePolicy{name, leftover}, nil
	case PolicySpread:
		return &scorePolicy{name, func(s *Spec, c Candidate) float64 { return -leftover(s, c) }}, nil
	case PolicyColocated:
		return &scorePolicy{name, colocated}, nil
	}
	return nil, &PolicyError{Name: name}
}

type randomPolicy struct {
	r *rand.Rand
}

func (p *randomPolicy) Name() string { return PolicyRandom }

func (p *randomPolicy) MindsTension() bool { return false }

func (p *randomPolicy) Choose(_ *Spec, cs []Candidate) int { return p.r.IntN(len(cs)) }

// scorePolicy chooses the candidate with the lowest score, the first of equals.
type scorePolicy struct {
	name  string
	score func(*Spec, Candidate) float64
}

func (p *scorePolicy) Name() string { return p.name }

func (p *scorePolicy) MindsTension() bool { return p.name == PolicyColocated }

func (p *scorePolicy) Choose(s *Spec, cs []Candidate) int {
	b, m := 0, p.score(s, cs[0])
	for i, c := range cs[1:] {
		if x := p.score(s, c); x < m {
			b, m = i+1, x
		}
	}
	return b
}

// leftover is the largest share of the worker that stays free in any dimension.
func leftover(s *Spec, c Candidate) float64 {
	f := c.Free.Sub(s.Size)
	return max(shareOf(f.Processors, c.Capacity.Processors), shareOf(f.MemoryMiB, c.Capacity.MemoryMiB), shareOf(f.Accelerators, c.Capacity.Accelerators))
}

func shareOf(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// The weights of the colocated policy, in shares of a worker.
const (
	weightSameWorker   = 20.0
	weightSameDomain   = 1.0
	weightTension      = 2.0
	weightAccelerators = 3.0
)

// workerShare is the part of a service's replicas that one worker may hold before others are preferred.
const workerShare = 0.1

// colocated balances a service over failure domains and packs services together, away from batch.
//
// Where replicas stand alone on a worker, batch fills the rest and disturbs them;
// packed, they leave other workers to batch. How many replicas one worker takes is
// bounded, so that its loss costs a service little. Batch goes where it slows
// services least. Tasks that need no accelerator keep off workers that have some free.
func colocated(s *Spec, c Candidate) float64 {
	w := leftover(s, c) + weightTension*c.Tension
	if s.Size.Accelerators == 0 && c.Free.Accelerators > 0 {
		w += weightAccelerators
	}
	if s.Class != ClassService {
		return w
	}
	held := float64(c.SameGroupOnWorker+1) / float64(max(s.Count, 1))
	return w + weightSameDomain*float64(c.SameGroupInDomain) + weightSameWorker*max(0, held-max(workerShare, 1/float64(max(s.Count, 1))))
}

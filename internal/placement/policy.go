package placement

import (
	"fmt"
	"math/rand/v2"
)

// Policy chooses among the workers that have enough free capacity for a task.
type Policy interface {
	Name() string
	// AvoidsInterference reports whether batch tasks wait rather than slow a service beyond maxPlacementSlowdown.
	AvoidsInterference() bool
	// Choose returns the index of the chosen candidate. The list cs is not empty.
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

// Error returns a message with the name of the policy.
func (e *PolicyError) Error() string { return fmt.Sprintf("unknown placement policy %q", e.Name) }

// NewPolicy returns the named policy, or a *PolicyError.
func NewPolicy(name string, r *rand.Rand) (Policy, error) {
	switch name {
	case PolicyRandom:
		return &randomPolicy{r: r}, nil
	case PolicyFirstFit:
		return &scorePolicy{name, func(*Spec, Candidate) float64 { return 0 }}, nil
	case PolicyBestFit:
		return &scorePolicy{name, maxFreeShare}, nil
	case PolicySpread:
		return &scorePolicy{name, func(s *Spec, c Candidate) float64 { return -maxFreeShare(s, c) }}, nil
	case PolicyColocated:
		return &scorePolicy{name, colocatedScore}, nil
	}
	return nil, &PolicyError{Name: name}
}

type randomPolicy struct {
	r *rand.Rand
}

func (p *randomPolicy) Name() string { return PolicyRandom }

func (p *randomPolicy) AvoidsInterference() bool { return false }

func (p *randomPolicy) Choose(_ *Spec, cs []Candidate) int { return p.r.IntN(len(cs)) }

// scorePolicy chooses the candidate with the lowest score. On a tie, it chooses the first of these candidates.
type scorePolicy struct {
	name  string
	score func(*Spec, Candidate) float64
}

func (p *scorePolicy) Name() string { return p.name }

func (p *scorePolicy) AvoidsInterference() bool { return p.name == PolicyColocated }

func (p *scorePolicy) Choose(s *Spec, cs []Candidate) int {
	b, m := 0, p.score(s, cs[0])
	for i, c := range cs[1:] {
		if x := p.score(s, c); x < m {
			b, m = i+1, x
		}
	}
	return b
}

// maxFreeShare returns the fraction of the worker that stays free after placement, in the resource that stays freest.
func maxFreeShare(s *Spec, c Candidate) float64 {
	f := c.Free.Sub(s.Size)
	return max(fraction(f.Processors, c.Capacity.Processors), fraction(f.MemoryMiB, c.Capacity.MemoryMiB), fraction(f.Accelerators, c.Capacity.Accelerators))
}

func fraction(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}

// The weights of the colocated policy, relative to the free fraction of a worker.
const (
	weightSameWorker   = 20.0
	weightSameDomain   = 1.0
	weightInterference = 2.0
	weightAccelerators = 3.0
)

// maxReplicaShare is the fraction of a service's replicas on one worker above which the policy prefers other workers.
const maxReplicaShare = 0.1

// colocatedScore is a score that spreads each service over failure domains and packs replicas onto the same workers,
// apart from batch tasks.
//
// If each replica were alone on a worker, batch tasks would fill the rest of that
// worker and interfere with the replica. Packed replicas leave other workers to
// batch tasks. The fraction of a service's replicas on one worker is limited by a
// penalty, so that losing the worker costs the service little. Batch tasks go
// where they slow services least. Tasks that need no accelerator avoid workers
// with free accelerators.
func colocatedScore(s *Spec, c Candidate) float64 {
	w := maxFreeShare(s, c) + weightInterference*c.Interference
	if s.Size.Accelerators == 0 && c.Free.Accelerators > 0 {
		w += weightAccelerators
	}
	if s.Class != ClassService {
		return w
	}
	replicaShare := float64(c.SameGroupOnWorker+1) / float64(max(s.Count, 1))
	return w + weightSameDomain*float64(c.SameGroupInDomain) + weightSameWorker*max(0, replicaShare-max(maxReplicaShare, 1/float64(max(s.Count, 1))))
}

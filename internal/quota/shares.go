package quota

import (
	"maps"

	"currantknot.dev/currantknot/internal/jobs"
)

// Shares tells which accounts use more than their share of a pool of workers.
//
// The dominant share of an account is the largest of its fractions of the pool's
// CPU, memory and accelerators that jobs without an account leave: these have no
// share, and where they are most of the pool, every account would seem to use
// little of it. The account is over its share if that is above
// its weight divided by the weights of all accounts with running or waiting work
// in the pool. A job without an account is never over its share.
type Shares struct {
	weights Weights
	pools   map[string]*pool
}

// pool holds the use of a pool of workers.
type pool struct {
	// capacity is what attempts without an account leave of the pool, as of the beginning of the plan, and unowned what they use.
	capacity jobs.Resources
	unowned  jobs.Resources
	// used holds what the attempts of each account use, and waiting what its waiting work needs in addition, as of the beginning of
	// the plan, and what it used then.
	used    map[string]jobs.Resources
	waiting map[string]jobs.Resources
	// weight is the sum of the weights of the accounts with running or waiting work.
	weight float64
}

// NewShares returns shares without accounts, by which no account is over its share.
func NewShares() *Shares { return &Shares{pools: make(map[string]*pool)} }

// SetWeights replaces the weights.
func (s *Shares) SetWeights(w Weights) { s.weights = w }

func (s *Shares) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{used: make(map[string]jobs.Resources), waiting: make(map[string]jobs.Resources)}
		s.pools[name] = p
	}
	return p
}

// Add adds an attempt of an account in a pool.
func (s *Shares) Add(pool, account string, r jobs.Resources) {
	p := s.pool(pool)
	if account == "" {
		p.unowned = p.unowned.Plus(r)
		return
	}
	p.used[account] = p.used[account].Plus(r)
}

// Remove removes an attempt that was added.
func (s *Shares) Remove(pool, account string, r jobs.Resources) {
	p := s.pool(pool)
	if account == "" {
		p.unowned = p.unowned.Minus(r)
		return
	}
	u := p.used[account].Minus(r)
	if u == (jobs.Resources{}) {
		delete(p.used, account)
		return
	}
	p.used[account] = u
}

// Begin begins a plan, given the capacity of each pool. The accounts with waiting work are told next, by Wait.
func (s *Shares) Begin(capacity map[string]jobs.Resources) {
	maps.DeleteFunc(s.pools, func(_ string, p *pool) bool { return p.isIdle() })
	for n := range capacity {
		s.pool(n)
	}
	for n, p := range s.pools {
		p.capacity, p.weight = leftOf(capacity[n], p.unowned), 0
		clear(p.waiting)
		for a := range p.used {
			p.weight += s.weights.Of(a)
		}
	}
}

// isIdle reports whether nothing runs or waits in the pool.
func (p *pool) isIdle() bool {
	return len(p.used) == 0 && len(p.waiting) == 0 && p.unowned == jobs.Resources{}
}

// leftOf returns what is left of a capacity beside u, at least 0: best-effort attempts may use more than the capacity.
func leftOf(capacity, u jobs.Resources) jobs.Resources {
	r := capacity.Minus(u)
	return jobs.Resources{MilliCPU: max(0, r.MilliCPU), MemoryMB: max(0, r.MemoryMB), Accelerators: max(0, r.Accelerators)}
}

// Wait records that an account has waiting work in a pool, which needs r.
func (s *Shares) Wait(pool, account string, r jobs.Resources) {
	if account == "" {
		return
	}
	p := s.pool(pool)
	w, ok := p.waiting[account]
	if !ok {
		u, running := p.used[account]
		if !running {
			p.weight += s.weights.Of(account)
		}
		w = u
	}
	p.waiting[account] = w.Plus(r)
}

// Level is how much an account uses of its share; lower levels come first.
type Level uint8

// The levels.
const (
	// Under means that the account uses less than half of its share.
	Under Level = iota
	// Within means that the account uses at most its share.
	Within
	// Over means that it uses more, and that all its work would use at most burstFactor times its share.
	Over
	// FarOver means that it uses more, and that all its work would use even more than that.
	FarOver
)

// underFraction is the fraction of its share below which an account is Under.
const underFraction = 0.5

// burstFactor is the ratio of the demand of an account in a usual burst to its usual demand.
const burstFactor = 2.6

// Level returns how much an account uses of its share of a pool. It is Within for jobs without an account, and while no account is
// configured.
func (s *Shares) Level(pool, account string) Level {
	if account == "" || s.weights.IsEmpty() {
		return Within
	}
	if !s.IsOver(pool, account) {
		if p := s.pools[pool]; p == nil || p.weight == 0 || p.dominant(account) < underFraction*s.weights.Of(account)/p.weight {
			return Under
		}
		return Within
	}
	p := s.pools[pool]
	if p.dominantOf(p.waiting[account]) > burstFactor*s.weights.Of(account)/p.weight {
		return FarOver
	}
	return Over
}

// IsOver reports whether an account uses more than its share of a pool.
func (s *Shares) IsOver(pool, account string) bool {
	if account == "" || s.weights.IsEmpty() {
		return false
	}
	p := s.pools[pool]
	return p != nil && p.weight > 0 && p.dominant(account) > s.weights.Of(account)/p.weight
}

// Dominant returns the dominant share of an account in the pool of which it uses most.
func (s *Shares) Dominant(account string) float64 {
	most := 0.0
	for _, p := range s.pools {
		most = max(most, p.dominant(account))
	}
	return most
}

func (p *pool) dominant(account string) float64 { return p.dominantOf(p.used[account]) }

// dominantOf returns the largest of the fractions of the pool's resources that u uses.
func (p *pool) dominantOf(u jobs.Resources) float64 {
	return max(
		fraction(u.MilliCPU, p.capacity.MilliCPU),
		fraction(u.MemoryMB, p.capacity.MemoryMB),
		fraction(u.Accelerators, p.capacity.Accelerators),
	)
}

// fraction returns the fraction of a capacity that is used; of no capacity any use is all.
func fraction(used, capacity int) float64 {
	switch {
	case used <= 0:
		return 0
	case capacity <= 0:
		return 1
	}
	return float64(used) / float64(capacity)
}

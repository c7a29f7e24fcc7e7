package serve

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantknot.dev/currantknot/internal/placement"
)

// cutOffAfter is the age of its latest contact with the log from which on an instance should own nothing.
const logTimeout = 3 * time.Second

// assignEvery is the time between two looks at which shards this instance should follow.
const assignInterval = 200 * time.Millisecond

func (i *Instance) newPlacementPolicy() placement.Policy {
	n := uint64(i.incarnation) //nolint:gosec // a seed
	p, err := placement.NewPolicy(i.PlacementPolicy, rand.New(rand.NewPCG(n, 1)))
	if err != nil {
		// The settings were checked against the list of policies.
		panic(err)
	}
	return p
}

func (i *Instance) currentRunners() []*runner {
	i.mu.Lock()
	defer i.mu.Unlock()
	a := make([]*runner, 0, len(i.runners))
	for _, r := range i.runners {
		a = append(a, r)
	}
	slices.SortFunc(a, func(x, y *runner) int { return cmp.Compare(x.number, y.number) })
	return a
}

// runShards follows the shards that this instance owns or should own.
func (i *Instance) runShards(ctx context.Context) error {
	t := time.NewTicker(assignInterval)
	defer t.Stop()
	defer func() {
		for _, r := range i.currentRunners() {
			r.close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case n := <-t.C:
			i.updateRunners(ctx, n)
		}
	}
}

func (i *Instance) updateRunners(ctx context.Context, now time.Time) {
	v := i.store.View()
	if v.Next == 0 {
		return
	}
	m := v.Document.Shards()
	for s := range m {
		if i.preferredOwner(s, now) == i.Name && !i.leaving.Load() {
			i.startRunner(ctx, s)
		}
	}
	for _, r := range i.currentRunners() {
		r.checkpointIfDue(ctx, now)
		if r.number >= m || i.preferredOwner(r.number, now) != i.Name && !r.owner.IsOwner() {
			i.stopRunner(r)
		}
	}
}

func (i *Instance) startRunner(ctx context.Context, shard int) {
	i.mu.Lock()
	_, ok := i.runners[shard]
	i.mu.Unlock()
	if ok {
		return
	}
	r := newRunner(i, shard)
	i.mu.Lock()
	i.runners[shard] = r
	i.mu.Unlock()
	r.start(ctx)
}

func (i *Instance) stopRunner(r *runner) {
	i.mu.Lock()
	delete(i.runners, r.number)
	i.mu.Unlock()
	r.close()
}

// preferred returns the live instance that should own the shard: rendezvous hashing with bounded load.
func (i *Instance) preferredOwner(shard int, now time.Time) string {
	names := i.candidateOwners(now)
	if len(names) == 0 {
		return ""
	}
	return assignShards(names, i.store.View().Document.Shards())[shard]
}

// candidates returns the live instances that reach the log, or all live ones where none does.
func (i *Instance) candidateOwners(now time.Time) []string {
	var reach, live []string
	add := func(name string, sinceLog time.Duration) {
		live = append(live, name)
		if sinceLog < logTimeout {
			reach = append(reach, name)
		}
	}
	if !i.leaving.Load() {
		add(i.Name, now.Sub(i.document.Position().ConfirmedAt))
	}
	for _, m := range i.mesh.LiveMembers(now) {
		if !m.Leaving {
			add(m.Name, m.At.Sub(m.LogConfirmedAt))
		}
	}
	if len(reach) > 0 {
		return reach
	}
	return live
}

// assignShards gives each shard to the instance with the highest hash that has room.
//
// Room is a quarter above the mean: exactly the mean would be more even and move
// many shards of other instances whenever one comes or goes.
func assignShards(names []string, shards int) []string {
	room := (5*shards + 4*len(names) - 1) / (4 * len(names))
	load := make(map[string]int, len(names))
	a := make([]string, shards)
	for s := range shards {
		k := strconv.Itoa(s)
		var best string
		var high uint64
		for _, n := range names {
			if h := xxhash.Sum64String(k + "|" + n); load[n] < room && (best == "" || h > high) {
				best, high = n, h
			}
		}
		a[s] = best
		load[best]++
	}
	return a
}

// resignShards hands all owned shards over at a planned stop.
func (i *Instance) resignShards(ctx context.Context) {
	for _, r := range i.currentRunners() {
		if r.owner.IsOwner() {
			r.resign(ctx)
		}
	}
}

// checkpointDocument writes checkpoints of the document; the preferred owner of shard 0 goes first.
func (i *Instance) checkpointDocument(ctx context.Context) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case n := <-t.C:
			i.checkpointDocumentIfDue(ctx, n)
		}
	}
}

func (i *Instance) checkpointDocumentIfDue(ctx context.Context, now time.Time) {
	p := i.document.Position()
	if !isCheckpointDue(p, now) || !i.document.IsFresh(now.Add(-time.Second)) || i.preferredOwner(0, now) != i.Name {
		return
	}
	x, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := i.document.WriteCheckpoint(x); err != nil {
		i.logger.Warn().Err(err).Msg("checkpoint of the document not written")
	}
}

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

// candidateLogTimeout is the maximum time since an instance's last confirmation of the document for which the instance
// is a candidate to own shards. If no live instance meets this limit, all live instances are candidates. A confirmation
// is a successful read up to the end of the document's stream; its time is the time at which the read began.
const candidateLogTimeout = 3 * time.Second

// runnerUpdateInterval is the time between two calls of updateRunners.
const runnerUpdateInterval = 200 * time.Millisecond

func (i *Instance) newPlacementPolicy() placement.Policy {
	n := uint64(i.incarnation) //nolint:gosec // overflow is harmless in a seed
	p, err := placement.NewPolicy(i.PlacementPolicy, rand.New(rand.NewPCG(n, 1)))
	if err != nil {
		// The settings were validated against the list of policies.
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
	slices.SortFunc(a, func(x, y *runner) int { return cmp.Compare(x.shard, y.shard) })
	return a
}

// runShards keeps a runner for each shard that this instance owns or should own. It closes all runners when the context
// is done.
func (i *Instance) runShards(ctx context.Context) error {
	t := time.NewTicker(runnerUpdateInterval)
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

// updateRunners starts runners for the shards that this instance should own, writes due checkpoints, and stops the
// runners of shards that it neither owns nor should own. It does nothing until a part of the document has been read.
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
		if r.shard >= m || i.preferredOwner(r.shard, now) != i.Name && !r.owner.IsOwner() {
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
	delete(i.runners, r.shard)
	i.mu.Unlock()
	r.close()
}

// preferredOwner returns the live instance that should own the shard, by rendezvous hashing with bounded load. It
// returns an empty string if there is no candidate.
func (i *Instance) preferredOwner(shard int, now time.Time) string {
	names := i.candidateOwners(now)
	if len(names) == 0 {
		return ""
	}
	return assignShards(names, i.store.View().Document.Shards())[shard]
}

// candidateOwners returns the live instances that reach the log, or all live instances if none of them does. Instances
// that are leaving are not candidates.
func (i *Instance) candidateOwners(now time.Time) []string {
	var reachLog, live []string
	add := func(name string, sinceConfirmation time.Duration) {
		live = append(live, name)
		if sinceConfirmation < candidateLogTimeout {
			reachLog = append(reachLog, name)
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
	if len(reachLog) > 0 {
		return reachLog
	}
	return live
}

// assignShards returns an instance for each shard. Among the instances that are
// below their capacity, it selects the one with the highest hash of shard and
// name.
//
// The capacity is a quarter above the mean number of shards, rounded up. With
// exactly the mean as capacity, the shards would be spread more evenly, but
// many of them would move between other instances whenever an instance starts
// or stops.
func assignShards(names []string, shards int) []string {
	capacity := (5*shards + 4*len(names) - 1) / (4 * len(names))
	count := make(map[string]int, len(names))
	a := make([]string, shards)
	for s := range shards {
		k := strconv.Itoa(s)
		var best string
		var bestHash uint64
		for _, n := range names {
			if h := xxhash.Sum64String(k + "|" + n); count[n] < capacity && (best == "" || h > bestHash) {
				best, bestHash = n, h
			}
		}
		a[s] = best
		count[best]++
	}
	return a
}

// resignShards resigns all shards that this instance owns, at a graceful shutdown.
func (i *Instance) resignShards(ctx context.Context) {
	for _, r := range i.currentRunners() {
		if r.owner.IsOwner() {
			r.resign(ctx)
		}
	}
}

// checkpointDocument writes checkpoints of the document when they are due, if this instance is the preferred owner of
// shard 0.
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
		i.logger.Warn().Err(err).Msg("failed to write checkpoint of the document")
	}
}

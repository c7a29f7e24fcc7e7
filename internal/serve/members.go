package serve

import (
	"context"
	"time"

	"currantknot.dev/currantknot/internal/caller"
	"currantknot.dev/currantknot/internal/peer"
	"currantknot.dev/currantknot/internal/routing"
	"currantknot.dev/currantknot/internal/stream"
)

// callTimeout is the maximum duration of a call to another instance, except for calls about keys.
const callTimeout = time.Second

// knownInstance holds the latest heartbeat of an instance that may own shards.
type knownInstance struct {
	peer.Heartbeat

	// lastSeenAt is the time at which the heartbeat arrived.
	lastSeenAt time.Time
}

func (i *Instance) newMesh() error {
	c := peer.Config{
		Name: i.Name, Incarnation: i.incarnation, Advertise: i.PeerAdvertise,
		HeartbeatInterval: i.HeartbeatEvery, Logger: i.logger,
	}
	if c.Advertise == "" {
		c.Advertise = i.PeerListen
	}
	t, err := i.peerTLS()
	if err != nil {
		return err
	}
	c.TLS = t
	i.mesh = peer.NewMesh(c, i)
	i.mesh.SetAddresses(i.Peers)
	return nil
}

// Heartbeat implements peer.Handler.
func (i *Instance) Heartbeat(now time.Time) peer.Heartbeat {
	p := i.document.Position()
	h := peer.Heartbeat{
		Domain: i.FailureDomain, DocumentNext: p.Next, At: now, LogConfirmedAt: p.ConfirmedAt,
		Shards: make(map[int]uint64), Leaving: i.leaving.Load(), Demands: make(map[string]float32),
	}
	for _, r := range i.currentRunners() {
		if _, e, resigned, _ := r.owner.Ownership(); r.owner.IsOwner() && !resigned {
			h.Shards[r.shard] = e
		}
	}
	for n, d := range i.router.Demands(now) {
		h.Demands[n] = float32(d)
	}
	if i.RoutingPolicy == routing.PolicyTwoChoices {
		h.InFlight = i.router.InFlight()
	}
	return h
}

// OnMembersUpdate implements peer.Handler.
func (i *Instance) OnMembersUpdate(now time.Time) {
	d := make(map[string][]routing.Demand)
	inFlight := make(map[string]int)
	ms := i.mesh.LiveMembers(now)
	for _, s := range i.services() {
		for _, m := range ms {
			if !m.Leaving {
				d[s.Name] = append(d[s.Name], routing.Demand{Instance: m.Name, Slots: float64(m.Demands[s.Name])})
			}
		}
	}
	for _, m := range ms {
		for u, n := range m.InFlight {
			inFlight[u] += n
		}
	}
	caller.Deliver(i.router.SetDemands(d, inFlight, now))
	i.updateKnownInstances(ms)
	i.keys.onMembersUpdate(ms)
}

// updateKnownInstances records the heartbeats of live members. An instance is removed only when its heartbeat says that
// it is leaving and owns no shard.
func (i *Instance) updateKnownInstances(ms []peer.Member) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, m := range ms {
		i.knownInstances[m.Name] = knownInstance{m.Heartbeat, m.LastSeenAt}
		if m.Leaving && len(m.Shards) == 0 {
			delete(i.knownInstances, m.Name)
		}
	}
}

// Handle implements peer.Handler.
func (i *Instance) Handle(ctx context.Context, m *peer.Message) *peer.Message {
	switch {
	case m.State != nil && m.State.Stream == documentStream:
		n, b, err := i.document.State()
		if err != nil {
			return &peer.Message{State: &peer.State{Stream: documentStream}}
		}
		return &peer.Message{State: &peer.State{Stream: documentStream, Covers: n, Data: b}}
	case m.Placement != nil:
		return &peer.Message{Placement: i.ownedPlacement()}
	case m.Explain != nil:
		return &peer.Message{Explain: &peer.Explain{Subject: m.Explain.Subject, Entries: i.decisions.Find(m.Explain.Subject)}}
	case m.Key != nil:
		return &peer.Message{Key: i.handleKey(ctx, m.Key)}
	case m.Keys != nil:
		i.handleKeyBatch(ctx, m.Keys)
	}
	return &peer.Message{}
}

// bootstrapDocument restores the document from another instance while this instance cannot read it from the log.
func (i *Instance) bootstrapDocument(ctx context.Context) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case n := <-t.C:
			if p := i.document.Position(); p.ConfirmedAt.IsZero() || p.Blocked != "" {
				i.restoreFromPeers(ctx, n, p)
			}
		}
	}
}

// restoreFromPeers restores the document from the first live member that has applied more of the document than this
// instance and returns its state.
func (i *Instance) restoreFromPeers(ctx context.Context, now time.Time, p stream.Position) {
	for _, m := range i.mesh.LiveMembers(now) {
		if m.DocumentNext <= p.Next {
			continue
		}
		x, cancel := context.WithTimeout(ctx, callTimeout)
		r, err := i.mesh.Call(x, m.Name, &peer.Message{State: &peer.State{Stream: documentStream}})
		cancel()
		if err != nil || r.State == nil || len(r.State.Data) == 0 {
			continue
		}
		if err := i.document.Restore(r.State.Covers, r.State.Data); err != nil {
			i.logger.Warn().Err(err).Str("From", m.Name).Msg("failed to restore document from another instance")
			continue
		}
		i.logger.Info().Str("From", m.Name).Uint64("Offset", r.State.Covers).Msg("document taken from another instance")
		return
	}
}

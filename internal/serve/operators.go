package serve

import (
	"bufio"
	"cmp"
	"context"
	"crypto/subtle"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"currantknot.dev/currantknot/internal/decision"
	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/operator"
	"currantknot.dev/currantknot/internal/peer"
	"currantknot.dev/currantknot/internal/placement"
	"currantknot.dev/currantknot/internal/record"
	"currantknot.dev/currantknot/pkg/document"
)

// maxConfirmationAge is the maximum time since the last confirmation of the document for which an instance that has
// read no entry of the document counts as ready: the document is then known to be empty. A confirmation is a successful
// read up to the end of the document's stream.
const maxConfirmationAge = 5 * time.Second

func (i *Instance) operatorHandler() http.Handler { return operator.NewHandler(i) }

// View implements operator.Backend.
func (i *Instance) View() *docstore.View { return i.store.View() }

// CatchUp implements operator.Backend.
func (i *Instance) CatchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return i.document.CatchUp(ctx)
}

// Edit implements operator.Backend.
func (i *Instance) Edit(ctx context.Context, e *record.Edit) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	n, err := i.document.Commit(ctx, record.Record{Edit: e})
	if err != nil {
		return 0, err
	}
	i.decisions.Add(decision.Entry{At: time.Now(), Kind: "Edit", Subjects: editSubjects(e), Reason: e.Author + ": " + e.Reason})
	return n + 1, nil
}

func editSubjects(e *record.Edit) []string {
	var a []string
	for _, s := range e.Sections {
		a = append(a, s.Section)
	}
	return a
}

// AppliedBy implements operator.Backend.
func (i *Instance) AppliedBy(next uint64) (names []string, total int) {
	if i.document.Position().Next >= next {
		names = append(names, i.Name)
	}
	ms := i.mesh.LiveMembers(time.Now())
	for _, m := range ms {
		if m.DocumentNext >= next {
			names = append(names, m.Name)
		}
	}
	return names, 1 + len(ms)
}

// Status implements operator.Backend.
func (i *Instance) Status(ctx context.Context) operator.Status {
	now := time.Now()
	p := i.document.Position()
	s := operator.Status{
		Instance: i.Name, DocumentNext: p.Next, ConfirmedAgo: now.Sub(p.ConfirmedAt).Round(time.Millisecond),
		Blocked: p.Blocked, Domains: domainStatus(i.store.View().Document),
	}
	h := i.Heartbeat(now)
	s.Instances = append(s.Instances, operator.InstanceStatus{
		Name: i.Name, Domain: i.FailureDomain, DocumentNext: p.Next, Leaving: h.Leaving, Shards: slices.Sorted(maps.Keys(h.Shards)),
	})
	ms := i.mesh.LiveMembers(now)
	for _, m := range ms {
		s.Instances = append(s.Instances, operator.InstanceStatus{
			Name: m.Name, Domain: m.Domain, DocumentNext: m.DocumentNext, Leaving: m.Leaving,
			SeenAgo: now.Sub(m.LastSeenAt).Round(time.Millisecond), Shards: slices.Sorted(maps.Keys(m.Shards)),
		})
	}
	slices.SortFunc(s.Instances, func(a, b operator.InstanceStatus) int { return cmp.Compare(a.Name, b.Name) })
	i.collectPlacement(ctx, &s, ms)
	return s
}

// collectPlacement adds the shards of all instances to the status. It queries the instances in parallel, and lists
// those that do not respond in Silent.
func (i *Instance) collectPlacement(ctx context.Context, s *operator.Status, ms []peer.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ps := make([]*peer.Placement, len(ms))
	var g errgroup.Group
	for n, m := range ms {
		g.Go(func() error {
			if r, err := i.mesh.Call(ctx, m.Name, &peer.Message{Placement: &peer.Placement{}}); err == nil {
				ps[n] = r.Placement
			}
			return nil
		})
	}
	_ = g.Wait()
	all := i.ownedPlacement().Shards
	for n, p := range ps {
		if p == nil {
			s.Silent = append(s.Silent, ms[n].Name)
			continue
		}
		all = append(all, p.Shards...)
	}
	mergePlacement(s, all)
}

// ownedPlacement returns the state of the shards that this instance owns.
func (i *Instance) ownedPlacement() *peer.Placement {
	p := &peer.Placement{}
	for _, r := range i.currentRunners() {
		if r.owner.IsOwner() {
			p.Shards = append(p.Shards, peer.OwnedShard{Number: r.shard, Status: r.owner.Status()})
		}
	}
	return p
}

// mergePlacement adds the shards to the status, with their services and jobs summed over all shards.
func mergePlacement(s *operator.Status, all []peer.OwnedShard) {
	slices.SortFunc(all, func(a, b peer.OwnedShard) int { return cmp.Compare(a.Number, b.Number) })
	gs := make(map[string]*operator.GroupStatus)
	for _, x := range all {
		h := operator.ShardStatus{Number: x.Number, Owner: x.Owner, Epoch: x.Epoch, Workers: x.Workers}
		for _, g := range x.Groups {
			h.Running += g.Running
			h.Waiting += g.Waiting
			mergeGroup(gs, g)
		}
		s.Shards = append(s.Shards, h)
		s.Quarantined = append(s.Quarantined, x.Quarantined...)
	}
	for _, n := range slices.Sorted(maps.Keys(gs)) {
		s.Groups = append(s.Groups, *gs[n])
	}
}

func mergeGroup(gs map[string]*operator.GroupStatus, g placement.GroupStatus) {
	x := gs[g.Group]
	if x == nil {
		x = &operator.GroupStatus{Group: g.Group, Class: g.Class.String()}
		gs[g.Group] = x
	}
	x.Running += g.Running
	x.Waiting += g.Waiting
	x.Finished += g.Finished
	x.GivenUp += g.GivenUp
	if g.Reason != "" {
		x.Reason = g.Reason
	}
}

// domainStatus returns the status of each failure domain.
func domainStatus(d *document.Document) []operator.DomainStatus {
	n := make(map[string]int)
	for _, s := range d.SortedSections() {
		for _, x := range s.Instances {
			n[x.FailureDomain]++
		}
	}
	var a []operator.DomainStatus
	for _, s := range d.SortedSections() {
		for _, f := range s.FailureDomains {
			a = append(a, operator.DomainStatus{
				Name: f.Name, Region: f.Region, OutOfService: f.OutOfService, Reason: f.Reason, Instances: n[f.Name],
			})
		}
	}
	return a
}

// Explain implements operator.Backend.
func (i *Instance) Explain(ctx context.Context, subject string) (es []decision.Entry, unresponsive []string) {
	es = i.decisions.Find(subject)
	for _, m := range i.mesh.LiveMembers(time.Now()) {
		x, cancel := context.WithTimeout(ctx, callTimeout)
		r, err := i.mesh.Call(x, m.Name, &peer.Message{Explain: &peer.Explain{Subject: subject}})
		cancel()
		if err != nil || r.Explain == nil {
			unresponsive = append(unresponsive, m.Name)
			continue
		}
		es = append(es, r.Explain.Entries...)
	}
	slices.SortStableFunc(es, func(a, b decision.Entry) int { return a.At.Compare(b.At) })
	return es, unresponsive
}

// IsReady implements operator.Backend.
func (i *Instance) IsReady() (bool, string) {
	if i.leaving.Load() {
		return false, "the instance is leaving"
	}
	p := i.document.Position()
	if p.Next == 0 && time.Since(p.ConfirmedAt) > maxConfirmationAge {
		return false, "the document is not known yet"
	}
	return true, ""
}

// Team implements operator.Backend.
func (i *Instance) Team(token string) string {
	if i.OperatorTokens == "" {
		if i.Insecure {
			return "*"
		}
		return ""
	}
	f, err := os.Open(i.OperatorTokens)
	if err != nil {
		i.logger.Error().Err(err).Msg("failed to open the file of operator tokens")
		return ""
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if t, team, ok := strings.Cut(strings.TrimSpace(s.Text()), " "); ok && token != "" && subtle.ConstantTimeCompare([]byte(t), []byte(token)) == 1 {
			return strings.TrimSpace(team)
		}
	}
	return ""
}

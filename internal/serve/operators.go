package serve

import (
	"bufio"
	"cmp"
	"context"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"currantknot.dev/currantknot/internal/decision"
	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/operator"
	"currantknot.dev/currantknot/internal/peer"
	"currantknot.dev/currantknot/internal/record"
	"currantknot.dev/currantknot/pkg/document"
)

// readyAge is the age of the document's latest confirmation beyond which an instance that never had it is not ready.
const readyAge = 5 * time.Second

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
	i.ring.Add(decision.Entry{At: time.Now(), Kind: "Edit", Subjects: editSubjects(e), Reason: e.Author + ": " + e.Reason})
	return n + 1, nil
}

func editSubjects(e *record.Edit) []string {
	var a []string
	for _, s := range e.Sections {
		a = append(a, s.Section)
	}
	return a
}

// InForce implements operator.Backend.
func (i *Instance) InForce(next uint64) (in []string, total int) {
	if i.document.Position().Next >= next {
		in = append(in, i.Name)
	}
	ms := i.mesh.Live(time.Now())
	for _, m := range ms {
		if m.DocumentNext >= next {
			in = append(in, m.Name)
		}
	}
	return in, 1 + len(ms)
}

// Status implements operator.Backend.
func (i *Instance) Status() operator.Status {
	now := time.Now()
	p := i.document.Position()
	s := operator.Status{
		Instance: i.Name, DocumentNext: p.Next, ConfirmedAgo: now.Sub(p.ConfirmedAt).Round(time.Millisecond),
		Blocked: p.Blocked, Domains: domainStatus(i.store.View().Document),
	}
	h := i.Beat(now)
	s.Instances = append(s.Instances, operator.InstanceStatus{
		Name: i.Name, Domain: i.FailureDomain, DocumentNext: p.Next, Leaving: h.Leaving, Shards: slices.Sorted(maps.Keys(h.Shards)),
	})
	for _, m := range i.mesh.Live(now) {
		s.Instances = append(s.Instances, operator.InstanceStatus{
			Name: m.Name, Domain: m.Domain, DocumentNext: m.DocumentNext, Leaving: m.Leaving,
			SeenAgo: now.Sub(m.SeenAt).Round(time.Millisecond), Shards: slices.Sorted(maps.Keys(m.Shards)),
		})
	}
	slices.SortFunc(s.Instances, func(a, b operator.InstanceStatus) int { return cmp.Compare(a.Name, b.Name) })
	for _, r := range i.currentRunners() {
		if r.owner.IsOwner() {
			addShard(&s, r, now)
		}
	}
	return s
}

func domainStatus(d *document.Document) []operator.DomainStatus {
	n := make(map[string]int)
	for _, s := range d.All() {
		for _, x := range s.Instances {
			n[x.FailureDomain]++
		}
	}
	var a []operator.DomainStatus
	for _, s := range d.All() {
		for _, f := range s.FailureDomains {
			a = append(a, operator.DomainStatus{
				Name: f.Name, Region: f.Region, OutOfService: f.OutOfService, Reason: f.Reason, Instances: n[f.Name],
			})
		}
	}
	return a
}

func addShard(s *operator.Status, r *runner, now time.Time) {
	x := r.owner.Status(now)
	h := operator.ShardStatus{Number: r.number, Owner: x.Owner, Epoch: x.Epoch, Workers: x.Workers}
	for _, g := range x.Groups {
		h.Running += g.Running
		h.Waiting += g.Waiting
		s.Groups = append(s.Groups, operator.GroupStatus{
			Group: g.Group, Class: g.Class.String(), Running: g.Running, Waiting: g.Waiting,
			Finished: g.Finished, GivenUp: g.GivenUp, Reason: g.Reason,
		})
	}
	s.Shards = append(s.Shards, h)
	s.Quarantined = append(s.Quarantined, x.Quarantined...)
}

// Explain implements operator.Backend.
func (i *Instance) Explain(ctx context.Context, subject string) (es []decision.Entry, silent []string) {
	es = i.ring.Find(subject)
	for _, m := range i.mesh.Live(time.Now()) {
		x, cancel := context.WithTimeout(ctx, callTimeout)
		a, err := i.mesh.Call(x, m.Name, &peer.Message{Explain: &peer.Explain{Subject: subject}})
		cancel()
		if err != nil || a.Explain == nil {
			silent = append(silent, m.Name)
			continue
		}
		es = append(es, a.Explain.Entries...)
	}
	slices.SortStableFunc(es, func(a, b decision.Entry) int { return a.At.Compare(b.At) })
	return es, silent
}

// IsReady implements operator.Backend.
func (i *Instance) IsReady() (bool, string) {
	if i.leaving.Load() {
		return false, "the instance is leaving"
	}
	p := i.document.Position()
	if p.Next == 0 && time.Since(p.ConfirmedAt) > readyAge {
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
		i.logger.Error().Err(err).Msg("tokens not read")
		return ""
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if t, team, ok := strings.Cut(strings.TrimSpace(s.Text()), " "); ok && token != "" && t == token {
			return strings.TrimSpace(team)
		}
	}
	return ""
}

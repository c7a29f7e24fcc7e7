package operator

import (
	"context"
	"time"

	"currantknot.dev/currantknot/internal/decision"
	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/record"
)

// Backend is what an instance does for operators.
type Backend interface {
	// View returns the document as this instance knows it.
	View() *docstore.View
	// CatchUp waits until the view holds all edits that were accepted before the call.
	CatchUp(ctx context.Context) error
	// Edit commits an edit and returns the revision that it made.
	Edit(ctx context.Context, e *record.Edit) (uint64, error)
	// InForce returns which instances have applied the document up to the offset, and how many there are.
	InForce(next uint64) (in []string, total int)
	// Status describes the whole system; it asks all instances.
	Status(ctx context.Context) Status
	// Explain returns the decisions of all instances about a subject, the oldest first, and who did not answer.
	Explain(ctx context.Context, subject string) (es []decision.Entry, silent []string)
	// IsReady reports whether the instance serves callers, and why not.
	IsReady() (bool, string)
	// Team returns the team of a token, empty where the token is not known, and "*" for all teams.
	Team(token string) string
}

// InstanceStatus describes one instance of the system.
type InstanceStatus struct {
	Name         string
	Domain       string
	DocumentNext uint64
	SeenAgo      time.Duration
	Leaving      bool
	Shards       []int
}

// DomainStatus describes one failure domain.
type DomainStatus struct {
	Name         string
	Region       string
	OutOfService bool
	Reason       string
	Instances    int
}

// ShardStatus describes one shard.
type ShardStatus struct {
	Number  int
	Owner   string
	Epoch   uint64
	Running int
	Waiting int
	Workers int
}

// GroupStatus describes the tasks of one service or job on all shards.
type GroupStatus struct {
	Group    string
	Class    string
	Running  int
	Waiting  int
	Finished int
	GivenUp  int
	Reason   string
}

// Status describes the system.
type Status struct {
	Instance     string
	DocumentNext uint64
	// ConfirmedAgo is the age of the document's latest confirmation.
	ConfirmedAgo time.Duration
	Blocked      string
	Instances    []InstanceStatus
	Domains      []DomainStatus
	Shards       []ShardStatus
	Groups       []GroupStatus
	Quarantined  []string
	// Silent lists the instances that did not answer; their shards are missing.
	Silent []string
}

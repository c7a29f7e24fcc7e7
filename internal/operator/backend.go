package operator

import (
	"context"
	"time"

	"currantknot.dev/currantknot/internal/decision"
	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/record"
)

// Backend is the interface of an instance to the operators' API.
type Backend interface {
	// View returns the document as this instance has read it from the log.
	View() *docstore.View
	// CatchUp waits until the view includes all edits that were accepted before the call.
	CatchUp(ctx context.Context) error
	// Edit commits an edit and returns the new revision of the edited sections.
	Edit(ctx context.Context, e *record.Edit) (uint64, error)
	// AppliedBy returns the names of the instances that have applied all edits before the offset next, and the total
	// number of instances.
	AppliedBy(next uint64) (names []string, total int)
	// Status returns the state of the whole system; it queries all instances.
	Status(ctx context.Context) Status
	// Explain returns the decisions of all instances about a subject, oldest first, and the names of the instances that
	// did not respond.
	Explain(ctx context.Context, subject string) (es []decision.Entry, unresponsive []string)
	// IsReady reports whether the instance is ready to serve callers, and the reason if it is not.
	IsReady() (bool, string)
	// Team returns the team of a token, "*" for a token that may edit the sections of all teams, and "" for an invalid
	// token.
	Team(token string) string
}

// InstanceStatus is the state of one instance of the system.
type InstanceStatus struct {
	Name         string
	Domain       string
	DocumentNext uint64
	// SeenAgo is the time since the last heartbeat of the instance.
	SeenAgo time.Duration
	// Leaving means that the instance is shutting down.
	Leaving bool
	// Shards lists the shards that the instance owns.
	Shards []int
}

// DomainStatus is the state of one failure domain.
type DomainStatus struct {
	Name         string
	Region       string
	OutOfService bool
	Reason       string
	Instances    int
}

// ShardStatus is the state of one shard.
type ShardStatus struct {
	Number  int
	Owner   string
	Epoch   uint64
	Running int
	Waiting int
	Workers int
}

// GroupStatus is the state of the tasks of one service or job on all shards.
type GroupStatus struct {
	Group    string
	Class    string
	Running  int
	Waiting  int
	Finished int
	GivenUp  int
	Reason   string
}

// Status is the state of the system.
type Status struct {
	// Instance is the name of the instance that responded.
	Instance string
	// DocumentNext is the first offset that the document of that instance does not include.
	DocumentNext uint64
	// ConfirmedAgo is the time since the document was last confirmed to be up to date.
	ConfirmedAgo time.Duration
	// Blocked is the reason for which the instance cannot read the log any further, empty if it can.
	Blocked     string
	Instances   []InstanceStatus
	Domains     []DomainStatus
	Shards      []ShardStatus
	Groups      []GroupStatus
	Quarantined []string
	// Silent lists the instances that did not respond. Their shards are missing from Shards and Groups.
	Silent []string
}

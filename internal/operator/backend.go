package operator

import (
	"context"
	"time"

	"currantknot.dev/currantknot/internal/decision"
	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/record"
)

// Backend is the part of an instance that the API for operators uses.
type Backend interface {
	// View returns the document as this instance has read it from the log.
	View() *docstore.View
	// CatchUp waits until the view includes all edits that were accepted before the call.
	CatchUp(ctx context.Context) error
	// Edit commits an edit and returns the new revision of the edited sections.
	Edit(ctx context.Context, e *record.Edit) (uint64, error)
	// AppliedBy returns the names of the live instances that have applied all edits before the offset next, and the number
	// of all live instances.
	AppliedBy(next uint64) (names []string, total int)
	// Status returns the state of the whole system; it queries all instances.
	Status(ctx context.Context) Status
	// Explain returns the decisions about a subject that the live instances have stored, oldest first, and the names of
	// the instances that did not respond.
	Explain(ctx context.Context, subject string) (es []decision.Entry, unresponsive []string)
	// IsReady reports whether the instance is ready to serve callers. If it is not, the string is the reason.
	IsReady() (bool, string)
	// Team returns the team of a token, "*" for a token that may edit the sections of all teams, and "" for an invalid
	// token.
	Team(token string) string
}

// InstanceStatus is the state of one instance of the system.
type InstanceStatus struct {
	Name   string
	Domain string
	// DocumentNext is the first offset of the document's stream that the instance has not applied.
	DocumentNext uint64
	// SeenAgo is the time since the last heartbeat of the instance, 0 for the instance that responded.
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
	// Instances is the number of instances that the document declares in the failure domain.
	Instances int
}

// ShardStatus is the state of one shard, with the numbers of its running and waiting tasks and of its workers.
type ShardStatus struct {
	Number int
	// Owner is the ID of the instance that owns the shard: its name and incarnation.
	Owner   string
	Epoch   uint64
	Running int
	Waiting int
	Workers int
}

// GroupStatus holds the numbers of tasks of one service or job on all shards, by their state.
type GroupStatus struct {
	// Group is the name and the generation of the service or job.
	Group    string
	Class    string
	Running  int
	Waiting  int
	Finished int
	// GivenUp is the number of tasks that failed MaxAttempts times and are not retried.
	GivenUp int
	// Reason says why tasks wait on one of the shards.
	Reason string
}

// Status is the state of the system.
type Status struct {
	// Instance is the name of the instance that responded.
	Instance string
	// DocumentNext is the first offset of the document's stream that this instance has not applied.
	DocumentNext uint64
	// ConfirmedAgo is the time since the last successful read up to the end of the document's stream began. All edits that
	// were accepted by then are applied.
	ConfirmedAgo time.Duration
	// Blocked says why the instance cannot read the log any further. It is empty if the instance can.
	Blocked   string
	Instances []InstanceStatus
	Domains   []DomainStatus
	Shards    []ShardStatus
	Groups    []GroupStatus
	// Quarantined lists the workers in quarantine.
	Quarantined []string
	// Silent lists the instances that did not respond. Their shards are missing from Shards and Groups.
	Silent []string
}

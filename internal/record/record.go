package record

import (
	"time"

	"github.com/oklog/ulid/v2"

	"currantknot.dev/currantknot/pkg/document"
)

// Envelope is the content of one log entry: records of one writer, which are applied in order.
type Envelope struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID ulid.ULID
	// Writer is the ID of the instance that appended the envelope: its name and incarnation.
	Writer string
	// At is the time at which the envelope was made, by the writer's clock.
	At      time.Time
	Records []Record
}

// Record is a union: exactly one of its fields is set.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Edit       *Edit
	Claim      *Claim
	Renew      *Renew
	Bind       *Bind
	Release    *Release
	Finish     *Finish
	Checkpoint *Checkpoint
	Forget     *Forget
}

// Edit replaces or removes sections of the document. Either all of its edits are applied or none.
type Edit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Sections []SectionEdit
	Author   string
	Reason   string
}

// SectionEdit replaces the text of one section if the revision of the section is still Base.
type SectionEdit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Section string
	// Base is the revision on which the edit is based, or 0 if the section does not exist yet.
	Base uint64
	// Text is empty if the section is to be removed.
	Text []byte
}

// Claim makes the claimant the owner of a shard if the epoch of the shard is still Previous. Each accepted claim begins
// a new epoch.
type Claim struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Owner is the ID of the claimant: its name and incarnation.
	Owner string
	// Previous is the epoch that the claim supersedes, or 0 if the shard never had an owner.
	Previous uint64
}

// Renew is a heartbeat of the owner of a shard, or its resignation.
type Renew struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Epoch uint64
	// Resigned means that the owner has stopped and that the shard may be claimed at once.
	Resigned bool
}

// Size is the compact form of document.Size: processors, memory in MiB, accelerators.
type Size [3]int

// SizeOf returns the compact form of a size.
func SizeOf(s document.Size) Size { return Size{s.Processors, s.MemoryMiB, s.Accelerators} }

// DocumentSize returns the size as a document.Size.
func (s Size) DocumentSize() document.Size {
	return document.Size{Processors: s[0], MemoryMiB: s[1], Accelerators: s[2]}
}

// Bind assigns the next attempt of a task to a worker. It is committed before the attempt is started there.
type Bind struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Epoch   uint64
	Task    string
	Attempt int
	Worker  string
	Size    Size
	// Capacity is the capacity of the worker as the owner knew it.
	Capacity Size
	// StartBefore is the time from which on the attempt must not be started.
	StartBefore time.Time
}

// ReleaseReason says why an attempt was released before its task was finished.
type ReleaseReason string

// Values of ReleaseReason.
const (
	// ReleaseNotStarted means that the attempt did not start.
	ReleaseNotStarted ReleaseReason = "NotStarted"
	// ReleaseEvicted means that the attempt was stopped on the worker.
	ReleaseEvicted ReleaseReason = "Evicted"
	// ReleaseFailed means that the attempt failed.
	ReleaseFailed ReleaseReason = "Failed"
	// ReleaseLeaseExpired means that the worker's lease expired.
	ReleaseLeaseExpired ReleaseReason = "LeaseEnded"
	// ReleaseCancelled means that the task is no longer in the document.
	ReleaseCancelled ReleaseReason = "Cancelled"
)

// Release ends an attempt of a task that has not finished: the attempt has stopped, did not start or may no longer run.
// The task returns to the queue with its latest checkpoint, unless the task was cancelled.
type Release struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Epoch   uint64
	Task    string
	Attempt int
	Reason  ReleaseReason
	// Checkpoint is the latest checkpoint of the task, empty if the attempt has none. It is unrelated to the record
	// Checkpoint.
	Checkpoint string
}

// Finish ends an attempt whose task has finished.
type Finish struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Epoch   uint64
	Task    string
	Attempt int
}

// Forget removes the state of the tasks of a service or job that is no longer in the document: all finished tasks, and
// the tasks without an attempt on a worker.
type Forget struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Epoch uint64
	// Group is the name and the generation of the service or job.
	Group string
}

// Checkpoint holds the complete state that results from the entries of a stream before an offset.
type Checkpoint struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Covers is the first offset that the state does not include.
	Covers uint64
	State  []byte
}

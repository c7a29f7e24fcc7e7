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

// Record holds exactly one of its fields.
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

// Edit replaces the text of several sections of the document. Either all of them are replaced or none.
type Edit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Sections []SectionEdit
	Author   string
	Reason   string
}

// SectionEdit replaces the text of one section if its revision is still Base.
type SectionEdit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Section string
	// Base is the revision that the author saw, or 0 if the section does not exist yet.
	Base uint64
	// Text is empty if the section is to be removed.
	Text []byte
}

// Claim makes the claimant the owner of a shard if the shard's epoch is still Previous.
type Claim struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Owner string
	// Previous is the epoch that the claim supersedes, or 0 if the shard never had an owner.
	Previous uint64
}

// Renew is a heartbeat of the owner of an epoch, or its resignation.
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
	// StartBefore is the time after which the attempt must not be started.
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

// Release records that an attempt stopped, or did not start, and returns its task to the queue with the latest
// checkpoint.
type Release struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Epoch      uint64
	Task       string
	Attempt    int
	Reason     ReleaseReason
	Checkpoint string
}

// Finish marks a task as finished.
type Finish struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Epoch   uint64
	Task    string
	Attempt int
}

// Forget removes the finished tasks of a service or job that is no longer in the document.
type Forget struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Epoch uint64
	// Group is the name and the generation of the service or job.
	Group string
}

// Checkpoint holds the complete state of a stream up to an offset.
type Checkpoint struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Covers is the first offset that the state does not include.
	Covers uint64
	State  []byte
}

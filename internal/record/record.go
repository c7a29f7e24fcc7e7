package record

import (
	"time"

	"github.com/oklog/ulid/v2"

	"currantknot.dev/currantknot/pkg/document"
)

// Envelope is the unit of appending: records of one writer that are applied in order.
type Envelope struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID      ulid.ULID
	Writer  string
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

// Edit replaces the text of sections, all of them or none.
type Edit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Sections []SectionEdit
	Author   string
	Reason   string
}

// SectionEdit replaces the text of one section, based on a revision of it.
type SectionEdit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Section string
	// Base is the revision that the author saw, 0 for a section that does not exist.
	Base uint64
	// Text is empty where the section is to be removed.
	Text []byte
}

// Claim takes over a shard from the epoch that the claimant saw.
type Claim struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Owner string
	// Previous is the epoch that the claim supersedes, 0 for a shard that was never owned.
	Previous uint64
}

// Renew shows that the owner of an epoch is alive, or that it hands the shard over.
type Renew struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Epoch uint64
	// Resigned tells that the owner has stopped and that the shard may be claimed at once.
	Resigned bool
}

// Size is a size in the short form of a record: processors, memory in MiB, accelerators.
type Size [3]int

// SizeOf returns the short form of a size.
func SizeOf(s document.Size) Size { return Size{s.Processors, s.MemoryMiB, s.Accelerators} }

// Whole returns the long form of the size.
func (s Size) Whole() document.Size {
	return document.Size{Processors: s[0], MemoryMiB: s[1], Accelerators: s[2]}
}

// Bind commits a task's next attempt to a worker before it is started there.
type Bind struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Epoch       uint64
	Task        string
	Attempt     int
	Worker      string
	Size        Size
	Capacity    Size
	StartBefore time.Time
}

// ReleaseReason tells why an attempt ended without finishing its task.
type ReleaseReason string

// The reasons of a release.
const (
	ReleaseNotStarted ReleaseReason = "NotStarted"
	ReleaseEvicted    ReleaseReason = "Evicted"
	ReleaseFailed     ReleaseReason = "Failed"
	ReleaseLeaseEnded ReleaseReason = "LeaseEnded"
	ReleaseCancelled  ReleaseReason = "Cancelled"
)

// Release ends an attempt and returns the task to the queue with its latest checkpoint.
type Release struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Epoch      uint64
	Task       string
	Attempt    int
	Reason     ReleaseReason
	Checkpoint string
}

// Finish ends a task for good.
type Finish struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Epoch   uint64
	Task    string
	Attempt int
}

// Forget drops the finished tasks of a service or job that has left the document.
type Forget struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Epoch uint64
	// Group is the name and generation of the service or job.
	Group string
}

// Checkpoint carries the whole state of a stream up to an offset.
type Checkpoint struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Covers is the first offset that the state does not include.
	Covers uint64
	State  []byte
}

package jobserve

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Partition is one ordered partition of the jobs' records.
type Partition int

// The partitions of the jobs' records.
const (
	// PartitionRequests holds submissions and cancellations, which every instance writes, and the published states, which the
	// owner writes. The owner also deletes the records of expired jobs.
	PartitionRequests Partition = 0
	// PartitionProgress holds the progress of jobs, written by the owner alone.
	PartitionProgress Partition = 1
	// PartitionOwners holds a claim for each ownership. An instance appends its claim only after the claim that it has read, so
	// that one instance takes over from each owner.
	PartitionOwners Partition = 2
)

// partitions is the number of partitions of the jobs' records.
const partitions = 3

// Record is a keyed record. The store keeps the newest record of each key, until a record without a value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Page is a range of a partition. NextOffset is the offset after the range, and EndOffset the offset after the last record of
// the partition.
type Page struct {
	Records    []Record
	NextOffset int64
	EndOffset  int64
}

// NewestByKeyPage is a page of the list that holds the newest record of each key, ordered by key.
type NewestByKeyPage struct {
	Records []Record
	// After is the key after which the next page starts, empty on the last page.
	After string
	// EndOffset is the offset after the last record of the partition.
	EndOffset int64
}

// Writer is the fencing token of an owner's append; the store rejects lower epochs once it has seen a higher one.
type Writer struct {
	Epoch int64
	// Sequence numbers the appends of an epoch, so that the store detects a repeated append.
	Sequence int64
}

// Membership is the store's response to a renewal of the membership of the group.
type Membership struct {
	// Generation numbers the assignments of partitions to the members of the group.
	Generation int64
	// NextOwner means that this instance is to own the jobs unless the incumbent owner is another member.
	NextOwner bool
}

// Store keeps the records of the jobs and names the next owner of the jobs.
type Store interface {
	// Append adds records and returns the offset after the last one. With a writer, it returns ErrFenced if the store has seen
	// a higher epoch, and ErrOutOfSequence if it expects another append of the epoch; without a writer, the append is not fenced.
	Append(ctx context.Context, p Partition, r []Record, w *Writer) (int64, error)
	// AppendAt adds records if the partition ends at the given offset, and otherwise returns ErrConflict.
	AppendAt(ctx context.Context, p Partition, at int64, r []Record) error
	// Read returns records from an offset on; if there is none yet, it waits for one until the given time. It returns
	// ErrTruncated if the store no longer holds the record at the offset.
	Read(ctx context.Context, p Partition, from int64, until time.Time) (Page, error)
	// NewestByKey returns a page of the newest records of all keys, beginning after the given key.
	NewestByKey(ctx context.Context, p Partition, after string) (NewestByKeyPage, error)
	// Join joins the group or renews the membership; generation is the one that the latest call returned, 0 for a first call.
	Join(ctx context.Context, generation int64, lease time.Duration) (Membership, error)
	// Members returns the names of the group members to which partitions are assigned.
	Members(ctx context.Context) ([]string, error)
	// Leave gives up the membership.
	Leave(ctx context.Context) error
}

// ErrTruncated means that the store no longer holds the requested records.
var ErrTruncated = errors.New("records are no longer in the store")

// ErrConflict means that the partition has records that the caller has not read.
var ErrConflict = errors.New("the partition has newer records")

// ErrFenced means that another owner has taken over.
var ErrFenced = errors.New("another owner has taken over")

// ErrOutOfSequence means that the store expects another sequence number of the epoch than the append has.
var ErrOutOfSequence = errors.New("the store expects another sequence number")

// StoreError reports a failed call to the store.
type StoreError struct {
	Call string
	// Status is the HTTP status, 0 if there was no response.
	Status int
	// NotApplied means that the call had no effect and never will. Refused means besides that the same call never succeeds.
	NotApplied bool
	Refused    bool
	Cause      error
}

// Error returns the call and its status or cause.
func (e *StoreError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("store call %s: status %d", e.Call, e.Status)
	}
	return fmt.Sprintf("store call %s: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Cause }

// isNotApplied reports whether a failed call is known to have had no effect.
func isNotApplied(err error) bool {
	var e *StoreError
	return errors.As(err, &e) && e.NotApplied
}

// isRefused reports whether a call failed for a reason that will not pass, so that it must not be repeated.
func isRefused(err error) bool {
	var e *StoreError
	return errors.As(err, &e) && e.Refused
}

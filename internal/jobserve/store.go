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
	// PartitionRequests holds submissions, cancellations, published states and the name of the owner, written by every instance.
	PartitionRequests Partition = 0
	// PartitionProgress holds the progress of jobs, written by the owner alone.
	PartitionProgress Partition = 1
)

// Record is a keyed record; the store keeps the newest of each key forever, and a record without a value deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Page is a range of a partition; NextOffset is the offset of the next read, and EndOffset the end of the partition.
type Page struct {
	Records    []Record
	NextOffset int64
	EndOffset  int64
}

// NewestPage is a page of the newest record of each key.
type NewestPage struct {
	Records []Record
	// After is the key after which the next page starts, empty on the last page.
	After     string
	EndOffset int64
}

// Writer is the fencing token of an owner's append; the store rejects lower epochs once it has seen a higher one.
type Writer struct {
	Epoch int64
	// Sequence numbers the appends of an epoch, so that the store detects an append that is repeated.
	Sequence int64
}

// Membership is the store's response to a renewal of the membership of the group.
type Membership struct {
	Generation int64
	// NextOwner means that this instance is to own the jobs if no member does.
	NextOwner bool
}

// Store keeps the records of the jobs and elects their owner.
type Store interface {
	// Append adds records and returns the new end of the partition; without a writer, the append is not fenced.
	Append(ctx context.Context, p Partition, r []Record, w *Writer) (int64, error)
	// Read returns records from an offset on, and waits for one until the given time.
	Read(ctx context.Context, p Partition, from int64, until time.Time) (Page, error)
	// Newest returns a page of the newest record of each key, beginning after the given key.
	Newest(ctx context.Context, p Partition, after string) (NewestPage, error)
	// Join joins the group or renews the membership; generation is the one that the latest call returned, 0 for none.
	Join(ctx context.Context, generation int64, lease time.Duration) (Membership, error)
	// Members returns the names of the group members to which partitions are assigned.
	Members(ctx context.Context) ([]string, error)
	Leave(ctx context.Context) error
}

// ErrTruncated means that the store no longer holds the requested records.
var ErrTruncated = errors.New("records are no longer in the store")

// ErrFenced means that another owner has taken over.
var ErrFenced = errors.New("another owner has taken over")

// StoreError reports a failed call to the store.
type StoreError struct {
	Call string
	// Status is the HTTP status, 0 if there was no response.
	Status int
	// NotApplied means that the call had no effect and never will.
	NotApplied bool
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

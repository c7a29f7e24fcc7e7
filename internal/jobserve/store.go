package jobserve

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Partition is one ordered part of the jobs' records.
type Partition int

// The partitions of the jobs' records.
const (
	// PartitionRequests holds submissions and cancellations, written by every instance.
	PartitionRequests Partition = 0
	// PartitionProgress holds the progress of jobs, written by the owner alone.
	PartitionProgress Partition = 1
)

// Record is a keyed record; the newest of each key is kept for good, and one without a value drops its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Page is a part of a partition; Next is the offset to continue at, and End the partition's end.
type Page struct {
	Records   []Record
	Next      int64
	EndOffset int64
}

// Newest is a page of the newest records of all keys.
type Newest struct {
	Records []Record
	// After is the key to continue after, empty on the last page.
	After     string
	EndOffset int64
}

// Writer is the identity under which an owner appends; the store refuses lower epochs once it has seen a higher one.
type Writer struct {
	Epoch    int64
	Sequence int64
}

// Membership is what the store says of the group of instances.
type Membership struct {
	Generation int64
	// Next tells that this instance is to own the jobs if no member does.
	Next bool
}

// Store keeps the records of the jobs and names their owner.
type Store interface {
	// Append adds records and returns the partition's end; without a writer, anyone may append.
	Append(ctx context.Context, p Partition, r []Record, w *Writer) (int64, error)
	// Read returns records from an offset on, and waits for one until the given instant.
	Read(ctx context.Context, p Partition, from int64, until time.Time) (Page, error)
	Newest(ctx context.Context, p Partition, after string) (Newest, error)
	Join(ctx context.Context, generation int64, lease time.Duration) (Membership, error)
	// Members returns the names of the members that hold parts of the group.
	Members(ctx context.Context) ([]string, error)
	Leave(ctx context.Context) error
}

// ErrTruncated tells that the store no longer holds the records that were asked for.
var ErrTruncated = errors.New("records are no longer in the store")

// ErrFenced tells that another owner has taken over.
var ErrFenced = errors.New("another owner has taken over")

// StoreError reports a failed call to the store.
type StoreError struct {
	Call string
	// Status is the HTTP status, 0 where no answer came.
	Status int
	// NotApplied tells that the call had no effect and never will.
	NotApplied bool
	Cause      error
}

// Error names the call and the failure.
func (e *StoreError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("store call %s: status %d", e.Call, e.Status)
	}
	return fmt.Sprintf("store call %s: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Cause }

// isNotDone tells whether a failed call surely had no effect.
func isNotDone(err error) bool {
	var e *StoreError
	return errors.As(err, &e) && e.NotApplied
}

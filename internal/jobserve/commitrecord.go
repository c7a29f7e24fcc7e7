package jobserve

import (
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"currantknot.dev/currantknot/internal/msgpackcheck"
)

const (
	// commitKey is the key of the record that ends each append of an owner; it sorts after the keys of all other progress records.
	commitKey = beforeCommitKey + "commit"
	// beforeCommitKey is a key between those of all other progress records and commitKey.
	beforeCommitKey = "~"
	// afterAllProgress is a key after the keys of all progress records.
	afterAllProgress = "~~"
)

// commitRecord tells by whom and when the append that it ends was first sent, and which workers the owner had granted no lease.
//
// An append may be stored seconds after it was first sent, while the leases that rest
// on it count from then. Instances share no clock, but the time between two appends
// of one owner is known from their records.
type commitRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// Epoch is the fencing token of the owner, 0 if there is no record.
	Epoch int64
	// SentAt is when the append was first sent, by the boot clock of the owner's instance, which counts suspensions.
	SentAt time.Duration
	// InheritedLeases holds, by worker ID, the milliseconds from SentAt until the leases of earlier owners have expired, for workers
	// to which the owner has granted none.
	InheritedLeases map[string]int64
}

// isKnown reports whether there is a record, and whether its owner could read the boot clock.
func (c commitRecord) isKnown() bool { return c.Epoch > 0 && c.SentAt > 0 }

// record returns the commit record as a record of the progress partition.
func (c commitRecord) record() (Record, error) {
	b, err := msgpack.Marshal(&c)
	return Record{Key: commitKey, Value: b}, err
}

// maxCommitRecordBytes returns the most that the commit record of an append takes with the given leases.
func maxCommitRecordBytes(inherited map[string]int64) (int, error) {
	r, err := commitRecord{Epoch: math.MaxInt64, SentAt: math.MaxInt64, InheritedLeases: inherited}.record()
	return recordOverheadBytes + len(r.Key) + len(r.Value), err
}

// lastCommitRecord returns the commit record among some records if it is the last record before the end of the partition, and
// otherwise the zero record: owners of earlier versions make none, and a later one may have committed since.
func lastCommitRecord(l []Record, end int64) commitRecord {
	for _, x := range l {
		if x.Key == commitKey && x.Offset+1 == end {
			return parseCommitRecord(x.Value)
		}
	}
	return commitRecord{}
}

// parseCommitRecord decodes the value of a commit record; it returns the zero record if the value is malformed.
func parseCommitRecord(b []byte) commitRecord {
	var c commitRecord
	if err := msgpackcheck.Unmarshal(b, &c); err != nil {
		return commitRecord{}
	}
	return c
}
